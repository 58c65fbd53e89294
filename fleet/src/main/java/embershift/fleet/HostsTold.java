package embershift.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The list of hosts as one owner of the duty {@code lists} tells it: numbered by its changes, told
 * whole or by difference.
 */
public final class HostsTold {

    /** Changes that are remembered; whoever is further behind is told the whole list. */
    private static final int DIFFERENCES = 256;

    private record Step(long number, Set<String> touched) {}

    private final TreeMap<String, String> entries = new TreeMap<>();
    private final Deque<Step> steps = new ArrayDeque<>();
    private long number;
    private long generation;

    /**
     * Discovery's whole list; whether anything in it is new. A generation before the one known is
     * discovery's old word.
     */
    public boolean heard(long told, Map<String, String> whole) {
        if (number > 0 && told < generation) {
            return false;
        }
        generation = told;
        Set<String> touched = new LinkedHashSet<>();
        for (Map.Entry<String, String> entry : whole.entrySet()) {
            if (!entry.getValue().equals(entries.put(entry.getKey(), entry.getValue()))) {
                touched.add(entry.getKey());
            }
        }
        for (String host : Set.copyOf(entries.keySet())) {
            if (!whole.containsKey(host)) {
                entries.remove(host);
                touched.add(host);
            }
        }
        if (touched.isEmpty() && number > 0) {
            return false;
        }
        steps.add(new Step(++number, touched));
        if (steps.size() > DIFFERENCES) {
            steps.remove();
        }
        return true;
    }

    /**
     * Discovery began anew, with generations of its own: what it says next is its word, whatever
     * their number.
     */
    public void discoveryBeganAnew() {
        generation = Long.MIN_VALUE;
    }

    /** 0 until discovery was heard. */
    public long number() {
        return number;
    }

    public Map<String, String> entries() {
        return entries;
    }

    /**
     * What one who has the list of that number lacks; whole where that can't be told, or is no
     * shorter.
     */
    public HostsChange since(long base) {
        boolean known =
                base > 0
                        && base <= number
                        && (base == number || steps.getFirst().number <= base + 1);
        if (!known) {
            return new HostsChange(number, 0, generation, new LinkedHashMap<>(entries), Set.of());
        }
        Map<String, String> changed = new LinkedHashMap<>();
        Set<String> gone = new LinkedHashSet<>();
        for (Step step : steps) {
            if (step.number > base) {
                for (String host : step.touched) {
                    String now = entries.get(host);
                    if (now == null) {
                        gone.add(host);
                    } else {
                        changed.put(host, now);
                    }
                }
            }
        }
        return new HostsChange(number, base, generation, changed, gone);
    }
}
