package embershift.fleet.lease;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Admission of orders by their age and fencing token. */
public class OrderAdmissionTest {

    @Test
    public void orderTooOldOrFromFutureIsRejectedWhateverItsToken() {
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
        // The token of an order that was rejected for its age is not recorded.
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
