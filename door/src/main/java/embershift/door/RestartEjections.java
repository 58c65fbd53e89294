package embershift.door;

import embershift.fleet.audit.AuditEntry;
import embershift.fleet.lease.FencingToken;
import embershift.model.HostId;
import embershift.operations.HostEjections;
import java.util.Collection;
import java.util.Set;

/** Hosts that this node doesn't use while they are restarted. */
final class RestartEjections {

    /** The source of these ejections, among others' at the same node. */
    private static final String EJECTION_SOURCE = "release";

    /** Seconds for which hosts stay ejected when no order confirms it any more. */
    private static final double LIFETIME_SECONDS = 30;

    private final HostEjections ejections;
    private final AuditUploader auditLog;
    private double expiresAt = Double.NEGATIVE_INFINITY;

    RestartEjections(HostEjections ejections, AuditUploader auditLog) {
        this.ejections = ejections;
        this.auditLog = auditLog;
    }

    /** Ejects these hosts, and no others, until {@link #LIFETIME_SECONDS} have passed. */
    void replace(double now, FencingToken token, Set<HostId> hosts) {
        expiresAt = now + LIFETIME_SECONDS;
        Set<HostId> before = ejections.ejectedBy(EJECTION_SOURCE);
        ejections.replaceEjectedBy(EJECTION_SOURCE, hosts);
        if (!before.equals(hosts)) {
            auditLog.append(
                    AuditEntry.Kind.ORDER,
                    EjectionChange.entryFields(OrderAction.RESTART_TASK, token, before, hosts),
                    "");
        }
    }

    void tick(double now) {
        if (now > expiresAt) {
            expiresAt = Double.POSITIVE_INFINITY;
            ejections.replaceEjectedBy(EJECTION_SOURCE, Set.of());
        }
    }

    Collection<String> hostNames() {
        return ejections.ejectedBy(EJECTION_SOURCE).stream().map(HostId::name).toList();
    }
}
