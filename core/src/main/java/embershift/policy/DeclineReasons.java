package embershift.policy;

import embershift.model.DeclineReason;
import embershift.policy.Policy.Host;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * What kept a tunnel off all hosts, told with its decline: by what the draw went by, and decides
 * nothing.
 */
final class DeclineReasons {

    private DeclineReasons() {}

    /**
     * What stands at most of the hosts that are ready, of as many the later in its order. {@code
     * used}: hosts that get anything new; {@code late}: those whose messages come too late for the
     * tunnel; {@code taking}: those that would take it if they had room.
     */
    static DeclineReason mostCommon(
            Collection<Host> hosts,
            Predicate<Host> usable,
            Predicate<Host> late,
            Predicate<Host> accepting) {
        Map<DeclineReason, Integer> counts = new EnumMap<>(DeclineReason.class);
        for (Host host : hosts) {
            if (host.acceptsNew()) {
                counts.merge(
                        !usable.test(host)
                                ? host.isSilent()
                                        ? DeclineReason.HOSTS_SILENT
                                        : DeclineReason.HOSTS_FAILED
                                : late.test(host)
                                        ? DeclineReason.HOSTS_LATE
                                        : accepting.test(host)
                                                ? DeclineReason.HOSTS_FULL
                                                : DeclineReason.HOSTS_COLD,
                        1,
                        Integer::sum);
            }
        }
        return counts.entrySet().stream()
                .max(
                        Map.Entry.<DeclineReason, Integer>comparingByValue()
                                .thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .orElse(DeclineReason.NO_HOST_READY);
    }
}
