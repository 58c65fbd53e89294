package embershift.hosted;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Bounds the bytes that connections hold in memory, all together and in time. A state machine
 * without I/O or clock.
 *
 * @param <C> a connection
 */
final class HeldBytes<C> {

    private record Held(long bytes, double since) {}

    private final long maxBytes;
    private final double maxSeconds;
    private final Map<C, Held> held = new LinkedHashMap<>();
    private long totalBytes;

    /**
     * Creates a bound.
     *
     * @param maxBytes bytes that all connections may hold together
     * @param maxSeconds time for which one connection may hold bytes
     */
    HeldBytes(long maxBytes, double maxSeconds) {
        this.maxBytes = maxBytes;
        this.maxSeconds = maxSeconds;
    }

    /** Records what a connection holds; its time begins when it held nothing before. */
    void record(C connection, long bytes, double now) {
        Held previous = held.get(connection);
        release(connection);
        if (bytes > 0) {
            held.put(connection, new Held(bytes, previous == null ? now : previous.since));
            totalBytes += bytes;
        }
    }

    /** Records that a connection holds nothing any more. */
    void release(C connection) {
        Held previous = held.remove(connection);
        totalBytes -= previous == null ? 0 : previous.bytes;
    }

    /** Returns the connection that holds the most, if all together hold too much. */
    Optional<C> largestBeyondLimit() {
        return totalBytes <= maxBytes
                ? Optional.empty()
                : held.entrySet().stream()
                        .max(Map.Entry.comparingByValue((a, b) -> Long.compare(a.bytes, b.bytes)))
                        .map(Map.Entry::getKey);
    }

    /** Returns the connections that have held bytes for too long. */
    List<C> overdue(double now) {
        List<C> overdue = new ArrayList<>();
        held.forEach(
                (connection, each) -> {
                    if (now - each.since > maxSeconds) {
                        overdue.add(connection);
                    }
                });
        return overdue;
    }

    /** Returns the bytes that all connections hold together. */
    long totalBytes() {
        return totalBytes;
    }
}
