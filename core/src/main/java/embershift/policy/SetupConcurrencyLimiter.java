package embershift.policy;

/**
 * Guards the session store, or whatever else all setups share: where they fail at many hosts,
 * sending more makes more fail, so the setups out together are halved, and grow again by one for
 * each such number opened.
 */
final class SetupConcurrencyLimiter {

    /** Setups that ended, and of those the failed: what many hosts share is no host's fault. */
    private final TimeBuckets outcomes;

    private final double period;
    private int inFlight;

    /** Setups that may be out together; unlimited until setups fail at many hosts. */
    private double window = Double.POSITIVE_INFINITY;

    private double lastReducedAt = Double.NEGATIVE_INFINITY;

    SetupConcurrencyLimiter(double period) {
        this.period = period;
        this.outcomes = new TimeBuckets(4, period / 4);
    }

    /** Whether as many setups are out as may be. */
    boolean isFull() {
        return inFlight >= window;
    }

    void setupSent() {
        inFlight++;
    }

    /** A setup is out no more, by something that tells nothing of what setups share. */
    void setupAbandoned() {
        inFlight--;
    }

    void setupEnded(double now, boolean failed) {
        inFlight--;
        outcomes.add(now, failed ? 1 : 0, 1);
        if (!failed) {
            window += 1 / window;
        } else if (now >= lastReducedAt + period / 4
                && outcomes.sum(now) > Math.max(3, outcomes.count(now) / 3.0)) {
            lastReducedAt = now;
            window = Math.max(1, Math.min(window, inFlight + 1) / 2);
        }
    }
}
