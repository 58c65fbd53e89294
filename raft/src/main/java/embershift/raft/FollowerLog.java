package embershift.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The follower's side of replication: adds the leader's entries and snapshots to the log, and
 * replies once they are durable.
 */
final class FollowerLog {

    private final RaftState state;
    private final SnapshotAssembly assembly = new SnapshotAssembly();

    FollowerLog(RaftState state) {
        this.state = state;
    }

    void onAppendRequest(MemberId leader, RaftMessage.AppendRequest request) {
        LogEntries log = state.log;
        long previousIndex = request.previousIndex();
        boolean isMissing = previousIndex > log.lastIndex();
        boolean isConflicting =
                previousIndex >= log.compactedIndex()
                        && log.termAt(previousIndex) != request.previousTerm();
        if (isMissing || isConflicting) {
            reject(leader, request);
            return;
        }
        List<LogEntry> appended = append(request.entries());
        if (!appended.isEmpty()) {
            state.writes.writeEntries(appended);
        }
        long matchIndex = previousIndex + request.entries().size();
        state.commitIndex =
                Math.max(state.commitIndex, Math.min(request.leaderCommit(), matchIndex));
        if (state.isUntrusted && matchIndex >= request.lastIndex()) {
            state.writes.whenDurable(this::becomeTrusted);
        }
        acknowledge(leader, matchIndex, request.heartbeatRound());
    }

    private void reject(MemberId leader, RaftMessage.AppendRequest request) {
        long conflictIndex =
                state.log.lastIndexNotAfterTerm(
                        Math.min(request.previousIndex(), state.log.lastIndex()),
                        request.previousTerm());
        state.sendWhenDurable(
                leader,
                new RaftMessage.AppendReply(
                        state.term,
                        false,
                        request.previousIndex(),
                        conflictIndex,
                        state.log.termAt(conflictIndex),
                        request.heartbeatRound(),
                        state.incarnation));
    }

    private void acknowledge(MemberId leader, long matchIndex, long heartbeatRound) {
        state.sendWhenDurable(
                leader,
                new RaftMessage.AppendReply(
                        state.term, true, matchIndex, 0, 0, heartbeatRound, state.incarnation));
    }

    /** Appends missing entries, replacing conflicting ones; returns the appended entries. */
    private List<LogEntry> append(List<LogEntry> entries) {
        LogEntries log = state.log;
        List<LogEntry> appended = new ArrayList<>();
        for (LogEntry entry : entries) {
            if (entry.index() <= log.compactedIndex()) {
                continue;
            }
            if (entry.index() <= log.lastIndex() && log.termAt(entry.index()) != entry.term()) {
                if (entry.index() <= state.commitIndex) {
                    throw new IllegalStateException(
                            "entry " + entry.index() + " conflicts with a committed entry");
                }
                state.truncateFrom(entry.index());
            }
            if (entry.index() > log.lastIndex()) {
                state.append(entry);
                appended.add(entry);
            }
        }
        return appended;
    }

    private void becomeTrusted() {
        if (state.isUntrusted) {
            state.isUntrusted = false;
            state.environment.stateTrusted();
        }
    }

    void onSnapshotRequest(MemberId leader, RaftMessage.SnapshotRequest request) {
        if (request.snapshotIndex() <= state.commitIndex) {
            acknowledge(leader, request.snapshotIndex(), request.heartbeatRound());
            return;
        }
        if (request.totalBytes() > state.limits.maxSnapshotBytes()) {
            return;
        }
        assembly.add(request)
                .ifPresentOrElse(
                        snapshot -> onCompleteSnapshot(leader, request, snapshot),
                        () -> requestChunk(leader, request, assembly.receivedBytes()));
    }

    private void onCompleteSnapshot(
            MemberId leader, RaftMessage.SnapshotRequest request, Snapshot snapshot) {
        if (!snapshot.hasValidChecksum()) {
            requestChunk(leader, request, 0);
            return;
        }
        install(snapshot);
        acknowledge(leader, snapshot.index(), request.heartbeatRound());
    }

    private void requestChunk(MemberId leader, RaftMessage.SnapshotRequest request, int offset) {
        state.sendWhenDurable(
                leader,
                new RaftMessage.SnapshotReply(
                        state.term,
                        request.snapshotIndex(),
                        offset,
                        request.heartbeatRound(),
                        state.incarnation));
    }

    /** Installs a snapshot; later entries are kept only if the log matches the snapshot. */
    private void install(Snapshot snapshot) {
        long index = snapshot.index();
        boolean replacesLog = state.log.termAt(index) != snapshot.term();
        state.snapshot = Optional.of(snapshot);
        if (replacesLog) {
            state.log.reset(index, snapshot.term());
            state.memberships.reset(index, snapshot.membership());
            state.writes.reset();
        } else {
            state.log.compactThrough(index);
            state.memberships.compactThrough(index, snapshot.membership());
        }
        state.commitIndex = index;
        state.appliedIndex = index;
        state.writes.writeSnapshot(snapshot, replacesLog);
        state.environment.restored(snapshot);
    }
}
