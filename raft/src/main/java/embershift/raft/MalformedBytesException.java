package embershift.raft;

/** Thrown when bytes are not a valid encoding. The message is one line. */
public final class MalformedBytesException extends IllegalArgumentException {

    private static final long serialVersionUID = 1;

    /** Creates an exception with a one-line message. */
    public MalformedBytesException(String message) {
        super(message);
    }
}
