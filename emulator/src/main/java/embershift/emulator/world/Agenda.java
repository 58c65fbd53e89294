package embershift.emulator.world;

import java.util.PriorityQueue;

/**
 * What is to happen, in the order of time and, at the same time, of being planned. Times are
 * seconds.
 */
public final class Agenda {

    private record Entry(double time, long number, Runnable what) implements Comparable<Entry> {
        @Override
        public int compareTo(Entry other) {
            int order = Double.compare(time, other.time);
            return order != 0 ? order : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Entry> entries = new PriorityQueue<>(1 << 12);
    private long planned;
    private double now;

    Agenda() {}

    /** An agenda whose time begins there. */
    public Agenda(double begins) {
        now = begins;
    }

    public double now() {
        return now;
    }

    /** What is planned for the past happens now: nothing runs backwards. */
    public void at(double time, Runnable what) {
        entries.add(new Entry(Math.max(now, time), planned++, what));
    }

    public void in(double delay, Runnable what) {
        at(now + Math.max(0, delay), what);
    }

    /** When the next thing is to happen; never, where nothing is planned. */
    public double next() {
        return entries.isEmpty() ? Double.POSITIVE_INFINITY : entries.peek().time;
    }

    /** Lets everything happen that is planned before {@code end}, and returns how much that was. */
    public long runUntil(double end) {
        long happened = 0;
        while (!entries.isEmpty() && entries.peek().time < end) {
            Entry entry = entries.remove();
            now = entry.time;
            entry.what.run();
            happened++;
        }
        now = end;
        return happened;
    }
}
