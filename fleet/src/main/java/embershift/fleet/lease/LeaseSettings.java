package embershift.fleet.lease;

/**
 * How a {@link LeaseHolder} behaves; times in seconds.
 *
 * @param sessionSeconds without word of the holder after which the store ends its session, and the
 *     lease with it
 * @param retrySeconds between two tries of a command
 * @param stuckSeconds without progress after which the lease is released
 * @param maxStepAttempts holders that may begin the same step before it is given up
 * @param maxBackoffSeconds the longest wait of one that loses the lease again and again
 */
public record LeaseSettings(
        double sessionSeconds,
        double retrySeconds,
        double stuckSeconds,
        int maxStepAttempts,
        double maxBackoffSeconds) {

    /** The settings where nothing else is said. */
    public static final LeaseSettings DEFAULTS = new LeaseSettings(3, 0.2, 20, 3, 30);
}
