package embershift.policy;

/**
 * Guards the session store, or whatever else all setups share: where they fail at many hosts,
 * sending more makes more fail, so the setups out together are halved, and grow again by one for
 * each such number opened.
 */
final class Pace {

    /** Setups that ended, and of those the failed: what many hosts share is no host's fault. */
    private final Ring ended;

    private final double period;
    private int out;

    /** Setups that may be out together; unlimited until setups fail at many hosts. */
    private double window = Double.POSITIVE_INFINITY;

    private double cutAt = Double.NEGATIVE_INFINITY;

    Pace(double period) {
        this.period = period;
        this.ended = new Ring(4, period / 4);
    }

    /** Whether as many setups are out as may be. */
    boolean full() {
        return out >= window;
    }

    void sent() {
        out++;
    }

    /** A setup is out no more, by something that tells nothing of what setups share. */
    void givenUp() {
        out--;
    }

    void ended(double now, boolean failed) {
        out--;
        ended.add(now, failed ? 1 : 0, 1);
        if (!failed) {
            window += 1 / window;
        } else if (now >= cutAt + period / 4
                && ended.sum(now) > Math.max(3, ended.count(now) / 3.0)) {
            cutAt = now;
            window = Math.max(1, Math.min(window, out + 1) / 2);
        }
    }
}
