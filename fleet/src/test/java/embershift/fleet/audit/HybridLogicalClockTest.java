package embershift.fleet.audit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Hybrid logical timestamps with wall clocks that are set back or far ahead. */
public class HybridLogicalClockTest {

    @Test
    public void clockSetBackNeverLowersTimestampAndFarAheadClockIsIgnored() {
        HybridLogicalClock now = HybridLogicalClock.START.next(1_000_000);
        assertTrue(now.next(5).compareTo(now) > 0);
        assertEquals(
                now.merge(new HybridLogicalClock(1_030_000, 2), 1_000_000),
                new HybridLogicalClock(1_030_000, 2));
        assertEquals(now.merge(new HybridLogicalClock(9_000_000, 0), 1_000_000), now);
    }
}
