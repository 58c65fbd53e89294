package embershift.door;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against review/8: a node whose discovery was moved by SIGHUP never called the new one, as
 * an instance repeated the list of the old one each second.
 */
public class PublishedListSourceTest extends AgentTestBase {

    private static final long TOKEN = 20;
    private static final String NEW_ROSTER = "{\"generation\":2,\"reset\":true,\"instances\":[]}";

    /** What the new discovery lists counts as known four seconds after SIGHUP. */
    private static final double AT_ONCE_SECONDS = 1;

    private ServerSocket otherDiscovery;
    private double movedAt;

    @BeforeMethod
    public void giveList() throws Exception {
        otherDiscovery = listenOnLoopback();
        readMessage(FrameCodec.NODE, "here");
        sendWelcome();
        executeOrder(order("lists", "nothing", TOKEN));
        answerTokenRead(TOKEN);
        assertEquals(giveList(endpointsOrder(1, 0, TOKEN)), "TAKEN");
        assertTrue(usesPublishedList());
    }

    private String giveList(ObjectNode order) throws Exception {
        return executeOrder(order).path("end").asText();
    }

    private void moveDiscovery(ServerSocket next) {
        movedAt = loop.now();
        loop.execute(
                () -> {
                    try {
                        router.reconfigure(configuration(next));
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    /** Accepts the node's next call, checks that it requests the complete list, and responds. */
    private void answerCall(ServerSocket server) throws Exception {
        Socket call = server.accept();
        double elapsed = loop.now() - movedAt;
        assertTrue(elapsed < AT_ONCE_SECONDS, "called after " + elapsed + " s");
        BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(call.getInputStream(), StandardCharsets.US_ASCII));
        assertEquals(in.readLine(), "GET /api/targets HTTP/1.1");
        call.getOutputStream()
                .write(
                        ("HTTP/1.1 200 OK\r\nContent-Length: "
                                        + NEW_ROSTER.length()
                                        + "\r\n\r\n"
                                        + NEW_ROSTER)
                                .getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    public void nodeCallsNewDiscoveryAtOnceAndRejectsListsOfTheOldOne() throws Exception {
        moveDiscovery(otherDiscovery);
        answerCall(otherDiscovery);
        for (int i = 0; i < 5; i++) {
            assertEquals(giveList(endpointsOrder(1, 1, TOKEN)), "ELSEWHERE");
            assertEquals(giveList(endpointsOrder(2, 1, TOKEN)), "ELSEWHERE");
            assertFalse(usesPublishedList());
        }
        // The next owner watches the old discovery, too.
        assertEquals(giveList(endpointsOrder(1, 0, TOKEN + 1)), "ELSEWHERE");
        assertFalse(usesPublishedList());
    }

    @Test
    public void eachOfSeveralMovesIsFollowedAtOnce() throws Exception {
        try (ServerSocket third = listenOnLoopback()) {
            moveDiscovery(otherDiscovery);
            moveDiscovery(third);
            answerCall(third);
            assertFalse(usesPublishedList());
        }
    }

    @Test
    public void listsOfTheNewDiscoveryAreUsedOnceItsInstancesHaveMoved() throws Exception {
        moveDiscovery(otherDiscovery);
        answerCall(otherDiscovery);
        double startedAt = loop.now();
        boolean isUsed = false;
        for (long number = 1; !isUsed && loop.now() - startedAt < TIMEOUT_MS / 1000.0; number++) {
            ObjectNode order =
                    endpointsOrder(number, 0, TOKEN + 1).put("source", address(otherDiscovery));
            assertEquals(giveList(order), "TAKEN");
            isUsed = usesPublishedList();
        }
        assertTrue(isUsed);
    }

    @Test
    public void listWithoutSourceConfirmsNothing() throws Exception {
        moveDiscovery(otherDiscovery);
        answerCall(otherDiscovery);
        ObjectNode order = endpointsOrder(3, 0, TOKEN + 1);
        order.remove("source");
        assertEquals(giveList(order), "TAKEN");
        assertFalse(usesPublishedList());
    }
}
