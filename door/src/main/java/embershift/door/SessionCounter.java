package embershift.door;

import embershift.fleet.audit.AuditEntry;
import embershift.fleet.rollout.AppliedRevision;
import embershift.model.HostId;
import embershift.routing.Router;
import embershift.routing.Tally;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Counts, for the audit log, the sessions that were answered under each configuration revision, and
 * the setups that were sent to hosts although the revision ejects them.
 */
final class SessionCounter {

    /** Seconds between two entries, where there was anything to count, and in any case. */
    private static final double INTERVAL_SECONDS = 15;

    private static final double IDLE_INTERVAL_SECONDS = 60;

    /** A counter of the node, and its name in reports and in the audit log. */
    private record Counter(String tallyName, String field) {}

    private static final List<Counter> COUNTERS =
            List.of(
                    new Counter("tunnels opened", "opened"),
                    new Counter("tunnels declined", "declined"),
                    new Counter("tunnels closed with error", "failed"));

    private final Router router;
    private final AppliedRevision revision;
    private final AuditUploader auditLog;
    private final Map<Counter, Long> recorded = new HashMap<>();
    private final Map<HostId, Long> recordedSetups = new HashMap<>();
    private double recordedAt;

    SessionCounter(
            Router router, AppliedRevision revision, AuditUploader auditLog, double startedAt) {
        this.router = router;
        this.revision = revision;
        this.auditLog = auditLog;
        recordedAt = startedAt;
    }

    /** Returns the totals since the start, by their names in reports and in their order there. */
    static Map<String, Long> totals(Tally tally) {
        Map<String, Long> totals = new LinkedHashMap<>();
        COUNTERS.forEach(each -> totals.put(each.field, tally.of(each.tallyName)));
        return totals;
    }

    void tick(double now) {
        if (now - recordedAt >= INTERVAL_SECONDS) {
            record(now, now - recordedAt >= IDLE_INTERVAL_SECONDS);
        }
    }

    /** Records what was counted since the last time, also nothing if {@code evenIfNone}. */
    void record(double now, boolean evenIfNone) {
        Map<String, String> fields = new TreeMap<>();
        COUNTERS.forEach(each -> addSessions(fields, each));
        recordedSetups.replaceAll((host, before) -> addSetups(fields, host, before));
        if (!fields.isEmpty() || evenIfNone) {
            recordedAt = now;
            fields.put("revision", String.valueOf(revision.number()));
            auditLog.append(AuditEntry.Kind.TUNNELS, fields, "");
        }
    }

    private void addSessions(Map<String, String> fields, Counter counter) {
        long total = router.tally().of(counter.tallyName);
        long before = recorded.getOrDefault(counter, 0L);
        if (total > before) {
            fields.put(counter.field, String.valueOf(total - before));
            recorded.put(counter, total);
        }
    }

    private long addSetups(Map<String, String> fields, HostId host, long before) {
        long total = router.setupsSent(host);
        if (total <= before) {
            return before;
        }
        fields.put("to." + host.name(), String.valueOf(total - before));
        return total;
    }

    /** Counts setups to these hosts from now on, and to no others. */
    void trackSetupsTo(Set<HostId> ejectedHosts) {
        recordedSetups.keySet().retainAll(ejectedHosts);
        ejectedHosts.forEach(host -> recordedSetups.putIfAbsent(host, router.setupsSent(host)));
    }
}
