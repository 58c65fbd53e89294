package embershift.raft;

import embershift.raft.Raft.Role;
import java.util.List;
import java.util.Optional;

/**
 * A member's work as leader: appends to its log, commits what a quorum has on disk, serves reads,
 * changes the membership and transfers leadership.
 */
final class Leadership {

    private final RaftState state;
    private final Replication replication;
    private final ReadRequests reads;
    private final LeadershipTransfer transfer = new LeadershipTransfer();
    private final MembershipChanges membershipChanges;
    private final Runnable stepDown;

    /** The bytes of the entries that this leader has accepted but not committed yet. */
    private int uncommittedBytes;

    /** Creates the inactive leadership of a member; {@code stepDown} ends an active one. */
    Leadership(RaftState state, Runnable stepDown) {
        this.state = state;
        this.stepDown = stepDown;
        replication = new Replication(state);
        reads = new ReadRequests(state, replication);
        membershipChanges = new MembershipChanges(state, replication, transfer);
    }

    Replication replication() {
        return replication;
    }

    void begin() {
        state.role = Role.LEADER;
        state.leader = state.self;
        replication.begin();
        transfer.cancel();
        uncommittedBytes = 0;
        state.termStartIndex = state.log.lastIndex() + 1;
        state.environment.becameLeader(state.term);
        append(LogEntry.Kind.NO_OP, new byte[0]);
    }

    void end() {
        replication.end();
        transfer.cancel();
        uncommittedBytes = 0;
        reads.rejectAll();
    }

    void tick() {
        if (state.writes.isStalled() || !replication.checkQuorum()) {
            // It can make nothing durable or has lost contact with a quorum: the others elect a new
            // leader.
            stepDown.run();
            return;
        }
        transfer.tick(state.timing.electionTicks());
        replication.tick();
        membershipChanges.promotion().ifPresent(this::appendMembership);
    }

    private ProposeResult append(LogEntry.Kind kind, byte[] data) {
        LogEntry entry = new LogEntry(state.log.lastIndex() + 1, state.term, kind, data);
        state.append(entry);
        uncommittedBytes += entry.sizeBytes();
        state.writes.writeEntries(List.of(entry));
        if (kind == LogEntry.Kind.MEMBERSHIP) {
            replication.updateFollowers();
        }
        replication.sendEntriesToAll();
        long term = state.term;
        advanceCommitIndex();
        return new ProposeResult.Accepted(entry.index(), term);
    }

    private ProposeResult appendMembership(Membership membership) {
        return append(LogEntry.Kind.MEMBERSHIP, RaftCodec.encode(membership));
    }

    void onAppendReply(MemberId from, RaftMessage.AppendReply reply) {
        replication
                .recordReply(from, reply.incarnation(), reply.heartbeatRound())
                .ifPresent(progress -> onAppendReply(from, progress, reply));
    }

    private void onAppendReply(
            MemberId from, FollowerProgress progress, RaftMessage.AppendReply reply) {
        if (reply.success()) {
            if (progress.recordMatch(reply.index())) {
                advanceCommitIndex();
            }
            if (state.isLeader()) {
                replication.sendEntries(from, progress);
                handOverIfCaughtUp();
            }
        } else {
            replication.onRejection(from, progress, reply);
        }
        reads.completeRound();
    }

    void onSnapshotReply(MemberId from, RaftMessage.SnapshotReply reply) {
        replication
                .recordReply(from, reply.incarnation(), reply.heartbeatRound())
                .ifPresent(progress -> replication.onSnapshotReply(from, progress, reply));
        reads.completeRound();
    }

    /** Commits what a quorum has on disk, if its last entry is of this term (thesis, 3.6.2). */
    void advanceCommitIndex() {
        long index = replication.quorumMatchIndex();
        if (index > state.commitIndex && state.log.termAt(index) == state.term) {
            for (long i = state.commitIndex + 1; i <= index; i++) {
                uncommittedBytes -= state.log.get(i).sizeBytes();
            }
            uncommittedBytes = Math.max(0, uncommittedBytes);
            state.commitIndex = index;
            if (isOwnRemovalCommitted()) {
                replication.sendFinalCommit();
                stepDown.run();
                return;
            }
            reads.startRound();
        }
    }

    private boolean isOwnRemovalCommitted() {
        return !state.membership().isVoter(state.self)
                && state.memberships.latestIndex() <= state.commitIndex;
    }

    ProposeResult propose(byte[] command) {
        return checkLeadership()
                .or(() -> checkLimits(command))
                .<ProposeResult>map(ProposeResult.Rejected::new)
                .orElseGet(() -> append(LogEntry.Kind.COMMAND, command));
    }

    private Optional<RejectionReason> checkLeadership() {
        if (!state.isLeader()) {
            return Optional.of(RejectionReason.NOT_LEADER);
        }
        return transfer.isActive()
                ? Optional.of(RejectionReason.TRANSFERRING_LEADERSHIP)
                : Optional.empty();
    }

    private Optional<RejectionReason> checkLimits(byte[] command) {
        if (command.length > state.limits.maxCommandBytes()) {
            return Optional.of(RejectionReason.TOO_LARGE);
        }
        return uncommittedBytes + command.length > state.limits.maxUncommittedBytes()
                ? Optional.of(RejectionReason.OVERLOADED)
                : Optional.empty();
    }

    ProposeResult addMember(Member member) {
        return checkLeadership()
                .or(() -> membershipChanges.checkAdd(member))
                .<ProposeResult>map(ProposeResult.Rejected::new)
                .orElseGet(() -> appendMembership(state.membership().with(member)));
    }

    ProposeResult removeMember(MemberId id) {
        return checkLeadership()
                .or(() -> membershipChanges.checkRemove(id))
                .<ProposeResult>map(ProposeResult.Rejected::new)
                .orElseGet(() -> appendMembership(state.membership().without(id)));
    }

    Optional<RejectionReason> transferLeadership(MemberId target) {
        Optional<RejectionReason> rejection = checkLeadership();
        if (rejection.isPresent()) {
            return rejection;
        }
        if (!state.membership().isVoter(target)) {
            return Optional.of(RejectionReason.UNKNOWN_MEMBER);
        }
        if (target.equals(state.self)) {
            return Optional.of(RejectionReason.ALREADY_DONE);
        }
        transfer.begin(target);
        replication
                .progressOf(target)
                .ifPresent(progress -> replication.sendEntries(target, progress));
        handOverIfCaughtUp();
        return Optional.empty();
    }

    private void handOverIfCaughtUp() {
        if (transfer.isActive()
                && replication
                        .progressOf(transfer.target())
                        .filter(progress -> progress.matchIndex() == state.log.lastIndex())
                        .isPresent()) {
            state.environment.send(transfer.target(), new RaftMessage.TimeoutNow(state.term));
        }
    }

    void read(long ticket) {
        reads.add(ticket);
        reads.startRound();
    }
}
