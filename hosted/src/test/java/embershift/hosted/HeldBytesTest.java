package embershift.hosted;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Guards against issue 67 (a): what all connections hold had no bound, in bytes or in time. */
public class HeldBytesTest {

    @Test
    public void largestHolderGivesWayBeyondTotal() {
        HeldBytes<String> held = new HeldBytes<>(100, 10);
        held.record("small", 10, 0);
        held.record("large", 60, 0);
        held.record("medium", 30, 0);
        assertEquals(held.largestBeyondLimit(), Optional.empty());
        held.record("small", 11, 0);
        assertEquals(held.largestBeyondLimit(), Optional.of("large"));
        held.release("large");
        assertEquals(held.totalBytes(), 41);
        assertEquals(held.largestBeyondLimit(), Optional.empty());
    }

    @Test
    public void timeCountsFromFirstByteHeldAndAnewAfterRelease() {
        HeldBytes<String> held = new HeldBytes<>(100, 10);
        held.record("slow", 1, 0);
        held.record("slow", 2, 9);
        held.record("quick", 1, 0);
        held.release("quick");
        held.record("quick", 1, 9);
        assertEquals(held.overdue(10), List.of());
        assertEquals(held.overdue(10.5), List.of("slow"));
        held.record("slow", 0, 11);
        assertEquals(held.overdue(12), List.of());
    }
}
