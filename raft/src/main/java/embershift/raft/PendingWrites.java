package embershift.raft;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** Disk writes that are not durable yet, and the actions deferred until they are. */
final class PendingWrites {

    private record Write(long number, int startedAt) {}

    private record DeferredAction(long afterWrite, Runnable action) {}

    private final RaftEnvironment environment;
    private final int stallTicks;
    private final Deque<Write> incomplete = new ArrayDeque<>();
    private final Deque<DeferredAction> deferred = new ArrayDeque<>();

    /** The index made durable by each incomplete write with log entries or a snapshot. */
    private final TreeMap<Long, Long> indexByWrite = new TreeMap<>();

    private long lastNumber;
    private long durableIndex;
    private int ticks;

    PendingWrites(RaftEnvironment environment, int stallTicks, long durableIndex) {
        this.environment = environment;
        this.stallTicks = stallTicks;
        this.durableIndex = durableIndex;
    }

    void tick() {
        ticks++;
    }

    /** Whether the oldest write has been incomplete for {@code stallTicks} or longer. */
    boolean isStalled() {
        return !incomplete.isEmpty() && ticks - incomplete.peek().startedAt >= stallTicks;
    }

    /** The last log index that is durable at this member. */
    long durableIndex() {
        return durableIndex;
    }

    void write(
            Optional<HardState> hardState,
            Optional<Snapshot> snapshot,
            boolean replacesLog,
            List<LogEntry> entries) {
        WriteRequest request =
                new WriteRequest(++lastNumber, hardState, snapshot, replacesLog, entries);
        incomplete.add(new Write(request.number(), ticks));
        if (request.lastIndex() > 0) {
            indexByWrite.put(request.number(), request.lastIndex());
        }
        environment.persist(request);
    }

    void writeEntries(List<LogEntry> entries) {
        write(Optional.empty(), Optional.empty(), false, entries);
    }

    void writeSnapshot(Snapshot snapshot, boolean replacesLog) {
        write(Optional.empty(), Optional.of(snapshot), replacesLog, List.of());
    }

    /** Called once all writes up to {@code number} are durable. */
    void completed(long number) {
        while (!incomplete.isEmpty() && incomplete.peek().number <= number) {
            Long index = indexByWrite.remove(incomplete.remove().number);
            if (index != null) {
                durableIndex = Math.max(durableIndex, index);
            }
        }
        while (!deferred.isEmpty() && deferred.peek().afterWrite <= number) {
            deferred.remove().action.run();
        }
    }

    /** Runs an action once all writes so far are durable; immediately if they already are. */
    void whenDurable(Runnable action) {
        if (incomplete.isEmpty()) {
            action.run();
        } else {
            deferred.add(new DeferredAction(lastNumber, action));
        }
    }

    /** Called when entries from an index on are dropped from the log, durable or not. */
    void truncateFrom(long index) {
        durableIndex = Math.min(durableIndex, index - 1);
        indexByWrite.replaceAll((number, written) -> Math.min(written, index - 1));
    }

    /** Called when a snapshot replaces the whole log. */
    void reset() {
        durableIndex = 0;
        indexByWrite.clear();
    }
}
