package embershift.rig.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** How a limit on progress goes by what a machine has to do. */
public class PatienceTest {

    @Test
    public void limitGoesSlowerByWhatTasksHaveToShareAndNeverSlowerThanATenth() {
        assertEquals(Patience.rate(0, 8), 1.0);
        assertEquals(Patience.rate(8, 8), 1.0);
        assertEquals(Patience.rate(37, 8), 8 / 37.0);
        assertEquals(Patience.rate(80, 8), 0.1);
        assertEquals(Patience.rate(9000, 8), 0.1);
    }

    @Test
    public void limitIsNeverOverBeforeItsTimeAndAlwaysOverAtTenTimesThat() {
        long begun = System.nanoTime();
        Patience patience = new Patience(0.1);
        double last = 0;
        for (double asked = 0; !patience.over(); asked = (System.nanoTime() - begun) / 1e9) {
            last = asked;
            Instances.sleep(0.005);
        }
        // When it was asked last and was not over: as it was asked, whatever the machine did after
        // that.
        assertTrue(last <= 1.0 + 0.05, "not over after " + last);
        assertTrue((System.nanoTime() - begun) / 1e9 >= 0.1);
    }
}
