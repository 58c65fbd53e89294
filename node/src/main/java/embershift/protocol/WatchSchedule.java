package embershift.protocol;

import java.util.function.DoubleSupplier;

/**
 * Timing of a watch at discovery: when a call begins, how long it may wait there for news, when it
 * is given up and when the next one begins. A watch is a sequence of long-polling calls on one
 * persistent connection. This class uses no sockets and no clock: its callers pass in the time, in
 * seconds, and what has happened, and act again at {@link #nextActionAt}.
 *
 * <p>The node must know what discovery has within six seconds after discovery became reachable,
 * whatever happened to earlier calls. A call that begins while discovery is reachable is answered
 * within two seconds, or ended by discovery with status 503. The next call therefore begins at the
 * latest {@link #MAX_CALL_INTERVAL} after the previous one began, however and whenever that failed.
 */
public final class WatchSchedule {

    /** Maximum seconds between the starts of a call without result and of the next call. */
    static final double MAX_CALL_INTERVAL = 3.8;

    /**
     * Fraction by which the interval is randomly shortened at most, so that nodes whose calls
     * coincide drift apart.
     */
    private static final double JITTER = 0.05;

    /**
     * Number of failures in a row up to which the wide jitter applies, so that nodes that lost
     * discovery at the same time do not return at the same time.
     */
    private static final int WIDE_JITTER_FAILURES = 2;

    private static final double WIDE_JITTER = 0.42;

    /** Seconds that a call on a persistent connection may wait for changes at discovery. */
    public static final double MAX_WAIT = 3.0;

    /** Maximum seconds that a call on a new connection may wait for changes at discovery. */
    private static final double MAX_FIRST_WAIT = 1.6;

    /** Seconds reserved for a call on a new connection that has to queue at discovery first. */
    private static final double QUEUEING_RESERVE = 2.0;

    /**
     * Seconds before the next call after an early answer without changes; a watch allows 0.2
     * seconds.
     */
    private static final double EARLY_ANSWER_PAUSE = 0.1;

    /** Mean delay in seconds of the first early retry after a failure. */
    private static final double FIRST_RETRY_DELAY = 0.5;

    /** Factor by which the delay of early retries grows with each further failure. */
    private static final double RETRY_DELAY_GROWTH = 3;

    /** Seconds for which calls are urgent, if none of them is answered before. */
    private static final double URGENT_SECONDS = 4.0;

    /**
     * Maximum seconds between the starts of the first urgent call without an answer and of the next
     * one, which is still answered within {@link #URGENT_SECONDS}.
     */
    private static final double MAX_URGENT_CALL_INTERVAL = 1.9;

    /** Factor by which the delay of urgent retries grows with each further failure. */
    private static final double URGENT_RETRY_DELAY_GROWTH = 1.5;

    private final boolean retriesEarly;
    private final DoubleSupplier random;
    private final double longestWait;
    private boolean calling;
    private double callStartedAt;
    private double randomFraction;
    private double callInterval;
    private double maxWait;
    private double nextActionAt = Double.POSITIVE_INFINITY;
    private int failures;
    private double urgentUntil = Double.NEGATIVE_INFINITY;

    /** Whether the latest call began while calls were urgent. */
    private boolean isCallUrgent;

    /** Whether an urgent call has timed out; later ones get the timeout of any call. */
    private boolean hasGivenUpUrgentCall;

    /**
     * Creates a schedule.
     *
     * @param retriesEarly whether the schedule itself retries a failed call earlier than it must;
     *     true if nobody else does
     * @param random supplies numbers from [0, 1), which differ between nodes
     */
    public WatchSchedule(boolean retriesEarly, DoubleSupplier random) {
        this(retriesEarly, random, MAX_WAIT);
    }

    /**
     * Creates a schedule with shorter calls.
     *
     * @param longestWait seconds that a call may wait for changes at discovery
     */
    public WatchSchedule(boolean retriesEarly, DoubleSupplier random, double longestWait) {
        this.retriesEarly = retriesEarly;
        this.random = random;
        this.longestWait = longestWait;
    }

    /**
     * Makes the next calls urgent, until one of them is answered or a few seconds have passed: the
     * node has to know soon what discovery lists, as after a start or a change of its address.
     * Urgent calls must ask for the complete list, which is answered without waiting for changes.
     */
    public void beginUrgentCalls(double now) {
        urgentUntil = now + URGENT_SECONDS;
        hasGivenUpUrgentCall = false;
        failures = 0;
    }

    /**
     * A call begins.
     *
     * @param persistent whether the connection has already delivered an answer
     */
    public void callStarted(double now, boolean persistent) {
        calling = true;
        callStartedAt = now;
        randomFraction = random.getAsDouble();
        isCallUrgent = now < urgentUntil;
        boolean hasWideJitter = !isCallUrgent && failures > 0 && failures <= WIDE_JITTER_FAILURES;
        boolean isImpatient = isCallUrgent && !hasGivenUpUrgentCall;
        double maxInterval =
                isImpatient
                        ? MAX_URGENT_CALL_INTERVAL
                        : Math.min(MAX_CALL_INTERVAL, longestWait + QUEUEING_RESERVE);
        callInterval =
                maxInterval * (1 - (hasWideJitter ? WIDE_JITTER : JITTER) * (1 - randomFraction));
        double firstWait = Math.min(MAX_FIRST_WAIT, callInterval - QUEUEING_RESERVE);
        maxWait = persistent ? longestWait : Math.max(0, Math.min(firstWait, longestWait));
        nextActionAt = now + (persistent && !isImpatient ? maxInterval : callInterval);
    }

    /** The current call has failed, was refused or was given up. */
    public void callFailed(double now) {
        calling = false;
        hasGivenUpUrgentCall |= isCallUrgent && now >= nextActionAt;
        double growth = isCallUrgent ? URGENT_RETRY_DELAY_GROWTH : RETRY_DELAY_GROWTH;
        double delay =
                retriesEarly || isCallUrgent
                        ? FIRST_RETRY_DELAY * Math.pow(growth, failures) * (0.5 + randomFraction)
                        : MAX_CALL_INTERVAL;
        nextActionAt = Math.max(now, Math.min(now + delay, callStartedAt + callInterval));
        failures++;
    }

    /**
     * The current call was answered, and the watch continues.
     *
     * @param changed whether the answer contained changes
     */
    public void callAnswered(double now, boolean changed) {
        calling = false;
        failures = 0;
        urgentUntil = Double.NEGATIVE_INFINITY;
        // Guards against a discovery that does not wait: calls would follow as fast as it answers.
        nextActionAt = changed || !isEarly(now) ? now : now + EARLY_ANSWER_PAUSE;
    }

    /** Returns whether an answer now comes long before a call without changes would end. */
    public boolean isEarly(double now) {
        return now < callStartedAt + maxWait / 2;
    }

    /** Stops the watch until the next call begins. */
    public void stop() {
        calling = false;
        nextActionAt = Double.POSITIVE_INFINITY;
    }

    /** Returns whether a call is in progress. */
    public boolean isCalling() {
        return calling;
    }

    /** Returns the seconds that the current call may wait for changes at discovery. */
    public double maxWait() {
        return maxWait;
    }

    /**
     * Returns the time at which the current call is to be given up or, if there is none, the next
     * one is to begin; infinite while stopped.
     */
    public double nextActionAt() {
        return nextActionAt;
    }
}
