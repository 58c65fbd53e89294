package embershift.raft;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A leader's replication of its log to the other members (thesis, 3.5 and 5.3): tracks the progress
 * of each and sends it what it lacks. Has no followers while this member does not lead.
 */
final class Replication {

    private final RaftState state;
    private final TreeMap<MemberId, FollowerProgress> followers = new TreeMap<>();
    private int heartbeatElapsedTicks;
    private int quorumCheckElapsedTicks;
    private long heartbeatRound;

    Replication(RaftState state) {
        this.state = state;
    }

    /** Starts replication as a new leader: the progress of the followers is unknown. */
    void begin() {
        followers.clear();
        for (Member member : state.membership().members()) {
            if (!member.id().equals(state.self)) {
                followers.put(member.id(), new FollowerProgress(state.log.lastIndex() + 1));
            }
        }
        heartbeatElapsedTicks = 0;
        quorumCheckElapsedTicks = 0;
    }

    void end() {
        followers.clear();
    }

    /** Adds and removes followers after a membership change. */
    void updateFollowers() {
        Membership membership = state.membership();
        followers.keySet().removeIf(id -> membership.find(id).isEmpty());
        for (Member member : membership.members()) {
            if (!member.id().equals(state.self) && !followers.containsKey(member.id())) {
                FollowerProgress progress = new FollowerProgress(state.log.lastIndex());
                progress.markActive();
                followers.put(member.id(), progress);
            }
        }
    }

    Optional<FollowerProgress> progressOf(MemberId id) {
        return Optional.ofNullable(followers.get(id));
    }

    /** The last index known to be durable at a member and equal to this leader's log. */
    long matchIndexOf(MemberId id) {
        if (id.equals(state.self)) {
            return state.writes.durableIndex();
        }
        return progressOf(id).map(FollowerProgress::matchIndex).orElse(0L);
    }

    /** The last index that a quorum of the voters has on disk, or 0 if there are no voters. */
    long quorumMatchIndex() {
        Membership membership = state.membership();
        long[] indexes =
                membership.voters().stream().mapToLong(this::matchIndexOf).sorted().toArray();
        return indexes.length == 0 ? 0 : indexes[indexes.length - membership.quorum()];
    }

    /** Whether a member replied in this activity period or the previous one. */
    boolean isActive(MemberId id) {
        return id.equals(state.self)
                || progressOf(id).map(FollowerProgress::isActive).orElse(false);
    }

    /** Handles a tick; returns false if no quorum has replied for an election timeout. */
    boolean checkQuorum() {
        quorumCheckElapsedTicks++;
        if (quorumCheckElapsedTicks < state.timing.electionTicks()) {
            return true;
        }
        quorumCheckElapsedTicks = 0;
        List<MemberId> active =
                state.membership().voters().stream()
                        .filter(id -> id.equals(state.self) || followers.get(id).isRecentlyActive())
                        .toList();
        if (!state.membership().isQuorum(active)) {
            return false;
        }
        followers.values().forEach(FollowerProgress::startActivityPeriod);
        return true;
    }

    /** Handles a tick; sends heartbeats when they are due. */
    void tick() {
        heartbeatElapsedTicks++;
        if (heartbeatElapsedTicks >= state.timing.heartbeatTicks()) {
            broadcastHeartbeat();
        }
        followers.values().forEach(FollowerProgress::tick);
    }

    void broadcastHeartbeat() {
        heartbeatElapsedTicks = 0;
        followers.forEach(this::sendHeartbeat);
    }

    private void sendHeartbeat(MemberId id, FollowerProgress progress) {
        switch (progress.state()) {
            case SNAPSHOT -> {
                state.environment.send(
                        id,
                        new RaftMessage.AppendRequest(
                                state.term,
                                0,
                                0,
                                List.of(),
                                0,
                                state.log.lastIndex(),
                                heartbeatRound));
                if (progress.isChunkOverdue(state.timing.electionTicks())) {
                    sendChunk(id, progress);
                }
            }
            case PROBE -> {
                progress.allowProbe();
                sendEntries(id, progress);
            }
            // The follower rejects this if a pipelined message was lost.
            case REPLICATE ->
                    state.environment.send(id, appendRequest(progress.nextIndex() - 1, List.of()));
        }
    }

    /** Starts a heartbeat round, whose replies confirm that this member led when it started. */
    long startHeartbeatRound() {
        heartbeatRound++;
        broadcastHeartbeat();
        return heartbeatRound;
    }

    /** Whether a quorum has replied to the given round or a later one. */
    boolean hasQuorumSince(long round) {
        List<MemberId> replied =
                state.membership().voters().stream()
                        .filter(
                                id ->
                                        id.equals(state.self)
                                                || followers.get(id).heartbeatRound() >= round)
                        .toList();
        return state.membership().isQuorum(replied);
    }

    private RaftMessage.AppendRequest appendRequest(long previousIndex, List<LogEntry> entries) {
        return new RaftMessage.AppendRequest(
                state.term,
                previousIndex,
                state.log.termAt(previousIndex),
                entries,
                state.commitIndex,
                state.log.lastIndex(),
                heartbeatRound);
    }

    void sendEntriesToAll() {
        followers.forEach(this::sendEntries);
    }

    /** Sends a member the entries or snapshot that it lacks, up to the in-flight limit. */
    void sendEntries(MemberId id, FollowerProgress progress) {
        while (progress.isAwaitingEntries()) {
            long previousIndex = progress.nextIndex() - 1;
            if (state.log.termAt(previousIndex) == LogEntries.UNKNOWN_TERM) {
                progress.becomeSnapshot(state.snapshot.orElseThrow());
                sendChunk(id, progress);
                return;
            }
            if (progress.isSaturated(state.log.lastIndex(), state.limits.maxInflightMessages())) {
                return;
            }
            List<LogEntry> entries =
                    state.log.entriesFrom(progress.nextIndex(), state.limits.maxMessageBytes());
            state.environment.send(id, appendRequest(previousIndex, entries));
            progress.recordSent(entries.size());
        }
    }

    private void sendChunk(MemberId id, FollowerProgress progress) {
        Snapshot snapshot = progress.snapshot();
        int from = (int) progress.snapshotOffset();
        int to = Math.min(snapshot.data().length, from + state.limits.snapshotChunkBytes());
        progress.recordChunkSent();
        state.environment.send(
                id,
                new RaftMessage.SnapshotRequest(
                        state.term,
                        snapshot.index(),
                        snapshot.term(),
                        snapshot.membership(),
                        from,
                        Arrays.copyOfRange(snapshot.data(), from, to),
                        snapshot.data().length,
                        snapshot.checksum(),
                        heartbeatRound));
    }

    /** Records a reply; returns the progress of its sender, or empty if it is no follower. */
    Optional<FollowerProgress> recordReply(MemberId from, long incarnation, long round) {
        Optional<FollowerProgress> progress = progressOf(from);
        progress.ifPresent(each -> each.recordReply(incarnation, round, state.log.lastIndex()));
        return progress;
    }

    void onSnapshotReply(
            MemberId from, FollowerProgress progress, RaftMessage.SnapshotReply reply) {
        if (progress.isSending(reply.snapshotIndex())
                && reply.nextOffset() < progress.snapshot().data().length) {
            progress.recordSnapshotOffset(reply.nextOffset());
            sendChunk(from, progress);
        }
    }

    void onRejection(MemberId from, FollowerProgress progress, RaftMessage.AppendReply reply) {
        if (progress.isCurrentRejection(reply.index())) {
            long matching =
                    state.log.lastIndexNotAfterTerm(reply.conflictIndex(), reply.conflictTerm());
            progress.becomeProbe(Math.min(reply.index(), matching + 1));
            sendEntries(from, progress);
        }
    }

    /**
     * Sends the final commit index to all followers when this leader steps down after its own
     * removal. The follower with the most complete log is told to start an election.
     */
    void sendFinalCommit() {
        broadcastHeartbeat();
        followers.forEach(
                (id, progress) ->
                        state.environment.send(
                                id,
                                appendRequest(
                                        Math.min(progress.matchIndex(), state.commitIndex),
                                        List.of())));
        followers.entrySet().stream()
                .max(Map.Entry.comparingByValue(Replication::compareMatch))
                .ifPresent(
                        best ->
                                state.environment.send(
                                        best.getKey(), new RaftMessage.TimeoutNow(state.term)));
    }

    private static int compareMatch(FollowerProgress one, FollowerProgress other) {
        return Long.compare(one.matchIndex(), other.matchIndex());
    }

    /** Returns the voter with the most complete log among those active in this period. */
    Optional<MemberId> mostCompleteVoter() {
        MemberId best = null;
        for (MemberId voter : state.membership().voters()) {
            FollowerProgress progress = followers.get(voter);
            if (progress != null
                    && progress.isRecentlyActive()
                    && (best == null || progress.matchIndex() > matchIndexOf(best))) {
                best = voter;
            }
        }
        return Optional.ofNullable(best);
    }
}
