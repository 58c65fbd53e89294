package embershift.raft;

import java.util.Optional;

/**
 * The services and callbacks that a {@link Raft} member needs. Called from within the member's
 * methods; implementations must not call back into it.
 */
public interface RaftEnvironment {

    /**
     * Sends a message. The transport may lose, delay, duplicate or reorder it, but must neither
     * alter it nor deliver it to a later process of the receiver.
     */
    void send(MemberId to, RaftMessage message);

    /** Writes to disk; the environment must report each request to {@link Raft#writesCompleted}. */
    void persist(WriteRequest request);

    /**
     * Called once all state that may have been lost is durable again. Until that is recorded on
     * disk too, the member is untrusted after a restart.
     */
    void stateTrusted();

    /** Called for each committed entry, once and in order, after the last restored snapshot. */
    void committed(LogEntry entry);

    /** Called when the state machine must load the state of a snapshot. */
    void restored(Snapshot snapshot);

    /**
     * Allows a read to be answered once the state machine has applied the entry at {@code index}.
     */
    void readReady(long ticket, long index);

    /** Called when this member can't answer a read. */
    void readRejected(long ticket);

    /** Called when this member becomes leader. */
    void becameLeader(long term);

    /** Called when this member becomes a follower; {@code leader} is empty while unknown. */
    void becameFollower(long term, Optional<MemberId> leader);

    /** Handles data that another member sent by {@link Raft#sendApplicationMessage}. */
    void applicationMessage(MemberId from, byte[] payload);
}
