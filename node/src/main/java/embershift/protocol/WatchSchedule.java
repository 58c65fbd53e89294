package embershift.protocol;

import java.util.function.DoubleSupplier;

/**
 * When a watch at discovery calls, how long a call may wait there, when it is given up and when the
 * next one begins. A watch is a chain of calls, one after the other on a kept connection. Has no
 * sockets and no clock: it is fed the time, in seconds, and what has happened, and says by {@link
 * #due} when it has to be looked at again.
 *
 * <p>What discovery has counts as told six seconds after it could be reached, whatever became of
 * the calls before. A call that begins once it can be reached is answered within two seconds, or
 * ended by discovery with 503; so the next call after any other begins {@link #AGAIN} after that
 * one's beginning at the latest, however and whenever it failed.
 */
public final class WatchSchedule {

    /**
     * Seconds from the beginning of a call that brings nothing to that of the next, at the most.
     */
    static final double AGAIN = 3.8;

    /**
     * Part of that by which it is less by chance, so that nodes which call together don't do so for
     * long.
     */
    private static final double SPREAD = 0.05;

    /**
     * Failures after which it is so by far more: nodes that lost discovery together are not to come
     * back together.
     */
    private static final int SPREADING = 2;

    private static final double WIDE_SPREAD = 0.42;

    /**
     * Seconds that a call which goes on with a watch may wait for news at discovery, and that
     * others may at the most.
     */
    private static final double WAIT = 3.0;

    private static final double FIRST_WAIT = 1.6;

    /** Seconds left to a call that has to wait for its turn first. */
    private static final double TURN = 2.0;

    /**
     * Seconds between two calls where the first was answered at once with nothing new; a watch
     * allows 0.2.
     */
    private static final double PAUSE = 0.1;

    /**
     * Seconds until a watch that goes on by itself begins again after its first failure, and their
     * growth at each further.
     */
    private static final double LEAST_AGAIN = 0.5;

    private static final double GROWTH = 3;

    private final boolean byItself;
    private final DoubleSupplier chance;
    private boolean calling;
    private double calledAt;
    private double drawn;
    private double spacing;
    private double mayWait;
    private double due = Double.POSITIVE_INFINITY;
    private int failures;

    /**
     * {@code byItself}: nobody else has calls begin sooner after a failure than they have to.
     * {@code chance} gives numbers from [0, 1), others at each node.
     */
    public WatchSchedule(boolean byItself, DoubleSupplier chance) {
        this.byItself = byItself;
        this.chance = chance;
    }

    /** A call begins, {@code kept}: on a connection that has brought an answer already. */
    public void called(double now, boolean kept) {
        calling = true;
        calledAt = now;
        drawn = chance.getAsDouble();
        spacing =
                AGAIN
                        * (1
                                - (failures > 0 && failures <= SPREADING ? WIDE_SPREAD : SPREAD)
                                        * (1 - drawn));
        mayWait = kept ? WAIT : Math.min(FIRST_WAIT, spacing - TURN);
        due = now + (kept ? AGAIN : spacing);
    }

    /** The call that was out has failed, was refused or given up. */
    public void failed(double now) {
        calling = false;
        double pause = byItself ? LEAST_AGAIN * Math.pow(GROWTH, failures) * (0.5 + drawn) : AGAIN;
        due = Math.max(now, Math.min(now + pause, calledAt + spacing));
        failures++;
    }

    /**
     * The call that was out was answered, {@code changed}: with something new; the watch goes on.
     */
    public void answered(double now, boolean changed) {
        calling = false;
        failures = 0;
        // Guards against a discovery that does not wait: calls would come as fast as it answers.
        due = changed || !early(now) ? now : now + PAUSE;
    }

    /** Whether an answer that comes now has come long before a call without news would end. */
    public boolean early(double now) {
        return now < calledAt + mayWait / 2;
    }

    /** Nothing is to be called for the time being. */
    public void stopped() {
        calling = false;
        due = Double.POSITIVE_INFINITY;
    }

    /** Whether a call is out. */
    public boolean calling() {
        return calling;
    }

    /** How long the call that is out may wait at discovery for news, in seconds. */
    public double mayWait() {
        return mayWait;
    }

    /**
     * When the call that is out is to be given up, or the next one to begin; infinite where neither
     * is to be.
     */
    public double due() {
        return due;
    }
}
