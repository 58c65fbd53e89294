package embershift.door;

/**
 * Identifies this node's process to the control plane: its name, a random number drawn at its
 * start, and the incarnation that an instance assigns. An incarnation is requested from one
 * instance at a time, as two instances would assign two.
 */
final class Registration {

    /** Stands for an incarnation that is not known yet, also in messages. */
    static final long UNKNOWN_INCARNATION = 0;

    private final String nodeName;
    private final String bootId;
    private long incarnation = UNKNOWN_INCARNATION;
    private InstanceConnection registrar;

    Registration(String nodeName, String bootId) {
        this.nodeName = nodeName;
        this.bootId = bootId;
    }

    String nodeName() {
        return nodeName;
    }

    String bootId() {
        return bootId;
    }

    long incarnation() {
        return incarnation;
    }

    boolean isRegistered() {
        return incarnation != UNKNOWN_INCARNATION;
    }

    /** Whether a handshake may be sent on this connection now. */
    boolean mayHandshake(InstanceConnection connection) {
        return isRegistered() || registrar == null || registrar == connection;
    }

    void handshakeSent(InstanceConnection connection) {
        if (!isRegistered()) {
            registrar = connection;
        }
    }

    void registered(long assignedIncarnation) {
        if (!isRegistered()) {
            incarnation = assignedIncarnation;
            registrar = null;
        }
    }

    /**
     * Called when a connection is lost; returns whether another one may now request an incarnation.
     */
    boolean connectionLost(InstanceConnection connection) {
        if (registrar != connection) {
            return false;
        }
        registrar = null;
        return true;
    }
}
