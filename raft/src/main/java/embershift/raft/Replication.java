package embershift.raft;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A leader's replication of its log to the other members (thesis, 3.5 and 5.3): what each is known
 * to have, and what is sent to it. Empty while this member does not lead.
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

    /** Begins to lead: nothing is known of the others. */
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

    /** The membership has changed. */
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

    /** The last index that a member is known to have on disk as this leader has it. */
    long matchIndexOf(MemberId id) {
        if (id.equals(state.self)) {
            return state.writes.durableIndex();
        }
        return progressOf(id).map(FollowerProgress::matchIndex).orElse(0L);
    }

    /** The last index that a quorum of the voters has on disk, or 0 where there are no voters. */
    long quorumMatchIndex() {
        Membership membership = state.membership();
        long[] indexes =
                membership.voters().stream().mapToLong(this::matchIndexOf).sorted().toArray();
        return indexes.length == 0 ? 0 : indexes[indexes.length - membership.quorum()];
    }

    /** Whether a member was heard of in this activity period or the one before. */
    boolean isActive(MemberId id) {
        return id.equals(state.self)
                || progressOf(id).map(FollowerProgress::isActive).orElse(false);
    }

    /** Counts a tick; returns false if too few voters were heard of for an election timeout. */
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

    /** Counts a tick, and sends heartbeats when they are due. */
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
            // Rejected if something that was sent ahead is lost.
            case REPLICATE ->
                    state.environment.send(id, appendRequest(progress.nextIndex() - 1, List.of()));
        }
    }

    /** Begins a round of heartbeats, whose replies show that this member still led at its start. */
    long startHeartbeatRound() {
        heartbeatRound++;
        broadcastHeartbeat();
        return heartbeatRound;
    }

    /** Whether a quorum has replied to that round or a later one. */
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

    /** Sends a member what it lacks, as far as may be in flight. */
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

    /** Notes that a member replied; empty if this member does not lead it. */
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
     * Tells all others what is committed, as this member, which is not part of the group any more,
     * stops to lead. The one that has most is to take its place.
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

    /** The voter that has most of the log, of those heard of in this activity period. */
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
