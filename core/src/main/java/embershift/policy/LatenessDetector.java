package embershift.policy;

/**
 * Detects that a host's messages come too late for this node, by the node's own tunnels there. That
 * holds where the host's report does not: a host may report too little load, or be healthy but
 * behind a slow or lossy network path. A single message that is a little late counts as a pause.
 */
final class LatenessDetector {

    /** Maximum number of periods between two late messages while messages stay late. */
    private static final double MAX_GAP_PERIODS = 1.5;

    /** Periods for which messages must have been late. */
    private static final double MIN_LATE_PERIODS = 0.9;

    /**
     * Periods for which a host counts as late after its last late message; multiplied by the number
     * of recent episodes, up to 4.
     */
    private static final double HOLD_PERIODS = 4;

    /** Multiple of the hold time after which earlier episodes are forgotten. */
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
     * Records that a message took {@code delay} seconds. {@code goal} is the shortest message goal
     * of any profile; a delay over {@code certainDelay} is no pause but counts as late at once.
     */
    void record(double now, double delay, double goal, double certainDelay) {
        boolean late = delay > goal;
        if (delay > certainDelay) {
            lateSince = Double.NEGATIVE_INFINITY;
        } else if (!late) {
            lateSince = Double.POSITIVE_INFINITY;
        } else {
            lateSince =
                    now > lastLateAt + MAX_GAP_PERIODS * period ? now : Math.min(lateSince, now);
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

    /** Whether messages are late now, and have been for more than a moment. */
    boolean isSustained(double now) {
        return now <= lastLateAt + MAX_GAP_PERIODS * period
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
