package embershift.raft;

/**
 * An entry of the log.
 *
 * @param index its position in the log, starting at 1
 * @param term the term of the leader that appended it
 * @param data owned by the entry: must not be modified
 */
public record LogEntry(long index, long term, Kind kind, byte[] data) {

    /** The type of an entry. */
    public enum Kind {
        /** A command for the state machine. */
        COMMAND(0),
        /** The membership of the group from this entry on. */
        MEMBERSHIP(1),
        /** No content: a leader appends one at the start of its term. */
        NO_OP(2);

        private final int code;

        Kind(int code) {
            this.code = code;
        }

        /** Returns the code of this kind in messages and on disk. */
        public int code() {
            return code;
        }

        static Kind fromCode(int code) {
            for (Kind each : values()) {
                if (each.code == code) {
                    return each;
                }
            }
            throw new MalformedBytesException("unknown log entry kind " + code);
        }
    }

    /** The size of an entry in addition to its data, in bytes. */
    public static final int OVERHEAD_BYTES = 32;

    /** Returns the size that counts against limits, in bytes. */
    public int sizeBytes() {
        return OVERHEAD_BYTES + data.length;
    }
}
