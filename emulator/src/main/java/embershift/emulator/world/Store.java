package embershift.emulator.world;

import embershift.emulator.day.Day;

/**
 * The session store that each setup calls, shared by all hosts: calls in turn, so many a second.
 */
public final class Store {

    private final Backlog calls;
    private final double rate;
    private final double patience;
    private double slow = 1;

    /** {@code usual}: setups a second on an untroubled day. */
    public Store(Day.Store figures, double usual, Agenda agenda) {
        rate = Math.max(1, usual * figures.room());
        patience = figures.patience();
        calls = new Backlog(agenda, Double.POSITIVE_INFINITY);
        calls.rates(0, rate);
    }

    public void slower(double factor) {
        slow *= factor;
        calls.rates(0, rate / slow);
    }

    /** Whether a call would wait longer than it may. */
    public boolean full() {
        return waits() > patience;
    }

    /** Seconds that a call waits now. */
    public double waits() {
        return calls.waiting() / (rate / slow);
    }

    public void call(Runnable whenDone) {
        calls.job(1, whenDone);
    }
}
