package embershift.routing;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Things that may wait for the same time each, oldest first: looking for those that waited too long
 * costs nothing for the others.
 */
final class TimeoutQueue<T> {

    private final Map<T, Double> addedAt = new LinkedHashMap<>();
    private final double timeout;

    TimeoutQueue(double patience) {
        this.timeout = patience;
    }

    /** Begins to wait, unless it does already. */
    void add(T thing, double now) {
        addedAt.putIfAbsent(thing, now);
    }

    /** Ends the wait; returns when it began, or NaN. */
    double remove(T thing) {
        Double begun = addedAt.remove(thing);
        return begun == null ? Double.NaN : begun;
    }

    boolean contains(T thing) {
        return addedAt.containsKey(thing);
    }

    /** When the wait of that one began. */
    double addedAt(T thing) {
        return addedAt.get(thing);
    }

    int size() {
        return addedAt.size();
    }

    /** The one that waits the longest, or null. */
    T oldest() {
        return addedAt.isEmpty() ? null : addedAt.keySet().iterator().next();
    }

    /** Those that wait now, oldest first. */
    List<T> snapshot() {
        return new ArrayList<>(addedAt.keySet());
    }

    void expire(double now, Consumer<T> tooLong) {
        while (!addedAt.isEmpty()) {
            Iterator<Map.Entry<T, Double>> oldest = addedAt.entrySet().iterator();
            Map.Entry<T, Double> entry = oldest.next();
            if (now < entry.getValue() + timeout) {
                return;
            }
            T thing = entry.getKey();
            oldest.remove();
            tooLong.accept(thing);
        }
    }
}
