package embershift.storage;

import java.io.IOException;

/**
 * What is on disk can't be what was written there: nothing may be served by it. The message is one
 * line.
 */
public final class Damaged extends IOException {

    private static final long serialVersionUID = 1;

    public Damaged(String message) {
        super(message);
    }
}
