package embershift.raft;

import java.util.ArrayList;
import java.util.List;

/**
 * The log entries in memory: all after {@link #compactedIndex}, the last one replaced by a
 * snapshot.
 */
final class LogEntries {

    /** The term of an entry that is not in memory. */
    static final long UNKNOWN_TERM = -1;

    private long compactedIndex;
    private long compactedTerm;
    private final ArrayList<LogEntry> entries = new ArrayList<>();

    LogEntries(long compactedIndex, long compactedTerm) {
        reset(compactedIndex, compactedTerm);
    }

    /** Drops all entries; the log continues after the given index. */
    void reset(long index, long term) {
        compactedIndex = index;
        compactedTerm = term;
        entries.clear();
    }

    long compactedIndex() {
        return compactedIndex;
    }

    long lastIndex() {
        return compactedIndex + entries.size();
    }

    long lastTerm() {
        return termAt(lastIndex());
    }

    /** Returns the term of an entry, or {@link #UNKNOWN_TERM}. */
    long termAt(long index) {
        if (index == compactedIndex) {
            return compactedTerm;
        }
        return contains(index) ? get(index).term() : UNKNOWN_TERM;
    }

    boolean contains(long index) {
        return index > compactedIndex && index <= lastIndex();
    }

    LogEntry get(long index) {
        return entries.get(offset(index));
    }

    private int offset(long index) {
        return (int) (index - compactedIndex - 1);
    }

    void append(LogEntry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalStateException(
                    "entry " + entry.index() + " appended after " + lastIndex());
        }
        entries.add(entry);
    }

    /** Drops the entry at {@code index} and all later ones. */
    void truncateFrom(long index) {
        entries.subList(offset(index), entries.size()).clear();
    }

    /** Drops all entries up to and including {@code index}. */
    void compactThrough(long index) {
        if (index > compactedIndex) {
            long term = termAt(index);
            entries.subList(0, offset(index) + 1).clear();
            entries.trimToSize();
            compactedIndex = index;
            compactedTerm = term;
        }
    }

    /** Returns entries from an index on, up to {@code maxBytes} but at least one if any exists. */
    List<LogEntry> entriesFrom(long index, int maxBytes) {
        List<LogEntry> selected = new ArrayList<>();
        int totalBytes = 0;
        for (long i = index; i <= lastIndex(); i++) {
            LogEntry entry = get(i);
            totalBytes += entry.sizeBytes();
            if (totalBytes > maxBytes && !selected.isEmpty()) {
                break;
            }
            selected.add(entry);
        }
        return selected;
    }

    /**
     * Returns the last index up to {@code index} whose term is not later than {@code term}, and at
     * least the compacted index.
     */
    long lastIndexNotAfterTerm(long index, long term) {
        long candidate = Math.min(index, lastIndex());
        while (candidate > compactedIndex && termAt(candidate) > term) {
            candidate--;
        }
        return candidate;
    }
}
