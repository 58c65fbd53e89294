package embershift.rig;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import embershift.fleet.Answer;
import embershift.fleet.Command;
import embershift.fleet.DutyId;
import embershift.fleet.Fence;
import embershift.fleet.Owner;
import embershift.fleet.Plan;
import embershift.fleet.SessionId;
import embershift.rig.world.DutyWorld;
import embershift.rig.world.SeededWorld;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Owners of a duty that are stopped, end, and are late: what receivers took is what counts. */
public class DutyWorldTest {

    private static final long WORLDS = 400;
    private static final long LOOK = 4000;

    @Test
    public void stepsAreDoneInTheirOrderAndNoOldOwnerDoesHarm() {
        Map<String, Long> reached = new TreeMap<>();
        for (long seed = 1; seed <= WORLDS; seed++) {
            SeededWorld.Report report = DutyWorld.play(seed);
            assertNull(report.broken(), report.toString());
            report.reached().forEach((what, times) -> reached.merge(what, times, Long::sum));
        }
        for (String what :
                List.of(
                        "orders OLD",
                        "orders UNSURE",
                        "owners stopped",
                        "owners started anew",
                        "steps done again",
                        "sessions ended by the record",
                        "receivers started anew",
                        "calls unknown",
                        "plans done")) {
            assertTrue(reached.getOrDefault(what, 0L) >= 10, what + " in " + reached);
        }
    }

    @DataProvider
    public Object[][] mistakes() {
        return new Object[][] {
            {
                "Owner",
                "note(now, new Plan.Progress(plan.name(), Plan.Progress.State.INTENDED, following, 1));",
                "progress = new Plan.Progress(plan.name(), Plan.Progress.State.INTENDED, following, 1); step(now);"
            },
            {"Owner", "if (tenure.mayBegin(now, plan.longest())) {", "if (true) {"},
            {
                "Owner",
                "tenure.granted(new Fence(result), asked);",
                "tenure.granted(new Fence(result), now);"
            },
            {"Owner", "tenure.renewed(sent);", "tenure.renewed(now);"},
            {
                "Owner",
                "note(now, new Plan.Progress(plan.name(), Plan.Progress.State.INTENDED, progress.step(), owners));",
                "note(now, new Plan.Progress(plan.name(), Plan.Progress.State.INTENDED, progress.step() + 1, owners));"
            },
            {
                "Grants",
                "number, number, List.of(new Condition(duty.ownerKey(), 0)),",
                "number, number, List.of(),"
            },
            {"Gate", "if (fence.compareTo(known) < 0) {", "if (false) {"},
            {"Gate", "highest.put(duty, fence);", ""},
            {
                "Gate",
                "if (known == null) {\n            return Verdict.UNSURE;",
                "if (known == null) {\n            return Verdict.TAKEN;"
            },
            {"Tenure", "lasts = session * (1 - 2 * DRIFT);", "lasts = session * 1.5;"},
        };
    }

    @Test(dataProvider = "mistakes")
    public void knownMistakeShows(String where, String from, String to) throws Exception {
        Path source = Path.of("..", "fleet/src/main/java/embershift/fleet", where + ".java");
        try (Mutation mutation = new Mutation(source, from, to)) {
            assertNotNull(
                    mutation.firstBroken("DutyWorld", 1, LOOK),
                    to + ": not seen in " + LOOK + " worlds");
        }
    }

    /** Hands that note what they are asked, and a record that grants everything. */
    private static final class Noting implements Owner.Hands {
        private final List<String> all = new ArrayList<>();
        private Command out;

        @Override
        public void ask(Command command) {
            out = command;
            all.add(
                    command instanceof Command.Change change && !change.writes().isEmpty()
                            ? String.valueOf(change.writes().get(0).value())
                            : command.getClass().getSimpleName());
        }

        @Override
        public void renew(SessionId session, double asked) {}

        @Override
        public void look(DutyId duty) {
            all.add("look");
        }

        @Override
        public void act(DutyId duty, Plan plan, int step, Fence fence) {
            all.add("act " + step);
        }

        @Override
        public void told(String what) {
            all.add(what);
        }
    }

    private static Owner working(Noting hands, Owner.Terms terms) {
        Owner owner = new Owner("o", new DutyId("d"), new Plan("p", 2, 0.1), terms, hands);
        owner.tick(0);
        owner.answered(0, hands.out, new Answer.Done(7));
        owner.tick(0);
        owner.answered(0, hands.out, new Answer.Done(9));
        owner.tick(0);
        hands.all.clear();
        return owner;
    }

    @Test
    public void stepThatEndsEachOwnerStopsAfterTheStatedNumber() {
        Owner.Terms terms = new Owner.Terms(5, 0.1, 10, 3, 10);
        Noting hands = new Noting();
        Owner third = working(hands, terms);
        third.found(0, "p INTENDED 1 2");
        assertEquals(hands.all, List.of("p INTENDED 1 3"));
        Noting next = new Noting();
        Owner fourth = working(next, terms);
        fourth.found(0, "p INTENDED 1 3");
        assertEquals(next.all.get(1), "p POISONED 1 3");
        fourth.answered(0, next.out, new Answer.Done(10));
        assertTrue(
                fourth.over() && next.all.stream().noneMatch(each -> each.startsWith("act")),
                next.all.toString());
        Noting last = new Noting();
        Owner fifth = working(last, terms);
        fifth.found(0, "p POISONED 1 3");
        assertTrue(
                fifth.over() && last.all.get(0).contains("stays stopped at step 1"),
                last.all.toString());
    }

    @Test
    public void ownerThatGetsNothingDoneGivesTheDutyBackAndWaitsLongerEachTime() {
        Noting hands = new Noting();
        Owner owner = working(hands, new Owner.Terms(100, 0.1, 10, 3, 10));
        owner.found(0, "p INTENDED 0 1");
        owner.answered(0, hands.out, new Answer.Done(10));
        assertEquals(hands.all.get(1), "act 0");
        owner.tick(11);
        assertTrue(hands.all.get(2).contains("gets nothing done"), hands.all.toString());
        assertTrue(!owner.holds(11));
        owner.answered(11, hands.out, new Answer.Done(11));
        int before = hands.all.size();
        owner.tick(11.1);
        assertEquals(hands.all.size(), before, "claims again at once");
        owner.tick(11.3);
        assertEquals(hands.all.size(), before + 1);
    }

    @Test
    public void effectThatARefusedFenceEndedIsNotDoneAgainByTheOldOwner() {
        Noting hands = new Noting();
        Owner owner = working(hands, Owner.Terms.USUAL);
        owner.found(0, null);
        owner.answered(0, hands.out, new Answer.Done(10));
        owner.acted(0.1, 0, new Fence(9), Owner.Effect.OLD);
        assertTrue(!owner.holds(0.1));
        assertEquals(hands.all, List.of("p INTENDED 0 1", "act 0"));
    }
}
