package embershift.model;

import java.util.List;

/**
 * What a node is told about its deployment when it starts. Times are in seconds.
 *
 * <p>{@code nodeIndex} is this node's number among the {@code nodeCount} nodes, counted from 0, or
 * negative where it is not told. {@code rosterOnRequest}: the roster is watched only when the
 * node's decisions ask for it. {@code reportsCapacity}: hosts report their load over capacity, not
 * only numbers of tunnels. {@code rosterCallDeadline}: a node that has not been in touch with the
 * roster for this long counts as informed of what changed there, so it has to call within that
 * time. A host that has just started can do {@code coldCapacityShare} of what it can do when warm,
 * which it is after {@code warmUpTime}; it fails if it is sent more than {@code overloadMultiple}
 * times what it can take for {@code overloadWindow}. {@code parkTime}: how long a host keeps a
 * passed-through tunnel that has ended.
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
     * One profile: times in seconds, credit as the deployment counts it. {@code messageGoal} is how
     * long a message of an open tunnel may take, infinite where not stated.
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
     * Limit on the setups beyond each tunnel's first that a node may send in any {@code window}
     * seconds: {@code base}, plus {@code perTunnel} for each tunnel that the node accepted in that
     * time.
     */
    public record RetryBudget(double base, double perTunnel, double window) {

        /** Used where no budget is stated. */
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
