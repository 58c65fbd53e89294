package embershift.fleet.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** Nodes that may no longer act for the fleet, up to an incarnation of each. */
final class ShutOutNodes {

    private final Map<String, Long> lastIncarnations = new HashMap<>();

    /**
     * Nodes that the rollout itself has shut out; beyond a limited number that takes an operator.
     */
    private final Set<String> byRollout = new TreeSet<>();

    void add(String name, long incarnation, boolean isByRollout) {
        lastIncarnations.put(name, incarnation);
        if (isByRollout) {
            byRollout.add(name);
        }
    }

    void remove(String name) {
        lastIncarnations.remove(name);
        byRollout.remove(name);
    }

    Optional<Long> lastIncarnation(String name) {
        return Optional.ofNullable(lastIncarnations.get(name));
    }

    int countByRollout() {
        return byRollout.size();
    }
}
