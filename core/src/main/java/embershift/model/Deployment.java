package embershift.model;

import java.util.List;

/**
 * What a node is told of its deployment when it starts; {@code rank}: its number among the {@code
 * nodes}, from 0 on, below 0 where it is not told.
 */
public record Deployment(
        long seed,
        int nodeCount,
        int nodeIndex,
        ZoneId zone,
        List<Profile> profiles,
        boolean rosterOnRequest,
        double rosterCallDeadline,
        boolean mayProbe,
        boolean mayMessageNodes,
        boolean reportsCapacity,
        boolean mayCancel,
        boolean mayOverlap,
        int maxSetups,
        boolean supportsRetryAfter,
        double maxRetryAfter,
        double connectTimeout,
        double answerSlack,
        double drainGrace,
        double coldCapacityShare,
        double warmUpTime,
        double overloadMultiple,
        double overloadWindow,
        RetryBudget retryBudget,
        boolean tunnelsPassThrough,
        double parkTime) {

    /**
     * One profile's figures: times in seconds, credit as the deployment counts it; {@code
     * messageGoal} is how long a message of an open tunnel may take, infinite where not stated.
     */
    public record Profile(
            ProfileId id,
            Repeat repeat,
            DedupScope dedupScope,
            double dedupWindow,
            double setupGoal,
            double clientTimeout,
            double messageGoal,
            double credit) {}

    /**
     * Setups beyond each tunnel's first that a node may send in any {@code span} seconds: {@code
     * free}, and {@code perTunnel} for each tunnel that it took in that time.
     */
    public record RetryBudget(double base, double perTunnel, double window) {

        /** Where none is stated. */
        public static final RetryBudget NONE = new RetryBudget(Double.POSITIVE_INFINITY, 0, 1);
    }

    /** What running a tunnel's setup a second time would do. */
    public enum Repeat {
        REPEATABLE,
        REFERENCED,
        ONCE_ONLY
    }

    /** Which hosts drop the repeats of a referenced tunnel. */
    public enum DedupScope {
        ALL,
        ZONE,
        CELL
    }
}
