package embershift.fleet.store;

/** Identifies a client's session: the index of the log entry that opened it. */
public record SessionId(long number) {

    /** Stands for no session; a transaction without one is executed each time it is sent. */
    public static final SessionId NONE = new SessionId(0);
}
