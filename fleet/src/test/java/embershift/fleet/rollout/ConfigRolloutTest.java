package embershift.fleet.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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

    private ConfigRollout rollout(Recorder environment) {
        ConfigRollout rollout = new ConfigRollout(RolloutSettings.DEFAULTS, environment);
        rollout.addRevision(first, true);
        rollout.addRevision(second, true);
        rollout.restore(0, Optional.of("2 ALL 2 -"));
        return rollout;
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
}
