package embershift.policy;

import embershift.model.Deployment.Budget;

/**
 * Guards the budget of setups beyond each tunnel's first (rule 5), in every window that ends at
 * such a setup. Buckets that straddle the window's edge count against the node: their further
 * setups whole, their tunnels taken not at all.
 */
final class Allowance {

    /**
     * Buckets in a window: each one counted against the node costs this part of what its tunnels
     * give.
     */
    private static final int BUCKETS = 32;

    private final Budget budget;
    private final Ring taken;
    private final Ring further;

    Allowance(Budget budget) {
        this.budget = budget;
        double bucket = budget.span() / BUCKETS;
        this.taken = new Ring(BUCKETS, bucket);
        // One bucket for the edge, and one as clocks round.
        this.further = new Ring(BUCKETS + 2, bucket);
    }

    /** A tunnel was taken, whatever becomes of it; one that stood when the node started was not. */
    void took(double now) {
        taken.add(now, 0, 1);
    }

    /**
     * A further setup goes out: no end of it, nor one that says it was never sent, gives it back.
     */
    void spent(double now) {
        further.add(now, 0, 1);
    }

    /** Further setups that may go out now; unlimited where no budget is stated. */
    double left(double now) {
        return budget.free() + budget.perTunnel() * taken.count(now) - further.count(now);
    }
}
