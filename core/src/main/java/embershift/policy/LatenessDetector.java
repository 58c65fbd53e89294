package embershift.policy;

/**
 * Whether a host's messages come too late for this node, as its own tunnels there tell. That is
 * true where a report is not: a host that reports too little, or one that is well but behind a slow
 * or lossy way. One message that is a little late is a pause.
 */
final class LatenessDetector {

    /** Periods in which the next note comes while messages stay late. */
    private static final double MAX_NOTE_GAP_PERIODS = 1.5;

    /** Periods for which messages must have been late. */
    private static final double MIN_LATE_PERIODS = 0.9;

    /**
     * Periods for which a host counts as late after its last note; up to four times as long by
     * turns.
     */
    private static final double HOLD_PERIODS = 4;

    /** Such times after which earlier turns are forgotten. */
    private static final double EPISODE_MEMORY_HOLDS = 4;

    private final double period;
    private double lateSince = Double.POSITIVE_INFINITY;
    private double lastLateAt = Double.NEGATIVE_INFINITY;
    private double latestDelay;
    private double lateUntil = Double.NEGATIVE_INFINITY;
    private int episodes;

    LatenessDetector(double period) {
        this.period = period;
    }

    /**
     * A message took this long, where {@code goal} is the shortest that any profile has; over
     * {@code sure} it is no pause, but late at once.
     */
    void record(double now, double delay, double goal, double certainDelay) {
        boolean late = delay > goal;
        if (delay > certainDelay) {
            lateSince = Double.NEGATIVE_INFINITY;
        } else if (!late) {
            lateSince = Double.POSITIVE_INFINITY;
        } else {
            lateSince =
                    now > lastLateAt + MAX_NOTE_GAP_PERIODS * period
                            ? now
                            : Math.min(lateSince, now);
        }
        lastLateAt = late ? now : lastLateAt;
        this.latestDelay = delay;
        if (isSustained(now)) {
            if (now > lateUntil) {
                episodes =
                        now > lateUntil + EPISODE_MEMORY_HOLDS * HOLD_PERIODS * period
                                ? 1
                                : Math.min(4, episodes + 1);
            }
            lateUntil = now + HOLD_PERIODS * period * episodes;
        } else if (!late) {
            lateUntil = Math.min(lateUntil, now);
        }
    }

    /** Whether messages are late now, and not just for a moment. */
    boolean isSustained(double now) {
        return now <= lastLateAt + MAX_NOTE_GAP_PERIODS * period
                && now >= lateSince + MIN_LATE_PERIODS * period;
    }

    /** Whether a message would come too late for a tunnel with this goal. */
    boolean isLateFor(double now, double goal) {
        return now < lateUntil && latestDelay > goal;
    }

    void reset() {
        lateUntil = Double.NEGATIVE_INFINITY;
        lateSince = Double.POSITIVE_INFINITY;
        episodes = 0;
    }
}
