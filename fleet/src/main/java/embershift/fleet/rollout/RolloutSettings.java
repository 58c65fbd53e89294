package embershift.fleet.rollout;

/**
 * How a {@link ConfigRollout} behaves.
 *
 * @param settleSeconds that the canaries act on a revision before all nodes do
 * @param canaryTimeoutSeconds that the canaries may take for it
 * @param retrySeconds until a node that has not taken an order gets it again, doubled each time up
 *     to the patience
 * @param maxInFlight nodes that have an order without an answer
 * @param maxAttempts until a restart of a node is requested, and as many again until it is shut out
 * @param silentSeconds without a report after which a connected node counts as silent
 * @param canaryShare of all nodes that go first; also the share that may be shut out without a
 *     person
 * @param minServiceRate share of sessions that must be opened of those opened or failed
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

    /** The settings where nothing else is said. */
    public static final RolloutSettings DEFAULTS =
            new RolloutSettings(2, 10, 0.5, 16, 4, 3, 0.1, 0.8);
}
