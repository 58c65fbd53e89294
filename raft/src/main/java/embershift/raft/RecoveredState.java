package embershift.raft;

import java.util.List;
import java.util.Optional;

/**
 * What a member finds on its disk when it starts.
 *
 * @param entries without a gap; they may begin before the snapshot's index, never behind the entry
 *     that follows it
 * @param isUntrusted whether something that was durable once is missing at the end: until the
 *     member has caught up with a leader again it neither votes nor stands for election
 */
public record RecoveredState(
        HardState hardState,
        Optional<Snapshot> snapshot,
        List<LogEntry> entries,
        boolean isUntrusted) {

    /** Of a member whose directory is empty. */
    public static final RecoveredState EMPTY =
            new RecoveredState(HardState.INITIAL, Optional.empty(), List.of(), false);
}
