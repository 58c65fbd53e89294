package embershift.fleet.store;

/** The result of an executed command. */
public sealed interface CommandResult {

    /**
     * The command took effect.
     *
     * @param number the resulting revision, or the number of the session that was opened
     */
    record Done(long number) implements CommandResult {}

    /**
     * The command changed nothing. A transaction whose result is no longer kept, or whose session
     * is unknown, may have been executed before. Snapshots contain the messages of results that
     * sessions keep, so their texts are part of the replicated state.
     */
    record Rejected(Reason reason, String message) implements CommandResult {}

    /** Why a command was rejected. */
    enum Reason {
        /** A precondition does not hold. */
        PRECONDITION_FAILED(0),
        /** The session has ended, or never existed. */
        UNKNOWN_SESSION(1),
        /** A transaction with that number was executed, and its result is no longer kept. */
        RESULT_FORGOTTEN(2),
        /** A part of the command is too large. */
        TOO_LARGE(3),
        /** The store is full. */
        STORE_FULL(4),
        /** The command is malformed. */
        MALFORMED(5);

        private final int code;

        Reason(int code) {
            this.code = code;
        }

        /** Returns the number of this reason in snapshots. */
        public int code() {
            return code;
        }

        static Reason fromCode(int code) {
            for (Reason each : values()) {
                if (each.code == code) {
                    return each;
                }
            }
            throw new MalformedCommandException("a result of reason " + code);
        }
    }
}
