package embershift.raft;

import java.util.List;
import java.util.Optional;

/**
 * The state that a member reads from disk when it starts.
 *
 * @param entries contiguous; they may start before the snapshot's index, but at the latest with the
 *     entry after it
 * @param isUntrusted whether data that was once durable may be missing at the end of the log: until
 *     the member has caught up with a leader, it neither votes nor becomes a candidate
 */
public record RecoveredState(
        HardState hardState,
        Optional<Snapshot> snapshot,
        List<LogEntry> entries,
        boolean isUntrusted) {

    /** The state of a member whose directory is empty. */
    public static final RecoveredState EMPTY =
            new RecoveredState(HardState.INITIAL, Optional.empty(), List.of(), false);
}
