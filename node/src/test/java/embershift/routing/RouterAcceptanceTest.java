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
 * Tests of the operators' acceptance criteria that no other test covers, judged by what clients,
 * hosts and discovery received.
 */
public class RouterAcceptanceTest extends LoopbackTestBase {

    /** Milliseconds within which unwanted data would have arrived. */
    private static final int QUIET_PERIOD_MS = 400;

    private static final String ONCE_ONLY = "\"at_most_once\"";
    private static final String REPEATABLE = "\"idempotent\"";

    /** Short enough for a test to wait for, and longer than a pause of a busy machine. */
    private static final double DEDUP_WINDOW_S = 1.5;

    private static final String REFERENCED =
            "\"deduplicated\",\"dedup-scope\":\"all\",\"dedup-window-s\":" + DEDUP_WINDOW_S;

    private void overrideEffect(String repeat, String... additionalSettings) {
        List<String> overrides = new ArrayList<>(List.of("repeat", repeat));
        overrides.addAll(List.of(additionalSettings));
        settingOverrides = overrides.toArray(new String[0]);
    }

    private void runOnLoop(Runnable task) throws Exception {
        callOnLoop(
                () -> {
                    task.run();
                    return null;
                });
    }

    // ---- Truncated, duplicate and endless answers ----

    @DataProvider
    public Object[][] truncatedAnswers() {
        return new Object[][] {{""}, {"U"}, {"UP r"}, {"UP r\r"}, {"BUSY"}, {"HTTP/1.1 5"}};
    }

    @Test(dataProvider = "truncatedAnswers")
    public void truncatedAnswerCountsAsPossiblyExecuted(String truncated) throws Exception {
        for (String repeat : List.of(REPEATABLE, REFERENCED, ONCE_ONLY)) {
            ServerSocket host = openServerSocket();
            overrideEffect(repeat);
            startRouter("1024", host);
            Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
            Socket hostSocket = accept(host);
            readLine(hostSocket);
            send(hostSocket, truncated);
            hostSocket.close();
            if (repeat.equals(ONCE_ONLY)) {
                assertTrue(readLine(client).startsWith("ERR "));
                assertNothingReceived(host, QUIET_PERIOD_MS);
            } else {
                Socket next = accept(host);
                assertTrue(readLine(next).startsWith("OPEN i k "));
                send(next, "UP second\r\n");
                assertEquals(readLine(client), "UP second");
            }
        }
    }

    @Test
    public void endlessAnswerIsAbandonedBeforeClientTimeout() throws Exception {
        ServerSocket host = openServerSocket();
        overrideEffect(ONCE_ONLY);
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
        Socket hostSocket = accept(host);
        readLine(hostSocket);
        long start = System.nanoTime();
        CompletableFuture<Void> endless =
                CompletableFuture.runAsync(
                        () -> {
                            try {
                                send(hostSocket, "UP ");
                                while (true) {
                                    send(hostSocket, "x".repeat(1000));
                                }
                            } catch (IOException e) {
                                // The node has closed the connection.
                            }
                        });
        assertTrue(readLine(client).startsWith("ERR "));
        assertTrue((System.nanoTime() - start) / 1e9 < 2.5, "answered only at the client timeout");
        endless.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertNothingReceived(host, QUIET_PERIOD_MS);
    }

    @Test
    public void secondAnswerAfterDeclineIsIgnored() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
        Socket hostSocket = accept(host);
        readLine(hostSocket);
        Runnable resume = pauseLoop();
        // Both lines have arrived when the node reads.
        send(hostSocket, "BUSY\r\nUP first\r\n");
        resume.run();
        Socket next = accept(host);
        assertTrue(readLine(next).startsWith("OPEN i k "));
        try {
            send(hostSocket, "UP late\r\n");
        } catch (IOException e) {
            // The connection has been closed, as it should be.
        }
        send(next, "UP second\r\n");
        assertEquals(readLine(client), "UP second");
    }

    // ---- Effects and dedup windows ----

    @Test
    public void referencedSetupIsRetriedWithinWindowAndFailsPastIt() throws Exception {
        ServerSocket host = openServerSocket();
        overrideEffect(REFERENCED);
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
        Socket hostSocket = accept(host);
        readLine(hostSocket);
        hostSocket.close();
        Socket retry = accept(host);
        assertTrue(readLine(retry).startsWith("OPEN i k "));
        Thread.sleep((long) (DEDUP_WINDOW_S * 1000));
        retry.close();
        assertTrue(readLine(client).startsWith("ERR "));
        assertNothingReceived(host, QUIET_PERIOD_MS);
    }

    @DataProvider
    public Object[][] effects() {
        return new Object[][] {{REPEATABLE}, {REFERENCED}, {ONCE_ONLY}};
    }

    @Test(dataProvider = "effects")
    public void tunnelWhoseHostNeverConnectsIsDeclinedAndNotSentLater(String repeat)
            throws Exception {
        ServerSocket host = openSmallBacklogServerSocket();
        overrideEffect(repeat);
        startRouter("1024", host);
        fillBacklog(host);
        Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
        // The setup was never sent, so a retry by the client is harmless: it is declined and not
        // closed with error.
        assertTrue(readLine(client).startsWith("BUSY"));
        accept(host).close();
        accept(host).close();
        // The operating system retries the connect after a second.
        assertNothingReceived(host, 1300);
    }

    // ---- Data that arrives while a connection is closed ----

    @Test
    public void requestOnExpiredConnectionIsNotForwarded() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket idle = connectClient("");
        awaitCounter("connections taken in", 1);
        runOnLoop(() -> router.unopenedConnections().expire(router.now() + 2));
        send(idle, "OPEN i k c=p,d=3000\r\n");
        assertEquals(readLine(idle), "ERR no first line came");
        assertNull(readLine(idle));
        assertNothingReceived(host, QUIET_PERIOD_MS);
        assertEquals(counter("tunnels taken"), 0);
    }

    @Test
    public void closingMessageArrivesDespiteUnreadInput() throws Exception {
        startRouter("1024");
        Socket idle = connectClient("");
        Socket partialLine = connectClient("OPEN i ");
        awaitCounter("connections taken in", 2);
        Runnable resume = pauseLoop();
        loop.execute(() -> router.unopenedConnections().expire(router.now() + 2));
        for (Socket each : List.of(idle, partialLine)) {
            send(each, "line sent ahead\r\n".repeat(2000));
        }
        resume.run();
        for (Socket each : List.of(idle, partialLine)) {
            assertTrue(readLine(each).startsWith("ERR "));
            assertNull(readLine(each));
        }
    }

    @Test
    public void moveArrivesDespitePendingDataOnBothSides() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] tunnel = openTunnel(host);
        Runnable resume = pauseLoop();
        loop.execute(router::stop);
        send(tunnel[0], "line of the client's\r\n".repeat(1000));
        send(tunnel[1], "half a line");
        resume.run();
        assertEquals(readLine(tunnel[0]), "MOVE");
        assertNull(readLine(tunnel[0]));
    }

    @Test
    public void connectionDuringShutdownIsAnswered() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        runOnLoop(
                () -> {
                    router.leave(false);
                    router.stop();
                });
        assertTrue(readLine(connectClient("OPEN i k c=p,d=3000\r\n")).startsWith("BUSY"));
        assertNothingReceived(host, QUIET_PERIOD_MS);
    }

    // ---- Clients that send much data ----

    @Test
    public void clientsThatFloodAndLeaveTakeNothingFromOthers() throws Exception {
        ServerSocket host = openServerSocket();
        int descriptorsAtStart = callOnLoop(loop::openDescriptors);
        startRouter("" + (descriptorsAtStart + 80), host);
        byte[] flood = "no first line of ours\r\n".repeat(1000).getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < 200; i++) {
            Socket flooding = new Socket(routerAddress.getAddress(), routerAddress.getPort());
            try {
                flooding.getOutputStream().write(flood);
            } catch (IOException e) {
                // The node has already closed the connection.
            }
            if (i % 2 == 0) {
                reset(flooding);
            } else {
                flooding.close();
            }
        }
        Socket[] tunnel = openTunnel(host);
        send(tunnel[0], "line\r\n");
        assertEquals(readLine(tunnel[1]), "line");
        // Five remain: the tunnel's two sockets, the listener, the connection to discovery and the
        // datagram socket.
        for (long deadline = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
                callOnLoop(loop::openDescriptors) > descriptorsAtStart + 5; ) {
            assertTrue(
                    System.nanoTime() < deadline,
                    callOnLoop(loop::openDescriptors) + " held, " + descriptorsAtStart + " before");
            Thread.sleep(5);
        }
        assertEquals(counter("faults"), 0);
    }

    @Test
    public void commandsSentWithFirstLineReachHostOnceInOrder() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        int count = 350;
        StringBuilder commands = new StringBuilder("OPEN i k c=p,d=3000\r\n");
        for (int i = 0; i < count; i++) {
            commands.append("command no ").append(1000 + i).append("\r\n");
        }
        Socket client = connectClient(commands.toString());
        Socket hostSocket = accept(host);
        readLine(hostSocket);
        hostSocket.setSoTimeout(QUIET_PERIOD_MS);
        // No command is forwarded before the host's answer.
        assertThrows(SocketTimeoutException.class, () -> hostSocket.getInputStream().read());
        hostSocket.setSoTimeout(TIMEOUT_MS);
        send(hostSocket, "UP r\r\n");
        assertEquals(readLine(client), "UP r");
        for (int i = 0; i < count; i++) {
            assertEquals(readLine(hostSocket), "command no " + (1000 + i));
        }
        client.shutdownOutput();
        assertNull(readLine(hostSocket));
    }

    // ---- Rosters ----

    private static String indented(String json) {
        return json.replace("{", "{\r\n\t  ")
                        .replace(",", ",\n    ")
                        .replace(":", " :  ")
                        .replace("127.0.0.1 :  ", "127.0.0.1:")
                        .replace("]", "\n ]")
                + "\n";
    }

    @Test
    public void indentedChunkedRosterIsAccepted() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024");
        Socket watch = accept(discovery);
        readRequest(watch);
        String body = indented(rosterJson(2, true, rosterEntry(host, "in_service")));
        assertTrue(
                body.contains("\"hostPort\" :  \"127.0.0.1:" + host.getLocalPort() + "\""), body);
        StringBuilder chunks =
                new StringBuilder("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        for (int offset = 0; offset < body.length(); offset += 33) {
            String chunk = body.substring(offset, Math.min(body.length(), offset + 33));
            chunks.append(Integer.toHexString(chunk.length()))
                    .append("\r\n")
                    .append(chunk)
                    .append("\r\n");
        }
        String message = chunks + "0\r\n\r\n";
        for (int offset = 0; offset < message.length(); offset += 50) {
            send(watch, message.substring(offset, Math.min(message.length(), offset + 50)));
            Thread.sleep(2);
        }
        assertEquals(readRequest(watch), "GET /api/targets?after=2&wait_ms=3000 HTTP/1.1");
        openTunnel(host);
        sendOkResponse(watch, indented(rosterJson(3, false, rosterEntry(host, "terminating"))));
        readRequest(watch);
        assertTrue(readLine(connectClient("OPEN j k c=p,d=500\r\n")).startsWith("BUSY"));
        assertEquals(counter("roster entries unreadable"), 0);
    }

    private void startRouterThatWatches(ServerSocket host) throws Exception {
        startRouter("1024", host);
        Socket watch = accept(discovery);
        readRequest(watch);
        sendOkResponse(watch, rosterJson(9, true, rosterEntry(host, "in_service")));
        readRequest(watch);
    }

    @Test
    public void unsolicitedRosterArrivesWithinFourSecondsOfReloadDespiteTwoFailures()
            throws Exception {
        rosterOnRequest = false;
        ServerSocket host = openServerSocket();
        startRouterThatWatches(host);
        discovery = openServerSocket();
        long start = System.nanoTime();
        reconfigure();
        reset(accept(discovery));
        Socket refused = accept(discovery);
        readRequest(refused);
        send(refused, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        Socket next = accept(discovery);
        assertEquals(readRequest(next), "GET /api/targets HTTP/1.1");
        sendOkResponse(next, rosterJson(1, true, rosterEntry(host, "terminating")));
        readRequest(next);
        assertTrue((System.nanoTime() - start) / 1e9 < 4);
        assertTrue(readLine(connectClient("OPEN j k c=p,d=500\r\n")).startsWith("BUSY"));
        assertNothingReceived(host, QUIET_PERIOD_MS);
    }

    @DataProvider
    public Object[][] rosterModes() {
        return new Object[][] {{true}, {false}};
    }

    /**
     * Guards against a new discovery whose first call falls silent: what it lists counts as known
     * four seconds after the reload, and it may take two of these to answer the second call.
     */
    @Test(dataProvider = "rosterModes")
    public void silentFirstCallAfterReloadIsReplacedWithinTwoSeconds(boolean isOnRequest)
            throws Exception {
        rosterOnRequest = isOnRequest;
        settingOverrides = new String[] {"must-ask-in-s", "30"};
        ServerSocket host = openServerSocket();
        startRouterThatWatches(host);
        discovery = openServerSocket();
        double reloadedAt = callOnLoop(loop::now);
        reconfigure();
        readRequest(accept(discovery));
        Socket next = accept(discovery);
        assertEquals(readRequest(next), "GET /api/targets HTTP/1.1");
        double elapsed = callOnLoop(loop::now) - reloadedAt;
        assertTrue(elapsed < 2, "called again after " + elapsed + " s");
        sendOkResponse(next, rosterJson(1, true, rosterEntry(host, "terminating")));
        readRequest(next);
        assertTrue(readLine(connectClient("OPEN j k c=p,d=500\r\n")).startsWith("BUSY"));
        assertNothingReceived(host, QUIET_PERIOD_MS);
    }
}
