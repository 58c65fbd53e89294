package embershift.fleet.store;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

/** Calls that wait for the next change of keys with a prefix. */
final class Watches {

    private static final int MAX_WATCHES = 4096;

    private record Watch(long call, String prefix, long fromRevision) {}

    private final List<Watch> watches = new ArrayList<>();

    /** Adds a watch; returns the rejection if there are too many, or empty. */
    Optional<CallResult.Rejected> add(long call, String prefix, long fromRevision) {
        if (watches.size() >= MAX_WATCHES) {
            return Optional.of(
                    new CallResult.Rejected(
                            CallResult.Reason.BUSY, "there are " + MAX_WATCHES + " watches"));
        }
        watches.add(new Watch(call, prefix, fromRevision));
        return Optional.empty();
    }

    void remove(long call) {
        watches.removeIf(watch -> watch.call == call);
    }

    /**
     * Completes each watch for which something has changed, or whose changes are no longer kept.
     */
    void answer(KeyValueStore store, BiConsumer<Long, CallResult> complete) {
        for (Iterator<Watch> each = watches.iterator(); each.hasNext(); ) {
            Watch watch = each.next();
            Optional<List<WatchEvent>> events = store.eventsSince(watch.fromRevision, watch.prefix);
            if (events.isEmpty()) {
                each.remove();
                complete.accept(watch.call, compacted(store));
            } else if (!events.get().isEmpty()) {
                each.remove();
                complete.accept(
                        watch.call, new CallResult.Changed(events.get(), store.revision() + 1));
            }
        }
    }

    private static CallResult compacted(KeyValueStore store) {
        return new CallResult.Rejected(
                CallResult.Reason.COMPACTED,
                "changes before revision " + store.revision() + " are not known here any more");
    }
}
