package embershift.model;

/**
 * Where a node's decisions go, each taking effect at once, in the order written. Times are seconds.
 */
public interface Decisions {

    /** The next setup of this tunnel, numbered 0, 1, 2 in the order sent. */
    void sendSetup(TunnelId id, HostId host, double timeout);

    void cancelSetup(TunnelId id, int setup);

    /**
     * Final answer: not taken, trying again is harmless; 0 gives no advice on when to return. The
     * reason is only counted.
     */
    void decline(TunnelId id, double retryAfter, DeclineReason reason);

    /** Final answer: failed, with no promise about its effect. */
    void closeWithError(TunnelId id);

    /** Ends a standing tunnel politely; its client comes again. */
    void move(TunnelId id);

    void probe(HostId host);

    void closeIdle(HostId host);

    void watchRoster(boolean enabled);

    void requestRoster();

    void sendToNode(int node, byte[] content);

    void sendToAllNodes(byte[] content);

    /** Asks for a round no earlier than this, even if there is no news by then. */
    void wakeAfter(double delay);

    /** A line for the operators. */
    void logForOperators(String line);
}
