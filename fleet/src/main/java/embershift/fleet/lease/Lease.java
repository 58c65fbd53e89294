package embershift.fleet.lease;

/**
 * How long a holder may act, by its own clock alone. The lease counts from before the holder asked
 * for it, and ends earlier than the store's session by what two clocks may differ in rate. Times in
 * seconds, never decreasing.
 */
public final class Lease {

    /** How far the rates of two clocks may be apart, as a share. */
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
     * The lease was granted.
     *
     * @param requestedAt when it was asked for, or the session was opened if that was earlier
     */
    public void acquired(FencingToken grantedToken, double requestedAt) {
        token = grantedToken;
        expiresAt = Double.NEGATIVE_INFINITY;
        renewed(requestedAt);
    }

    /** The session was renewed by a call that was sent at that time. */
    public void renewed(double requestedAt) {
        if (requestedAt + durationSeconds > expiresAt) {
            expiresAt = requestedAt + durationSeconds;
            renewalDueAt = requestedAt + durationSeconds * RENEWAL_FRACTION;
        }
    }

    /** The lease is released, or another is known to hold it. */
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

    /** Whether something that takes up to {@code maxSeconds} would end while the lease is held. */
    public boolean canComplete(double now, double maxSeconds) {
        return now + maxSeconds < expiresAt;
    }

    /** Whether the lease is held and should be renewed. */
    public boolean isRenewalDue(double now) {
        return isHeld(now) && now >= renewalDueAt;
    }
}
