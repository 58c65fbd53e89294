package embershift.policy;

/**
 * Whether a host's messages come too late for this node, as its own tunnels there tell. That is
 * true where a report is not: a host that reports too little, or one that is well but behind a slow
 * or lossy way. One message that is a little late is a pause.
 */
final class Lateness {

    /** Periods in which the next note comes while messages stay late. */
    private static final double GAP = 1.5;

    /** Periods for which messages must have been late. */
    private static final double LEAST = 0.9;

    /**
     * Periods for which a host counts as late after its last note; up to four times as long by
     * turns.
     */
    private static final double KEPT = 4;

    /** Such times after which earlier turns are forgotten. */
    private static final double FORGOTTEN = 4;

    private final double period;
    private double since = Double.POSITIVE_INFINITY;
    private double last = Double.NEGATIVE_INFINITY;
    private double delay;
    private double until = Double.NEGATIVE_INFINITY;
    private int turns;

    Lateness(double period) {
        this.period = period;
    }

    /**
     * A message took this long, where {@code goal} is the shortest that any profile has; over
     * {@code sure} it is no pause, but late at once.
     */
    void note(double now, double delay, double goal, double sure) {
        boolean late = delay > goal;
        if (delay > sure) {
            since = Double.NEGATIVE_INFINITY;
        } else if (!late) {
            since = Double.POSITIVE_INFINITY;
        } else {
            since = now > last + GAP * period ? now : Math.min(since, now);
        }
        last = late ? now : last;
        this.delay = delay;
        if (persists(now)) {
            if (now > until) {
                turns = now > until + FORGOTTEN * KEPT * period ? 1 : Math.min(4, turns + 1);
            }
            until = now + KEPT * period * turns;
        } else if (!late) {
            until = Math.min(until, now);
        }
    }

    /** Whether messages are late now, and not just for a moment. */
    boolean persists(double now) {
        return now <= last + GAP * period && now >= since + LEAST * period;
    }

    /** Whether a message would come too late for a tunnel with this goal. */
    boolean lasts(double now, double goal) {
        return now < until && delay > goal;
    }

    void forget() {
        until = Double.NEGATIVE_INFINITY;
        since = Double.POSITIVE_INFINITY;
        turns = 0;
    }
}
