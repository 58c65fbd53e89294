package embershift.door;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against review/7: a node stayed on the list of an owner that had lost discovery, as the
 * owner repeated it each second.
 */
public class PublishedListAgeTest extends AgentTestBase {

    private static final long TOKEN = 20;

    /** The node has to have a change six seconds after discovery had it, two of them for a call. */
    private static final double MAX_POLL_DELAY_SECONDS = 4;

    private static final double ORDER_SECONDS = 0.5;

    /** The agent decides this often. */
    private static final double TICK_SECONDS = 0.2;

    @BeforeMethod
    public void giveList() throws Exception {
        readMessage(FrameCodec.NODE, "here");
        sendWelcome();
        executeOrder(order("lists", "nothing", TOKEN));
        answerTokenRead(TOKEN);
        assertEquals(executeOrder(endpointsOrder(1, 0, TOKEN)).path("end").asText(), "TAKEN");
        assertTrue(usesPublishedList());
    }

    /** Returns whether discovery is called within a moment. */
    private boolean isDiscoveryCalled() throws Exception {
        discovery.setSoTimeout((int) (1000 * ORDER_SECONDS));
        try (Socket call = discovery.accept()) {
            // A call that began before the list came has ended without a request.
            return call.getInputStream().read() >= 0;
        } catch (SocketTimeoutException e) {
            return false;
        }
    }

    /** Repeats the list without changes; returns the verdict. */
    private String repeatList(double age) throws Exception {
        ObjectNode order = endpointsOrder(1, 1, TOKEN).put("age", age);
        return executeOrder(order).path("end").asText();
    }

    @Test
    public void nodePollsDiscoveryWhenOwnerRepeatsAListThatIsNoLongerConfirmed() throws Exception {
        double confirmedAt = loop.now();
        boolean isCalled = false;
        while (!isCalled && loop.now() - confirmedAt < 2 * MAX_POLL_DELAY_SECONDS) {
            assertEquals(repeatList(loop.now() - confirmedAt), "SAME");
            isCalled = isDiscoveryCalled();
        }
        double elapsed = loop.now() - confirmedAt;
        assertTrue(isCalled, "discovery was not called");
        assertTrue(
                elapsed < MAX_POLL_DELAY_SECONDS + TICK_SECONDS + ORDER_SECONDS,
                "discovery was called after " + elapsed + " s");
        assertFalse(usesPublishedList());
    }

    @Test
    public void nodeLeavesDiscoveryAloneWhileConfirmationsArriveOrAreMissedForASecond()
            throws Exception {
        double confirmedAt = loop.now();
        for (double startedAt = loop.now(); loop.now() - startedAt < 6; ) {
            assertFalse(isDiscoveryCalled());
            // Confirmations are missed for a second after each of the second before.
            if ((loop.now() - startedAt) % 2 < 1) {
                confirmedAt = loop.now();
            }
            assertEquals(repeatList(loop.now() - confirmedAt), "SAME");
            assertTrue(usesPublishedList());
        }
    }

    @Test
    public void nodePollsDiscoveryWhereTheOwnerDoesNotGiveTheAge() throws Exception {
        for (double startedAt = loop.now(); loop.now() - startedAt < MAX_POLL_DELAY_SECONDS; ) {
            ObjectNode order = endpointsOrder(1, 1, TOKEN);
            order.remove("age");
            assertEquals(executeOrder(order).path("end").asText(), "SAME");
        }
        Thread.sleep((long) (1000 * TICK_SECONDS));
        assertFalse(usesPublishedList());
    }
}
