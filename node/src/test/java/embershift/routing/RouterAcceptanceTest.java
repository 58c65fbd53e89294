package embershift.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import embershift.LoopbackTestBase;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The terms of the operators' acceptance that no other test forces, each by what clients, hosts and
 * discovery received.
 */
public class RouterAcceptanceTest extends LoopbackTestBase {

    /** Milliseconds within which what must not come would have come. */
    private static final int NOTHING_MS = 400;

    private static final String ONCE_ONLY = "\"at_most_once\"";
    private static final String REPEATABLE = "\"idempotent\"";

    /**
     * Of a window, in seconds, that a short test can wait for, and not a busy machine's pause ends.
     */
    private static final double WINDOW = 1.5;

    private static final String REFERENCED =
            "\"deduplicated\",\"dedup-scope\":\"all\",\"dedup-window-s\":" + WINDOW;

    private void effect(String repeat, String... others) {
        List<String> all = new ArrayList<>(List.of("repeat", repeat));
        all.addAll(List.of(others));
        settingOverrides = all.toArray(new String[0]);
    }

    private void runOnLoop(Runnable step) throws Exception {
        callOnLoop(
                () -> {
                    step.run();
                    return null;
                });
    }

    // ---- Answers cut, doubled and without an end ----

    @DataProvider
    public Object[][] cut() {
        return new Object[][] {{""}, {"U"}, {"UP r"}, {"UP r\r"}, {"BUSY"}, {"HTTP/1.1 5"}};
    }

    @Test(dataProvider = "cut")
    public void answerCutShortServesNobodyAndTheSetupMayHaveRun(String part) throws Exception {
        for (String repeat : List.of(REPEATABLE, REFERENCED, ONCE_ONLY)) {
            ServerSocket host = openServerSocket();
            effect(repeat);
            startRouter("1024", host);
            Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
            Socket side = accept(host);
            readLine(side);
            send(side, part);
            side.close();
            if (repeat.equals(ONCE_ONLY)) {
                assertTrue(readLine(client).startsWith("ERR "));
                assertNothingReceived(host, NOTHING_MS);
            } else {
                Socket next = accept(host);
                assertTrue(readLine(next).startsWith("OPEN i k "));
                send(next, "UP second\r\n");
                assertEquals(readLine(client), "UP second");
            }
        }
    }

    @Test
    public void answerWithoutAnEndIsGivenUpBeforeTheClientsTimeIsUp() throws Exception {
        ServerSocket host = openServerSocket();
        effect(ONCE_ONLY);
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
        Socket side = accept(host);
        readLine(side);
        long from = System.nanoTime();
        CompletableFuture<Void> endless =
                CompletableFuture.runAsync(
                        () -> {
                            try {
                                send(side, "UP ");
                                while (true) {
                                    send(side, "x".repeat(1000));
                                }
                            } catch (IOException e) {
                                // The node has closed.
                            }
                        });
        assertTrue(readLine(client).startsWith("ERR "));
        assertTrue((System.nanoTime() - from) / 1e9 < 2.5, "answered only when its time was up");
        endless.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertNothingReceived(host, NOTHING_MS);
    }

    @Test
    public void secondAnswerOfAHostThatTurnedATunnelAwayServesNobody() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
        Socket side = accept(host);
        readLine(side);
        Runnable goOn = pauseLoop();
        // Both lie there when the node reads.
        send(side, "BUSY\r\nUP first\r\n");
        goOn.run();
        Socket next = accept(host);
        assertTrue(readLine(next).startsWith("OPEN i k "));
        try {
            send(side, "UP late\r\n");
        } catch (IOException e) {
            // That connection has ended, as it should.
        }
        send(next, "UP second\r\n");
        assertEquals(readLine(client), "UP second");
    }

    // ---- Effects and windows ----

    @Test
    public void referencedIsSentAgainWithinItsWindowAndNeitherSentNorDeclinedPastIt()
            throws Exception {
        ServerSocket host = openServerSocket();
        effect(REFERENCED);
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
        Socket side = accept(host);
        readLine(side);
        side.close();
        Socket again = accept(host);
        assertTrue(readLine(again).startsWith("OPEN i k "));
        Thread.sleep((long) (WINDOW * 1000));
        again.close();
        assertTrue(readLine(client).startsWith("ERR "));
        assertNothingReceived(host, NOTHING_MS);
    }

    @DataProvider
    public Object[][] effects() {
        return new Object[][] {{REPEATABLE}, {REFERENCED}, {ONCE_ONLY}};
    }

    @Test(dataProvider = "effects")
    public void whoseHostsNeverCameUpIsDeclinedAndNothingComesThereLater(String repeat)
            throws Exception {
        ServerSocket host = openSmallBacklogServerSocket();
        effect(repeat);
        startRouter("1024", host);
        fillBacklog(host);
        Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
        // Never sent, so to come again is harmless, and no failure.
        assertTrue(readLine(client).startsWith("BUSY"));
        accept(host).close();
        accept(host).close();
        // The system would have tried again after a second.
        assertNothingReceived(host, 1300);
    }

    // ---- Bytes in the moment of an end ----

    @Test
    public void requestOnAConnectionThatTheNodeHasEndedIsNotSentOn() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket resting = connectClient("");
        awaitCounter("connections taken in", 1);
        runOnLoop(() -> router.unopenedConnections().expire(router.now() + 2));
        send(resting, "OPEN i k c=p,d=3000\r\n");
        assertEquals(readLine(resting), "ERR no first line came");
        assertNull(readLine(resting));
        assertNothingReceived(host, NOTHING_MS);
        assertEquals(counter("tunnels taken"), 0);
    }

    @Test
    public void wordsOfTheEndArriveThoughMuchLiesUnread() throws Exception {
        startRouter("1024");
        Socket resting = connectClient("");
        Socket begun = connectClient("OPEN i ");
        awaitCounter("connections taken in", 2);
        Runnable goOn = pauseLoop();
        loop.execute(() -> router.unopenedConnections().expire(router.now() + 2));
        for (Socket each : List.of(resting, begun)) {
            send(each, "line sent ahead\r\n".repeat(2000));
        }
        goOn.run();
        for (Socket each : List.of(resting, begun)) {
            assertTrue(readLine(each).startsWith("ERR "));
            assertNull(readLine(each));
        }
    }

    @Test
    public void moveArrivesThoughBothSidesHaveSentMoreByThen() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] ends = openTunnel(host);
        Runnable goOn = pauseLoop();
        loop.execute(router::stop);
        send(ends[0], "line of the client's\r\n".repeat(1000));
        send(ends[1], "half a line");
        goOn.run();
        assertEquals(readLine(ends[0]), "MOVE");
        assertNull(readLine(ends[0]));
    }

    @Test
    public void whoComesWhileTheNodeClosesIsAnswered() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        runOnLoop(
                () -> {
                    router.leave(false);
                    router.stop();
                });
        assertTrue(readLine(connectClient("OPEN i k c=p,d=3000\r\n")).startsWith("BUSY"));
        assertNothingReceived(host, NOTHING_MS);
    }

    // ---- Floods ----

    @Test
    public void clientsThatSendMuchAtOnceAndGoTakeNothingFromASoundOne() throws Exception {
        ServerSocket host = openServerSocket();
        int before = callOnLoop(loop::openDescriptors);
        startRouter("" + (before + 80), host);
        byte[] much = "no first line of ours\r\n".repeat(1000).getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < 200; i++) {
            Socket bad = new Socket(routerAddress.getAddress(), routerAddress.getPort());
            try {
                bad.getOutputStream().write(much);
            } catch (IOException e) {
                // The node was sooner.
            }
            if (i % 2 == 0) {
                reset(bad);
            } else {
                bad.close();
            }
        }
        Socket[] ends = openTunnel(host);
        send(ends[0], "line\r\n");
        assertEquals(readLine(ends[1]), "line");
        // Its two sides, the listener, discovery's and the datagrams'.
        for (long until = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
                callOnLoop(loop::openDescriptors) > before + 5; ) {
            assertTrue(
                    System.nanoTime() < until,
                    callOnLoop(loop::openDescriptors) + " held, " + before + " before");
            Thread.sleep(5);
        }
        assertEquals(counter("faults"), 0);
    }

    @Test
    public void manyCommandsSentWithTheFirstLineReachTheHostOnceEachInOrder() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        int many = 350;
        StringBuilder commands = new StringBuilder("OPEN i k c=p,d=3000\r\n");
        for (int i = 0; i < many; i++) {
            commands.append("command no ").append(1000 + i).append("\r\n");
        }
        Socket client = connectClient(commands.toString());
        Socket side = accept(host);
        readLine(side);
        side.setSoTimeout(NOTHING_MS);
        // Nothing is sent on before the host's answer.
        assertThrows(SocketTimeoutException.class, () -> side.getInputStream().read());
        side.setSoTimeout(TIMEOUT_MS);
        send(side, "UP r\r\n");
        assertEquals(readLine(client), "UP r");
        for (int i = 0; i < many; i++) {
            assertEquals(readLine(side), "command no " + (1000 + i));
        }
        client.shutdownOutput();
        assertNull(readLine(side));
    }

    // ---- Lists ----

    private static String indented(String list) {
        return list.replace("{", "{\r\n\t  ")
                        .replace(",", ",\n    ")
                        .replace(":", " :  ")
                        .replace("127.0.0.1 :  ", "127.0.0.1:")
                        .replace("]", "\n ]")
                + "\n";
    }

    @Test
    public void indentedListInPiecesAndChunksIsTaken() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024");
        Socket watch = accept(discovery);
        readRequest(watch);
        String body = indented(rosterJson(2, true, rosterEntry(host, "in_service")));
        assertTrue(
                body.contains("\"hostPort\" :  \"127.0.0.1:" + host.getLocalPort() + "\""), body);
        StringBuilder chunks =
                new StringBuilder("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        for (int at = 0; at < body.length(); at += 33) {
            String piece = body.substring(at, Math.min(body.length(), at + 33));
            chunks.append(Integer.toHexString(piece.length()))
                    .append("\r\n")
                    .append(piece)
                    .append("\r\n");
        }
        String all = chunks + "0\r\n\r\n";
        for (int at = 0; at < all.length(); at += 50) {
            send(watch, all.substring(at, Math.min(all.length(), at + 50)));
            Thread.sleep(2);
        }
        assertEquals(readRequest(watch), "GET /api/targets?after=2&wait_ms=3000 HTTP/1.1");
        openTunnel(host);
        sendOkResponse(watch, indented(rosterJson(3, false, rosterEntry(host, "terminating"))));
        readRequest(watch);
        assertTrue(readLine(connectClient("OPEN j k c=p,d=500\r\n")).startsWith("BUSY"));
        assertEquals(counter("roster entries unreadable"), 0);
    }

    @Test
    public void pushedListsAreHadInFourSecondsFromAReloadThoughTwoCallsFail() throws Exception {
        rosterOnRequest = false;
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket watch = accept(discovery);
        readRequest(watch);
        sendOkResponse(watch, rosterJson(9, true, rosterEntry(host, "in_service")));
        readRequest(watch);
        discovery = openServerSocket();
        long from = System.nanoTime();
        reconfigure();
        reset(accept(discovery));
        Socket refused = accept(discovery);
        readRequest(refused);
        send(refused, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        Socket next = accept(discovery);
        assertEquals(readRequest(next), "GET /api/targets HTTP/1.1");
        sendOkResponse(next, rosterJson(1, true, rosterEntry(host, "terminating")));
        readRequest(next);
        assertTrue((System.nanoTime() - from) / 1e9 < 4);
        assertTrue(readLine(connectClient("OPEN j k c=p,d=500\r\n")).startsWith("BUSY"));
        assertNothingReceived(host, NOTHING_MS);
    }
}
