package embershift.fleet;

import static org.testng.Assert.assertEquals;

import embershift.fleet.audit.AuditCheckpoint;
import embershift.fleet.audit.AuditEntry;
import embershift.fleet.audit.AuditRetention;
import embershift.fleet.audit.AuditSegment;
import embershift.fleet.audit.HybridLogicalClock;
import embershift.fleet.lease.TaskId;
import embershift.fleet.lease.TaskProgress;
import embershift.fleet.restart.RollingRestartPlan;
import embershift.fleet.rollout.ConfigRevision;
import embershift.fleet.rollout.ConfigRollout;
import embershift.fleet.rollout.NodeReport;
import embershift.fleet.rollout.NodeState;
import embershift.fleet.rollout.RolloutSettings;
import embershift.fleet.rollout.RolloutStage;
import embershift.fleet.store.KeyValue;
import embershift.fleet.store.Mutation;
import embershift.fleet.store.SessionId;
import embershift.testing.GoldenSamples;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.testng.annotations.Test;

/**
 * The texts in the store keep the format of earlier versions, which wrote them and still read them.
 */
public class StoredFormatTest {

    private static final String GOLDEN_FILE = "texts.txt";

    private static AuditSegment segment() {
        List<AuditEntry> entries = new ArrayList<>();
        HybridLogicalClock at = HybridLogicalClock.START;
        for (AuditEntry.Kind kind : AuditEntry.Kind.values()) {
            at = at.next(1_700_000_000_000L);
            entries.add(
                    new AuditEntry(
                            entries.size() + 1,
                            at,
                            kind,
                            Map.of("revision", "3", "out.h1", "1"),
                            "free  text\nof it"));
        }
        entries.add(
                new AuditEntry(
                        entries.size() + 1, at.next(0), AuditEntry.Kind.TUNNELS, Map.of(), ""));
        return new AuditSegment("node-1", 17, 2, "abc", entries);
    }

    private static RollingRestartPlan restartPlan() {
        return new RollingRestartPlan(
                "r-1",
                2,
                0.9,
                5,
                60,
                List.of(
                        new RollingRestartPlan.Target(false, "h1"),
                        new RollingRestartPlan.Target(true, "n1"),
                        new RollingRestartPlan.Target(false, "h2")));
    }

    private static Map<String, Optional<String>> set(String... namesAndValues) {
        Map<String, Optional<String>> changes = new TreeMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            changes.put(namesAndValues[i], Optional.of(namesAndValues[i + 1]));
        }
        return changes;
    }

    @Test
    public void storedTextsKeepTheirFormat() {
        GoldenSamples samples = new GoldenSamples();
        TaskId task = new TaskId("lists");
        samples.text(
                "duty keys", task.tokenKey() + " " + task.holderKey() + " " + task.progressKey());
        addRevisions(samples);
        samples.text("segment", segment().encode()).text("segment key", segment().key());
        samples.text("hybrid time", new HybridLogicalClock(1_700_000_000_000L, 3).toString());
        samples.text("release plan", restartPlan().encode());
        samples.text("release part id", restartPlan().id(1, restartPlan().targets().get(1)));
        samples.text(
                "release keys",
                RollingRestartPlan.KEY
                        + " "
                        + RollingRestartPlan.INTENT_KEY
                        + " "
                        + RollingRestartPlan.STATE_KEY);
        List<TaskProgress.State> states = List.of(TaskProgress.State.values());
        for (TaskProgress.State state : states) {
            samples.text(
                    "progress " + states.indexOf(state),
                    new TaskProgress("plan-1", state, 2, 1).encode());
        }
        samples.text(
                "begin of a trail",
                new AuditCheckpoint(4, 200, "sum", 3, new HybridLogicalClock(12, 1)).encode());
        KeyValue stored = new KeyValue(segment().key(), segment().encode(), 1, 1, SessionId.NONE);
        for (Mutation mutation : AuditRetention.deleteExcess(List.of(stored), Map.of(), 1, 1)) {
            samples.text("folded " + mutation.key(), mutation.value().orElse("null"));
        }
        samples.text("stages and floor of a rollout", String.join("; ", rollout()));
        samples.assertMatch(getClass(), GOLDEN_FILE);
    }

    private static void addRevisions(GoldenSamples samples) {
        ConfigRevision first =
                ConfigRevision.NONE.next(set("out/h1", "why not", "discovery", "127.0.0.1:1"));
        Map<String, Optional<String>> changes = set("sockets", "100", "peers", "");
        changes.put("out/h1", Optional.empty());
        ConfigRevision second = first.next(changes);
        samples.text("first revision", first.encode()).text("second revision", second.encode());
        samples.text("revision key", ConfigRevision.key(second.number()));
        samples.text("revision chain", second.chainDigest());
        Map<String, String> difference = new TreeMap<>();
        second.differenceFrom(first)
                .forEach((name, value) -> difference.put(name, value.orElse("null")));
        samples.text("revision difference", difference.toString());
    }

    @Test
    public void storedTextsOfEarlierVersionAreDecoded() {
        assertEquals(AuditSegment.decode(segment().encode()).orElseThrow(), segment());
        assertEquals(
                RollingRestartPlan.decode(restartPlan().encode()).orElseThrow(), restartPlan());
        ConfigRevision first = ConfigRevision.NONE.next(set("out/h1", "why not"));
        assertEquals(ConfigRevision.decode(first.encode()).orElseThrow(), first);
        for (TaskProgress.State state : TaskProgress.State.values()) {
            TaskProgress progress = new TaskProgress("plan-1", state, 2, 1);
            assertEquals(TaskProgress.decode(progress.encode()).orElseThrow(), progress);
        }
    }

    /**
     * Returns what a rollout records for a revision that all nodes apply and for one that is
     * rejected.
     */
    private static List<String> rollout() {
        List<String> recorded = new ArrayList<>();
        ConfigRollout rollout = new ConfigRollout(RolloutSettings.DEFAULTS, new Recorder(recorded));
        ConfigRevision first = ConfigRevision.NONE.next(set("out/h1", "x"));
        ConfigRevision second = first.next(set("out/h2", "x"));
        Collection<String> names = List.of("n1", "n2");
        names.forEach(rollout::addNode);
        rollout.addRevision(first);
        simulate(rollout, names, recorded, 0, first, 0);
        rollout.addRevision(second);
        simulate(rollout, names, recorded, 30, first, second.number());
        for (NodeState state : NodeState.values()) {
            recorded.add("state " + state);
        }
        for (RolloutStage stage : RolloutStage.values()) {
            recorded.add("stage " + stage);
        }
        return recorded;
    }

    private static void simulate(
            ConfigRollout rollout,
            Collection<String> names,
            List<String> recorded,
            double from,
            ConfigRevision held,
            long rejected) {
        for (int i = 0; i < 40; i++) {
            double now = from + 0.25 * i;
            ConfigRevision applied = i < 2 && rejected == 0 ? ConfigRevision.NONE : held;
            long rejectedByNow = i > 4 ? rejected : 0;
            names.forEach(
                    name ->
                            rollout.reportReceived(
                                    now,
                                    new NodeReport(
                                            name,
                                            5,
                                            applied.number(),
                                            applied.chainDigest(),
                                            applied.contentDigest(),
                                            true,
                                            rejectedByNow,
                                            rejected == 0 ? "" : "can't",
                                            10,
                                            0)));
            int before = recorded.size();
            rollout.tick(now);
            recorded.subList(before, recorded.size()).stream()
                    .filter(line -> line.startsWith("note "))
                    .toList()
                    .forEach(line -> rollout.progressRecorded());
        }
    }

    private record Recorder(List<String> recorded) implements ConfigRollout.Environment {

        @Override
        public void order(String node, ConfigRevision revision, long baseNumber) {
            recorded.add("order " + node + " " + revision.number() + " against " + baseNumber);
        }

        @Override
        public void recordProgress(String text) {
            recorded.add("note " + text);
        }

        @Override
        public void raiseFloor(long revision) {
            recorded.add("floor " + revision);
        }

        @Override
        public void shutOut(String node, long incarnation, String reason) {
            recorded.add("out " + node + " " + incarnation + " " + reason);
        }

        @Override
        public void requestRestart(String node, String reason) {
            recorded.add("replace " + node + " " + reason);
        }

        @Override
        public void notifyOperator(String message) {
            // Not recorded: messages for operators have no fixed format.
        }
    }
}
