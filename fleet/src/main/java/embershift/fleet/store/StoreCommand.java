package embershift.fleet.store;

import java.util.List;

/** A command that changes the store, once it is committed. */
public sealed interface StoreCommand {

    /**
     * Opens a session.
     *
     * @param client a name for people
     * @param timeoutSeconds after which the session ends if nothing is heard of its client
     */
    record OpenSession(String client, double timeoutSeconds) implements StoreCommand {}

    /** Ends a session and deletes the keys bound to it. */
    record EndSession(SessionId session) implements StoreCommand {}

    /**
     * Executes all mutations, or none if a precondition does not hold.
     *
     * @param sequenceNumber of the session's transactions, from 1 on; if it is sent again, it gets
     *     the result of the first time
     * @param oldestOpenNumber the lowest number that the client may still send again
     */
    record Transaction(
            SessionId session,
            long sequenceNumber,
            long oldestOpenNumber,
            List<Precondition> preconditions,
            List<Mutation> mutations)
            implements StoreCommand {}
}
