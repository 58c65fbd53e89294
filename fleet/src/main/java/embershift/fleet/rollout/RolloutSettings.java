package embershift.fleet.rollout;

/**
 * Settings of a {@link ConfigRollout}; times in seconds.
 *
 * @param settleSeconds how long the canaries run a revision before it is sent to all nodes
 * @param canaryTimeoutSeconds how long the canaries may take to apply it; also the longest delay
 *     between two orders to a node
 * @param retrySeconds delay before an order that a node has not followed is sent again, doubled
 *     each time up to the canary timeout
 * @param maxInFlight maximum number of nodes with an unanswered order
 * @param maxAttempts orders until a restart of the node is requested, and as many again until it is
 *     shut out
 * @param silentSeconds time without a report after which a connected node counts as silent
 * @param canaryShare fraction of all nodes that are canaries; also the fraction that may be shut
 *     out without an operator
 * @param minServiceRate minimum fraction of sessions opened, of those opened or failed
 */
public record RolloutSettings(
        double settleSeconds,
        double canaryTimeoutSeconds,
        double retrySeconds,
        int maxInFlight,
        int maxAttempts,
        double silentSeconds,
        double canaryShare,
        double minServiceRate) {

    /** The default settings. */
    public static final RolloutSettings DEFAULTS =
            new RolloutSettings(2, 10, 0.5, 16, 4, 3, 0.1, 0.8);
}
