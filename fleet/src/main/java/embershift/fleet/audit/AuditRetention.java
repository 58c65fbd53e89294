package embershift.fleet.audit;

import embershift.fleet.store.KeyValue;
import embershift.fleet.store.Mutation;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Keeps the stored audit logs within a size: the oldest segments are deleted, and a {@link
 * AuditCheckpoint} tells from where on a log is known.
 */
public final class AuditRetention {

    /** Mutations of one call: a transaction has a bound. */
    private static final int MAX_MUTATIONS = 400;

    /** More is deleted than must be, by this share: so it is not due at each call. */
    private static final int HEADROOM_DIVISOR = 8;

    private final long maxTotalChars;
    private final long maxNodeChars;
    private final Map<String, Long> charsByNode = new HashMap<>();
    private long totalChars;

    private AuditRetention(Collection<KeyValue> segments, long maxTotalChars, long maxNodeChars) {
        this.maxTotalChars = maxTotalChars;
        this.maxNodeChars = maxNodeChars;
        segments.forEach(segment -> count(segment, segment.value().length()));
    }

    private void count(KeyValue segment, long chars) {
        totalChars += chars;
        charsByNode.merge(nodeOf(segment), chars, Long::sum);
    }

    private static String nodeOf(KeyValue segment) {
        return segment.key().split("/", 3)[1];
    }

    private boolean isWithinLimits() {
        return totalChars <= maxTotalChars
                && charsByNode.values().stream().allMatch(chars -> chars <= maxNodeChars);
    }

    private boolean exceedsTarget(KeyValue segment) {
        long totalTarget = maxTotalChars - maxTotalChars / HEADROOM_DIVISOR;
        long nodeTarget = maxNodeChars - maxNodeChars / HEADROOM_DIVISOR;
        return totalChars > totalTarget || charsByNode.get(nodeOf(segment)) > nodeTarget;
    }

    /**
     * Returns what must be changed so that the logs keep to their limits; nothing while they do.
     *
     * @param segments all that are stored
     * @param checkpoints those that are stored, by key
     * @param maxTotalChars of all logs together
     * @param maxNodeChars of the logs of one node
     */
    public static List<Mutation> deleteExcess(
            Collection<KeyValue> segments,
            Map<String, String> checkpoints,
            long maxTotalChars,
            long maxNodeChars) {
        AuditRetention retention = new AuditRetention(segments, maxTotalChars, maxNodeChars);
        return retention.isWithinLimits()
                ? List.of()
                : retention.deleteOldest(segments, checkpoints);
    }

    private List<Mutation> deleteOldest(
            Collection<KeyValue> segments, Map<String, String> checkpoints) {
        // By when they were stored; those of one incarnation in their order.
        List<KeyValue> oldestFirst = new ArrayList<>(segments);
        oldestFirst.sort(
                Comparator.comparingLong(KeyValue::createRevision).thenComparing(KeyValue::key));
        List<Mutation> mutations = new ArrayList<>();
        Map<String, String> newCheckpoints = new TreeMap<>();
        for (KeyValue stored : oldestFirst) {
            boolean hasRoom = mutations.size() + newCheckpoints.size() < MAX_MUTATIONS;
            if (!hasRoom || !exceedsTarget(stored)) {
                continue;
            }
            count(stored, -stored.value().length());
            mutations.add(Mutation.delete(stored.key()));
            AuditSegment.decode(stored.value())
                    .ifPresent(
                            segment -> {
                                String key = AuditCheckpoint.keyFor(stored.key());
                                String before =
                                        newCheckpoints.getOrDefault(key, checkpoints.get(key));
                                newCheckpoints.put(
                                        key,
                                        decodeOrInitial(before).advancedPast(segment).encode());
                            });
        }
        newCheckpoints.forEach((key, text) -> mutations.add(Mutation.put(key, text)));
        return mutations;
    }

    private static AuditCheckpoint decodeOrInitial(String text) {
        return Optional.ofNullable(text)
                .flatMap(AuditCheckpoint::decode)
                .orElse(AuditCheckpoint.INITIAL);
    }
}
