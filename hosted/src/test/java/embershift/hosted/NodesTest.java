package embershift.hosted;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class NodesTest {

    @DataProvider
    public static Object[][] twoOfAName() {
        return new Object[][] {
            // Its registration was given up and came about later: it comes back by the lower of its
            // two incarnations.
            {7L, "a1", 9L, "a1", false},
            {9L, "a1", 7L, "a1", false},
            {7L, "a1", 7L, "a1", false},
            {7L, "a1", 9L, "b2", true},
            {9L, "a1", 7L, "b2", false}
        };
    }

    @Test(dataProvider = "twoOfAName")
    public void processGivesWayToALaterOneAndNeverToItself(
            long incarnation, String boot, long other, String otherBoot, boolean givesWay) {
        assertEquals(Nodes.givesWay(incarnation, boot, other, otherBoot), givesWay);
    }
}
