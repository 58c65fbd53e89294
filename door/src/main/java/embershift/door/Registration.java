package embershift.door;

/**
 * Which process this node is to the control plane: its name, a number drawn at its start, and the
 * incarnation that an instance gives it. Only one instance is asked for an incarnation at a time:
 * two would give two.
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

    void registered(long givenIncarnation) {
        if (!isRegistered()) {
            incarnation = givenIncarnation;
            registrar = null;
        }
    }

    /** Tells of a lost connection; returns whether another one may ask for an incarnation now. */
    boolean connectionLost(InstanceConnection connection) {
        if (registrar != connection) {
            return false;
        }
        registrar = null;
        return true;
    }
}
