package embershift.raft;

import java.util.List;
import java.util.Optional;

/**
 * Data to be made durable. Requests take effect in the order of their numbers; within a request,
 * the snapshot takes effect before the entries.
 *
 * @param number increases by one with each request
 * @param hardState if present, replaces the previous one
 * @param snapshot if present, replaces the previous one
 * @param replacesLog whether the snapshot also replaces the whole log
 * @param entries each replaces the entry at its index and all later ones
 */
public record WriteRequest(
        long number,
        Optional<HardState> hardState,
        Optional<Snapshot> snapshot,
        boolean replacesLog,
        List<LogEntry> entries) {

    /** Returns the last log index that is durable once this request is, or 0 if it has none. */
    long lastIndex() {
        return entries.isEmpty()
                ? snapshot.map(Snapshot::index).orElse(0L)
                : entries.get(entries.size() - 1).index();
    }
}
