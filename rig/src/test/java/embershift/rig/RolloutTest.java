package embershift.rig;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import embershift.fleet.Admission;
import embershift.fleet.DutyId;
import embershift.fleet.Fence;
import embershift.fleet.Gate;
import embershift.fleet.Hybrid;
import embershift.fleet.Revision;
import embershift.fleet.Rollout;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Single decisions on nodes that the worlds do not play. */
public class RolloutTest {

    private static final class Noting implements Rollout.Hands {
        private final List<String> all = new ArrayList<>();

        @Override
        public void order(String node, Revision revision, long base) {
            all.add("order " + node + " " + revision.number() + " on " + base);
        }

        @Override
        public void note(String text) {
            all.add("note " + text);
        }

        @Override
        public void floor(long revision) {
            all.add("floor " + revision);
        }

        @Override
        public void shutOut(String node, long incarnation, String why) {
            all.add("out " + node + " " + incarnation + " " + why);
        }

        @Override
        public void replace(String node, String why) {
            all.add("replace " + node);
        }

        @Override
        public void told(String what) {
            // For operators.
        }
    }

    private static Rollout.Report report(
            String node, long incarnation, long revision, String chain, String content) {
        return new Rollout.Report(node, incarnation, revision, chain, content, true, 0, "", 0, 0);
    }

    private final Revision first = Revision.NONE.next(Map.of("sockets", "900"));
    private final Revision second = first.next(Map.of("out/h1", "worn"));

    private Rollout rollout(Noting hands) {
        Rollout rollout = new Rollout(Rollout.Terms.USUAL, hands);
        rollout.known(first, true);
        rollout.known(second, true);
        rollout.found(0, "2 ALL 2 -");
        return rollout;
    }

    @Test
    public void nodeWithARevisionThatTheRecordNeverHadIsRefusedAndNeverMerged() {
        for (Rollout.Report foreign :
                List.of(
                        report("n1", 5, 3, "abc", "def"),
                        report("n1", 5, 2, "other", second.content()))) {
            Noting hands = new Noting();
            Rollout rollout = rollout(hands);
            rollout.heard(1, foreign);
            rollout.tick(1);
            assertEquals(rollout.state("n1"), Rollout.State.SHUT_OUT);
            assertTrue(
                    hands.all.get(0).startsWith("out n1 5 goes by " + foreign.revision())
                            && hands.all.stream().noneMatch(each -> each.startsWith("order")),
                    hands.all.toString());
        }
    }

    @Test
    public void nodeThatSaysOneThingAndDoesAnotherIsToldTheWhole() {
        Noting hands = new Noting();
        Rollout rollout = rollout(hands);
        rollout.heard(1, report("n1", 5, 2, second.chain(), first.content()));
        rollout.tick(1);
        assertEquals(rollout.state("n1"), Rollout.State.DIVERGED);
        assertEquals(hands.all, List.of("order n1 2 on 0"));
    }

    @Test
    public void silenceIsNeitherBehindNorAReasonToShutOut() {
        Noting hands = new Noting();
        Rollout rollout = rollout(hands);
        for (String node : List.of("n1", "n2", "n3", "n4")) {
            rollout.heard(1, report(node, 5, 1, first.chain(), first.content()));
        }
        for (double time = 60; time < 200; time += 0.1) {
            rollout.tick(time);
        }
        assertEquals(rollout.state("n1"), Rollout.State.SILENT);
        assertTrue(hands.all.isEmpty(), hands.all.toString());
    }

    @Test
    public void oldOrderIsVoidWhateverItsFenceAndOneFromTheFutureToo() {
        Gate gate = new Gate();
        DutyId duty = new DutyId("d");
        gate.told(duty, new Fence(3));
        Admission admission = new Admission(gate, 3);
        assertEquals(admission.take(10, duty, new Fence(9), 6.9).verdict(), Admission.Verdict.VOID);
        assertEquals(
                admission.take(10, duty, new Fence(9), 10.1).verdict(), Admission.Verdict.VOID);
        // What was void has told nothing of fences.
        assertEquals(admission.take(10, duty, new Fence(4), 8).verdict(), Admission.Verdict.TAKEN);
        assertEquals(admission.take(10, duty, new Fence(3), 8).verdict(), Admission.Verdict.OLD);
        admission.shutOut("by hand");
        assertEquals(admission.take(10, duty, new Fence(9), 9).why(), "by hand");
    }

    @Test
    public void clockThatIsSetBackMovesNothingBackAndOneFarAheadIsNotFollowed() {
        Hybrid now = Hybrid.START.next(1_000_000);
        assertTrue(now.next(5).compareTo(now) > 0);
        assertEquals(now.heard(new Hybrid(1_030_000, 2), 1_000_000), new Hybrid(1_030_000, 2));
        assertEquals(now.heard(new Hybrid(9_000_000, 0), 1_000_000), now);
    }
}
