package embershift.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Which node acted on which version, as the trails tell it, and what they can't tell. Made of
 * segments as the record holds them; the same segments give the same answers.
 */
public final class Audit {

    /**
     * A time over which a node went by one revision. {@code to} null: it has not been told that it
     * ended; it was known to go on until {@code known}. {@code surely}: no entry is missing within,
     * nor between it and the spell before.
     */
    public record Spell(
            String node,
            long incarnation,
            long revision,
            Hybrid from,
            Hybrid to,
            Hybrid known,
            boolean surely,
            long opened,
            long declined,
            long failed) {

        public boolean covers(long millis) {
            return from.millis() <= millis && (to == null || millis < to.millis());
        }
    }

    /** What a node acted on at a time. {@code revision} -1: not known. */
    public record At(String node, long revision, String how) {}

    /** Who acted on a revision, who may have, and who never did. */
    public record Who(List<Spell> did, Map<String, String> mayHave, List<String> never) {}

    /** {@code begin}: what the trail began with before its oldest segments went, or null. */
    private record Run(
            String node, long incarnation, List<Segment> segments, Folding.Begin begin) {}

    private final List<Run> runs = new ArrayList<>();
    private final TreeMap<String, Long> registered;
    private final List<Spell> spells = new ArrayList<>();
    private final List<String> problems = new ArrayList<>();

    /**
     * {@code registered}: the latest incarnation of each name that the record has. {@code texts}:
     * segments, in the order of their keys; {@code begins}: where trails begin whose oldest
     * segments are not kept any more, by the record's keys.
     */
    public Audit(
            Collection<String> texts, Map<String, Long> registered, Map<String, String> begins) {
        this.registered = new TreeMap<>(registered);
        Map<String, TreeMap<Long, List<Segment>>> all = new TreeMap<>();
        for (String text : texts) {
            Segment segment = Segment.read(text);
            if (segment == null) {
                problems.add(
                        "a segment can't be read, or was changed: "
                                + text.lines().findFirst().orElse(""));
            } else {
                all.computeIfAbsent(segment.node(), none -> new TreeMap<>())
                        .computeIfAbsent(segment.incarnation(), none -> new ArrayList<>())
                        .add(segment);
            }
        }
        all.forEach(
                (node, byIncarnation) ->
                        byIncarnation.forEach(
                                (incarnation, segments) -> {
                                    segments.sort(
                                            (one, other) ->
                                                    Long.compare(one.number(), other.number()));
                                    runs.add(
                                            new Run(
                                                    node,
                                                    incarnation,
                                                    segments,
                                                    Folding.begin(
                                                            begins.get(
                                                                    Folding.key(
                                                                            segments.get(0)
                                                                                    .key())))));
                                }));
        for (Run run : runs) {
            check(run);
            spells(run);
        }
    }

    private void check(Run run) {
        String where = run.node + ", incarnation " + run.incarnation + ": ";
        Segment before = null;
        for (Segment segment : run.segments) {
            long expected =
                    before != null
                            ? before.to() + 1
                            : run.begin == null ? 1 : run.begin.entry() + 1;
            if (segment.from() > expected) {
                problems.add(
                        where
                                + "entries "
                                + expected
                                + " to "
                                + (segment.from() - 1)
                                + " are missing");
            } else if (segment.from() < expected) {
                problems.add(
                        where
                                + "entries "
                                + segment.from()
                                + " to "
                                + (expected - 1)
                                + " are told twice");
            }
            long number =
                    before != null
                            ? before.number() + 1
                            : run.begin == null ? 1 : run.begin.segment() + 1;
            String sum = before != null ? before.sum() : run.begin == null ? "" : run.begin.sum();
            if (segment.number() == number && !segment.before().equals(sum)) {
                problems.add(
                        where
                                + "segment "
                                + segment.number()
                                + " is not chained to the one before");
            } else if (segment.number() != number) {
                problems.add(where + "segments before " + segment.number() + " are missing");
            }
            Hybrid last =
                    before == null
                            ? run.begin == null ? Hybrid.START : run.begin.at()
                            : before.entries().get(before.entries().size() - 1).at();
            for (Trace entry : segment.entries()) {
                if (entry.at().compareTo(last) <= 0) {
                    problems.add(
                            where + "entry " + entry.number() + " is earlier than the one before");
                }
                if (entry.number() != segment.from() + segment.entries().indexOf(entry)) {
                    problems.add(where + "entry " + entry.number() + " is not where it belongs");
                }
                last = entry.at();
            }
            before = segment;
        }
    }

    private void spells(Run run) {
        long revision = run.begin == null ? -1 : run.begin.revision();
        long[] tunnels = new long[3];
        Hybrid from = run.begin == null ? null : run.begin.at();
        Hybrid last = from;
        long number = run.begin == null ? 0 : run.begin.entry();
        boolean surely = true;
        boolean ended = false;
        for (Segment segment : run.segments) {
            for (Trace entry : segment.entries()) {
                if (entry.number() != number + 1) {
                    surely = false;
                }
                number = entry.number();
                boolean starts =
                        entry.kind() == Trace.Kind.STARTED || entry.kind() == Trace.Kind.TOOK;
                long now =
                        starts
                                ? entry.value("revision")
                                : entry.fields().containsKey("revision")
                                                && entry.kind() == Trace.Kind.TUNNELS
                                        ? entry.value("revision")
                                        : revision;
                if (now != revision) {
                    if (revision >= 0) {
                        spells.add(
                                new Spell(
                                        run.node,
                                        run.incarnation,
                                        revision,
                                        from,
                                        entry.at(),
                                        entry.at(),
                                        surely,
                                        tunnels[0],
                                        tunnels[1],
                                        tunnels[2]));
                    }
                    // Where it is learned by a count alone, the entry that told of it is missing.
                    surely = starts;
                    revision = now;
                    from = entry.at();
                    tunnels = new long[3];
                }
                if (entry.kind() == Trace.Kind.TUNNELS) {
                    tunnels[0] += entry.value("opened");
                    tunnels[1] += entry.value("declined");
                    tunnels[2] += entry.value("failed");
                }
                ended = entry.kind() == Trace.Kind.ENDS;
                last = entry.at();
            }
        }
        if (revision >= 0) {
            Hybrid to = ended ? last : null;
            spells.add(
                    new Spell(
                            run.node,
                            run.incarnation,
                            revision,
                            from,
                            to,
                            last,
                            surely,
                            tunnels[0],
                            tunnels[1],
                            tunnels[2]));
        }
    }

    /** All spells, by node and time. */
    public List<Spell> spells() {
        return spells;
    }

    public Collection<String> nodes() {
        TreeSet<String> all = new TreeSet<>(registered.keySet());
        runs.forEach(run -> all.add(run.node));
        return all;
    }

    /** Entries between two times, in milliseconds, of all nodes, in the order of their times. */
    public List<Map.Entry<String, Trace>> between(long from, long to) {
        List<Map.Entry<String, Trace>> some = new ArrayList<>();
        for (Run run : runs) {
            for (Segment segment : run.segments) {
                for (Trace entry : segment.entries()) {
                    if (entry.at().millis() >= from && entry.at().millis() <= to) {
                        some.add(Map.entry(run.node, entry));
                    }
                }
            }
        }
        some.sort((one, other) -> one.getValue().at().compareTo(other.getValue().at()));
        return some;
    }

    /** What a node acted on at that time. */
    public At at(String node, long millis) {
        Spell best = null;
        for (Spell spell : spells) {
            if (spell.node.equals(node)
                    && spell.from.millis() <= millis
                    && (best == null || spell.from.compareTo(best.from) >= 0)) {
                best = spell;
            }
        }
        if (best == null) {
            return new At(node, -1, "nothing is told of it so early");
        }
        if (best.to != null && millis >= best.to.millis()) {
            return new At(node, -1, "it had ended, by its trail");
        }
        boolean last = registered.getOrDefault(node, best.incarnation) <= best.incarnation;
        if (best.to == null && millis > best.known.millis()) {
            return new At(
                    node,
                    best.revision,
                    last
                            ? "last known; nothing is told since " + best.known.millis()
                            : "last known of incarnation "
                                    + best.incarnation
                                    + "; a later one has its name");
        }
        return new At(
                node,
                best.revision,
                best.surely ? "by its trail" : "by its trail, entries are missing about then");
    }

    /** Who acted on a revision. */
    public Who revision(long revision) {
        List<Spell> did = spells.stream().filter(spell -> spell.revision == revision).toList();
        Map<String, String> mayHave = new TreeMap<>();
        List<String> never = new ArrayList<>();
        for (String node : nodes()) {
            if (did.stream().anyMatch(spell -> spell.node.equals(node))) {
                continue;
            }
            List<Spell> own = spells.stream().filter(spell -> spell.node.equals(node)).toList();
            if (own.isEmpty()) {
                mayHave.put(node, "nothing is told of it");
            } else if (own.stream().anyMatch(spell -> !spell.surely)) {
                mayHave.put(node, "entries are missing");
            } else if (own.get(own.size() - 1).revision < revision
                    && own.get(own.size() - 1).to == null) {
                mayHave.put(
                        node, "nothing is told since " + own.get(own.size() - 1).known.millis());
            } else {
                never.add(node);
            }
        }
        return new Who(did, mayHave, never);
    }

    /** Entries that tell of a host: who took it out when, and who sent it something after that. */
    public List<Map.Entry<String, Trace>> host(String host) {
        return between(0, Long.MAX_VALUE).stream()
                .filter(
                        entry ->
                                entry.getValue().fields().containsKey("out." + host)
                                        || entry.getValue().fields().containsKey("back." + host)
                                        || entry.getValue().fields().containsKey("to." + host))
                .toList();
    }

    /**
     * What does not fit: chains that break, entries that are missing or told twice, times that go
     * back.
     */
    public List<String> verify() {
        return problems;
    }
}
