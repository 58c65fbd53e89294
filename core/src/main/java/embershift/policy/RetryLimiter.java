package embershift.policy;

import embershift.model.Deployment.RetryBudget;

/**
 * Guards the budget of setups beyond each tunnel's first (rule 5), in every window that ends at
 * such a setup. Buckets that straddle the window's edge count against the node: their further
 * setups whole, their tunnels taken not at all.
 */
final class RetryLimiter {

    /**
     * Buckets in a window: each one counted against the node costs this part of what its tunnels
     * give.
     */
    private static final int BUCKETS = 32;

    private final RetryBudget budget;
    private final TimeBuckets acceptedTunnels;
    private final TimeBuckets retries;

    RetryLimiter(RetryBudget budget) {
        this.budget = budget;
        double bucketSeconds = budget.window() / BUCKETS;
        this.acceptedTunnels = new TimeBuckets(BUCKETS, bucketSeconds);
        // One bucket for the edge, and one as clocks round.
        this.retries = new TimeBuckets(BUCKETS + 2, bucketSeconds);
    }

    /** A tunnel was taken, whatever becomes of it; one that stood when the node started was not. */
    void tunnelAccepted(double now) {
        acceptedTunnels.add(now, 0, 1);
    }

    /**
     * A further setup goes out: no end of it, nor one that says it was never sent, gives it back.
     */
    void retrySent(double now) {
        retries.add(now, 0, 1);
    }

    /** Further setups that may go out now; unlimited where no budget is stated. */
    double remaining(double now) {
        return budget.base() + budget.perTunnel() * acceptedTunnels.count(now) - retries.count(now);
    }
}
