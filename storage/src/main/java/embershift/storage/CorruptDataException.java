package embershift.storage;

import java.io.IOException;

/**
 * Thrown when stored data is not what was written, or has an unsupported version. The process must
 * not serve from it. The message is one line; in this module it begins with the file's name.
 */
public final class CorruptDataException extends IOException {

    private static final long serialVersionUID = 1;

    /** Creates an exception with a one-line message. */
    public CorruptDataException(String message) {
        super(message);
    }
}
