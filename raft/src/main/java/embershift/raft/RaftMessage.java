package embershift.raft;

import java.util.List;

/** A message from one member to another. */
public sealed interface RaftMessage {

    /** Returns the sender's term; in a pre-vote, the term that the sender would start. */
    long term();

    /**
     * Asks for a vote (thesis, 3.4).
     *
     * @param lastIndex the index of the last entry of the candidate's log
     * @param lastTerm the term of that entry
     * @param preVote asks whether the receiver would vote, without a binding vote (9.6)
     * @param leadershipTransfer the leader itself requested this election: the receiver may vote
     *     even if it has recently been in contact with the leader
     */
    record VoteRequest(
            long term, long lastIndex, long lastTerm, boolean preVote, boolean leadershipTransfer)
            implements RaftMessage {}

    /** The reply to a {@link VoteRequest}. */
    record VoteReply(long term, boolean granted, boolean preVote) implements RaftMessage {}

    /**
     * Entries to append; a heartbeat if there are none (thesis, 3.5).
     *
     * @param previousIndex the index of the entry before the first one
     * @param previousTerm the term of that entry
     * @param leaderCommit the leader's commit index
     * @param lastIndex the index of the last entry of the leader's log
     * @param heartbeatRound returned in the reply; used by linearizable reads
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
     * The reply to an {@link AppendRequest} or to the last {@link SnapshotRequest} of a snapshot.
     *
     * @param index on success, the last index up to which the follower's durable log matches the
     *     leader's; on failure, the previous index that did not match
     * @param conflictIndex on failure, an index up to which the logs may match
     * @param conflictTerm on failure, the term of that entry
     * @param incarnation a different number at each start of the follower
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

    /** Requests the chunk of a snapshot at {@code nextOffset}. */
    record SnapshotReply(
            long term, long snapshotIndex, long nextOffset, long heartbeatRound, long incarnation)
            implements RaftMessage {}

    /** Makes the receiver start an election at once, for a leadership transfer (thesis, 3.10). */
    record TimeoutNow(long term) implements RaftMessage {}

    /** Carries application data; has no effect on the protocol. */
    record ApplicationMessage(long term, byte[] payload) implements RaftMessage {}
}
