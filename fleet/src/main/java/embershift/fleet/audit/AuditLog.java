package embershift.fleet.audit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The part of a node's audit log that the instances have not stored yet: pending entries, and at
 * most one unacknowledged segment. If there are too many pending entries, the oldest are dropped,
 * which shows as a gap in the entry numbers. A segment keeps its content and number until it is
 * acknowledged, so that instances that receive it more than once get the same.
 */
public final class AuditLog {

    private static final int MAX_SEGMENT_ENTRIES = 64;

    private final int maxPending;
    private final Deque<AuditEntry> pending = new ArrayDeque<>();
    private HybridLogicalClock clock = HybridLogicalClock.START;
    private long lastEntryNumber;
    private long lastSegmentNumber;
    private long droppedEntries;
    private String previousDigest = "";
    private Optional<AuditSegment> unacknowledged = Optional.empty();

    /** Creates an empty log that keeps up to {@code maxPending} pending entries. */
    public AuditLog(int maxPending) {
        this.maxPending = maxPending;
    }

    /**
     * Appends an entry.
     *
     * @param wallClockMillis this machine's clock, which may be set back
     */
    public void append(
            long wallClockMillis, AuditEntry.Kind kind, Map<String, String> fields, String text) {
        clock = clock.next(wallClockMillis);
        if (pending.size() >= maxPending) {
            pending.remove();
            droppedEntries++;
        }
        lastEntryNumber++;
        pending.add(new AuditEntry(lastEntryNumber, clock, kind, fields, text));
    }

    /** Advances the clock by the time that a message from another clock carried. */
    public void observe(HybridLogicalClock other, long wallClockMillis) {
        clock = clock.merge(other, wallClockMillis);
    }

    /** Returns the time of the latest event. */
    public HybridLogicalClock clock() {
        return clock;
    }

    /** Returns how many entries were dropped for lack of space. */
    public long droppedEntries() {
        return droppedEntries;
    }

    /**
     * Returns the segment to send, which may have been sent before; empty if there is nothing to
     * send.
     */
    public Optional<AuditSegment> nextSegment(String node, long incarnation) {
        if (unacknowledged.isEmpty() && !pending.isEmpty()) {
            List<AuditEntry> entries = new ArrayList<>();
            while (!pending.isEmpty() && entries.size() < MAX_SEGMENT_ENTRIES) {
                entries.add(pending.remove());
            }
            lastSegmentNumber++;
            unacknowledged =
                    Optional.of(
                            new AuditSegment(
                                    node, incarnation, lastSegmentNumber, previousDigest, entries));
        }
        return unacknowledged;
    }

    /** Called when the instances have stored the segment with this number. */
    public void acknowledged(long segmentNumber) {
        unacknowledged
                .filter(segment -> segment.number() == segmentNumber)
                .ifPresent(
                        segment -> {
                            previousDigest = segment.digest();
                            unacknowledged = Optional.empty();
                        });
    }

    /** Whether all entries are stored. */
    public boolean isEmpty() {
        return unacknowledged.isEmpty() && pending.isEmpty();
    }
}
