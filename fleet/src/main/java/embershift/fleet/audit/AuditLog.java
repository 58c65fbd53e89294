package embershift.fleet.audit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A node's audit log until the instances have stored it: entries that are pending, and at most one
 * segment that is not acknowledged. If there is no space the oldest pending entries are dropped;
 * the missing numbers tell of it. A segment keeps its content and number until it is acknowledged:
 * two instances that were sent it have the same.
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

    /** Creates an empty log of up to {@code maxPending} pending entries. */
    public AuditLog(int maxPending) {
        this.maxPending = maxPending;
    }

    /**
     * Appends an entry.
     *
     * @param wallClockMillis of this machine's clock, which may be set back
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

    /** A message carried another clock's time. */
    public void observe(HybridLogicalClock other, long wallClockMillis) {
        clock = clock.merge(other, wallClockMillis);
    }

    /** Returns the time of the latest event. */
    public HybridLogicalClock clock() {
        return clock;
    }

    /** Returns how many entries were dropped for want of space. */
    public long droppedEntries() {
        return droppedEntries;
    }

    /** Returns the segment to send, maybe once more; empty while there is none. */
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

    /** The instances have stored the segment of that number. */
    public void acknowledged(long segmentNumber) {
        unacknowledged
                .filter(segment -> segment.number() == segmentNumber)
                .ifPresent(
                        segment -> {
                            previousDigest = segment.digest();
                            unacknowledged = Optional.empty();
                        });
    }

    /** Whether everything is stored. */
    public boolean isEmpty() {
        return unacknowledged.isEmpty() && pending.isEmpty();
    }
}
