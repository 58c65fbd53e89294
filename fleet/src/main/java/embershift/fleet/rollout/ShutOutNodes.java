package embershift.fleet.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** The nodes that may not act for the fleet any more, up to an incarnation of each. */
final class ShutOutNodes {

    private final Map<String, Long> lastIncarnations = new HashMap<>();

    /** Those that the rollout has shut out itself: only so many may be without a person. */
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
