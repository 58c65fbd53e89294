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
final class Ageing<T> {

    private final Map<T, Double> since = new LinkedHashMap<>();
    private final double patience;

    Ageing(double patience) {
        this.patience = patience;
    }

    /** Begins to wait, unless it does already. */
    void begin(T thing, double now) {
        since.putIfAbsent(thing, now);
    }

    /** Ends the wait; returns when it began, or NaN. */
    double end(T thing) {
        Double begun = since.remove(thing);
        return begun == null ? Double.NaN : begun;
    }

    boolean has(T thing) {
        return since.containsKey(thing);
    }

    /** When the wait of that one began. */
    double begun(T thing) {
        return since.get(thing);
    }

    int size() {
        return since.size();
    }

    /** The one that waits the longest, or null. */
    T oldest() {
        return since.isEmpty() ? null : since.keySet().iterator().next();
    }

    /** Those that wait now, oldest first. */
    List<T> all() {
        return new ArrayList<>(since.keySet());
    }

    void expire(double now, Consumer<T> tooLong) {
        while (!since.isEmpty()) {
            Iterator<Map.Entry<T, Double>> oldest = since.entrySet().iterator();
            Map.Entry<T, Double> entry = oldest.next();
            if (now < entry.getValue() + patience) {
                return;
            }
            T thing = entry.getKey();
            oldest.remove();
            tooLong.accept(thing);
        }
    }
}
