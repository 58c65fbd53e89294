package embershift.fleet.store;

/**
 * Thrown when bytes are not a command or snapshot of a supported version. The message is one line.
 */
public final class MalformedCommandException extends IllegalArgumentException {

    private static final long serialVersionUID = 1;

    MalformedCommandException(String message) {
        super(message);
    }
}
