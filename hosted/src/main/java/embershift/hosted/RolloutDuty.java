package embershift.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.Words;
import embershift.fleet.Folding;
import embershift.fleet.Item;
import embershift.fleet.KeyValueStore;
import embershift.fleet.Plan;
import embershift.fleet.Revision;
import embershift.fleet.Rollout;
import embershift.fleet.Write;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Brings each node to the revision that it should go by, as {@link Rollout} decides. */
final class RolloutDuty extends Duty implements Nodes.Listener, Rollout.Hands {

    static final String REVISION = "revision/";
    static final String STAGE = "rollout/stage";
    static final String FLOOR = "rollout/floor";

    /** Revisions that go to all at once. */
    static final String NOW = "rollout/now/";

    static final String STATE = "state/";
    static final String WANTED = "release/wanted/";
    static final String BY_DUTY = "by-rollout";
    private static final List<String> READ = List.of(REVISION, "rollout/", Nodes.NODE, Nodes.OUT);
    private static final double READ_WITHIN = 3;
    private static final double STATES = 0.5;
    private static final double FOLD = 10;
    private static final int MOST_STATES = 200;

    /** Revisions that are kept, beside those that some node may still go by. */
    private static final int KEPT = 500;

    private Rollout rollout;

    /** While the record is read: what this owner must know before it does anything. */
    private int toRead;

    private final Map<String, Item> read = new TreeMap<>();
    private final Map<String, String> statesTold = new HashMap<>();
    private double statesAt;
    private double foldedAt;
    private long seen = -1;
    private final Set<Long> known = new HashSet<>();

    RolloutDuty(Duties all) {
        super(all, "rollout");
        own(new Plan("rollout", 0, 0), all.fleet().standing());
    }

    @Override
    void begin() {
        rollout = null;
        read.clear();
        known.clear();
        statesTold.clear();
        seen = -1;
        toRead = READ.size();
        READ.forEach(prefix -> read(prefix, fence().number()));
    }

    /** By the record itself, not by what this instance has of it: that may be behind. */
    private void read(String prefix, long by) {
        all.words()
                .ask(
                        RecordClient.call("list").put("prefix", prefix),
                        READ_WITHIN,
                        outcome -> {
                            if (!holds() || fence().number() != by) {
                                return;
                            }
                            if (!outcome.done()) {
                                read(prefix, by);
                                return;
                            }
                            for (JsonNode each : outcome.answer().path("items")) {
                                Item item =
                                        new Item(
                                                each.path("key").asText(),
                                                each.path("value").asText(),
                                                each.path("created").asLong(),
                                                each.path("revision").asLong(),
                                                null);
                                read.put(item.key(), item);
                            }
                            if (--toRead == 0) {
                                rollout = new Rollout(all.fleet().rollout(), this);
                                Item stage = read.get(STAGE);
                                rollout.found(now(), stage == null ? null : stage.value());
                                learn(read.values());
                                all.nodes().linked().forEach(this::reported);
                            }
                        });
    }

    private void learn(Collection<Item> items) {
        for (Item item : items) {
            if (item.key().startsWith(REVISION)) {
                Revision revision =
                        known.contains(keyNumber(item.key())) ? null : Revision.read(item.value());
                if (revision != null) {
                    known.add(revision.number());
                    rollout.known(
                            revision,
                            read.containsKey(NOW + revision.number())
                                    || all.record().get(NOW + revision.number()) != null);
                }
            } else if (item.key().equals(FLOOR)) {
                rollout.floorIs(number(item));
            } else if (item.key().startsWith(Nodes.NODE)) {
                rollout.named(item.key().substring(Nodes.NODE.length()));
            }
        }
    }

    private static long keyNumber(String key) {
        String digits = key.substring(REVISION.length());
        return digits.matches("\\d{1,18}") ? Long.parseLong(digits) : -1;
    }

    /** What has come into the record since; this instance may be behind with that, never wrong. */
    private void follow() {
        long now = all.record().revision();
        if (now == seen) {
            return;
        }
        seen = now;
        learn(all.record().beginning(REVISION));
        Item floor = all.record().get(FLOOR);
        if (floor != null) {
            rollout.floorIs(number(floor));
        }
        Set<String> names = new HashSet<>();
        for (Item item : all.record().beginning(Nodes.NODE)) {
            String name = item.key().substring(Nodes.NODE.length());
            names.add(name);
            rollout.named(name);
            Item out = all.record().get(Nodes.OUT + name);
            rollout.outIs(
                    name, number(out), out != null && out.value().contains(" " + BY_DUTY + " "));
        }
        for (String name : List.copyOf(rollout.names())) {
            if (!names.contains(name) && all.nodes().get(name) == null) {
                rollout.forgotten(name);
            }
        }
    }

    @Override
    void end() {
        rollout = null;
    }

    @Override
    void work() {
        double now = now();
        boolean nodesThere = !all.record().beginning(Nodes.NODE).isEmpty();
        if (!nodesThere
                || all.nodes().linked().stream()
                        .anyMatch(link -> now - link.heardAt() < READ_WITHIN)) {
            owner().progressed(now);
        }
        if (rollout == null) {
            return;
        }
        follow();
        rollout.tick(now);
        if (now - statesAt >= STATES) {
            statesAt = now;
            tellStates();
        }
        if (now - foldedAt >= FOLD) {
            foldedAt = now;
            fold();
        }
    }

    private void tellStates() {
        List<Write> writes = new ArrayList<>();
        for (String name : rollout.names()) {
            String state = rollout.state(name) + " " + rollout.why(name);
            if (!state.equals(statesTold.get(name)) && writes.size() < MOST_STATES) {
                statesTold.put(name, state);
                writes.add(new Write(STATE + name, state.strip(), false));
            }
        }
        for (Item item : all.record().beginning(STATE)) {
            String name = item.key().substring(STATE.length());
            if (!rollout.names().contains(name) && writes.size() < MOST_STATES) {
                writes.add(new Write(item.key(), null, false));
            }
        }
        List<Item> revisions = List.copyOf(all.record().beginning(REVISION));
        for (int i = 0; i < revisions.size() - KEPT && writes.size() < MOST_STATES; i++) {
            if (keyNumber(revisions.get(i).key()) < rollout.floor()) {
                writes.add(new Write(revisions.get(i).key(), null, false));
            }
        }
        if (!writes.isEmpty()) {
            write(writes);
        }
    }

    /**
     * Trails have half of the record at the most; a node's whole trail has to go into one answer.
     */
    private void fold() {
        Map<String, String> begins = new TreeMap<>();
        all.record().beginning(Folding.KEY).forEach(item -> begins.put(item.key(), item.value()));
        List<Write> writes =
                Folding.fold(
                        all.record().beginning("trail/"),
                        begins,
                        KeyValueStore.ALL / 2,
                        KeyValueStore.ALL / 16);
        if (!writes.isEmpty()) {
            all.counted("trails folded");
            write(writes);
        }
    }

    @Override
    public void reported(Nodes.NodeLink link) {
        if (rollout != null) {
            JsonNode report = link.report();
            if (report.has("clock")) {
                rollout.heard(
                        link.heardAt(),
                        new Rollout.Report(
                                link.name,
                                link.incarnation,
                                report.path("revision").asLong(),
                                report.path("chain").asText(),
                                report.path("content").asText(),
                                report.path("ready").asBoolean(),
                                report.path("refused").asLong(),
                                report.path("why").asText(),
                                report.path("opened").asLong(),
                                report.path("failed").asLong()));
            }
        }
    }

    @Override
    public void unlinked(Nodes.NodeLink link) {
        if (rollout != null) {
            rollout.unlinked(link.name);
        }
    }

    // The rollout's hands.

    @Override
    public void order(String node, Revision revision, long base) {
        Nodes.NodeLink link = all.nodes().get(node);
        if (link == null) {
            return;
        }
        ObjectNode order =
                Words.node()
                        .put("number", revision.number())
                        .put("base", base)
                        .put("chain", revision.chain())
                        .put("content", revision.content());
        Revision from =
                base == 0
                        ? null
                        : Revision.read(
                                all.record().get(Revision.key(base)) == null
                                        ? ""
                                        : all.record().get(Revision.key(base)).value());
        if (from == null) {
            order.put("base", 0);
        }
        Words.texts(
                order.putObject("fields"),
                from == null ? revision.fields() : revision.differenceFrom(from));
        all.counted(from == null ? "revisions told whole" : "revisions told by difference");
        Rollout mine = rollout;
        order(
                link,
                "revision",
                order,
                verdict -> {
                    if (mine == rollout && verdict != null) {
                        mine.answered(
                                now(),
                                node,
                                verdict.path("end").asText().equals("TAKEN"),
                                verdict.path("end").asText().equals("WHOLE"));
                    }
                });
    }

    @Override
    public void note(String text) {
        Rollout mine = rollout;
        write(List.of(new Write(STAGE, text, false)), mine::noted);
    }

    @Override
    public void floor(long revision) {
        write(List.of(new Write(FLOOR, String.valueOf(revision), false)));
    }

    @Override
    public void shutOut(String node, long incarnation, String why) {
        told(node + " is shut out: " + why);
        write(List.of(new Write(Nodes.OUT + node, incarnation + " " + BY_DUTY + " " + why, false)));
    }

    @Override
    public void replace(String node, String why) {
        told(node + " is to be started anew: " + why);
        write(List.of(new Write(WANTED + node, why, false)));
    }
}
