package embershift.fleet.lease;

import embershift.fleet.store.Mutation;
import embershift.fleet.store.Precondition;
import embershift.fleet.store.SessionId;
import embershift.fleet.store.StoreCommand;
import java.util.List;

/** The transactions by which leases are granted and released; their preconditions decide. */
public final class LeaseCommands {

    private LeaseCommands() {}

    /** Acquires a lease that nobody holds. The revision after it is the fencing token. */
    public static StoreCommand.Transaction acquire(
            SessionId session, long sequenceNumber, TaskId task, String holder) {
        return transaction(
                session,
                sequenceNumber,
                new Precondition(task.holderKey(), Precondition.ABSENT),
                grant(task, holder));
    }

    /** Releases a lease; rejected if it was lost meanwhile. */
    public static StoreCommand.Transaction release(
            SessionId session, long sequenceNumber, TaskId task, FencingToken token) {
        return transaction(
                session,
                sequenceNumber,
                new Precondition(task.holderKey(), token.number()),
                List.of(Mutation.delete(task.holderKey())));
    }

    /**
     * Passes a lease on from the holder of {@code from} to another session at once. The revision
     * after it is the fencing token.
     */
    public static StoreCommand.Transaction takeOver(
            SessionId session, long sequenceNumber, TaskId task, String holder, FencingToken from) {
        return transaction(
                session,
                sequenceNumber,
                new Precondition(task.holderKey(), from.number()),
                grant(task, holder));
    }

    /** Records progress; rejected to whoever has an earlier token than the latest. */
    public static StoreCommand.Transaction recordProgress(
            SessionId session,
            long sequenceNumber,
            TaskId task,
            FencingToken token,
            String progress) {
        return transaction(
                session,
                sequenceNumber,
                new Precondition(task.tokenKey(), token.number()),
                List.of(Mutation.put(task.progressKey(), progress)));
    }

    private static List<Mutation> grant(TaskId task, String holder) {
        return List.of(
                Mutation.putSessionBound(task.holderKey(), holder),
                Mutation.put(task.tokenKey(), holder));
    }

    private static StoreCommand.Transaction transaction(
            SessionId session,
            long sequenceNumber,
            Precondition precondition,
            List<Mutation> mutations) {
        return new StoreCommand.Transaction(
                session, sequenceNumber, sequenceNumber, List.of(precondition), mutations);
    }
}
