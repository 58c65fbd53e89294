package embershift.emulator.world;

/**
 * Who sees a day from outside: what clients and hosts saw, what the roster delivered and what
 * passed on the wire, never what a node says of itself. Times are seconds of the day; tunnels,
 * nodes and hosts go by their names.
 */
public interface Witness {

    /** A client's line has reached a node that runs; it waits until {@code patienceEnds}. */
    void taken(double at, String tunnel, String node, int profile, double patienceEnds);

    /** How a client's try ended for it. */
    enum Answer {
        OPENED,
        DECLINED,
        CLOSED_WITH_ERROR
    }

    /** A final answer has reached the client. */
    void answered(double at, String tunnel, Answer answer);

    /**
     * The client's wait is over without an answer; {@code excused} where its node died, stood still
     * or was cut off.
     */
    void gaveUp(double at, String tunnel, boolean excused);

    /** A node has sent a setup's first byte to a host. */
    void sent(double at, String tunnel, String node, String host);

    /** A node has ended its side of that setup on the wire, or was told its end. */
    void closed(double at, String tunnel, String host);

    /** A host began to run a tunnel's setup. */
    void ran(double at, String tunnel, String host, String zone, int cell);

    /**
     * A node was told that a host drains or is gone; or, {@code not wanted any more}, that it takes
     * tunnels again.
     */
    void told(double at, String node, String host, boolean unwanted);

    /** A new process runs under this node's name, or none does. */
    void nodeChanged(double at, String node, boolean runs);

    /**
     * A host that had just started was pushed over: by so many setups a second, where so many are
     * allowed.
     */
    void pushedOver(double at, String host, double rate, double allowed);
}
