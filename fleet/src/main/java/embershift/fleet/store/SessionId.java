package embershift.fleet.store;

/** Identifies a client's session: the index of the log entry that opened it. */
public record SessionId(long number) {

    /** Of a transaction that has no session: it is executed as often as it is sent. */
    public static final SessionId NONE = new SessionId(0);
}
