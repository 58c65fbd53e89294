package embershift.protocol;

import java.util.function.DoubleSupplier;

/**
 * When a watch at discovery calls, how long a call may wait there, when it is given up and when the
 * next one begins. A watch is a chain of calls, one after the other on a kept connection. Has no
 * sockets and no clock: it is fed the time, in seconds, and what has happened, and says by {@link
 * #nextActionAt} when it has to be looked at again.
 *
 * <p>What discovery has counts as told six seconds after it could be reached, whatever became of
 * the calls before. A call that begins once it can be reached is answered within two seconds, or
 * ended by discovery with 503; so the next call after any other begins {@link #MAX_CALL_INTERVAL}
 * after that one's beginning at the latest, however and whenever it failed.
 */
public final class WatchSchedule {

    /**
     * Seconds from the beginning of a call that brings nothing to that of the next, at the most.
     */
    static final double MAX_CALL_INTERVAL = 3.8;

    /**
     * Part of that by which it is less by chance, so that nodes which call together don't do so for
     * long.
     */
    private static final double JITTER = 0.05;

    /**
     * Failures after which it is so by far more: nodes that lost discovery together are not to come
     * back together.
     */
    private static final int WIDE_JITTER_FAILURES = 2;

    private static final double WIDE_JITTER = 0.42;

    /**
     * Seconds that a call which goes on with a watch may wait for news at discovery, and that
     * others may at the most.
     */
    private static final double MAX_WAIT = 3.0;

    private static final double MAX_FIRST_WAIT = 1.6;

    /** Seconds left to a call that has to wait for its turn first. */
    private static final double QUEUEING_RESERVE = 2.0;

    /**
     * Seconds between two calls where the first was answered at once with nothing new; a watch
     * allows 0.2.
     */
    private static final double EARLY_ANSWER_PAUSE = 0.1;

    /**
     * Seconds until a watch that goes on by itself begins again after its first failure, and their
     * growth at each further.
     */
    private static final double FIRST_RETRY_DELAY = 0.5;

    private static final double RETRY_DELAY_GROWTH = 3;

    private final boolean retriesEarly;
    private final DoubleSupplier random;
    private boolean calling;
    private double callStartedAt;
    private double randomFraction;
    private double callInterval;
    private double maxWait;
    private double nextActionAt = Double.POSITIVE_INFINITY;
    private int failures;

    /**
     * {@code byItself}: nobody else has calls begin sooner after a failure than they have to.
     * {@code chance} gives numbers from [0, 1), others at each node.
     */
    public WatchSchedule(boolean retriesEarly, DoubleSupplier random) {
        this.retriesEarly = retriesEarly;
        this.random = random;
    }

    /** A call begins, {@code kept}: on a connection that has brought an answer already. */
    public void callStarted(double now, boolean kept) {
        calling = true;
        callStartedAt = now;
        randomFraction = random.getAsDouble();
        callInterval =
                MAX_CALL_INTERVAL
                        * (1
                                - (failures > 0 && failures <= WIDE_JITTER_FAILURES
                                                ? WIDE_JITTER
                                                : JITTER)
                                        * (1 - randomFraction));
        maxWait = kept ? MAX_WAIT : Math.min(MAX_FIRST_WAIT, callInterval - QUEUEING_RESERVE);
        nextActionAt = now + (kept ? MAX_CALL_INTERVAL : callInterval);
    }

    /** The call that was out has failed, was refused or given up. */
    public void callFailed(double now) {
        calling = false;
        double pause =
                retriesEarly
                        ? FIRST_RETRY_DELAY
                                * Math.pow(RETRY_DELAY_GROWTH, failures)
                                * (0.5 + randomFraction)
                        : MAX_CALL_INTERVAL;
        nextActionAt = Math.max(now, Math.min(now + pause, callStartedAt + callInterval));
        failures++;
    }

    /**
     * The call that was out was answered, {@code changed}: with something new; the watch goes on.
     */
    public void callAnswered(double now, boolean changed) {
        calling = false;
        failures = 0;
        // Guards against a discovery that does not wait: calls would come as fast as it answers.
        nextActionAt = changed || !isEarly(now) ? now : now + EARLY_ANSWER_PAUSE;
    }

    /** Whether an answer that comes now has come long before a call without news would end. */
    public boolean isEarly(double now) {
        return now < callStartedAt + maxWait / 2;
    }

    /** Nothing is to be called for the time being. */
    public void stop() {
        calling = false;
        nextActionAt = Double.POSITIVE_INFINITY;
    }

    /** Whether a call is out. */
    public boolean isCalling() {
        return calling;
    }

    /** How long the call that is out may wait at discovery for news, in seconds. */
    public double maxWait() {
        return maxWait;
    }

    /**
     * When the call that is out is to be given up, or the next one to begin; infinite where neither
     * is to be.
     */
    public double nextActionAt() {
        return nextActionAt;
    }
}
