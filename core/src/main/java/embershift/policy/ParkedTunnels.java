package embershift.policy;

import embershift.model.SubjectId;
import embershift.policy.Policy.Host;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the host to which each passed-through tunnel's packets last went, for as long as that
 * host keeps the tunnel.
 */
final class ParkedTunnels {

    private record ParkedTunnel(Host host, double parkedAt) {}

    private final Map<SubjectId, ParkedTunnel> parkedTunnels = new LinkedHashMap<>();
    private final double parkTime;

    ParkedTunnels(double parkTime) {
        this.parkTime = parkTime;
    }

    void remember(SubjectId subject, Host host, double now) {
        parkedTunnels.remove(subject);
        parkedTunnels.put(subject, new ParkedTunnel(host, now));
        while (now - parkedTunnels.values().iterator().next().parkedAt > parkTime) {
            parkedTunnels.remove(parkedTunnels.keySet().iterator().next());
        }
    }

    /** The host that still keeps the subject's tunnel, or null; the entry is removed. */
    Host recall(SubjectId subject, double now) {
        ParkedTunnel parkedTunnel = subject == null ? null : parkedTunnels.remove(subject);
        return parkedTunnel != null && now - parkedTunnel.parkedAt < parkTime
                ? parkedTunnel.host
                : null;
    }
}
