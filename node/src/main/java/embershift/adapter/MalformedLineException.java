package embershift.adapter;

/**
 * Thrown when an input line cannot be parsed; the message names the line, the field and what was
 * expected.
 */
public final class MalformedLineException extends RuntimeException {

    private static final int MAX_SHOWN_CHARS = 120;

    private static final long serialVersionUID = 1;

    MalformedLineException(long number, String line, String field, String expected) {
        super(
                "line "
                        + number
                        + ": "
                        + field
                        + ": expected "
                        + expected
                        + " in: "
                        + (line.length() <= MAX_SHOWN_CHARS
                                ? line
                                : line.substring(0, MAX_SHOWN_CHARS) + "..."),
                null,
                false,
                false);
    }
}
