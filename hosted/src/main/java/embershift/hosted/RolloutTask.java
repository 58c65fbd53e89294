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

/**
 * Brings each node to the configuration revision that it should run, as {@link ConfigRollout}
 * decides.
 */
final class RolloutTask extends LeasedTask
        implements NodeConnections.Listener, ConfigRollout.Environment {

    static final String REVISION_PREFIX = "revision/";
    static final String STAGE_KEY = "rollout/stage";
    static final String FLOOR_KEY = "rollout/floor";

    /** Prefix of the keys that mark revisions to send to all nodes at once, without a canary. */
    static final String IMMEDIATE_PREFIX = "rollout/now/";

    static final String STATE_PREFIX = "state/";
    static final String RESTART_REQUEST_PREFIX = "release/wanted/";
    static final String SHUT_OUT_MARK = "by-rollout";

    /**
     * What a new lease holder reads, in this order: the marks of immediate revisions, which are
     * below "rollout/", after the revisions, so that none is known without its mark.
     */
    private static final List<String> RESTORED_PREFIXES =
            List.of(
                    REVISION_PREFIX,
                    "rollout/",
                    NodeConnections.NODE_PREFIX,
                    NodeConnections.SHUT_OUT_PREFIX);

    private static final double READ_TIMEOUT_SECONDS = 3;
    private static final double STATE_WRITE_SECONDS = 0.5;
    private static final double COMPACTION_SECONDS = 10;
    private static final int MAX_MUTATIONS = 200;

    /** Revisions that are kept at least; those that some node may still run are never deleted. */
    private static final int RETAINED_REVISIONS = 500;

    private ConfigRollout rollout;

    private final Map<String, KeyValue> restored = new TreeMap<>();
    private final Map<String, String> writtenStates = new HashMap<>();
    private double statesWrittenAt;
    private double compactedAt;
    private long appliedStoreRevision = -1;
    private final Set<Long> knownRevisions = new HashSet<>();

    RolloutTask(LeasedTasks tasks) {
        super(tasks, "rollout");
        createLeaseHolder(
                new TaskPlan("rollout", 0, 0), tasks.settings().continuousLeaseSettings());
    }

    @Override
    void leaseAcquired() {
        rollout = null;
        restored.clear();
        knownRevisions.clear();
        writtenStates.clear();
        appliedStoreRevision = -1;
        readPrefixes(RESTORED_PREFIXES, "", token().number());
    }

    /**
     * Reads these prefixes one after the other and page by page, through the leader, because this
     * instance's own replica may be behind. Only then this lease holder may do anything.
     *
     * @param lastKey the last key that was read of the first prefix, or ""
     */
    private void readPrefixes(List<String> prefixes, String lastKey, long tokenNumber) {
        if (prefixes.isEmpty()) {
            startRollout();
            return;
        }
        tasks.queryClient()
                .call(
                        StoreClient.newCall("list")
                                .put("prefix", prefixes.get(0))
                                .put("paged", true)
                                .put("after", lastKey),
                        READ_TIMEOUT_SECONDS,
                        outcome -> {
                            if (!holdsLease() || token().number() != tokenNumber) {
                                return;
                            }
                            if (!outcome.isDone()) {
                                readPrefixes(prefixes, lastKey, tokenNumber);
                                return;
                            }
                            for (JsonNode element : outcome.answer().path("items")) {
                                KeyValue item =
                                        new KeyValue(
                                                element.path("key").asText(),
                                                element.path("value").asText(),
                                                element.path("created").asLong(),
                                                element.path("revision").asLong(),
                                                null);
                                restored.put(item.key(), item);
                            }
                            if (StoreClient.hasMorePages(outcome)) {
                                readPrefixes(prefixes, StoreClient.lastKey(outcome), tokenNumber);
                            } else {
                                readPrefixes(prefixes.subList(1, prefixes.size()), "", tokenNumber);
                            }
                        });
    }

    private void startRollout() {
        rollout = new ConfigRollout(tasks.settings().rolloutSettings(), this);
        KeyValue stage = restored.get(STAGE_KEY);
        rollout.restore(now(), Optional.ofNullable(stage).map(KeyValue::value));
        applyItems(restored.values());
        tasks.nodes().connected().forEach(this::nodeReported);
    }

    private void applyItems(Collection<KeyValue> items) {
        for (KeyValue item : items) {
            if (item.key().startsWith(REVISION_PREFIX)) {
                ConfigRevision revision =
                        knownRevisions.contains(numberAfter(REVISION_PREFIX, item.key()))
                                ? null
                                : ConfigRevision.decode(item.value()).orElse(null);
                if (revision != null) {
                    knownRevisions.add(revision.number());
                    rollout.addRevision(revision);
                }
            } else if (item.key().startsWith(IMMEDIATE_PREFIX)) {
                rollout.markImmediate(numberAfter(IMMEDIATE_PREFIX, item.key()));
            } else if (item.key().equals(FLOOR_KEY)) {
                rollout.raiseFloorTo(leadingNumber(item));
            } else if (item.key().startsWith(NodeConnections.NODE_PREFIX)) {
                rollout.addNode(item.key().substring(NodeConnections.NODE_PREFIX.length()));
            }
        }
    }

    /** The number that a key has after its prefix; -1 if it has none. */
    private static long numberAfter(String prefix, String key) {
        String digits = key.substring(prefix.length());
        return digits.matches("\\d{1,18}") ? Long.parseLong(digits) : -1;
    }

    /**
     * Applies changes of the store from this instance's replica, which may be behind but is never
     * wrong.
     */
    private void applyStoreChanges() {
        long storeRevision = tasks.store().revision();
        if (storeRevision == appliedStoreRevision) {
            return;
        }
        appliedStoreRevision = storeRevision;
        applyItems(tasks.store().findByPrefix(REVISION_PREFIX));
        applyItems(tasks.store().findByPrefix(IMMEDIATE_PREFIX));
        KeyValue floor = tasks.store().find(FLOOR_KEY).orElse(null);
        if (floor != null) {
            rollout.raiseFloorTo(leadingNumber(floor));
        }
        Set<String> names = new HashSet<>();
        for (KeyValue item : tasks.store().findByPrefix(NodeConnections.NODE_PREFIX)) {
            String name = item.key().substring(NodeConnections.NODE_PREFIX.length());
            names.add(name);
            rollout.addNode(name);
            KeyValue shutOut =
                    tasks.store().find(NodeConnections.SHUT_OUT_PREFIX + name).orElse(null);
            if (leadingNumber(shutOut) == 0) {
                rollout.setAdmitted(name);
            } else {
                rollout.setShutOut(
                        name,
                        leadingNumber(shutOut),
                        shutOut.value().contains(" " + SHUT_OUT_MARK + " "));
            }
        }
        for (String name : List.copyOf(rollout.nodeNames())) {
            if (!names.contains(name) && tasks.nodes().get(name) == null) {
                rollout.removeNode(name);
            }
        }
    }

    @Override
    void leaseLost() {
        rollout = null;
    }

    @Override
    void doWork() {
        double now = now();
        boolean hasNodes = !tasks.store().findByPrefix(NodeConnections.NODE_PREFIX).isEmpty();
        if (!hasNodes
                || tasks.nodes().connected().stream()
                        .anyMatch(node -> now - node.lastHeardAt() < READ_TIMEOUT_SECONDS)) {
            leaseHolder().progressMade(now);
        }
        if (rollout == null) {
            return;
        }
        applyStoreChanges();
        rollout.tick(now);
        if (now - statesWrittenAt >= STATE_WRITE_SECONDS) {
            statesWrittenAt = now;
            writeStates();
        }
        if (now - compactedAt >= COMPACTION_SECONDS) {
            compactedAt = now;
            compactAuditTrail();
        }
    }

    private void writeStates() {
        List<Mutation> mutations = new ArrayList<>();
        for (String name : rollout.nodeNames()) {
            String state = rollout.stateOf(name) + " " + rollout.reasonFor(name);
            if (!state.equals(writtenStates.get(name)) && mutations.size() < MAX_MUTATIONS) {
                writtenStates.put(name, state);
                mutations.add(Mutation.put(STATE_PREFIX + name, state.strip()));
            }
        }
        for (KeyValue item : tasks.store().findByPrefix(STATE_PREFIX)) {
            String name = item.key().substring(STATE_PREFIX.length());
            if (!rollout.nodeNames().contains(name) && mutations.size() < MAX_MUTATIONS) {
                mutations.add(Mutation.delete(item.key()));
            }
        }
        List<KeyValue> revisions = List.copyOf(tasks.store().findByPrefix(REVISION_PREFIX));
        for (int i = 0;
                i < revisions.size() - RETAINED_REVISIONS && mutations.size() < MAX_MUTATIONS;
                i++) {
            if (numberAfter(REVISION_PREFIX, revisions.get(i).key()) < rollout.floor()) {
                mutations.add(Mutation.delete(revisions.get(i).key()));
            }
        }
        if (!mutations.isEmpty()) {
            write(mutations);
        }
    }

    /**
     * Compacts the audit logs to at most half of the store, and each node's log to a sixteenth, so
     * that it fits into one answer.
     */
    private void compactAuditTrail() {
        Map<String, String> checkpoints = new TreeMap<>();
        tasks.store()
                .findByPrefix(AuditCheckpoint.KEY_PREFIX)
                .forEach(item -> checkpoints.put(item.key(), item.value()));
        List<Mutation> mutations =
                AuditRetention.deleteExcess(
                        tasks.store().findByPrefix("trail/"),
                        checkpoints,
                        KeyValueStore.MAX_TOTAL_CHARS / 2,
                        KeyValueStore.MAX_TOTAL_CHARS / 16);
        if (!mutations.isEmpty()) {
            tasks.count("trails folded");
            write(mutations);
        }
    }

    @Override
    public void nodeReported(NodeConnections.NodeConnection node) {
        if (rollout != null) {
            JsonNode report = node.report();
            if (report.has("clock")) {
                rollout.reportReceived(
                        node.lastHeardAt(),
                        new NodeReport(
                                node.name,
                                node.incarnation,
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
    public void nodeDisconnected(NodeConnections.NodeConnection node) {
        if (rollout != null) {
            rollout.disconnected(node.name);
        }
    }

    // Environment of the rollout

    @Override
    public void order(String node, ConfigRevision revision, long base) {
        NodeConnections.NodeConnection connection = tasks.nodes().get(node);
        if (connection == null) {
            return;
        }
        ObjectNode order =
                JsonMessages.newObject()
                        .put("number", revision.number())
                        .put("base", base)
                        .put("chain", revision.chainDigest())
                        .put("content", revision.contentDigest());
        ConfigRevision baseRevision =
                base == 0
                        ? null
                        : tasks.store()
                                .find(ConfigRevision.key(base))
                                .flatMap(item -> ConfigRevision.decode(item.value()))
                                .orElse(null);
        if (baseRevision == null) {
            order.put("base", 0);
            JsonMessages.putTexts(order.putObject("fields"), revision.fields());
        } else {
            JsonMessages.putChanges(
                    order.putObject("fields"), revision.differenceFrom(baseRevision));
        }
        tasks.count(baseRevision == null ? "revisions told whole" : "revisions told by difference");
        ConfigRollout sender = rollout;
        sendOrder(
                connection,
                "revision",
                order,
                verdict -> {
                    if (sender == rollout && verdict != null) {
                        sender.orderCompleted(now(), node, toOrderAnswer(verdict));
                    }
                });
    }

    private static ConfigRollout.OrderAnswer toOrderAnswer(ObjectNode verdict) {
        return switch (verdict.path("end").asText()) {
            case "TAKEN" -> ConfigRollout.OrderAnswer.APPLIED;
            case "WHOLE" -> ConfigRollout.OrderAnswer.FULL_REVISION_NEEDED;
            default -> ConfigRollout.OrderAnswer.NOT_APPLIED;
        };
    }

    @Override
    public void recordProgress(String progress) {
        ConfigRollout sender = rollout;
        write(List.of(Mutation.put(STAGE_KEY, progress)), sender::progressRecorded);
    }

    @Override
    public void raiseFloor(long revision) {
        write(List.of(Mutation.put(FLOOR_KEY, String.valueOf(revision))));
    }

    @Override
    public void shutOut(String node, long incarnation, String reason) {
        notifyOperator(node + " is shut out: " + reason);
        write(
                List.of(
                        Mutation.put(
                                NodeConnections.SHUT_OUT_PREFIX + node,
                                incarnation + " " + SHUT_OUT_MARK + " " + reason)));
    }

    @Override
    public void requestRestart(String node, String reason) {
        notifyOperator(node + " has to be restarted: " + reason);
        write(List.of(Mutation.put(RESTART_REQUEST_PREFIX + node, reason)));
    }
}
