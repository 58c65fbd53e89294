package embershift.rig;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import embershift.fleet.lease.FencingGuard;
import embershift.fleet.lease.FencingToken;
import embershift.fleet.lease.Lease;
import embershift.fleet.lease.LeaseCommands;
import embershift.fleet.lease.TaskId;
import embershift.fleet.store.CommandResult;
import embershift.fleet.store.KeyValueStore;
import embershift.fleet.store.SessionId;
import embershift.fleet.store.StoreCommand;
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
            {"if (token.compareTo(known) < 0) {", "if (token.compareTo(known) > 0) {"},
            {"highestByTask.put(task, token);", ""},
            {
                "if (known == null) {\n            return Verdict.UNKNOWN;",
                "if (known == null) {\n            return Verdict.ADMITTED;"
            },
        };
    }

    @Test(dataProvider = "gateMistakes")
    public void eachKnownMistakeOfTheGateIsFound(String from, String to) throws Exception {
        Path gate = Path.of("..", "fleet/src/main/java/embershift/fleet/lease/FencingGuard.java");
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
        TaskId duty = new TaskId("release");
        SessionId one =
                new SessionId(number(record.apply(1, new StoreCommand.OpenSession("i1", 2))));
        SessionId other =
                new SessionId(number(record.apply(2, new StoreCommand.OpenSession("i2", 2))));
        FencingToken first =
                new FencingToken(
                        number(record.apply(3, LeaseCommands.acquire(one, 1, duty, "i1"))));
        assertTrue(!isDone(record.apply(4, LeaseCommands.acquire(other, 1, duty, "i2"))));
        assertTrue(
                isDone(
                        record.apply(
                                5,
                                LeaseCommands.recordProgress(one, 2, duty, first, "intended 1"))));
        record.apply(6, new StoreCommand.EndSession(one));
        FencingToken second =
                new FencingToken(
                        number(record.apply(7, LeaseCommands.acquire(other, 2, duty, "i2"))));
        assertTrue(second.compareTo(first) > 0);
        SessionId again =
                new SessionId(number(record.apply(8, new StoreCommand.OpenSession("i1", 2))));
        assertTrue(
                !isDone(
                        record.apply(
                                9, LeaseCommands.recordProgress(again, 1, duty, first, "done 1"))));
        assertEquals(record.find(duty.progressKey()).orElseThrow().value(), "intended 1");
        FencingToken third =
                new FencingToken(
                        number(
                                record.apply(
                                        10, LeaseCommands.takeOver(again, 2, duty, "i1", second))));
        assertTrue(
                !isDone(
                        record.apply(
                                11,
                                LeaseCommands.recordProgress(other, 3, duty, second, "done 1"))));
        assertTrue(!isDone(record.apply(12, LeaseCommands.release(other, 4, duty, second))));
        assertTrue(isDone(record.apply(13, LeaseCommands.release(again, 3, duty, third))));
        assertTrue(
                number(record.apply(14, LeaseCommands.acquire(other, 5, duty, "i2")))
                        > third.number());
    }

    @Test
    public void lateWordOfTheRecordDoesNotLowerWhatAGateKnows() {
        TaskId duty = new TaskId("d");
        FencingGuard gate = new FencingGuard();
        assertEquals(gate.admit(duty, new FencingToken(9)), FencingGuard.Verdict.UNKNOWN);
        gate.learnLatest(duty, new FencingToken(5));
        gate.learnLatest(duty, new FencingToken(3));
        assertEquals(gate.admit(duty, new FencingToken(4)), FencingGuard.Verdict.STALE);
        assertEquals(gate.admit(duty, new FencingToken(5)), FencingGuard.Verdict.ADMITTED);
    }

    @Test
    public void ownerCountsItsTimeFromBeforeItAskedAndBeginsNothingThatOutlastsIt() {
        Lease tenure = new Lease(10);
        assertTrue(!tenure.isHeld(0));
        tenure.acquired(new FencingToken(5), 100);
        assertTrue(tenure.isHeld(109.5) && !tenure.isHeld(109.7));
        assertTrue(tenure.canComplete(105, 4) && !tenure.canComplete(105, 5));
        assertTrue(!tenure.isRenewalDue(102) && tenure.isRenewalDue(104));
        tenure.renewed(104);
        tenure.renewed(101);
        assertTrue(tenure.isHeld(113) && !tenure.isHeld(113.7));
        tenure.invalidate();
        assertTrue(!tenure.isHeld(105));
        assertEquals(tenure.token(), new FencingToken(5));
    }

    private static long number(CommandResult result) {
        return ((CommandResult.Done) result).number();
    }

    private static boolean isDone(CommandResult result) {
        return result instanceof CommandResult.Done;
    }
}
