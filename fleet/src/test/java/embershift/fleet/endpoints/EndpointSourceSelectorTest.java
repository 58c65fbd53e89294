package embershift.fleet.endpoints;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import embershift.fleet.endpoints.EndpointSourceSelector.Source;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** In virtual time: which list a node goes by, and how many poll discovery at once. */
public class EndpointSourceSelectorTest {

    private static final double TICK_SECONDS = 0.2;
    private static final double NEVER = Double.POSITIVE_INFINITY;

    /** The node has to have a change six seconds after discovery had it, two of them for a call. */
    private static final double MAX_POLL_DELAY_SECONDS = 4;

    private EndpointSourceSelector selector;
    private double now;

    @BeforeMethod
    public void createSelector() {
        now = 100;
        selector = new EndpointSourceSelector(now, 3, 3, new Random(5)::nextDouble);
    }

    private Source advance(double seconds) {
        for (double end = now + seconds; now < end - 1e-9; ) {
            now += TICK_SECONDS;
            selector.update(now);
        }
        return selector.source();
    }

    private Source confirm(double age) {
        selector.updateReceived(now, now - age);
        return selector.update(now);
    }

    @Test
    public void confirmationFromBeforeTheStartDoesNotCount() {
        assertEquals(confirm(0.1), Source.DISCOVERY);
        advance(0.2);
        assertEquals(confirm(0.1), Source.PUBLISHED);
    }

    @Test
    public void repeatedListDoesNotRenewItsConfirmation() {
        confirm(0);
        double confirmedAt = now;
        while (confirm(now - confirmedAt) == Source.PUBLISHED) {
            assertTrue(now - confirmedAt <= MAX_POLL_DELAY_SECONDS, "still used at " + now);
            advance(TICK_SECONDS);
        }
        assertTrue(now - confirmedAt > EndpointSourceSelector.MAX_CONFIRMATION_AGE_SECONDS);
    }

    @Test
    public void listOfUnknownAgeIsNotUsed() {
        for (int i = 0; i < 50; i++) {
            advance(TICK_SECONDS);
            assertEquals(confirm(NEVER), Source.DISCOVERY);
        }
    }

    @Test
    public void confirmationFromTheFutureDoesNotCount() {
        assertEquals(confirm(-5), Source.DISCOVERY);
    }

    @Test
    public void silenceEndsTheUseOfTheList() {
        EndpointSourceSelector impatient = new EndpointSourceSelector(now, 1, 0, () -> 0);
        impatient.updateReceived(now, now);
        assertEquals(impatient.update(now + 1), Source.PUBLISHED);
        assertEquals(impatient.update(now + 1.1), Source.DISCOVERY);
    }

    /** Where both sources are half well, a node must not change between them all the time. */
    @Test
    public void nodeReturnsToTheListOnlyAfterSteadyConfirmations() {
        confirm(0);
        advance(5);
        int changes = 0;
        Source last = selector.source();
        assertEquals(last, Source.DISCOVERY);
        for (int second = 0; second < 120; second++) {
            // Confirmations come for four seconds in every ten.
            if (second % 10 < 4) {
                confirm(0.5);
            }
            advance(1);
            changes += selector.source() == last ? 0 : 1;
            last = selector.source();
        }
        assertEquals(changes, 0);
        for (int second = 0; second < 8; second++) {
            confirm(0.5);
            advance(1);
        }
        assertEquals(selector.source(), Source.PUBLISHED);
    }

    /**
     * Returns when the latest call began whose answer an owner has at that time. Each call waits
     * for half a second; one that is under way when the owner is cut off is answered a second
     * later, at the end of the cut.
     */
    private static double latestCallStart(double time, double cutAt) {
        double lastCallBeforeCut = Math.floor(2 * cutAt) / 2;
        if (time < cutAt) {
            return Math.floor(2 * time) / 2 - 0.5;
        } else if (time < cutAt + 1) {
            return lastCallBeforeCut - 0.5;
        } else if (time < cutAt + 1.5) {
            return lastCallBeforeCut;
        }
        return cutAt + 1 + Math.floor(2 * (time - cutAt - 1)) / 2 - 0.5;
    }

    /** Otherwise all nodes would poll discovery each time one owner is cut off for a moment. */
    @Test
    public void ownerCutOffForASecondSendsNoNodeToDiscovery() {
        Random random = new Random(7);
        for (int node = 0; node < 200; node++) {
            createSelector();
            advance(5);
            double cutAt = now + 5 + random.nextDouble();
            advance(random.nextDouble());
            for (double end = cutAt + 10; now < end; advance(1)) {
                double age = now - latestCallStart(now, cutAt);
                assertEquals(confirm(age), Source.PUBLISHED, "node " + node);
            }
        }
    }
}
