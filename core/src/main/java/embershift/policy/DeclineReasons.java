package embershift.policy;

import embershift.model.DeclineReason;
import embershift.policy.Policy.Host;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Finds out what kept a tunnel off all hosts, by the same criteria as the draw. The reason is
 * reported with the decline; no decision depends on it.
 */
final class DeclineReasons {

    private DeclineReasons() {}

    /**
     * The most common reason among the ready hosts; on a tie, the one declared last. {@code
     * usable}: hosts that get any new tunnels; {@code late}: those whose messages come too late for
     * the tunnel; {@code accepting}: those that would take it if they had room.
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
