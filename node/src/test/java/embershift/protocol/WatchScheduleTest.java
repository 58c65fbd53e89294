package embershift.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Urgent calls at discovery, in virtual time. */
public class WatchScheduleTest {

    /** Discovery answers a call within this time, if it can be reached. */
    private static final double MAX_ANSWER_SECONDS = 2;

    /** What discovery lists counts as known this long after SIGHUP has named it. */
    private static final double DEADLINE_SECONDS = 4;

    @DataProvider
    public Object[][] randomFractions() {
        return new Object[][] {{0.0}, {0.5}, {0.999}};
    }

    /**
     * Returns when a call is answered, if the first one falls silent or not, and each later one is
     * answered after the longest time.
     */
    private static double answeredAt(double fraction, boolean isFirstSilent, boolean retriesEarly) {
        WatchSchedule schedule = new WatchSchedule(retriesEarly, () -> fraction);
        schedule.beginUrgentCalls(0);
        double now = 0;
        for (int call = 0; call < 10; call++) {
            schedule.callStarted(now, false);
            boolean isAnswered = call > 0 || !isFirstSilent;
            if (isAnswered && schedule.nextActionAt() >= now + MAX_ANSWER_SECONDS) {
                return now + MAX_ANSWER_SECONDS;
            }
            now = schedule.nextActionAt();
            schedule.callFailed(now);
            now = Math.max(now, schedule.nextActionAt());
        }
        return Double.POSITIVE_INFINITY;
    }

    /** Guards against a discovery that takes its full time for each call, and is never awaited. */
    @Test(dataProvider = "randomFractions")
    public void urgentCallsGetTheirAnswerInTimeFromASlowDiscovery(double fraction) {
        for (boolean retriesEarly : new boolean[] {true, false}) {
            double slow = answeredAt(fraction, false, retriesEarly);
            double silentFirst = answeredAt(fraction, true, retriesEarly);
            assertTrue(slow <= DEADLINE_SECONDS, "answered after " + slow + " s");
            assertTrue(silentFirst <= DEADLINE_SECONDS, "answered after " + silentFirst + " s");
        }
    }

    @Test(dataProvider = "randomFractions")
    public void failedUrgentCallIsRepeatedSoonAndNotAtOnce(double fraction) {
        WatchSchedule schedule = new WatchSchedule(false, () -> fraction);
        schedule.beginUrgentCalls(0);
        double now = 0;
        for (int call = 0; call < 3; call++) {
            schedule.callStarted(now, false);
            schedule.callFailed(now);
            double delay = schedule.nextActionAt() - now;
            assertTrue(delay >= 0.25 && delay <= 1.9, "repeated after " + delay + " s");
            now = schedule.nextActionAt();
        }
    }

    @Test
    public void answerEndsTheUrgentCalls() {
        WatchSchedule schedule = new WatchSchedule(true, () -> 0.999);
        schedule.beginUrgentCalls(0);
        schedule.callStarted(0, false);
        schedule.callAnswered(0.1, true);
        schedule.callStarted(0.1, true);
        assertEquals(schedule.nextActionAt(), 0.1 + WatchSchedule.MAX_CALL_INTERVAL, 1e-9);
    }
}
