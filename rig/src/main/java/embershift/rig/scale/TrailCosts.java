package embershift.rig.scale;

import embershift.fleet.audit.AuditEntry;
import embershift.fleet.audit.AuditLog;
import embershift.fleet.audit.AuditReport;
import embershift.fleet.audit.AuditRetention;
import embershift.fleet.audit.AuditSegment;
import embershift.fleet.store.KeyValue;
import embershift.fleet.store.KeyValueStore;
import embershift.fleet.store.Mutation;
import embershift.fleet.store.SessionId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * What trails cost by the number of nodes: each a busy one, that enters its counts each 15 s and
 * each change.
 */
final class TrailCosts {

    private static final int SEGMENTS = 4;

    /** Seconds between two counts of a busy node, as {@code SessionCounter} records them. */
    private static final double COUNTS = 15;

    /** Changes of configuration a day, of the size planned for. */
    private static final double CHANGES = 7700;

    private static final double DAY = 86_400;
    private static final double MILLI = 1e6;
    private static final int MILLIS = 1000;

    private TrailCosts() {}

    /** As a node has the record keep them: what waited since the last piece goes as one. */
    private static List<KeyValue> trails(int nodes) {
        List<KeyValue> items = new ArrayList<>();
        for (int n = 0; n < nodes; n++) {
            AuditLog diary = new AuditLog(4096);
            String name = String.format("n%05d", n);
            for (int s = 0; s < SEGMENTS; s++) {
                long at = 1_790_000_000_000L + s * 15L * MILLIS + n;
                diary.append(
                        at,
                        AuditEntry.Kind.TOOK,
                        Map.of(
                                "revision",
                                String.valueOf(s + 1),
                                "from",
                                String.valueOf(s),
                                "fence",
                                "77",
                                "content",
                                "0123456789abcdef0123456789abcdef"),
                        "");
                diary.append(
                        at + 1,
                        AuditEntry.Kind.TUNNELS,
                        Map.of(
                                "opened",
                                "1035",
                                "declined",
                                "3",
                                "revision",
                                String.valueOf(s + 1)),
                        "");
                AuditSegment segment = diary.nextSegment(name, 5).orElseThrow();
                items.add(
                        new KeyValue(
                                segment.key(),
                                segment.encode(),
                                (long) s * nodes + n,
                                (long) s * nodes + n,
                                SessionId.NONE));
                diary.acknowledged(segment.number());
            }
        }
        return items;
    }

    /**
     * Folding when it is due, the audit of it all, and for how long trails are kept in the record's
     * half.
     */
    static double[] once(int nodes) {
        List<KeyValue> items = trails(nodes);
        long size = items.stream().mapToLong(item -> item.value().length()).sum();
        long entries = 2L * items.size();
        long from = Cpu.now();
        List<Mutation> writes = AuditRetention.deleteExcess(items, Map.of(), size - 1, size);
        double fold = Cpu.since(from);
        from = Cpu.now();
        AuditReport audit =
                new AuditReport(
                        items.stream().map(KeyValue::value).toList(),
                        items.stream()
                                .collect(
                                        Collectors.toMap(
                                                item -> item.key().split("/")[1],
                                                item -> 5L,
                                                (one, other) -> one)),
                        Map.of());
        double question = Cpu.since(from);
        if (writes.isEmpty() || audit.nodes().isEmpty()) {
            throw new IllegalStateException("nothing was folded");
        }
        double perEntry = (double) size / entries;
        double rate = 1 / COUNTS + CHANGES / DAY;
        double pieces = 1 / COUNTS + CHANGES / DAY;
        return new double[] {
            fold / MILLI,
            question / MILLI,
            KeyValueStore.MAX_TOTAL_CHARS / 2.0 / (nodes * rate * perEntry) / 60,
            perEntry,
            nodes * pieces
        };
    }

    static List<Curve> measure(ScaleFile file, ResourceLimits limits, Consumer<String> progress)
            throws ResourceLimits.Exceeded {
        once(100);
        once(100);
        Curve.Many points =
                new Curve.Many(
                        "trails: a folding of four pieces a node",
                        "ms",
                        "trails: an audit of four pieces a node",
                        "ms",
                        "trails: kept in the record's half",
                        "minutes",
                        "trails: an entry",
                        "bytes",
                        "trails: pieces that the record must agree on",
                        "a second");
        for (int nodes : file.trails().nodes().stream().sorted().toList()) {
            List<double[]> repeats = new ArrayList<>();
            for (int i = 0; i < file.repeats(); i++) {
                limits.check();
                repeats.add(once(nodes));
            }
            points.add(nodes, repeats);
            progress.accept("trails: " + nodes + " nodes done");
        }
        return points.curves("nodes", file.size().nodes());
    }
}
