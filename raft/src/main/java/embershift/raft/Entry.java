package embershift.raft;

/** One place of the log. {@code data} belongs to it from now on: nobody may change it. */
public record Entry(long index, long term, Kind kind, byte[] data) {

    /**
     * A command of the state machine; the members from here on; or nothing, as at the beginning of
     * a term.
     */
    public enum Kind {
        COMMAND,
        MEMBERS,
        NOTHING
    }

    /** Bytes that its place costs beside its data. */
    public static final int COST = 32;

    public int cost() {
        return COST + data.length;
    }
}
