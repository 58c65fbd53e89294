package embershift.fleet.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.Test;

/** Single decisions on nodes that the simulated worlds do not play. */
public class ConfigRolloutTest {

    private static final class Recorder implements ConfigRollout.Environment {
        private final List<String> all = new ArrayList<>();

        @Override
        public void order(String node, ConfigRevision revision, long base) {
            all.add("order " + node + " " + revision.number() + " on " + base);
        }

        @Override
        public void recordProgress(String text) {
            all.add("note " + text);
        }

        @Override
        public void raiseFloor(long revision) {
            all.add("floor " + revision);
        }

        @Override
        public void shutOut(String node, long incarnation, String why) {
            all.add("out " + node + " " + incarnation + " " + why);
        }

        @Override
        public void requestRestart(String node, String why) {
            all.add("replace " + node);
        }

        @Override
        public void notifyOperator(String message) {
            // For operators.
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
    public void nodeWithARevisionThatTheRecordNeverHadIsRefusedAndNeverMerged() {
        for (NodeReport foreign :
                List.of(
                        report("n1", 5, 3, "abc", "def"),
                        report("n1", 5, 2, "other", second.contentDigest()))) {
            Recorder environment = new Recorder();
            ConfigRollout rollout = rollout(environment);
            rollout.reportReceived(1, foreign);
            rollout.tick(1);
            assertEquals(rollout.stateOf("n1"), NodeState.SHUT_OUT);
            assertTrue(
                    environment.all.get(0).startsWith("out n1 5 goes by " + foreign.revision())
                            && environment.all.stream().noneMatch(each -> each.startsWith("order")),
                    environment.all.toString());
        }
    }

    @Test
    public void nodeThatSaysOneThingAndDoesAnotherIsToldTheWhole() {
        Recorder environment = new Recorder();
        ConfigRollout rollout = rollout(environment);
        rollout.reportReceived(1, report("n1", 5, 2, second.chainDigest(), first.contentDigest()));
        rollout.tick(1);
        assertEquals(rollout.stateOf("n1"), NodeState.DIVERGED);
        assertEquals(environment.all, List.of("order n1 2 on 0"));
    }

    @Test
    public void silenceIsNeitherBehindNorAReasonToShutOut() {
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
        assertTrue(environment.all.isEmpty(), environment.all.toString());
    }
}
