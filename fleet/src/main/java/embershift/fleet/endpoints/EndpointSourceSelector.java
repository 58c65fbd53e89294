package embershift.fleet.endpoints;

import java.util.function.DoubleSupplier;

/**
 * Decides whether a node goes by the endpoint list that the control plane publishes, or polls
 * discovery itself. A published list is used while discovery has confirmed it lately: whoever
 * passes it on gives the age of that confirmation and can't renew it. Times in seconds, by the
 * node's clock.
 */
public final class EndpointSourceSelector {

    /** Where a node has its list from. */
    public enum Source {
        /** The node polls discovery. */
        DISCOVERY,
        /** The node uses the published list and leaves discovery alone. */
        PUBLISHED
    }

    /**
     * Age of the confirmation from which the node polls discovery. With {@link #MAX_JITTER_SECONDS}
     * and two seconds for discovery's answer the node has a change six seconds after discovery had
     * it.
     */
    public static final double MAX_CONFIRMATION_AGE_SECONDS = 3;

    /** Longest random delay of the first poll, which keeps nodes from polling all at once. */
    private static final double MAX_JITTER_SECONDS = 1;

    /**
     * Time for which confirmations have to arrive without a gap until a node that polls discovery
     * uses the published list again.
     */
    private static final double RETURN_DELAY_SECONDS = 6;

    private final double silenceTimeout;
    private final double maxJitter;
    private final DoubleSupplier random;
    private Source source = Source.DISCOVERY;
    private double earliestConfirmation;
    private double confirmedAt = Double.NEGATIVE_INFINITY;
    private double updatedAt = Double.NEGATIVE_INFINITY;
    private double currentSince = Double.POSITIVE_INFINITY;
    private double pollAt = Double.POSITIVE_INFINITY;
    private double returnDelay;

    /**
     * Creates the selector of a node that starts and polls discovery.
     *
     * @param startedAt when the node's process started: earlier confirmations don't count
     * @param silenceTimeout time without an update after which the node polls discovery, if that is
     *     sooner than the age of the confirmation requires
     * @param maxJitter longest random delay of the first poll, if that is shorter than the rules
     *     allow
     * @param random supplies numbers from [0, 1), which differ between nodes
     */
    public EndpointSourceSelector(
            double startedAt, double silenceTimeout, double maxJitter, DoubleSupplier random) {
        earliestConfirmation = startedAt;
        this.silenceTimeout = silenceTimeout;
        this.maxJitter = Math.min(maxJitter, MAX_JITTER_SECONDS);
        this.random = random;
    }

    /**
     * An update of the published list was accepted, perhaps one without changes.
     *
     * @param confirmation when discovery last confirmed the list, or earlier
     */
    public void updateReceived(double now, double confirmation) {
        updatedAt = now;
        if (confirmation >= earliestConfirmation && confirmation <= now) {
            confirmedAt = Math.max(confirmedAt, confirmation);
        }
    }

    /**
     * The node is to go by another discovery from now on: it polls that, and what was confirmed
     * before doesn't count.
     */
    public void discoveryMoved(double now) {
        earliestConfirmation = now;
        confirmedAt = Double.NEGATIVE_INFINITY;
        currentSince = Double.POSITIVE_INFINITY;
        pollDiscovery();
    }

    /** Decides anew, and returns the source from now on. Call it several times a second. */
    public Source update(double now) {
        if (isCurrent(now)) {
            pollAt = Double.POSITIVE_INFINITY;
            currentSince = Math.min(currentSince, now);
            if (now - currentSince >= returnDelay) {
                source = Source.PUBLISHED;
            }
            return source;
        }
        currentSince = Double.POSITIVE_INFINITY;
        if (source == Source.PUBLISHED) {
            pollAt = Math.min(pollAt, now + maxJitter * random.getAsDouble());
            if (now >= pollAt) {
                pollDiscovery();
            }
        }
        return source;
    }

    private void pollDiscovery() {
        source = Source.DISCOVERY;
        pollAt = Double.POSITIVE_INFINITY;
        returnDelay = RETURN_DELAY_SECONDS;
    }

    private boolean isCurrent(double now) {
        return now - confirmedAt <= MAX_CONFIRMATION_AGE_SECONDS
                && now - updatedAt <= silenceTimeout;
    }

    /** Returns the source as decided last. */
    public Source source() {
        return source;
    }
}
