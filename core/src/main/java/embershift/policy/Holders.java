package embershift.policy;

import embershift.model.GroupId;
import embershift.policy.Policy.Host;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Where this node's tunnels of a group are, and how many; a tunnel of no group counts nowhere. */
final class Holders {

    private final Map<GroupId, Map<Host, Integer>> holders = new HashMap<>();

    void add(GroupId group, Host host) {
        if (group != null) {
            holders.computeIfAbsent(group, name -> new LinkedHashMap<>())
                    .merge(host, 1, Integer::sum);
        }
    }

    void remove(GroupId group, Host host) {
        if (group != null) {
            holders.computeIfPresent(
                    group,
                    (name, at) -> {
                        at.computeIfPresent(host, (there, held) -> held == 1 ? null : held - 1);
                        return at.isEmpty() ? null : at;
                    });
        }
    }

    /** The hosts that hold some of the group, in the order in which they came to it. */
    Set<Host> of(GroupId group) {
        return holders.getOrDefault(group, Map.of()).keySet();
    }

    int held(GroupId group, Host host) {
        return group == null ? 0 : holders.getOrDefault(group, Map.of()).getOrDefault(host, 0);
    }
}
