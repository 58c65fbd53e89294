package embershift.policy;

/**
 * Limits the setups in flight, to protect the session store or whatever else all setups share:
 * where setups fail at many hosts, sending more makes more fail. The limit is then halved, and
 * grows again by one whenever as many tunnels as the limit have been opened.
 */
final class SetupConcurrencyLimiter {

    /**
     * Setups that ended, and how many of them failed: what fails at many hosts is no single host's
     * fault.
     */
    private final TimeBuckets outcomes;

    private final double period;
    private int inFlight;

    /** Maximum number of setups in flight; unlimited until setups fail at many hosts. */
    private double window = Double.POSITIVE_INFINITY;

    private double lastReducedAt = Double.NEGATIVE_INFINITY;

    SetupConcurrencyLimiter(double period) {
        this.period = period;
        this.outcomes = new TimeBuckets(4, period / 4);
    }

    /** Whether as many setups are in flight as allowed. */
    boolean isFull() {
        return inFlight >= window;
    }

    void setupSent() {
        inFlight++;
    }

    /** A setup is no longer in flight, for a reason that says nothing about what setups share. */
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
