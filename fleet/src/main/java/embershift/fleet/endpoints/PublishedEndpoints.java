package embershift.fleet.endpoints;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The endpoint list as its publisher has it. Each change gets a number; updates contain the
 * complete list or the difference to an earlier number.
 */
public final class PublishedEndpoints {

    /** Number of changes that are kept; a node that is further behind gets the complete list. */
    private static final int MAX_DELTAS = 256;

    private record Delta(long number, Set<String> hosts) {}

    private final TreeMap<String, String> entries = new TreeMap<>();
    private final Deque<Delta> deltas = new ArrayDeque<>();
    private long number;
    private long generation;

    /**
     * Replaces the list by discovery's complete one; returns whether that changes anything. A list
     * of an earlier generation is ignored.
     */
    public boolean update(long newGeneration, Map<String, String> fullList) {
        if (number > 0 && newGeneration < generation) {
            return false;
        }
        generation = newGeneration;
        Set<String> changedHosts = replaceEntries(fullList);
        if (changedHosts.isEmpty() && number > 0) {
            return false;
        }
        number++;
        deltas.add(new Delta(number, changedHosts));
        if (deltas.size() > MAX_DELTAS) {
            deltas.remove();
        }
        return true;
    }

    private Set<String> replaceEntries(Map<String, String> fullList) {
        Set<String> changedHosts = new LinkedHashSet<>();
        for (Map.Entry<String, String> entry : fullList.entrySet()) {
            String previous = entries.put(entry.getKey(), entry.getValue());
            if (!entry.getValue().equals(previous)) {
                changedHosts.add(entry.getKey());
            }
        }
        for (String host : Set.copyOf(entries.keySet())) {
            if (!fullList.containsKey(host)) {
                entries.remove(host);
                changedHosts.add(host);
            }
        }
        return changedHosts;
    }

    /** Called when discovery was restarted: its next list is accepted whatever its generation. */
    public void discoveryRestarted() {
        generation = Long.MIN_VALUE;
    }

    /** Returns the number of the list, or 0 before discovery's first list. */
    public long number() {
        return number;
    }

    /** Returns the entries by host. */
    public Map<String, String> entries() {
        return entries;
    }

    /**
     * Returns the update for a node that has the list with this number; the complete list if the
     * difference is not known.
     */
    public EndpointUpdate updateSince(long baseNumber) {
        boolean isKnown =
                baseNumber > 0
                        && baseNumber <= number
                        && (baseNumber == number || deltas.getFirst().number <= baseNumber + 1);
        if (!isKnown) {
            return new EndpointUpdate(
                    number, 0, generation, new LinkedHashMap<>(entries), Set.of());
        }
        Map<String, String> changed = new LinkedHashMap<>();
        Set<String> removed = new LinkedHashSet<>();
        for (Delta delta : deltas) {
            if (delta.number > baseNumber) {
                for (String host : delta.hosts) {
                    String entry = entries.get(host);
                    if (entry == null) {
                        removed.add(host);
                    } else {
                        changed.put(host, entry);
                    }
                }
            }
        }
        return new EndpointUpdate(number, baseNumber, generation, changed, removed);
    }
}
