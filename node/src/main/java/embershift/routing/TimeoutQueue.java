package embershift.routing;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Elements that all have the same timeout, in the order in which they were added, so that a search
 * for expired ones does not visit the others.
 */
final class TimeoutQueue<T> {

    private final Map<T, Double> addedAt = new LinkedHashMap<>();
    private final double timeout;

    TimeoutQueue(double patience) {
        this.timeout = patience;
    }

    /** Adds the element, unless it is in the queue already. */
    void add(T element, double now) {
        addedAt.putIfAbsent(element, now);
    }

    /** Removes the element; returns when it was added, or NaN if it was not in the queue. */
    double remove(T element) {
        Double added = addedAt.remove(element);
        return added == null ? Double.NaN : added;
    }

    boolean contains(T element) {
        return addedAt.containsKey(element);
    }

    /** When the element was added, which must be in the queue. */
    double addedAt(T element) {
        return addedAt.get(element);
    }

    int size() {
        return addedAt.size();
    }

    /** The element that was added first, or null. */
    T oldest() {
        return addedAt.isEmpty() ? null : addedAt.keySet().iterator().next();
    }

    /** A copy of the elements, oldest first. */
    List<T> snapshot() {
        return new ArrayList<>(addedAt.keySet());
    }

    /** Removes all elements that have reached the timeout, and passes each on. */
    void expire(double now, Consumer<T> onTimeout) {
        while (!addedAt.isEmpty()) {
            Iterator<Map.Entry<T, Double>> oldest = addedAt.entrySet().iterator();
            Map.Entry<T, Double> entry = oldest.next();
            if (now < entry.getValue() + timeout) {
                return;
            }
            T element = entry.getKey();
            oldest.remove();
            onTimeout.accept(element);
        }
    }
}
