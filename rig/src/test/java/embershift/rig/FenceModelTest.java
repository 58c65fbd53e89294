package embershift.rig;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import embershift.fleet.Command;
import embershift.fleet.DutyId;
import embershift.fleet.Fence;
import embershift.fleet.Gate;
import embershift.fleet.Grants;
import embershift.fleet.KeyValueStore;
import embershift.fleet.SessionId;
import embershift.fleet.Tenure;
import embershift.rig.world.FenceModel;
import embershift.rig.world.FenceModel.Mistake;
import java.net.URLClassLoader;
import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Who may act for the fleet: the protocol in all interleavings, and the commands by which duties
 * change hands.
 */
public class FenceModelTest {

    @Test
    public void noOrderOfAnEarlierGrantIsTakenAfterOneOfALaterAndNoTwoHoldWhileClocksKeep() {
        FenceModel.Result keeping = FenceModel.explore(Mistake.NONE, true, 2);
        FenceModel.Result straying = FenceModel.explore(Mistake.NONE, false, 2);
        assertNull(keeping.broken());
        assertNull(straying.broken());
        // It has been to the end of something, and clocks that stray reach more.
        assertTrue(keeping.states() > 10_000, keeping.states() + " states");
        assertTrue(straying.states() > keeping.states(), straying.states() + " states");
        System.out.println(
                "fences: "
                        + keeping.states()
                        + " states, "
                        + straying.states()
                        + " with clocks that stray");
    }

    @Test
    public void eachKnownMistakeOfTheProtocolIsFound() {
        for (Mistake mistake : Mistake.values()) {
            if (mistake != Mistake.NONE) {
                String broken = FenceModel.explore(mistake, true, 2).broken();
                assertNotNull(broken, mistake.toString());
                System.out.println(mistake + ": " + broken);
            }
        }
    }

    @DataProvider
    public Object[][] gateMistakes() {
        return new Object[][] {
            {"if (fence.compareTo(known) < 0) {", "if (fence.compareTo(known) > 0) {"},
            {"highest.put(duty, fence);", ""},
            {
                "if (known == null) {\n            return Verdict.UNSURE;",
                "if (known == null) {\n            return Verdict.TAKEN;"
            },
        };
    }

    @Test(dataProvider = "gateMistakes")
    public void eachKnownMistakeOfTheGateIsFound(String from, String to) throws Exception {
        Path gate = Path.of("..", "fleet/src/main/java/embershift/fleet/Gate.java");
        try (Mutation mutation = new Mutation(gate, from, to);
                URLClassLoader loader = mutation.loader()) {
            assertNotNull(
                    loader.loadClass("embershift.rig.world.FenceModel")
                            .getMethod("firstBroken")
                            .invoke(null),
                    to);
        }
    }

    @Test
    public void dutyPassesOnOnlyWhenItsOwnersSessionEndsAndTheOldOwnerNotesNothingMore() {
        KeyValueStore record = new KeyValueStore();
        DutyId duty = new DutyId("release");
        SessionId one = new SessionId(record.apply(1, new Command.Open("i1", 2)).number());
        SessionId other = new SessionId(record.apply(2, new Command.Open("i2", 2)).number());
        Fence first = new Fence(record.apply(3, Grants.claim(one, 1, duty, "i1")).number());
        assertTrue(!record.apply(4, Grants.claim(other, 1, duty, "i2")).done());
        assertTrue(record.apply(5, Grants.note(one, 2, duty, first, "intended 1")).done());
        record.apply(6, new Command.End(one));
        Fence second = new Fence(record.apply(7, Grants.claim(other, 2, duty, "i2")).number());
        assertTrue(second.compareTo(first) > 0);
        SessionId again = new SessionId(record.apply(8, new Command.Open("i1", 2)).number());
        assertTrue(!record.apply(9, Grants.note(again, 1, duty, first, "done 1")).done());
        assertEquals(record.get(duty.progressKey()).value(), "intended 1");
        Fence third =
                new Fence(record.apply(10, Grants.takeOver(again, 2, duty, "i1", second)).number());
        assertTrue(!record.apply(11, Grants.note(other, 3, duty, second, "done 1")).done());
        assertTrue(!record.apply(12, Grants.giveBack(other, 4, duty, second)).done());
        assertTrue(record.apply(13, Grants.giveBack(again, 3, duty, third)).done());
        assertTrue(record.apply(14, Grants.claim(other, 5, duty, "i2")).number() > third.number());
    }

    @Test
    public void lateWordOfTheRecordDoesNotLowerWhatAGateKnows() {
        DutyId duty = new DutyId("d");
        Gate gate = new Gate();
        assertEquals(gate.take(duty, new Fence(9)), Gate.Verdict.UNSURE);
        gate.told(duty, new Fence(5));
        gate.told(duty, new Fence(3));
        assertEquals(gate.take(duty, new Fence(4)), Gate.Verdict.OLD);
        assertEquals(gate.take(duty, new Fence(5)), Gate.Verdict.TAKEN);
    }

    @Test
    public void ownerCountsItsTimeFromBeforeItAskedAndBeginsNothingThatOutlastsIt() {
        Tenure tenure = new Tenure(10);
        assertTrue(!tenure.holds(0));
        tenure.granted(new Fence(5), 100);
        assertTrue(tenure.holds(109.5) && !tenure.holds(109.7));
        assertTrue(tenure.mayBegin(105, 4) && !tenure.mayBegin(105, 5));
        assertTrue(!tenure.wantsRenewal(102) && tenure.wantsRenewal(104));
        tenure.renewed(104);
        tenure.renewed(101);
        assertTrue(tenure.holds(113) && !tenure.holds(113.7));
        tenure.over();
        assertTrue(!tenure.holds(105));
        assertEquals(tenure.fence(), new Fence(5));
    }
}
