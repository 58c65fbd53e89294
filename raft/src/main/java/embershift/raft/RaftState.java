package embershift.raft;

import java.util.List;
import java.util.Optional;

/**
 * The state shared by the components of one member: its term and vote, its role, its log and the
 * commit index. Term, vote and role change only in {@link ElectionProtocol}, when {@link
 * Leadership} begins and when {@link Raft} bootstraps a group.
 */
final class RaftState {

    final MemberId self;
    final RaftTiming timing;
    final RaftLimits limits;
    final RaftEnvironment environment;

    /** A different number at each start of this member. */
    final long incarnation;

    final LogEntries log;
    final MembershipHistory memberships;
    final PendingWrites writes;

    Raft.Role role = Raft.Role.FOLLOWER;
    long term;
    MemberId votedFor;
    MemberId leader = MemberId.NONE;
    Optional<Snapshot> snapshot;
    long commitIndex;
    long appliedIndex;

    /** The index of the first entry of this leader's term. */
    long termStartIndex;

    /** Whether this member may have lost durable state; see {@link RecoveredState}. */
    boolean isUntrusted;

    RaftState(
            MemberId self,
            RaftTiming timing,
            RaftLimits limits,
            RecoveredState recovered,
            long incarnation,
            RaftEnvironment environment) {
        this.self = self;
        this.timing = timing;
        this.limits = limits;
        this.incarnation = incarnation;
        this.environment = environment;
        term = recovered.hardState().term();
        votedFor = recovered.hardState().votedFor();
        snapshot = recovered.snapshot();
        isUntrusted = recovered.isUntrusted();
        long snapshotIndex = snapshot.map(Snapshot::index).orElse(0L);
        log = new LogEntries(snapshotIndex, snapshot.map(Snapshot::term).orElse(0L));
        memberships =
                new MembershipHistory(
                        snapshotIndex, snapshot.map(Snapshot::membership).orElse(Membership.EMPTY));
        recovered.entries().stream()
                .filter(entry -> entry.index() > snapshotIndex)
                .forEach(this::append);
        writes = new PendingWrites(environment, timing.diskStallTicks(), log.lastIndex());
        commitIndex = snapshotIndex;
        appliedIndex = snapshotIndex;
    }

    Membership membership() {
        return memberships.latest();
    }

    Optional<MemberId> leader() {
        return Optional.of(leader).filter(MemberId::isPresent);
    }

    boolean hasLeader() {
        return leader.isPresent();
    }

    boolean isLeader() {
        return role == Raft.Role.LEADER;
    }

    /** Appends an entry in memory; a membership takes effect immediately. */
    void append(LogEntry entry) {
        log.append(entry);
        if (entry.kind() == LogEntry.Kind.MEMBERSHIP) {
            memberships.add(entry.index(), RaftCodec.decodeMembership(entry.data()));
        }
    }

    /** Drops the entry at {@code index} and all later ones, to be replaced by the leader's. */
    void truncateFrom(long index) {
        log.truncateFrom(index);
        memberships.truncateFrom(index);
        writes.truncateFrom(index);
    }

    void writeHardState() {
        writes.write(
                Optional.of(new HardState(term, votedFor)), Optional.empty(), false, List.of());
    }

    /**
     * Sends a message once all writes so far are durable, so that a crash does not undo what it
     * confirms.
     */
    void sendWhenDurable(MemberId to, RaftMessage message) {
        writes.whenDurable(() -> environment.send(to, message));
    }
}
