package embershift.adapter;

/**
 * A line on the wire that can't be read; the message names the line, the field and what was
 * expected.
 */
public final class UnreadableLine extends RuntimeException {

    private static final int SHOWN = 120;

    private static final long serialVersionUID = 1;

    UnreadableLine(long number, String line, String field, String expected) {
        super(
                "line "
                        + number
                        + ": "
                        + field
                        + ": expected "
                        + expected
                        + " in: "
                        + (line.length() <= SHOWN ? line : line.substring(0, SHOWN) + "..."),
                null,
                false,
                false);
    }
}
