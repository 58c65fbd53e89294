package embershift.raft;

/**
 * An entry of the log.
 *
 * @param index its position, from 1 on
 * @param term the term of the leader that appended it
 * @param data belongs to the entry from now on: nobody may change it
 */
public record LogEntry(long index, long term, Kind kind, byte[] data) {

    /** What an entry is for. */
    public enum Kind {
        /** A command of the state machine. */
        COMMAND(0),
        /** The membership of the group from this entry on. */
        MEMBERSHIP(1),
        /** Nothing: a leader appends one at the beginning of its term. */
        NO_OP(2);

        private final int code;

        Kind(int code) {
            this.code = code;
        }

        /** Returns the number that stands for this kind in messages and on disk. */
        public int code() {
            return code;
        }

        static Kind fromCode(int code) {
            for (Kind each : values()) {
                if (each.code == code) {
                    return each;
                }
            }
            throw new MalformedBytesException("an entry of kind " + code);
        }
    }

    /** What an entry costs beside its data, in bytes. */
    public static final int OVERHEAD_BYTES = 32;

    /** Returns what this entry counts for against limits, in bytes. */
    public int sizeBytes() {
        return OVERHEAD_BYTES + data.length;
    }
}
