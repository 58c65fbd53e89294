package embershift.fleet;

/** A client's session: the place of the log that opened it. */
public record SessionId(long number) {

    /** Of a command that may be carried out as often as it is sent. */
    public static final SessionId NONE = new SessionId(0);
}
