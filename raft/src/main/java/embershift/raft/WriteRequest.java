package embershift.raft;

import java.util.List;
import java.util.Optional;

/**
 * Data that a member must have on disk. Requests take effect in the order of their numbers; within
 * one, the snapshot comes before the entries.
 *
 * @param number increases by one with each request
 * @param hardState if present, takes the place of the one before
 * @param snapshot if present, takes the place of the one before
 * @param replacesLog whether the snapshot also takes the place of the whole log
 * @param entries each takes the place of the entry at its index and of all behind it
 */
public record WriteRequest(
        long number,
        Optional<HardState> hardState,
        Optional<Snapshot> snapshot,
        boolean replacesLog,
        List<LogEntry> entries) {

    /** Returns the last log index that is durable once this request is, or 0 where it has none. */
    long lastIndex() {
        return entries.isEmpty()
                ? snapshot.map(Snapshot::index).orElse(0L)
                : entries.get(entries.size() - 1).index();
    }
}
