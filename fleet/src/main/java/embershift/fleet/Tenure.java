package embershift.fleet;

/**
 * How long an owner may take itself for one, by its own clock alone. Counted from before it asked:
 * the record counts from when it granted, which was later, and longer by what clocks may differ.
 * Times in seconds that never run backwards.
 */
public final class Tenure {

    /** How far the rates of two clocks are assumed to be apart at the most, as a share. */
    public static final double DRIFT = 0.02;

    /** After which part of its time it is renewed. */
    private static final double RENEW = 1.0 / 3;

    private final double lasts;
    private Fence fence = Fence.NONE;
    private double until = Double.NEGATIVE_INFINITY;
    private double renewAt = Double.NEGATIVE_INFINITY;

    /**
     * {@code session}: seconds after which the record lets go of an owner that it does not hear.
     */
    public Tenure(double session) {
        lasts = session * (1 - 2 * DRIFT);
    }

    /**
     * The duty was granted; {@code asked}: when the owner asked for it, or opened the session,
     * whichever was earlier.
     */
    public void granted(Fence by, double asked) {
        fence = by;
        until = Double.NEGATIVE_INFINITY;
        renewed(asked);
    }

    /** The session was renewed, by a call sent at {@code asked}. */
    public void renewed(double asked) {
        if (asked + lasts > until) {
            until = asked + lasts;
            renewAt = asked + lasts * RENEW;
        }
    }

    /** The duty is given back, or another was seen to have it. */
    public void over() {
        until = Double.NEGATIVE_INFINITY;
    }

    public Fence fence() {
        return fence;
    }

    public boolean holds(double now) {
        return now < until;
    }

    /**
     * Whether something that may take so long may be begun: it ends while this owner still holds.
     */
    public boolean mayBegin(double now, double longest) {
        return now + longest < until;
    }

    public boolean wantsRenewal(double now) {
        return holds(now) && now >= renewAt;
    }
}
