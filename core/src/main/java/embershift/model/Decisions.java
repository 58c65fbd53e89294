package embershift.model;

/**
 * Receives a node's decisions. Each takes effect at once, in the order of the calls. Times are in
 * seconds.
 */
public interface Decisions {

    /**
     * Sends the next setup of this tunnel; setups are numbered 0, 1, 2 in the order sent. A {@code
     * timeout} of 0 stands for no timeout but the client's.
     */
    void sendSetup(TunnelId id, HostId host, double timeout);

    /** Gives up a setup that has not ended; its end is then reported as an event. */
    void cancelSetup(TunnelId id, int setup);

    /**
     * Final answer: the tunnel was not taken, and trying again is harmless. A {@code retryAfter} of
     * 0 gives no advice on when to retry. The reason is only counted.
     */
    void decline(TunnelId id, double retryAfter, DeclineReason reason);

    /** Final answer: the tunnel failed, with no promise about its effect. */
    void closeWithError(TunnelId id);

    /** Closes an open tunnel gracefully, so that its client reconnects. */
    void move(TunnelId id);

    /** Asks the host for a load report. */
    void probe(HostId host);

    /** Closes the connection that is kept open for probes of the host, if there is one. */
    void closeIdle(HostId host);

    /** Starts or stops watching the roster for changes. */
    void watchRoster(boolean enabled);

    /** Requests the complete roster once. */
    void requestRoster();

    /** Sends a message to one other node; it may be lost. */
    void sendToNode(int node, byte[] content);

    /** Sends a message to all other nodes; it may be lost. */
    void sendToAllNodes(byte[] content);

    /** Requests a round after this delay, even if no event has arrived by then. */
    void wakeAfter(double delay);

    /** Writes a line to the operators' log. */
    void logForOperators(String line);
}
