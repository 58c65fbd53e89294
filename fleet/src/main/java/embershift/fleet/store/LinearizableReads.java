package embershift.fleet.store;

import embershift.raft.Raft;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Reads that wait until the leader is confirmed and the state they are answered from has been
 * applied.
 */
final class LinearizableReads {

    private record PendingRead(long call, Consumer<KeyValueStore> action) {}

    private record ReadyRead(long index, Consumer<KeyValueStore> action) {}

    private final Map<Long, PendingRead> pendingByTicket = new HashMap<>();
    private final List<ReadyRead> ready = new ArrayList<>();
    private long lastTicket;

    /** Begins a read: {@code action} receives a state that is no older than this call. */
    void begin(Raft raft, long call, Consumer<KeyValueStore> action) {
        long ticket = ++lastTicket;
        pendingByTicket.put(ticket, new PendingRead(call, action));
        raft.read(ticket);
    }

    /** Called when the read may be answered once the entry at that index is applied. */
    void confirmed(long ticket, long index) {
        PendingRead read = pendingByTicket.remove(ticket);
        if (read != null) {
            ready.add(new ReadyRead(index, read.action));
        }
    }

    /** Called when the read cannot be answered by this member; {@code reject} receives its call. */
    void rejected(long ticket, LongConsumer reject) {
        PendingRead read = pendingByTicket.remove(ticket);
        if (read != null) {
            reject.accept(read.call);
        }
    }

    void answerReady(KeyValueStore store) {
        if (!ready.isEmpty()) {
            List<ReadyRead> applied =
                    ready.stream().filter(each -> each.index <= store.appliedIndex()).toList();
            ready.removeAll(applied);
            applied.forEach(each -> each.action.accept(store));
        }
    }
}
