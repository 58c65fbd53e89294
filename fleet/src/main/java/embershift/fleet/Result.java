package embershift.fleet;

/**
 * What became of a command. {@code number}: the revision after it, or the session that it opened.
 * {@code why}: the reason of a refusal, else null; a command that was refused has changed nothing,
 * but for one that was {@code FORGOTTEN}, or whose session has ended: it may have been carried out
 * before.
 */
public record Result(Why why, long number, String text) {

    public enum Why {
        CONDITION,
        NO_SESSION,
        FORGOTTEN,
        TOO_LARGE,
        FULL,
        UNREADABLE
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
