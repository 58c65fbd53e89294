package embershift.fleet.lease;

/**
 * Settings of a {@link LeaseHolder}; times in seconds.
 *
 * @param sessionSeconds time without a renewal after which the store ends the holder's session, and
 *     the lease with it
 * @param retrySeconds delay between two attempts of a command
 * @param stuckSeconds time without progress after which the lease is released
 * @param maxStepAttempts maximum number of holders that may begin the same step before it is given
 *     up
 * @param maxBackoffSeconds longest delay of a candidate that loses the lease repeatedly
 */
public record LeaseSettings(
        double sessionSeconds,
        double retrySeconds,
        double stuckSeconds,
        int maxStepAttempts,
        double maxBackoffSeconds) {

    /** The default settings. */
    public static final LeaseSettings DEFAULTS = new LeaseSettings(3, 0.2, 20, 3, 30);
}
