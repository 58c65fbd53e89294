package embershift.fleet;

import java.util.List;

/** What changes the record. */
public sealed interface Command {

    /** Opens a session that ends when nothing is heard of its client for so many seconds. */
    record Open(String client, double seconds) implements Command {}

    /** Ends a session; what is bound to it goes. */
    record End(SessionId session) implements Command {}

    /**
     * All writes, or none where a condition does not hold. {@code number}: of the session's
     * commands, from 1 on; sent again, it is answered as before. {@code open}: the lowest number
     * that the client may still send again.
     */
    record Change(
            SessionId session,
            long number,
            long open,
            List<Condition> conditions,
            List<Write> writes)
            implements Command {}
}
