package embershift.raft;

import java.util.ArrayDeque;
import java.util.Deque;

/** What a leader knows of one other member's log, and how it sends to it. */
final class FollowerProgress {

    /** How entries are sent. */
    enum State {
        /** One message at a time, until it is known where the logs match. */
        PROBE,
        /** Ahead of the replies. */
        REPLICATE,
        /** A snapshot in chunks, as the follower lacks entries that are compacted. */
        SNAPSHOT
    }

    private State state = State.PROBE;

    /** The last index known to be durable there as the leader has it. */
    private long matchIndex;

    private long nextIndex;

    /** Whether a probe is out; the next heartbeat allows another. */
    private boolean isProbeSent;

    /** The last index of each message without a reply. */
    private final Deque<Long> inflight = new ArrayDeque<>();

    /** Whether it was heard of in the current activity period, and in the one before. */
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

    /** Notes which process of the follower replied, to a heartbeat of which round. */
    void recordReply(long replyIncarnation, long round, long lastLogIndex) {
        if (incarnation != replyIncarnation) {
            if (incarnation != 0) {
                // It was restarted, and may have lost what it had acknowledged.
                matchIndex = 0;
                becomeProbe(Math.min(nextIndex, lastLogIndex + 1));
            }
            incarnation = replyIncarnation;
        }
        isRecentlyActive = true;
        heartbeatRound = Math.max(heartbeatRound, round);
    }

    /** Notes that the logs match up to that index; returns whether that is more than was known. */
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

    /** Whether a rejection of entries behind {@code previousIndex} is news. */
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

    /** Allows another probe, as the one before may be lost. */
    void allowProbe() {
        isProbeSent = false;
    }

    /** Whether entries are what it is sent next, and no probe is out. */
    boolean isAwaitingEntries() {
        return state == State.REPLICATE || (state == State.PROBE && !isProbeSent);
    }

    /** Whether it has been sent all there is, or as much as may be in flight. */
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
