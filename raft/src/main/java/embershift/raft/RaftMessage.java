package embershift.raft;

import java.util.List;

/** A message from one member to another. */
public sealed interface RaftMessage {

    /** Returns the sender's term; of a pre-vote, the term that the sender would begin. */
    long term();

    /**
     * Asks for a vote (thesis, 3.4).
     *
     * @param lastIndex the last entry of the candidate's log
     * @param lastTerm the term of that entry
     * @param preVote asks whether there would be a vote, without any promise (9.6)
     * @param leadershipTransfer the leader itself wants this election: the receiver need not wait
     *     until it has not heard of it
     */
    record VoteRequest(
            long term, long lastIndex, long lastTerm, boolean preVote, boolean leadershipTransfer)
            implements RaftMessage {}

    /** Answers a {@link VoteRequest}. */
    record VoteReply(long term, boolean granted, boolean preVote) implements RaftMessage {}

    /**
     * Entries to append, or a heartbeat without any (thesis, 3.5).
     *
     * @param previousIndex the entry that they follow
     * @param previousTerm the term of that entry
     * @param leaderCommit the leader's commit index
     * @param lastIndex the last entry of the leader's log
     * @param heartbeatRound to be returned in the reply, for reads
     */
    record AppendRequest(
            long term,
            long previousIndex,
            long previousTerm,
            List<LogEntry> entries,
            long leaderCommit,
            long lastIndex,
            long heartbeatRound)
            implements RaftMessage {}

    /**
     * Answers an {@link AppendRequest} or the last {@link SnapshotRequest} of a snapshot.
     *
     * @param index on success, the last index up to which the follower's durable log is the
     *     leader's; else the previous index that did not match
     * @param conflictIndex on failure, an index up to which the logs may match
     * @param conflictTerm on failure, the term of that entry
     * @param incarnation another number at each start of the follower
     */
    record AppendReply(
            long term,
            boolean success,
            long index,
            long conflictIndex,
            long conflictTerm,
            long heartbeatRound,
            long incarnation)
            implements RaftMessage {}

    /**
     * A chunk of a snapshot (thesis, 5.3).
     *
     * @param offset the position of the chunk in the snapshot's data
     * @param totalBytes the size of the snapshot's data
     * @param checksum the CRC-32C of the snapshot's data
     */
    record SnapshotRequest(
            long term,
            long snapshotIndex,
            long snapshotTerm,
            Membership membership,
            long offset,
            byte[] chunk,
            int totalBytes,
            int checksum,
            long heartbeatRound)
            implements RaftMessage {}

    /** Asks for the chunk of a snapshot at {@code nextOffset}. */
    record SnapshotReply(
            long term, long snapshotIndex, long nextOffset, long heartbeatRound, long incarnation)
            implements RaftMessage {}

    /** Has the receiver stand for election at once: the leader hands over to it (thesis, 3.10). */
    record TimeoutNow(long term) implements RaftMessage {}

    /** Carries data of the application; it has no effect on the protocol. */
    record ApplicationMessage(long term, byte[] payload) implements RaftMessage {}
}
