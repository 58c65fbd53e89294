package embershift.protocol;

/** What was received can't be read; the message says plainly what is wrong with it. */
public final class MalformedDataException extends Exception {

    private static final long serialVersionUID = 1;

    public MalformedDataException(String message) {
        super(message, null, false, false);
    }
}
