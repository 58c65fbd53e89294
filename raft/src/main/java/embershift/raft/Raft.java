package embershift.raft;

import java.util.List;
import java.util.Optional;

/**
 * One member of a group that agrees on a log: the Raft protocol as of Ongaro's thesis (2014), with
 * pre-votes (9.6), a leader that steps down without a quorum (6.2), linearizable reads by a round
 * of heartbeats (6.4), leadership transfer (3.10) and changes of one member at a time (4.1), none
 * before an entry of the leader's own term is committed.
 *
 * <p>A state machine without I/O, clock or threads: its inputs are ticks, messages and completed
 * writes, and it acts through its {@link RaftEnvironment}. It sends no reply to other members
 * before the state behind it is durable. This class dispatches inputs to the component that handles
 * them: {@link ElectionProtocol}, {@link Leadership} or {@link FollowerLog}.
 */
public final class Raft {

    /** The role of a member in its term. */
    public enum Role {
        /** Follows a leader, or has none yet. */
        FOLLOWER,
        /** Asks whether it would be elected, before it starts a new term. */
        PRE_CANDIDATE,
        /** Requests votes to become leader. */
        CANDIDATE,
        /** Replicates its log to the other members. */
        LEADER
    }

    private final RaftState state;
    private final ElectionProtocol elections;
    private final Leadership leadership;
    private final FollowerLog followerLog;

    /**
     * Creates a member from its recovered state.
     *
     * @param incarnation a different number at each start of this member
     * @param seed the random seed of the election timeouts
     */
    public Raft(
            MemberId self,
            RaftTiming timing,
            RaftLimits limits,
            RecoveredState recovered,
            long incarnation,
            long seed,
            RaftEnvironment environment) {
        state = new RaftState(self, timing, limits, recovered, incarnation, environment);
        leadership = new Leadership(state, this::stepDown);
        elections = new ElectionProtocol(state, seed, leadership);
        followerLog = new FollowerLog(state);
    }

    private void stepDown() {
        elections.stepDown();
    }

    /** Returns this member's identity. */
    public MemberId self() {
        return state.self;
    }

    /** Returns this member's role. */
    public Role role() {
        return state.role;
    }

    /** Returns the latest term this member has seen. */
    public long term() {
        return state.term;
    }

    /** Returns the leader of the current term; empty while unknown. */
    public Optional<MemberId> leader() {
        return state.leader();
    }

    /** Returns the last index known to be committed. */
    public long commitIndex() {
        return state.commitIndex;
    }

    /** Returns the index of the last entry in the log. */
    public long lastIndex() {
        return state.log.lastIndex();
    }

    /** Returns the last index whose entry is no longer in memory. */
    public long compactedIndex() {
        return state.log.compactedIndex();
    }

    /** Returns the term of an entry, or -1 if it is unknown. */
    public long termAt(long index) {
        return state.log.termAt(index);
    }

    /** Returns an entry; empty if it is not in memory. */
    public Optional<LogEntry> entry(long index) {
        return state.log.contains(index) ? Optional.of(state.log.get(index)) : Optional.empty();
    }

    /** Returns the membership in effect, committed or not. */
    public Membership membership() {
        return state.membership();
    }

    /** Returns the membership as of an index of the log. */
    public Membership membershipAt(long index) {
        return state.memberships.at(index);
    }

    /** Whether this member may have lost durable state and has to catch up with a leader first. */
    public boolean isUntrusted() {
        return state.isUntrusted;
    }

    /** Returns the last index that a member is known by this leader to have, or 0. */
    public long matchIndexOf(MemberId id) {
        return leadership.replication().matchIndexOf(id);
    }

    /** Whether a member has replied to this leader within the last two election timeouts. */
    public boolean isRecentlyActive(MemberId id) {
        return leadership.replication().isActive(id);
    }

    /** Called once per tick of time. */
    public void tick() {
        state.writes.tick();
        if (state.isLeader()) {
            leadership.tick();
        } else {
            elections.tick();
        }
        applyCommitted();
    }

    /** Called once all writes up to {@code number} are durable. */
    public void writesCompleted(long number) {
        state.writes.completed(number);
        if (state.isLeader()) {
            leadership.advanceCommitIndex();
        }
        applyCommitted();
    }

    /**
     * Handles a message from another member, which may not be known to this member yet.
     *
     * @throws IllegalStateException if the protocol is violated: two leaders in one term, or a
     *     request to replace a committed entry
     */
    public void receive(MemberId from, RaftMessage message) {
        if (message instanceof RaftMessage.ApplicationMessage application) {
            state.environment.applicationMessage(from, application.payload());
        } else if (acceptTerm(from, message)) {
            dispatch(from, message);
        }
        applyCommitted();
    }

    private void dispatch(MemberId from, RaftMessage message) {
        if (message instanceof RaftMessage.VoteRequest request) {
            elections.onVoteRequest(from, request);
        } else if (message instanceof RaftMessage.VoteReply reply) {
            elections.onVoteReply(from, reply);
        } else if (message instanceof RaftMessage.AppendRequest request) {
            followLeader(from);
            followerLog.onAppendRequest(from, request);
        } else if (message instanceof RaftMessage.AppendReply reply) {
            leadership.onAppendReply(from, reply);
        } else if (message instanceof RaftMessage.SnapshotRequest request) {
            followLeader(from);
            followerLog.onSnapshotRequest(from, request);
        } else if (message instanceof RaftMessage.SnapshotReply reply) {
            leadership.onSnapshotReply(from, reply);
        } else if (message instanceof RaftMessage.TimeoutNow) {
            elections.onTimeoutNow();
        }
    }

    /** Adopts a later term of a message; returns whether the message is to be processed. */
    private boolean acceptTerm(MemberId from, RaftMessage message) {
        if (message.term() < state.term) {
            answerEarlierTerm(from, message);
            return false;
        }
        if (message.term() == state.term) {
            return true;
        }
        if (message instanceof RaftMessage.VoteRequest request) {
            if (!request.leadershipTransfer() && elections.hasRecentLeader()) {
                // A member that has lost contact with the leader must not depose it.
                return false;
            }
            if (request.preVote()) {
                return true;
            }
        }
        if (message instanceof RaftMessage.VoteReply reply && reply.preVote() && reply.granted()) {
            return true;
        }
        elections.becomeFollower(message.term(), isFromLeader(message) ? from : MemberId.NONE);
        return true;
    }

    private static boolean isFromLeader(RaftMessage message) {
        return message instanceof RaftMessage.AppendRequest
                || message instanceof RaftMessage.SnapshotRequest;
    }

    private void answerEarlierTerm(MemberId from, RaftMessage message) {
        if (isFromLeader(message)) {
            // Tells a leader of an earlier term that its term has ended.
            state.sendWhenDurable(
                    from,
                    new RaftMessage.AppendReply(state.term, false, 0, 0, 0, 0, state.incarnation));
        } else if (message instanceof RaftMessage.VoteRequest request && request.preVote()) {
            state.sendWhenDurable(from, new RaftMessage.VoteReply(state.term, false, true));
        }
    }

    private void followLeader(MemberId leader) {
        if (state.isLeader()) {
            throw new IllegalStateException("two leaders in term " + state.term);
        }
        elections.becomeFollower(state.term, leader);
    }

    private void applyCommitted() {
        while (state.appliedIndex < state.commitIndex) {
            state.appliedIndex++;
            state.environment.committed(state.log.get(state.appliedIndex));
        }
    }

    /**
     * Proposes a command.
     *
     * @param command owned by the log: must not be modified
     */
    public ProposeResult propose(byte[] command) {
        ProposeResult result = leadership.propose(command);
        applyCommitted();
        return result;
    }

    /** Adds a member, either joining or as a learner. */
    public ProposeResult addMember(Member member) {
        ProposeResult result = leadership.addMember(member);
        applyCommitted();
        return result;
    }

    /** Removes a member; a leader that removes itself steps down once that is committed. */
    public ProposeResult removeMember(MemberId id) {
        ProposeResult result = leadership.removeMember(id);
        applyCommitted();
        return result;
    }

    /**
     * Bootstraps a group with this member as its only voter.
     *
     * @throws IllegalStateException if this member already has state, or {@code first} is another
     *     member
     */
    public void bootstrap(Member first) {
        if (state.log.lastIndex() > 0 || state.term > 0 || !first.id().equals(state.self)) {
            throw new IllegalStateException("only a member without state can bootstrap a group");
        }
        state.term = 1;
        state.writeHardState();
        Membership membership = Membership.of(List.of(first.withRole(Member.Role.VOTER)));
        LogEntry entry = new LogEntry(1, 1, LogEntry.Kind.MEMBERSHIP, RaftCodec.encode(membership));
        state.append(entry);
        state.writes.writeEntries(List.of(entry));
        elections.expireTimer();
        applyCommitted();
    }

    /**
     * Starts a leadership transfer to another voter; aborted after an election timeout.
     *
     * @return why it can't be started, or empty
     */
    public Optional<RejectionReason> transferLeadership(MemberId target) {
        return leadership.transferLeadership(target);
    }

    /** Returns the active voter with the most complete log. */
    public Optional<MemberId> bestTransferTarget() {
        return leadership.replication().mostCompleteVoter();
    }

    /** Starts a linearizable read; the environment is notified when it may be answered. */
    public void read(long ticket) {
        if (state.isLeader()) {
            leadership.read(ticket);
        } else {
            state.environment.readRejected(ticket);
        }
        applyCommitted();
    }

    /** Sends application data to another member; it may be lost. */
    public void sendApplicationMessage(MemberId to, byte[] payload) {
        state.environment.send(to, new RaftMessage.ApplicationMessage(state.term, payload));
    }

    /**
     * Stores a snapshot of the state after an entry that was committed at this member. Once it is
     * durable, the log before it is dropped, except for {@link RaftLimits#retainedEntries}.
     */
    public void compact(Snapshot newSnapshot) {
        if (!isNewerSnapshot(newSnapshot)) {
            return;
        }
        state.writes.writeSnapshot(newSnapshot, false);
        state.writes.whenDurable(
                () -> {
                    if (isNewerSnapshot(newSnapshot)) {
                        state.snapshot = Optional.of(newSnapshot);
                        dropEntriesBefore(newSnapshot.index());
                    }
                });
        applyCommitted();
    }

    private boolean isNewerSnapshot(Snapshot other) {
        return other.index() > state.snapshot.map(Snapshot::index).orElse(0L);
    }

    private void dropEntriesBefore(long snapshotIndex) {
        long compactIndex =
                Math.min(snapshotIndex, state.log.lastIndex()) - state.limits.retainedEntries();
        if (compactIndex > state.log.compactedIndex()) {
            Membership compactMembership = state.memberships.at(compactIndex);
            state.log.compactThrough(compactIndex);
            state.memberships.compactThrough(compactIndex, compactMembership);
        }
    }
}
