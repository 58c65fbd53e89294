package embershift.routing;

import java.util.Map;
import java.util.TreeMap;

/** What the node takes in, sends and answers, counted by name. */
public final class Tally {

    private final Map<String, long[]> counts = new TreeMap<>();

    public void count(String name) {
        add(name, 1);
    }

    void add(String name, long many) {
        counts.computeIfAbsent(name, key -> new long[1])[0] += many;
    }

    /** One line for each count, by name. */
    @Override
    public String toString() {
        StringBuilder out = new StringBuilder();
        counts.forEach((name, count) -> out.append(name).append(' ').append(count[0]).append('\n'));
        return out.toString();
    }
}
