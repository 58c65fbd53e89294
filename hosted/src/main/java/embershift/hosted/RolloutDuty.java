package embershift.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.JsonMessages;
import embershift.fleet.audit.AuditCheckpoint;
import embershift.fleet.audit.AuditRetention;
import embershift.fleet.lease.TaskPlan;
import embershift.fleet.rollout.ConfigRevision;
import embershift.fleet.rollout.ConfigRollout;
import embershift.fleet.rollout.NodeReport;
import embershift.fleet.store.KeyValue;
import embershift.fleet.store.KeyValueStore;
import embershift.fleet.store.Mutation;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** Brings each node to the revision that it should go by, as {@link ConfigRollout} decides. */
final class RolloutDuty extends Duty implements Nodes.Listener, ConfigRollout.Environment {

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

    private ConfigRollout rollout;

    /** While the record is read: what this owner must know before it does anything. */
    private int toRead;

    private final Map<String, KeyValue> read = new TreeMap<>();
    private final Map<String, String> statesTold = new HashMap<>();
    private double statesAt;
    private double foldedAt;
    private long seen = -1;
    private final Set<Long> known = new HashSet<>();

    RolloutDuty(Duties all) {
        super(all, "rollout");
        own(new TaskPlan("rollout", 0, 0), all.fleet().standing());
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
                                KeyValue item =
                                        new KeyValue(
                                                each.path("key").asText(),
                                                each.path("value").asText(),
                                                each.path("created").asLong(),
                                                each.path("revision").asLong(),
                                                null);
                                read.put(item.key(), item);
                            }
                            if (--toRead == 0) {
                                rollout = new ConfigRollout(all.fleet().rollout(), this);
                                KeyValue stage = read.get(STAGE);
                                rollout.restore(
                                        now(), Optional.ofNullable(stage).map(KeyValue::value));
                                learn(read.values());
                                all.nodes().linked().forEach(this::reported);
                            }
                        });
    }

    private void learn(Collection<KeyValue> items) {
        for (KeyValue item : items) {
            if (item.key().startsWith(REVISION)) {
                ConfigRevision revision =
                        known.contains(keyNumber(item.key()))
                                ? null
                                : ConfigRevision.decode(item.value()).orElse(null);
                if (revision != null) {
                    known.add(revision.number());
                    rollout.addRevision(
                            revision,
                            read.containsKey(NOW + revision.number())
                                    || all.record().find(NOW + revision.number()).isPresent());
                }
            } else if (item.key().equals(FLOOR)) {
                rollout.raiseFloorTo(number(item));
            } else if (item.key().startsWith(Nodes.NODE)) {
                rollout.addNode(item.key().substring(Nodes.NODE.length()));
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
        learn(all.record().findByPrefix(REVISION));
        KeyValue floor = all.record().find(FLOOR).orElse(null);
        if (floor != null) {
            rollout.raiseFloorTo(number(floor));
        }
        Set<String> names = new HashSet<>();
        for (KeyValue item : all.record().findByPrefix(Nodes.NODE)) {
            String name = item.key().substring(Nodes.NODE.length());
            names.add(name);
            rollout.addNode(name);
            KeyValue out = all.record().find(Nodes.OUT + name).orElse(null);
            if (number(out) == 0) {
                rollout.setAdmitted(name);
            } else {
                rollout.setShutOut(name, number(out), out.value().contains(" " + BY_DUTY + " "));
            }
        }
        for (String name : List.copyOf(rollout.nodeNames())) {
            if (!names.contains(name) && all.nodes().get(name) == null) {
                rollout.removeNode(name);
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
        boolean nodesThere = !all.record().findByPrefix(Nodes.NODE).isEmpty();
        if (!nodesThere
                || all.nodes().linked().stream()
                        .anyMatch(link -> now - link.heardAt() < READ_WITHIN)) {
            owner().progressMade(now);
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
        List<Mutation> writes = new ArrayList<>();
        for (String name : rollout.nodeNames()) {
            String state = rollout.stateOf(name) + " " + rollout.reasonFor(name);
            if (!state.equals(statesTold.get(name)) && writes.size() < MOST_STATES) {
                statesTold.put(name, state);
                writes.add(Mutation.put(STATE + name, state.strip()));
            }
        }
        for (KeyValue item : all.record().findByPrefix(STATE)) {
            String name = item.key().substring(STATE.length());
            if (!rollout.nodeNames().contains(name) && writes.size() < MOST_STATES) {
                writes.add(Mutation.delete(item.key()));
            }
        }
        List<KeyValue> revisions = List.copyOf(all.record().findByPrefix(REVISION));
        for (int i = 0; i < revisions.size() - KEPT && writes.size() < MOST_STATES; i++) {
            if (keyNumber(revisions.get(i).key()) < rollout.floor()) {
                writes.add(Mutation.delete(revisions.get(i).key()));
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
        all.record()
                .findByPrefix(AuditCheckpoint.KEY_PREFIX)
                .forEach(item -> begins.put(item.key(), item.value()));
        List<Mutation> writes =
                AuditRetention.deleteExcess(
                        all.record().findByPrefix("trail/"),
                        begins,
                        KeyValueStore.MAX_TOTAL_CHARS / 2,
                        KeyValueStore.MAX_TOTAL_CHARS / 16);
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
                rollout.reportReceived(
                        link.heardAt(),
                        new NodeReport(
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
            rollout.disconnected(link.name);
        }
    }

    // The rollout's hands.

    @Override
    public void order(String node, ConfigRevision revision, long base) {
        Nodes.NodeLink link = all.nodes().get(node);
        if (link == null) {
            return;
        }
        ObjectNode order =
                JsonMessages.newObject()
                        .put("number", revision.number())
                        .put("base", base)
                        .put("chain", revision.chainDigest())
                        .put("content", revision.contentDigest());
        ConfigRevision from =
                base == 0
                        ? null
                        : all.record()
                                .find(ConfigRevision.key(base))
                                .flatMap(item -> ConfigRevision.decode(item.value()))
                                .orElse(null);
        if (from == null) {
            order.put("base", 0);
            JsonMessages.putTexts(order.putObject("fields"), revision.fields());
        } else {
            JsonMessages.putChanges(order.putObject("fields"), revision.differenceFrom(from));
        }
        all.counted(from == null ? "revisions told whole" : "revisions told by difference");
        ConfigRollout mine = rollout;
        order(
                link,
                "revision",
                order,
                verdict -> {
                    if (mine == rollout && verdict != null) {
                        mine.orderCompleted(now(), node, answer(verdict));
                    }
                });
    }

    private static ConfigRollout.OrderAnswer answer(ObjectNode verdict) {
        return switch (verdict.path("end").asText()) {
            case "TAKEN" -> ConfigRollout.OrderAnswer.APPLIED;
            case "WHOLE" -> ConfigRollout.OrderAnswer.FULL_REVISION_NEEDED;
            default -> ConfigRollout.OrderAnswer.NOT_APPLIED;
        };
    }

    @Override
    public void recordProgress(String text) {
        ConfigRollout mine = rollout;
        write(List.of(Mutation.put(STAGE, text)), mine::progressRecorded);
    }

    @Override
    public void raiseFloor(long revision) {
        write(List.of(Mutation.put(FLOOR, String.valueOf(revision))));
    }

    @Override
    public void shutOut(String node, long incarnation, String why) {
        notifyOperator(node + " is shut out: " + why);
        write(List.of(Mutation.put(Nodes.OUT + node, incarnation + " " + BY_DUTY + " " + why)));
    }

    @Override
    public void requestRestart(String node, String why) {
        notifyOperator(node + " is to be started anew: " + why);
        write(List.of(Mutation.put(WANTED + node, why)));
    }
}
