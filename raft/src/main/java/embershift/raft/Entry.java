package embershift.raft;

/** One place of the log. {@code data} belongs to it from now on: nobody may change it. */
public record Entry(long index, long term, Kind kind, byte[] data) {

    /**
     * A command of the state machine; the members from here on; or nothing, as at the beginning of
     * a term.
     */
    public enum Kind {
        COMMAND(0),
        MEMBERS(1),
        NOTHING(2);

        private final int code;

        Kind(int code) {
            this.code = code;
        }

        /** The number that stands for it in messages and on disk. */
        public int code() {
            return code;
        }

        static Kind of(int code) {
            for (Kind each : values()) {
                if (each.code == code) {
                    return each;
                }
            }
            throw new Codec.Unreadable("an entry of kind " + code);
        }
    }

    /** Bytes that its place costs beside its data. */
    public static final int COST = 32;

    public int cost() {
        return COST + data.length;
    }
}
