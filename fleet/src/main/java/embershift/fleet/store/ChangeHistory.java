package embershift.fleet.store;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * The latest changes of the store, for watches. The history is not part of the replicated state: it
 * starts empty after a snapshot is loaded.
 */
final class ChangeHistory {

    private static final int MAX_EVENTS = 10_000;
    private static final int MAX_CHARS = 8 << 20;

    private final Deque<WatchEvent> events = new ArrayDeque<>();
    private long totalChars;
    private long oldestKnownRevision;

    /** Creates a history that knows the changes from a revision on. */
    ChangeHistory(long oldestKnownRevision) {
        this.oldestKnownRevision = oldestKnownRevision;
    }

    void add(WatchEvent event) {
        events.add(event);
        totalChars += size(event);
        while (events.size() > MAX_EVENTS || totalChars > MAX_CHARS) {
            WatchEvent dropped = events.remove();
            totalChars -= size(dropped);
            oldestKnownRevision = dropped.revision() + 1;
        }
    }

    private static int size(WatchEvent event) {
        return KeyValueStore.size(event.key(), event.value().orElse(""));
    }

    /** Returns changes from a revision on; empty if some of them are no longer kept. */
    Optional<List<WatchEvent>> since(long revision, String prefix) {
        if (revision < oldestKnownRevision) {
            return Optional.empty();
        }
        return Optional.of(
                events.stream()
                        .filter(event -> event.revision() >= revision)
                        .filter(event -> event.key().startsWith(prefix))
                        .toList());
    }
}
