package embershift.protocol;

/** Thrown when received data cannot be parsed; the message states what is wrong with it. */
public final class MalformedDataException extends Exception {

    private static final long serialVersionUID = 1;

    /** Creates an exception without a stack trace, as it describes the data and not the program. */
    public MalformedDataException(String message) {
        super(message, null, false, false);
    }
}
