package embershift.policy;

import embershift.model.SubjectId;
import embershift.policy.Policy.Host;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Where the packets of each passed-through tunnel last went, for as long as their host keeps them.
 */
final class Partings {

    private record Parting(Host host, double at) {}

    private final Map<SubjectId, Parting> partings = new LinkedHashMap<>();
    private final double kept;

    Partings(double kept) {
        this.kept = kept;
    }

    void remember(SubjectId subject, Host host, double now) {
        partings.remove(subject);
        partings.put(subject, new Parting(host, now));
        while (now - partings.values().iterator().next().at > kept) {
            partings.remove(partings.keySet().iterator().next());
        }
    }

    /** The host that still keeps the subject's tunnel, or null; it is told once. */
    Host recall(SubjectId subject, double now) {
        Parting parting = subject == null ? null : partings.remove(subject);
        return parting != null && now - parting.at < kept ? parting.host : null;
    }
}
