package embershift.fleet.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

/**
 * Decisions on nodes that the simulations in the rig module do not cover: unknown revisions, other
 * effective fields, silence.
 */
public class ConfigRolloutTest {

    private static final class Recorder implements ConfigRollout.Environment {
        private final List<String> calls = new ArrayList<>();

        @Override
        public void order(String node, ConfigRevision revision, long baseNumber) {
            calls.add("order " + node + " " + revision.number() + " on " + baseNumber);
        }

        @Override
        public void recordProgress(String text) {
            calls.add("note " + text);
        }

        @Override
        public void raiseFloor(long revision) {
            calls.add("floor " + revision);
        }

        @Override
        public void shutOut(String node, long incarnation, String reason) {
            calls.add("out " + node + " " + incarnation + " " + reason);
        }

        @Override
        public void requestRestart(String node, String reason) {
            calls.add("replace " + node);
        }

        @Override
        public void notifyOperator(String message) {
            // Not recorded: messages for operators have no fixed format.
        }
    }

    private static NodeReport report(
            String node, long incarnation, long revision, String chain, String content) {
        return new NodeReport(node, incarnation, revision, chain, content, true, 0, "", 0, 0);
    }

    private final ConfigRevision first =
            ConfigRevision.NONE.next(Map.of("sockets", Optional.of("900")));
    private final ConfigRevision second = first.next(Map.of("out/h1", Optional.of("worn")));

    private final ConfigRevision third = second.next(Map.of("colour", Optional.of("red")));

    private ConfigRollout rollout(Recorder environment) {
        ConfigRollout rollout = new ConfigRollout(RolloutSettings.DEFAULTS, environment);
        rollout.addRevision(first);
        rollout.addRevision(second);
        rollout.markImmediate(first.number());
        rollout.markImmediate(second.number());
        rollout.restore(0, Optional.of("2 ALL 2 -"));
        return rollout;
    }

    /** A rollout restored from this progress; the second revision is immediate, the third not. */
    private ConfigRollout rolloutOfThree(Recorder environment, String progress) {
        ConfigRollout rollout = new ConfigRollout(RolloutSettings.DEFAULTS, environment);
        List.of(first, second, third).forEach(rollout::addRevision);
        rollout.restore(0, Optional.of(progress));
        for (String node : List.of("n1", "n2", "n3")) {
            rollout.reportReceived(1, reportAtFirst(node));
        }
        return rollout;
    }

    /** Lets the rollout act until it has nothing more to record; all that it records is stored. */
    private static void settle(ConfigRollout rollout, Recorder environment, double time) {
        int handled = 0;
        while (true) {
            rollout.tick(time);
            List<String> recorded = environment.calls.subList(handled, environment.calls.size());
            long notes = recorded.stream().filter(call -> call.startsWith("note ")).count();
            if (notes == 0) {
                return;
            }
            handled = environment.calls.size();
            LongStream.range(0, notes).forEach(each -> rollout.progressRecorded());
        }
    }

    private NodeReport reportAtFirst(String node) {
        return report(node, 5, 1, first.chainDigest(), first.contentDigest());
    }

    private NodeReport rejectionOfThird(String node) {
        return new NodeReport(
                node, 5, 1, first.chainDigest(), first.contentDigest(), true, 3, "no", 0, 0);
    }

    @Test
    public void nodeWithUnknownRevisionIsShutOutAndSentNoOrder() {
        for (NodeReport unknownRevision :
                List.of(
                        report("n1", 5, 3, "abc", "def"),
                        report("n1", 5, 2, "other", second.contentDigest()))) {
            Recorder environment = new Recorder();
            ConfigRollout rollout = rollout(environment);
            rollout.reportReceived(1, unknownRevision);
            rollout.tick(1);
            assertEquals(rollout.stateOf("n1"), NodeState.SHUT_OUT);
            assertTrue(
                    environment
                                    .calls
                                    .get(0)
                                    .startsWith(
                                            "out n1 5 reports revision "
                                                    + unknownRevision.revision())
                            && environment.calls.stream()
                                    .noneMatch(each -> each.startsWith("order")),
                    environment.calls.toString());
        }
    }

    @Test
    public void nodeWithDifferentEffectiveFieldsIsSentCompleteRevision() {
        Recorder environment = new Recorder();
        ConfigRollout rollout = rollout(environment);
        rollout.reportReceived(1, report("n1", 5, 2, second.chainDigest(), first.contentDigest()));
        rollout.tick(1);
        assertEquals(rollout.stateOf("n1"), NodeState.DIVERGED);
        assertEquals(environment.calls, List.of("order n1 2 on 0"));
    }

    @Test
    public void silentNodeIsNeitherBehindNorShutOut() {
        Recorder environment = new Recorder();
        ConfigRollout rollout = rollout(environment);
        for (String node : List.of("n1", "n2", "n3", "n4")) {
            rollout.reportReceived(
                    1, report(node, 5, 1, first.chainDigest(), first.contentDigest()));
        }
        for (double time = 60; time < 200; time += 0.1) {
            rollout.tick(time);
        }
        assertEquals(rollout.stateOf("n1"), NodeState.SILENT);
        assertTrue(environment.calls.isEmpty(), environment.calls.toString());
    }

    /** Guards against an immediate revision that is lost behind a later one which is halted. */
    @Test
    public void immediateRevisionBeforeTheLatestOneReachesAllNodesAlsoWhereThatIsHalted() {
        Recorder environment = new Recorder();
        ConfigRollout rollout = rolloutOfThree(environment, "1 ALL 1 -");
        rollout.markImmediate(second.number());
        settle(rollout, environment, 1);
        assertEquals(
                environment.calls,
                List.of(
                        "note 2 ALL 2 -",
                        "note 3 FIRST 2 n1",
                        "order n1 3 on 1",
                        "order n2 2 on 1",
                        "order n3 2 on 1"));
        environment.calls.clear();
        rollout.reportReceived(1.5, rejectionOfThird("n1"));
        rollout.tick(1.5);
        rollout.progressRecorded();
        rollout.orderCompleted(1.5, "n1", ConfigRollout.OrderAnswer.NOT_APPLIED);
        rollout.reportReceived(3.5, rejectionOfThird("n1"));
        rollout.tick(3.5);
        assertEquals(environment.calls.get(0), "note 3 HALTED 2 n1 n1 refused it: no");
        assertTrue(environment.calls.contains("order n1 2 on 0"), environment.calls.toString());
    }

    /** Guards against an immediate revision that a lease holder learns of as such too late. */
    @Test
    public void revisionLaterKnownToBeImmediateReachesAllNodesWhateverTheStage() {
        Map<String, String> expected = new TreeMap<>();
        expected.put("3 HALTED 1 n1 n1 refused it: no", "note 3 HALTED 2 n1 n1 refused it: no");
        expected.put("3 FIRST 1 n1", "note 3 FIRST 2 n1");
        expected.put("2 HALTED 1 n1 n1 is silent", "note 3 FIRST 2 n1");
        expected.forEach(
                (restored, recorded) -> {
                    Recorder environment = new Recorder();
                    ConfigRollout rollout = rolloutOfThree(environment, restored);
                    rollout.markImmediate(second.number());
                    settle(rollout, environment, 1);
                    assertTrue(environment.calls.contains(recorded), restored + environment.calls);
                    assertTrue(
                            environment.calls.containsAll(
                                    List.of("order n2 2 on 1", "order n3 2 on 1")),
                            restored + environment.calls);
                });
    }
}
