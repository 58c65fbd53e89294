package embershift.storage;

import java.io.IOException;

/**
 * Stored data is not what was written, or was written by a version this program can't read. The
 * process must not serve from it. The message is one line and begins with the file's name.
 */
public final class CorruptDataException extends IOException {

    private static final long serialVersionUID = 1;

    /** Creates an exception with a one-line message. */
    public CorruptDataException(String message) {
        super(message);
    }
}
