package embershift.fleet.store;

/** The result of a command that was executed. */
public sealed interface CommandResult {

    /**
     * The command took effect.
     *
     * @param number the revision after it, or the number of the session that it opened
     */
    record Done(long number) implements CommandResult {}

    /**
     * The command changed nothing. One whose result is forgotten, or whose session is unknown, may
     * have been executed before.
     */
    record Rejected(Reason reason, String message) implements CommandResult {}

    /** Why a command was rejected. */
    enum Reason {
        /** A precondition does not hold. */
        PRECONDITION_FAILED(0),
        /** The session has ended, or never was. */
        UNKNOWN_SESSION(1),
        /** A transaction of that number was executed, and its result is not kept any more. */
        RESULT_FORGOTTEN(2),
        /** A part of the command is too large. */
        TOO_LARGE(3),
        /** The store is full. */
        STORE_FULL(4),
        /** The command can't be read. */
        MALFORMED(5);

        private final int code;

        Reason(int code) {
            this.code = code;
        }

        /** Returns the number that stands for this reason in snapshots. */
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
