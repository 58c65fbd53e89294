package embershift.fleet;

/**
 * What became of a command. {@code number}: the revision after it, or the session that it opened.
 * {@code why}: the reason of a refusal, else null; a command that was refused has changed nothing,
 * but for one that was {@code FORGOTTEN}, or whose session has ended: it may have been carried out
 * before.
 */
public record Result(Why why, long number, String text) {

    public enum Why {
        CONDITION(0),
        NO_SESSION(1),
        FORGOTTEN(2),
        TOO_LARGE(3),
        FULL(4),
        UNREADABLE(5);

        private final int code;

        Why(int code) {
            this.code = code;
        }

        /** The number that stands for it in messages and on disk. */
        public int code() {
            return code;
        }

        static Why of(int code) {
            for (Why each : values()) {
                if (each.code == code) {
                    return each;
                }
            }
            throw new RecordCodec.Unreadable("a result of reason " + code);
        }
    }

    static Result done(long number) {
        return new Result(null, number, "");
    }

    static Result refused(Why why, String text) {
        return new Result(why, 0, text);
    }

    public boolean done() {
        return why == null;
    }
}
