package embershift.emulator.world;

import java.util.PriorityQueue;

/** What is to happen, in the order of time and, at the same time, of being planned. Times are seconds. */
final class Agenda {

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

    double now() {
        return now;
    }

    /** What is planned for the past happens now: nothing runs backwards. */
    void at(double time, Runnable what) {
        entries.add(new Entry(Math.max(now, time), planned++, what));
    }

    void in(double delay, Runnable what) {
        at(now + Math.max(0, delay), what);
    }

    /** Lets everything happen that is planned before {@code end}, and returns how much that was. */
    long runUntil(double end) {
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
