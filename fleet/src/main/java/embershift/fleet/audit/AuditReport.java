package embershift.fleet.audit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Reports which node applied which config revision, as far as the stored audit logs show it, and
 * what they cannot show. The same segments give the same report. Times are in milliseconds since
 * 1970.
 */
public final class AuditReport {

    /**
     * The revision in force at a node at a time.
     *
     * @param revision empty if it is not known
     * @param evidence for operators: how it is known, or why it is not
     */
    public record RevisionInForce(String node, Optional<Long> revision, String evidence) {}

    /**
     * The nodes that used a revision.
     *
     * @param mayHaveUsed nodes for which that cannot be ruled out, and why
     */
    public record RevisionUsers(
            List<RevisionPeriod> used, Map<String, String> mayHaveUsed, List<String> neverUsed) {}

    /** An entry and the node to whose log it belongs. */
    public record NodeEntry(String node, AuditEntry entry) {}

    private final List<IncarnationLog> logs = new ArrayList<>();
    private final TreeMap<String, Long> latestIncarnations;
    private final List<RevisionPeriod> periods = new ArrayList<>();
    private final List<String> problems = new ArrayList<>();

    /**
     * Creates a report.
     *
     * @param segments stored texts, in the order of their keys
     * @param latestIncarnations latest incarnation of each node that is registered in the store
     * @param checkpoints stored texts by key
     */
    public AuditReport(
            Collection<String> segments,
            Map<String, Long> latestIncarnations,
            Map<String, String> checkpoints) {
        this.latestIncarnations = new TreeMap<>(latestIncarnations);
        decode(segments)
                .forEach(
                        (node, byIncarnation) ->
                                byIncarnation.forEach(
                                        (incarnation, logSegments) ->
                                                add(node, incarnation, logSegments, checkpoints)));
    }

    private Map<String, Map<Long, List<AuditSegment>>> decode(Collection<String> texts) {
        Map<String, Map<Long, List<AuditSegment>>> segments = new TreeMap<>();
        for (String text : texts) {
            AuditSegment.decode(text)
                    .ifPresentOrElse(
                            segment ->
                                    segments.computeIfAbsent(
                                                    segment.node(), none -> new TreeMap<>())
                                            .computeIfAbsent(
                                                    segment.incarnation(),
                                                    none -> new ArrayList<>())
                                            .add(segment),
                            () ->
                                    problems.add(
                                            "a segment is malformed or does not match its digest: "
                                                    + text.lines().findFirst().orElse("")));
        }
        return segments;
    }

    private void add(
            String node,
            long incarnation,
            List<AuditSegment> segments,
            Map<String, String> checkpoints) {
        segments.sort(Comparator.comparingLong(AuditSegment::number));
        String checkpointKey = AuditCheckpoint.keyFor(segments.get(0).key());
        AuditCheckpoint checkpoint =
                Optional.ofNullable(checkpoints.get(checkpointKey))
                        .flatMap(AuditCheckpoint::decode)
                        .orElse(AuditCheckpoint.INITIAL);
        IncarnationLog log = new IncarnationLog(node, incarnation, segments, checkpoint);
        logs.add(log);
        problems.addAll(LogVerifier.verify(log));
        periods.addAll(RevisionPeriods.of(log));
    }

    /** Returns all periods, by node and time. */
    public List<RevisionPeriod> periods() {
        return periods;
    }

    /** Returns all nodes that are registered or have a log. */
    public Collection<String> nodes() {
        TreeSet<String> nodes = new TreeSet<>(latestIncarnations.keySet());
        logs.forEach(log -> nodes.add(log.node()));
        return nodes;
    }

    /** Returns the entries of all nodes between two times, in the order of their times. */
    public List<NodeEntry> entriesBetween(long fromMillis, long toMillis) {
        List<NodeEntry> entries = new ArrayList<>();
        for (IncarnationLog log : logs) {
            for (AuditSegment segment : log.segments()) {
                segment.entries().stream()
                        .filter(entry -> entry.at().millis() >= fromMillis)
                        .filter(entry -> entry.at().millis() <= toMillis)
                        .forEach(entry -> entries.add(new NodeEntry(log.node(), entry)));
            }
        }
        entries.sort(Comparator.comparing(each -> each.entry().at()));
        return entries;
    }

    /** Returns the revision in force at a node at a time. */
    public RevisionInForce revisionAt(String node, long millis) {
        Optional<RevisionPeriod> current =
                periods.stream()
                        .filter(each -> each.node().equals(node))
                        .filter(each -> each.from().millis() <= millis)
                        .reduce(
                                (one, other) ->
                                        other.from().compareTo(one.from()) >= 0 ? other : one);
        if (current.isEmpty()) {
            return unknown(node, "no entry of its log is so early");
        }
        RevisionPeriod period = current.get();
        if (period.to().isPresent() && millis >= period.to().get().millis()) {
            return unknown(node, "it had ended, by its trail");
        }
        return new RevisionInForce(
                node, Optional.of(period.revision()), evidence(period, node, millis));
    }

    private static RevisionInForce unknown(String node, String reason) {
        return new RevisionInForce(node, Optional.empty(), reason);
    }

    private String evidence(RevisionPeriod period, String node, long millis) {
        boolean isPastLastKnown = period.to().isEmpty() && millis > period.lastKnown().millis();
        if (!isPastLastKnown) {
            return period.isComplete()
                    ? "by its trail"
                    : "by its trail, but entries of that period are missing";
        }
        long latest = latestIncarnations.getOrDefault(node, period.incarnation());
        return latest <= period.incarnation()
                ? "last known; nothing is told since " + period.lastKnown().millis()
                : "last known of incarnation "
                        + period.incarnation()
                        + "; a later one has its name";
    }

    /** Returns which nodes used a revision. */
    public RevisionUsers usersOf(long revision) {
        List<RevisionPeriod> used =
                periods.stream().filter(each -> each.revision() == revision).toList();
        Map<String, String> mayHaveUsed = new TreeMap<>();
        List<String> neverUsed = new ArrayList<>();
        for (String node : nodes()) {
            if (used.stream().noneMatch(each -> each.node().equals(node))) {
                reasonForPossibleUse(node, revision)
                        .ifPresentOrElse(
                                reason -> mayHaveUsed.put(node, reason), () -> neverUsed.add(node));
            }
        }
        return new RevisionUsers(used, mayHaveUsed, neverUsed);
    }

    private Optional<String> reasonForPossibleUse(String node, long revision) {
        List<RevisionPeriod> nodePeriods =
                periods.stream().filter(each -> each.node().equals(node)).toList();
        if (nodePeriods.isEmpty()) {
            return Optional.of("its log names no revision");
        }
        if (nodePeriods.stream().anyMatch(each -> !each.isComplete())) {
            return Optional.of("entries are missing");
        }
        RevisionPeriod last = nodePeriods.get(nodePeriods.size() - 1);
        return last.revision() < revision && last.to().isEmpty()
                ? Optional.of("nothing is told since " + last.lastKnown().millis())
                : Optional.empty();
    }

    /**
     * Returns the entries about a host: when each node was told to stop using it, and which nodes
     * used it afterwards.
     */
    public List<NodeEntry> entriesAbout(String host) {
        return entriesBetween(0, Long.MAX_VALUE).stream()
                .filter(
                        each -> {
                            Map<String, String> fields = each.entry().fields();
                            return fields.containsKey("out." + host)
                                    || fields.containsKey("back." + host)
                                    || fields.containsKey("to." + host);
                        })
                .toList();
    }

    /** Returns the inconsistencies found, each in one line: see {@link LogVerifier}. */
    public List<String> problems() {
        return problems;
    }
}
