package embershift.storage;

import java.io.IOException;

/** The disk takes no more just now: nothing was harmed, and the same may be tried again. */
public final class NoRoom extends IOException {

    private static final long serialVersionUID = 1;

    public NoRoom(String message, Throwable cause) {
        super(message, cause);
    }
}
