package embershift.fleet.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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

    private NodeReport reportAtSecond(String node, long rejected) {
        return new NodeReport(
                node,
                5,
                2,
                second.chainDigest(),
                second.contentDigest(),
                true,
                rejected,
                rejected == 0 ? "" : "no",
                0,
                0);
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
                List.of("note 2 ALL 1 -", "order n1 2 on 1", "order n2 2 on 1", "order n3 2 on 1"));
        environment.calls.clear();
        rollout.reportReceived(1.5, reportAtSecond("n1", 0));
        settle(rollout, environment, 1.5);
        assertEquals(
                environment.calls,
                List.of("note 2 ALL 2 -", "note 3 FIRST 2 n1", "order n1 3 on 2"));
        environment.calls.clear();
        rollout.reportReceived(2, reportAtSecond("n1", 3));
        rollout.reportReceived(2, reportAtSecond("n2", 0));
        rollout.reportReceived(2, reportAtFirst("n3"));
        rollout.orderCompleted(2, "n3", ConfigRollout.OrderAnswer.FULL_REVISION_NEEDED);
        settle(rollout, environment, 2);
        assertEquals(
                environment.calls,
                List.of("note 3 HALTED 2 n1 n1 refused it: no", "order n3 2 on 0"));
    }

    /** Guards against a wrong immediate revision that stays the one to go by and to start from. */
    @Test
    public void immediateRevisionIsHaltedOnceAllNodesHaveRejectedItAndNotWhereOneAppliesIt() {
        Recorder environment = new Recorder();
        ConfigRollout rollout = rolloutOfThree(environment, "2 ALL 2 -");
        rollout.markImmediate(third.number());
        settle(rollout, environment, 1);
        assertEquals(environment.calls.get(0), "note 3 ALL 2 -");
        environment.calls.clear();
        rollout.reportReceived(1.5, rejectionOfThird("n1"));
        rollout.reportReceived(1.5, rejectionOfThird("n2"));
        settle(rollout, environment, 1.5);
        assertEquals(environment.calls, List.of());
        rollout.reportReceived(1.6, rejectionOfThird("n3"));
        settle(rollout, environment, 1.6);
        assertEquals(environment.calls.get(0), "note 3 HALTED 2 - all nodes refused it: no");

        Recorder ofApplied = new Recorder();
        ConfigRollout applied = rolloutOfThree(ofApplied, "3 ALL 2 -");
        applied.markImmediate(third.number());
        applied.reportReceived(1, rejectionOfThird("n1"));
        applied.reportReceived(1, rejectionOfThird("n2"));
        applied.reportReceived(1, report("n3", 5, 3, third.chainDigest(), third.contentDigest()));
        settle(applied, ofApplied, 1);
        assertEquals(ofApplied.calls.get(0), "note 3 ALL 3 -");
    }

    /** Guards against sound nodes that are restarted or shut out because a revision is wrong. */
    @Test
    public void nodeThatRejectsARevisionIsNeitherRestartedNorShutOutAndTakesTheNextOneAtOnce() {
        Recorder environment = new Recorder();
        ConfigRollout rollout = rolloutOfThree(environment, "3 ALL 3 -");
        double now = 1;
        for (; now < 120; now += 0.25) {
            for (String node : List.of("n1", "n2", "n3")) {
                rollout.reportReceived(now, rejectionOfThird(node));
                rollout.orderCompleted(now, node, ConfigRollout.OrderAnswer.NOT_APPLIED);
            }
            rollout.tick(now);
        }
        assertTrue(
                environment.calls.stream().allMatch(call -> call.startsWith("order ")),
                environment.calls.toString());
        environment.calls.clear();
        ConfigRevision fourth = third.next(second, Map.of("out/h2", Optional.of("worn")));
        rollout.addRevision(fourth);
        rollout.markImmediate(fourth.number());
        settle(rollout, environment, now);
        assertEquals(
                environment.calls,
                List.of("note 4 ALL 3 -", "order n1 4 on 1", "order n2 4 on 1", "order n3 4 on 1"));
    }
}
