package embershift.raft;

/** Bytes are not an encoding that this program knows. The message is one line. */
public final class MalformedBytesException extends IllegalArgumentException {

    private static final long serialVersionUID = 1;

    /** Creates an exception with a one-line message. */
    public MalformedBytesException(String message) {
        super(message);
    }
}
