package embershift.fleet.store;

/** Bytes are no command or snapshot that this program knows. The message is one line. */
public final class MalformedCommandException extends IllegalArgumentException {

    private static final long serialVersionUID = 1;

    MalformedCommandException(String message) {
        super(message);
    }
}
