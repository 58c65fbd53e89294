package embershift.fleet.store;

import java.util.List;

/** A command that changes the store once it is committed. */
public sealed interface StoreCommand {

    /**
     * Opens a session.
     *
     * @param client a name for operators
     * @param timeoutSeconds time without a call of its client after which the session ends
     */
    record OpenSession(String client, double timeoutSeconds) implements StoreCommand {}

    /** Ends a session and deletes the keys bound to it. */
    record EndSession(SessionId session) implements StoreCommand {}

    /**
     * Executes all mutations, or none if a precondition does not hold.
     *
     * @param sequenceNumber number within the session, from 1 on; a transaction that is sent again
     *     gets the result of the first execution
     * @param oldestOpenNumber the lowest sequence number that the client may still resend
     */
    record Transaction(
            SessionId session,
            long sequenceNumber,
            long oldestOpenNumber,
            List<Precondition> preconditions,
            List<Mutation> mutations)
            implements StoreCommand {}
}
