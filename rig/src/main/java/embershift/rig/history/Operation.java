package embershift.rig.history;

/**
 * One call on a key, as its caller saw it. Times by one clock; {@code ended} is infinite while it
 * is unknown what became of it. {@code expected}: what a compare-and-set wants to find, or null;
 * {@code value}: what was written, or what a read found, null for nothing.
 */
public record Operation(
        int caller,
        Kind kind,
        String key,
        String expected,
        String value,
        double began,
        double ended,
        End end) {

    public enum Kind {
        READ,
        PUT,
        SWAP
    }

    /** Refused: it found another value than it wanted. What was never sent on is in no history. */
    public enum End {
        DONE,
        REFUSED,
        UNKNOWN
    }
}
