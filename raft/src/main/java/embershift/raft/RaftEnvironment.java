package embershift.raft;

import java.util.Optional;

/**
 * What a {@link Raft} member needs done for it. It is called from within the member's methods and
 * must not call back.
 */
public interface RaftEnvironment {

    /**
     * Sends a message. It may be lost, delayed, duplicated or reordered, but neither changed nor
     * delivered to a later process of the receiver.
     */
    void send(MemberId to, RaftMessage message);

    /** Writes to disk; {@link Raft#writesCompleted} is owed for each request. */
    void persist(WriteRequest request);

    /**
     * Everything that may have been lost is durable again. Until this is noted on disk as well, the
     * member is untrusted when it starts.
     */
    void stateTrusted();

    /** An entry is committed: each once and in order, from the last restored snapshot on. */
    void committed(LogEntry entry);

    /** The state machine must take the state of this snapshot. */
    void restored(Snapshot snapshot);

    /** A read may be answered once the state machine has applied the entry at {@code index}. */
    void readReady(long ticket, long index);

    /** This member can't answer a read. */
    void readRejected(long ticket);

    /** This member leads from now on. */
    void becameLeader(long term);

    /** This member follows from now on; {@code leader} is empty while none is known. */
    void becameFollower(long term, Optional<MemberId> leader);

    /** Another member sent an application message: see {@link Raft#sendApplicationMessage}. */
    void applicationMessage(MemberId from, byte[] payload);
}
