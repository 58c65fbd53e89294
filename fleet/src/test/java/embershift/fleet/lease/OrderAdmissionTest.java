package embershift.fleet.lease;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Which orders a node takes, by their age and token. */
public class OrderAdmissionTest {

    @Test
    public void orderThatIsTooOldOrFromTheFutureIsNotTakenWhateverItsToken() {
        FencingGuard guard = new FencingGuard();
        TaskId task = new TaskId("d");
        guard.learnLatest(task, new FencingToken(3));
        OrderAdmission admission = new OrderAdmission(guard, 3);
        assertEquals(
                admission.decide(10, task, new FencingToken(9), 6.9).verdict(),
                OrderAdmission.Verdict.EXPIRED);
        assertEquals(
                admission.decide(10, task, new FencingToken(9), 10.1).verdict(),
                OrderAdmission.Verdict.EXPIRED);
        // A token of an order that was not taken is not learned.
        assertEquals(
                admission.decide(10, task, new FencingToken(4), 8).verdict(),
                OrderAdmission.Verdict.ADMITTED);
        assertEquals(
                admission.decide(10, task, new FencingToken(3), 8).verdict(),
                OrderAdmission.Verdict.STALE_TOKEN);
        admission.shutOut("by hand");
        assertEquals(admission.decide(10, task, new FencingToken(9), 9).reason(), "by hand");
    }
}
