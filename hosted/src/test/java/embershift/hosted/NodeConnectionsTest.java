package embershift.hosted;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Which of two processes with the name of one node keeps it. */
public class NodeConnectionsTest {

    @DataProvider
    public static Object[][] processesOfOneName() {
        return new Object[][] {
            // Its registration timed out and was stored later: it reconnects with the lower of
            // its two incarnations.
            {7L, "a1", 9L, "a1", false},
            {9L, "a1", 7L, "a1", false},
            {7L, "a1", 7L, "a1", false},
            {7L, "a1", 9L, "b2", true},
            {9L, "a1", 7L, "b2", false}
        };
    }

    @Test(dataProvider = "processesOfOneName")
    public void processYieldsToLaterOneButNeverToItself(
            long incarnation,
            String bootId,
            long otherIncarnation,
            String otherBootId,
            boolean yields) {
        assertEquals(
                NodeConnections.yieldsTo(incarnation, bootId, otherIncarnation, otherBootId),
                yields);
    }
}
