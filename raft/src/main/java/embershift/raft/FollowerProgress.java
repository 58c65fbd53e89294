package embershift.raft;

import java.util.ArrayDeque;
import java.util.Deque;

/** A leader's view of one other member's log, and the state of sending to that member. */
final class FollowerProgress {

    /** How entries are sent. */
    enum State {
        /** One message at a time, until the matching index is known. */
        PROBE,
        /** Pipelined, without waiting for replies. */
        REPLICATE,
        /** A snapshot in chunks, as the follower lacks entries that have been compacted. */
        SNAPSHOT
    }

    private State state = State.PROBE;

    /** The last index known to be durable at the follower and equal to the leader's log. */
    private long matchIndex;

    private long nextIndex;

    /** Whether a probe is unanswered; the next heartbeat allows another. */
    private boolean isProbeSent;

    /** The last index of each unacknowledged message. */
    private final Deque<Long> inflight = new ArrayDeque<>();

    /** Whether it replied in the current activity period, and in the previous one. */
    private boolean isRecentlyActive;

    private boolean wasPreviouslyActive;

    private long heartbeatRound;
    private long incarnation;
    private Snapshot snapshot;
    private long snapshotOffset;
    private int ticksSinceChunk;

    FollowerProgress(long nextIndex) {
        this.nextIndex = nextIndex;
    }

    State state() {
        return state;
    }

    long matchIndex() {
        return matchIndex;
    }

    long nextIndex() {
        return nextIndex;
    }

    Snapshot snapshot() {
        return snapshot;
    }

    long snapshotOffset() {
        return snapshotOffset;
    }

    long heartbeatRound() {
        return heartbeatRound;
    }

    boolean isRecentlyActive() {
        return isRecentlyActive;
    }

    boolean isActive() {
        return isRecentlyActive || wasPreviouslyActive;
    }

    void markActive() {
        isRecentlyActive = true;
    }

    void startActivityPeriod() {
        wasPreviouslyActive = isRecentlyActive;
        isRecentlyActive = false;
    }

    void tick() {
        ticksSinceChunk++;
    }

    /** Records a reply: the incarnation of the follower's process and the heartbeat round. */
    void recordReply(long replyIncarnation, long round, long lastLogIndex) {
        if (incarnation != replyIncarnation) {
            if (incarnation != 0) {
                // The follower was restarted and may have lost entries it had acknowledged.
                matchIndex = 0;
                becomeProbe(Math.min(nextIndex, lastLogIndex + 1));
            }
            incarnation = replyIncarnation;
        }
        isRecentlyActive = true;
        heartbeatRound = Math.max(heartbeatRound, round);
    }

    /** Records that the logs match up to an index; returns whether that advances the match. */
    boolean recordMatch(long index) {
        boolean hasAdvanced = index > matchIndex;
        acknowledge(index);
        boolean isProbeAnswered = state == State.PROBE && index > 0;
        boolean hasSnapshot =
                hasAdvanced && state == State.SNAPSHOT && matchIndex >= snapshot.index();
        if (isProbeAnswered || hasSnapshot) {
            becomeProbe(matchIndex + 1);
            state = State.REPLICATE;
        }
        return hasAdvanced;
    }

    private void acknowledge(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        while (!inflight.isEmpty() && inflight.peek() <= matchIndex) {
            inflight.remove();
        }
    }

    /** Whether a rejection of the entries after {@code previousIndex} is not outdated. */
    boolean isCurrentRejection(long previousIndex) {
        return state != State.SNAPSHOT
                && previousIndex > matchIndex
                && (state == State.REPLICATE || previousIndex == nextIndex - 1);
    }

    void becomeProbe(long index) {
        state = State.PROBE;
        nextIndex = Math.max(index, matchIndex + 1);
        isProbeSent = false;
        inflight.clear();
        snapshot = null;
    }

    void becomeSnapshot(Snapshot toSend) {
        state = State.SNAPSHOT;
        snapshot = toSend;
        snapshotOffset = 0;
    }

    /** Allows another probe, as the previous one may be lost. */
    void allowProbe() {
        isProbeSent = false;
    }

    /** Whether entries may be sent: no snapshot is being sent and no probe is unanswered. */
    boolean isAwaitingEntries() {
        return state == State.REPLICATE || (state == State.PROBE && !isProbeSent);
    }

    /** Whether all entries have been sent, or the in-flight limit is reached. */
    boolean isSaturated(long lastLogIndex, int maxInflightMessages) {
        return state == State.REPLICATE
                && (nextIndex > lastLogIndex || inflight.size() >= maxInflightMessages);
    }

    void recordSent(int entryCount) {
        if (state == State.PROBE) {
            isProbeSent = true;
        } else {
            nextIndex += entryCount;
            inflight.add(nextIndex - 1);
        }
    }

    boolean isSending(long snapshotIndex) {
        return state == State.SNAPSHOT && snapshot.index() == snapshotIndex;
    }

    void recordSnapshotOffset(long offset) {
        snapshotOffset = offset;
    }

    void recordChunkSent() {
        ticksSinceChunk = 0;
    }

    boolean isChunkOverdue(int ticks) {
        return ticksSinceChunk >= ticks;
    }
}
