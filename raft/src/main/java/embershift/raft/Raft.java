package embershift.raft;

import java.util.List;
import java.util.Optional;

/**
 * One member of a group that agrees on a log: the Raft protocol as of Ongaro's thesis (2014), with
 * pre-votes (9.6), a leader that steps down without a quorum (6.2), linearizable reads by a round
 * of heartbeats (6.4), leadership transfer (3.10) and changes of one member at a time (4.1), none
 * before an entry of the leader's own term is committed.
 *
 * <p>A state machine without I/O, clock or threads: it is fed ticks, messages and completed writes,
 * and acts through its {@link RaftEnvironment}. It promises nothing to other members before that is
 * durable. This class takes what is fed in and hands it to the part that it is for: {@link
 * ElectionProtocol}, {@link Leadership} or {@link FollowerLog}.
 */
public final class Raft {

    /** The role of a member in its term. */
    public enum Role {
        /** Follows a leader, or waits for one. */
        FOLLOWER,
        /** Asks whether it would be elected, before it begins a term. */
        PRE_CANDIDATE,
        /** Stands for election. */
        CANDIDATE,
        /** Leads. */
        LEADER
    }

    private final RaftState state;
    private final ElectionProtocol elections;
    private final Leadership leadership;
    private final FollowerLog followerLog;

    /**
     * Creates a member from what is on its disk.
     *
     * @param incarnation another number at each start of this member
     * @param seed of its election timeouts
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

    /** Returns the leader of this term; empty while none is known. */
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

    /** Returns the last index whose entry is not in memory any more. */
    public long compactedIndex() {
        return state.log.compactedIndex();
    }

    /** Returns the term of an entry, or -1 where that is not known any more. */
    public long termAt(long index) {
        return state.log.termAt(index);
    }

    /** Returns an entry; empty where it is not in memory. */
    public Optional<LogEntry> entry(long index) {
        return state.log.contains(index) ? Optional.of(state.log.get(index)) : Optional.empty();
    }

    /** Returns the membership in force, committed or not. */
    public Membership membership() {
        return state.membership();
    }

    /** Returns the membership as of an index of the log. */
    public Membership membershipAt(long index) {
        return state.memberships.at(index);
    }

    /** Whether this member may have lost what it once promised, and needs a leader's help. */
    public boolean isUntrusted() {
        return state.isUntrusted;
    }

    /** Returns the last index that a member is known to have, as this leader knows; else 0. */
    public long matchIndexOf(MemberId id) {
        return leadership.replication().matchIndexOf(id);
    }

    /** Whether this leader has heard of a member within the last two election timeouts. */
    public boolean isRecentlyActive(MemberId id) {
        return leadership.replication().isActive(id);
    }

    /** One tick of time has passed. */
    public void tick() {
        state.writes.tick();
        if (state.isLeader()) {
            leadership.tick();
        } else {
            elections.tick();
        }
        applyCommitted();
    }

    /** All writes up to that number are durable. */
    public void writesCompleted(long number) {
        state.writes.completed(number);
        if (state.isLeader()) {
            leadership.advanceCommitIndex();
        }
        applyCommitted();
    }

    /**
     * Takes a message of another member, which may not be known here yet.
     *
     * @throws IllegalStateException if the protocol is broken: two leaders in a term, or a
     *     committed entry that another is to take the place of
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

    /** Follows a message's later term; returns whether the message is to be looked at. */
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
                // Whoever does not hear the leader must not unseat it.
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
            // So that a leader of an earlier term learns that it is one.
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
     * @param command belongs to the log from now on: nobody may change it
     */
    public ProposeResult propose(byte[] command) {
        ProposeResult result = leadership.propose(command);
        applyCommitted();
        return result;
    }

    /** Adds a member, as one that joins or as a learner. */
    public ProposeResult addMember(Member member) {
        ProposeResult result = leadership.addMember(member);
        applyCommitted();
        return result;
    }

    /** Removes a member, this leader among them: it then steps down once that is committed. */
    public ProposeResult removeMember(MemberId id) {
        ProposeResult result = leadership.removeMember(id);
        applyCommitted();
        return result;
    }

    /**
     * Begins a group with this member as its only voter.
     *
     * @throws IllegalStateException if this member's directory is not empty, or {@code first} is
     *     another member
     */
    public void bootstrap(Member first) {
        if (state.log.lastIndex() > 0 || state.term > 0 || !first.id().equals(state.self)) {
            throw new IllegalStateException("only an empty member founds a group");
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
     * Begins to hand over to another voter; given up after an election timeout.
     *
     * @return why it can't be begun, or empty
     */
    public Optional<RejectionReason> transferLeadership(MemberId target) {
        return leadership.transferLeadership(target);
    }

    /** Returns the voter that would take over soonest. */
    public Optional<MemberId> bestTransferTarget() {
        return leadership.replication().mostCompleteVoter();
    }

    /** Begins a linearizable read: the environment is told when it may be answered. */
    public void read(long ticket) {
        if (state.isLeader()) {
            leadership.read(ticket);
        } else {
            state.environment.readRejected(ticket);
        }
        applyCommitted();
    }

    /** Sends another member data of the application; it may be lost. */
    public void sendApplicationMessage(MemberId to, byte[] payload) {
        state.environment.send(to, new RaftMessage.ApplicationMessage(state.term, payload));
    }

    /**
     * Takes a snapshot of the state after an entry that was committed here. Once it is durable, the
     * log before it is dropped, but for {@link RaftLimits#retainedEntries}.
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
