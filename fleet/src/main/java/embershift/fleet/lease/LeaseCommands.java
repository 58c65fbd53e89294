package embershift.fleet.lease;

import embershift.fleet.store.Mutation;
import embershift.fleet.store.Precondition;
import embershift.fleet.store.SessionId;
import embershift.fleet.store.StoreCommand;
import java.util.List;

/**
 * Transactions that grant and release leases. Their preconditions ensure that a lease has one
 * holder.
 */
public final class LeaseCommands {

    private LeaseCommands() {}

    /** Acquires a lease that nobody holds. The resulting store revision is the fencing token. */
    public static StoreCommand.Transaction acquire(
            SessionId session, long sequenceNumber, TaskId task, String holder) {
        return transaction(
                session,
                sequenceNumber,
                new Precondition(task.holderKey(), Precondition.ABSENT),
                grant(task, holder));
    }

    /** Releases a lease; rejected if the lease was lost in the meantime. */
    public static StoreCommand.Transaction release(
            SessionId session, long sequenceNumber, TaskId task, FencingToken token) {
        return transaction(
                session,
                sequenceNumber,
                new Precondition(task.holderKey(), token.number()),
                List.of(Mutation.delete(task.holderKey())));
    }

    /**
     * Transfers a lease from the holder with the token {@code from} to another session in one
     * transaction. The resulting store revision is the fencing token.
     */
    public static StoreCommand.Transaction takeOver(
            SessionId session, long sequenceNumber, TaskId task, String holder, FencingToken from) {
        return transaction(
                session,
                sequenceNumber,
                new Precondition(task.holderKey(), from.number()),
                grant(task, holder));
    }

    /** Records progress; rejected if the token is not the latest. */
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
