package embershift.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Keeps the trails within a bound: the oldest segments go, and what they ended with stays, so that
 * the audit knows from where it can tell.
 */
public final class Folding {

    /** Where an incarnation's trail begins now: what the last segment that went ended with. */
    public record Begin(long segment, long entry, String sum, long revision, Hybrid at) {

        String text() {
            return segment + " " + entry + " " + sum + " " + revision + " " + at;
        }

        /** Null where this is no such text. */
        static Begin read(String text) {
            String[] words = text.split(" ");
            boolean sound =
                    words.length == 5
                            && words[0].matches("\\d{1,18}")
                            && words[1].matches("\\d{1,18}")
                            && words[3].matches("-?\\d{1,18}")
                            && Hybrid.read(words[4]) != null;
            return sound
                    ? new Begin(
                            Long.parseLong(words[0]),
                            Long.parseLong(words[1]),
                            words[2],
                            Long.parseLong(words[3]),
                            Hybrid.read(words[4]))
                    : null;
        }
    }

    /** Where the record keeps begins, by node and incarnation as the segments are. */
    public static final String KEY = "folded/";

    /** Writes of one go: a change has a bound. */
    private static final int MOST_WRITES = 400;

    private Folding() {}

    /** The key of the begin for a segment's key. */
    static String key(String segmentKey) {
        return KEY + segmentKey.substring("trail/".length(), segmentKey.lastIndexOf('/'));
    }

    /**
     * What is to be written so that all trails together come under {@code most} characters, and
     * each node's under {@code each}; nothing while they are. Some more go than must, so that it is
     * not always due. {@code begins}: those there are, by key.
     */
    public static List<Write> fold(
            Collection<Item> trails, Map<String, String> begins, long most, long each) {
        long all = 0;
        Map<String, Long> byNode = new HashMap<>();
        for (Item item : trails) {
            all += item.value().length();
            byNode.merge(node(item), (long) item.value().length(), Long::sum);
        }
        if (all <= most && byNode.values().stream().allMatch(size -> size <= each)) {
            return List.of();
        }
        // By when it came into the record; of one incarnation in their order.
        List<Item> oldest = new ArrayList<>(trails);
        oldest.sort(Comparator.comparingLong(Item::created).thenComparing(Item::key));
        List<Write> writes = new ArrayList<>();
        Map<String, String> ends = new TreeMap<>();
        for (Item item : oldest) {
            long size = item.value().length();
            boolean over = all > most - most / 8 || byNode.get(node(item)) > each - each / 8;
            Segment segment = over ? Segment.read(item.value()) : null;
            if (!over || writes.size() + ends.size() >= MOST_WRITES) {
                continue;
            }
            all -= size;
            byNode.merge(node(item), -size, Long::sum);
            writes.add(new Write(item.key(), null, false));
            if (segment != null) {
                String key = key(item.key());
                ends.put(key, end(segment, begin(ends.getOrDefault(key, begins.get(key)))).text());
            }
        }
        ends.forEach((key, text) -> writes.add(new Write(key, text, false)));
        return writes;
    }

    static Begin begin(String text) {
        return text == null ? null : Begin.read(text);
    }

    private static String node(Item item) {
        return item.key().split("/", 3)[1];
    }

    private static Begin end(Segment segment, Begin before) {
        long revision = before == null ? -1 : before.revision;
        Hybrid at = before == null ? Hybrid.START : before.at;
        for (Trace entry : segment.entries()) {
            if (entry.kind() == Trace.Kind.STARTED
                    || entry.kind() == Trace.Kind.TOOK
                    || entry.kind() == Trace.Kind.TUNNELS) {
                revision = entry.value("revision");
            }
            at = entry.at();
        }
        return new Begin(segment.number(), segment.to(), segment.sum(), revision, at);
    }
}
