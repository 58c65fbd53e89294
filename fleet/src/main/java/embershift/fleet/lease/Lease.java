package embershift.fleet.lease;

/**
 * Tracks how long a holder may act, by its own clock alone. The lease is counted from before the
 * holder requested it, and expires earlier than the store's session by a margin for the drift
 * between two clocks. Times are monotonic, in seconds.
 */
public final class Lease {

    /** Maximum difference between the rates of two clocks, as a fraction. */
    public static final double MAX_CLOCK_DRIFT = 0.02;

    private static final double RENEWAL_FRACTION = 1.0 / 3;

    private final double durationSeconds;
    private FencingToken token = FencingToken.NONE;
    private double expiresAt = Double.NEGATIVE_INFINITY;
    private double renewalDueAt = Double.NEGATIVE_INFINITY;

    /**
     * Creates a lease that is not held.
     *
     * @param sessionSeconds the timeout of the holder's session
     */
    public Lease(double sessionSeconds) {
        durationSeconds = sessionSeconds * (1 - 2 * MAX_CLOCK_DRIFT);
    }

    /**
     * Called when the lease was granted.
     *
     * @param requestedAt when it was requested, or when the session was opened if that was earlier
     */
    public void acquired(FencingToken grantedToken, double requestedAt) {
        token = grantedToken;
        expiresAt = Double.NEGATIVE_INFINITY;
        renewed(requestedAt);
    }

    /** Called when the session was renewed by a call sent at {@code requestedAt}. */
    public void renewed(double requestedAt) {
        if (requestedAt + durationSeconds > expiresAt) {
            expiresAt = requestedAt + durationSeconds;
            renewalDueAt = requestedAt + durationSeconds * RENEWAL_FRACTION;
        }
    }

    /** Called when the lease is released, or known to be held by another candidate. */
    public void invalidate() {
        expiresAt = Double.NEGATIVE_INFINITY;
    }

    /** Returns the token of the latest grant. */
    public FencingToken token() {
        return token;
    }

    /** Whether the lease is held. */
    public boolean isHeld(double now) {
        return now < expiresAt;
    }

    /** Whether an action that takes up to {@code maxSeconds} would end while the lease is held. */
    public boolean canComplete(double now, double maxSeconds) {
        return now + maxSeconds < expiresAt;
    }

    /** Whether the lease is held and should be renewed. */
    public boolean isRenewalDue(double now) {
        return isHeld(now) && now >= renewalDueAt;
    }
}
