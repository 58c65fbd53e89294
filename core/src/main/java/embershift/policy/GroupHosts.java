package embershift.policy;

import embershift.model.GroupId;
import embershift.policy.Policy.Host;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Counts this node's tunnels per group and host; tunnels without a group are not counted. */
final class GroupHosts {

    private final Map<GroupId, Map<Host, Integer>> tunnelCounts = new HashMap<>();

    void add(GroupId group, Host host) {
        if (group != null) {
            tunnelCounts
                    .computeIfAbsent(group, key -> new LinkedHashMap<>())
                    .merge(host, 1, Integer::sum);
        }
    }

    void remove(GroupId group, Host host) {
        if (group != null) {
            tunnelCounts.computeIfPresent(
                    group,
                    (key, counts) -> {
                        counts.computeIfPresent(
                                host, (holder, count) -> count == 1 ? null : count - 1);
                        return counts.isEmpty() ? null : counts;
                    });
        }
    }

    /** The hosts that hold tunnels of the group, in the order in which they got their first. */
    Set<Host> hostsOf(GroupId group) {
        return tunnelCounts.getOrDefault(group, Map.of()).keySet();
    }

    int tunnelCount(GroupId group, Host host) {
        return group == null ? 0 : tunnelCounts.getOrDefault(group, Map.of()).getOrDefault(host, 0);
    }
}
