package embershift.policy;

import embershift.model.Deployment.RetryBudget;

/**
 * Enforces the budget of setups beyond each tunnel's first (rule 5), in every window that ends at
 * such a setup. Buckets that straddle the window's edge count against the node: their retries in
 * full, their accepted tunnels not at all.
 */
final class RetryLimiter {

    /**
     * Buckets per window; each one counted against the node costs this fraction of the retries that
     * its tunnels grant.
     */
    private static final int BUCKETS = 32;

    private final RetryBudget budget;
    private final TimeBuckets acceptedTunnels;
    private final TimeBuckets retries;

    RetryLimiter(RetryBudget budget) {
        this.budget = budget;
        double bucketSeconds = budget.window() / BUCKETS;
        this.acceptedTunnels = new TimeBuckets(BUCKETS, bucketSeconds);
        // One bucket for the window's edge, and one for the rounding of clock values.
        this.retries = new TimeBuckets(BUCKETS + 2, bucketSeconds);
    }

    /**
     * A tunnel was accepted, whatever becomes of it; tunnels that were open when the node started
     * do not count.
     */
    void tunnelAccepted(double now) {
        acceptedTunnels.add(now, 0, 1);
    }

    /**
     * A setup beyond a tunnel's first is sent; no outcome gives it back, not even that it was never
     * sent.
     */
    void retrySent(double now) {
        retries.add(now, 0, 1);
    }

    /** Retries that may be sent now; unlimited where no budget is stated. */
    double remaining(double now) {
        return budget.base() + budget.perTunnel() * acceptedTunnels.count(now) - retries.count(now);
    }
}
