package embershift.storage;

import java.io.IOException;

/**
 * The disk accepts no more data for now. No stored data is damaged, and the write may be retried.
 */
public final class OutOfSpaceException extends IOException {

    private static final long serialVersionUID = 1;

    /** Creates an exception; {@code cause} is null if there is none. */
    public OutOfSpaceException(String message, Throwable cause) {
        super(message, cause);
    }
}
