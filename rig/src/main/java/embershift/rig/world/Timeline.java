package embershift.rig.world;

import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/**
 * Virtual time: what is due happens in its order, and what is due at the same time in the order in
 * which it was asked for.
 */
final class Timeline {

    private record Happening(double at, long number, Runnable what)
            implements Comparable<Happening> {
        @Override
        public int compareTo(Happening other) {
            int order = Double.compare(at, other.at);
            return order != 0 ? order : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Happening> agenda = new PriorityQueue<>();
    private double now;
    private long happenings;

    double now() {
        return now;
    }

    void in(double delay, Runnable what) {
        agenda.add(new Happening(now + delay, ++happenings, what));
    }

    void at(double time, Runnable what) {
        agenda.add(new Happening(Math.max(now, time), ++happenings, what));
    }

    void every(double period, Runnable what) {
        in(
                period,
                () -> {
                    what.run();
                    every(period, what);
                });
    }

    void run(double until) {
        runWhile(() -> true, until);
        now = until;
    }

    /** As long as that is so; the time stays that of what happened last. */
    void runWhile(BooleanSupplier so, double until) {
        while (so.getAsBoolean() && !agenda.isEmpty() && agenda.peek().at <= until) {
            Happening next = agenda.poll();
            now = next.at;
            next.what.run();
        }
    }
}
