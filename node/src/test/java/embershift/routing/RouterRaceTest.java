package embershift.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import embershift.LoopbackTestBase;
import embershift.model.HostId;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of events that race with each other: each test forces one order of them and checks what
 * clients, hosts and discovery received.
 */
public class RouterRaceTest extends LoopbackTestBase {

    /** Milliseconds within which nothing more may reach a host for a client that has left. */
    private static final int FORWARD_LIMIT_MS = 300;

    private static final String LEFT_EARLY = "tunnels left early";

    // ---- Clients that leave while they wait ----

    private enum DisconnectKind {
        CLOSE,
        RESET,
        DATA_THEN_CLOSE,
        DATA_THEN_RESET
    }

    private static void disconnect(Socket client, DisconnectKind kind) throws IOException {
        if (kind == DisconnectKind.DATA_THEN_CLOSE || kind == DisconnectKind.DATA_THEN_RESET) {
            send(client, "line sent ahead\r\n".repeat(300));
        }
        if (kind == DisconnectKind.RESET || kind == DisconnectKind.DATA_THEN_RESET) {
            reset(client);
        } else {
            client.close();
        }
    }

    /** Asserts that no tunnel is forwarded to a host from now on. */
    private void assertNothingReceived(ServerSocket host) throws IOException {
        assertNothingReceived(host, 2 * FORWARD_LIMIT_MS);
    }

    @DataProvider
    public Object[][] disconnectKinds() {
        Object[][] kinds = new Object[DisconnectKind.values().length][];
        for (int i = 0; i < kinds.length; i++) {
            kinds[i] = new Object[] {DisconnectKind.values()[i]};
        }
        return kinds;
    }

    @Test(dataProvider = "disconnectKinds")
    public void clientThatLeavesDuringConnectIsNotForwardedOnceHostAccepts(DisconnectKind kind)
            throws Exception {
        settingOverrides = new String[] {"connect-timeout-s", "9", "client-timeout-s", "12"};
        ServerSocket host = openSmallBacklogServerSocket();
        startRouter("1024", host);
        fillBacklog(host);
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            clients.add(connectClient("OPEN i" + i + " k c=p,d=12000\r\n"));
        }
        awaitCounter("setups sent", 4);
        Runnable resume = pauseLoop();
        for (Socket client : clients) {
            disconnect(client, kind);
        }
        Socket accepted = drainBacklogAndAccept(host);
        // The host has accepted and the clients have left; the paused loop finds both at once.
        resume.run();
        assertEquals(readUntilClosed(accepted), "");
        awaitCounter(LEFT_EARLY + " while a host was reached", 4);
        assertNothingReceived(host);
    }

    @Test(dataProvider = "disconnectKinds")
    public void clientThatLeavesWhileLoopIsPausedIsNotForwarded(DisconnectKind kind)
            throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Runnable resume = pauseLoop();
        for (int i = 0; i < 8; i++) {
            disconnect(connectClient("OPEN i" + i + " k c=p,d=3000\r\n"), kind);
        }
        resume.run();
        assertNothingReceived(host);
        assertTrue(callOnLoop(router::isDrained));
    }

    @Test(dataProvider = "disconnectKinds")
    public void clientThatLeavesDuringSetupIsCancelledAtHostAndNotForwarded(DisconnectKind kind)
            throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
        Socket hostSocket = accept(host);
        readLine(hostSocket);
        disconnect(client, kind);
        assertEquals(readUntilClosed(hostSocket), "");
        assertNothingReceived(host);
        assertEquals(counter(LEFT_EARLY + " while a host was asked"), 1);
    }

    @Test(dataProvider = "disconnectKinds")
    public void clientThatLeavesWhileSetupEndsIsNotRetried(DisconnectKind kind) throws Exception {
        settingOverrides = new String[] {"setup-goal-s", "0.1", "connect-timeout-s", "1"};
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
        Socket hostSocket = accept(host);
        readLine(hostSocket);
        assertEquals(readLine(hostSocket), null);
        disconnect(client, kind);
        assertNothingReceived(host);
        assertEquals(counter(LEFT_EARLY + " while a setup ended"), 1);
    }

    @Test(dataProvider = "disconnectKinds")
    public void clientThatLeavesWhileHostIsUnknownIsNotForwardedOnceItIsListed(DisconnectKind kind)
            throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024");
        Socket watch = accept(discovery);
        readRequest(watch);
        Socket client = connectClient("OPEN i k c=p,d=3000,at=" + instanceId(host) + "\r\n");
        awaitCounter("tunnels taken", 1);
        disconnect(client, kind);
        awaitCounter(LEFT_EARLY + " unplaced", 1);
        sendOkResponse(watch, rosterJson(2, true, rosterEntry(host, "in_service")));
        readRequest(watch);
        assertNothingReceived(host);
        assertTrue(callOnLoop(router::isDrained));
    }

    @Test(dataProvider = "disconnectKinds")
    public void standingTunnelWhoseClientLeavesBeforeRetryIsNotForwarded(DisconnectKind kind)
            throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,d=3000,at=" + instanceId(host) + "\r\n");
        Socket hostSocket = accept(host);
        readLine(hostSocket);
        send(hostSocket, "BUSY\r\n");
        assertEquals(readUntilClosed(hostSocket), "");
        disconnect(client, kind);
        assertNothingReceived(host);
        assertEquals(counter(LEFT_EARLY + " standing before"), 1);
    }

    @Test(dataProvider = "disconnectKinds")
    public void clientThatLeavesDuringLoadProbeIsNotForwarded(DisconnectKind kind)
            throws Exception {
        settingOverrides = new String[] {"may-probe", "true", "columns", "[\"x0\"]"};
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        // The policy probes all hosts from the first tunnel on; the tunnel waits for the answer.
        Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
        Socket probeConnection = accept(host);
        assertEquals(readLine(probeConnection), "STATS");
        disconnect(client, kind);
        awaitCounter(LEFT_EARLY + " unplaced", 1);
        send(probeConnection, "PONG x0=0.1\r\n");
        assertNothingReceived(host);
        assertTrue(callOnLoop(router::isDrained));
    }

    @Test
    public void excessDataBeforeAnswerGetsErrorAndCancelsSetup() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
        Socket hostSocket = accept(host);
        readLine(hostSocket);
        send(client, "line sent ahead\r\n".repeat(600));
        assertEquals(readLine(client), "ERR too much before the answer");
        assertEquals(readLine(client), null);
        assertEquals(readUntilClosed(hostSocket), "");
        assertNothingReceived(host);
        assertTrue(callOnLoop(router::isDrained));
    }

    @DataProvider
    public Object[][] withdrawals() {
        return new Object[][] {{"terminating"}, {"terminated"}, {"by hand"}};
    }

    @Test(dataProvider = "withdrawals")
    public void hostWithdrawnDuringConnectReceivesNothing(String withdrawal) throws Exception {
        settingOverrides = new String[] {"connect-timeout-s", "9", "client-timeout-s", "12"};
        ServerSocket host = openSmallBacklogServerSocket();
        startRouter("1024", host);
        Socket watch = accept(discovery);
        readRequest(watch);
        fillBacklog(host);
        Socket client = connectClient("OPEN i k c=p,d=12000\r\n");
        awaitCounter("setups sent", 1);
        if (withdrawal.equals("by hand")) {
            runOnLoop(() -> router.setOutOfService(new HostId(instanceId(host)), true, () -> {}));
        } else {
            sendOkResponse(watch, rosterJson(2, false, rosterEntry(host, withdrawal)));
            readRequest(watch);
        }
        assertEquals(readUntilClosed(drainBacklogAndAccept(host)), "");
        // The setup was never sent, so the policy places the tunnel again, but there is no other
        // host.
        assertTrue(readLine(client).startsWith("BUSY"));
        assertNothingReceived(host);
    }

    // ---- Tunnel ids and late events ----

    @Test
    public void lateSetupEndDoesNotAffectNewTunnelWithSameId() throws Exception {
        settingOverrides = new String[] {"setup-goal-s", "0.1", "connect-timeout-s", "1"};
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket first = connectClient("OPEN same k c=p,d=3000\r\n");
        Socket late = accept(host);
        readLine(late);
        // The setup was abandoned; it counts as pending until the host closes it, or for 0.4 s.
        assertEquals(readLine(late), null);
        first.close();
        awaitCounter(LEFT_EARLY, 1);
        Socket second = connectClient("OPEN same k c=p,d=3000\r\n");
        Socket hostSocket = accept(host);
        assertTrue(readLine(hostSocket).startsWith("OPEN same "));
        late.close();
        awaitCounter("setups ended timed_out", 1);
        // The policy still knows the second tunnel: it is retried after its host declines it.
        send(hostSocket, "BUSY\r\n");
        assertTrue(readLine(accept(host)).startsWith("OPEN same "));
        assertFalse(callOnLoop(router::isDrained));
        second.close();
    }

    // ---- Probes ----

    private Socket startAndAwaitProbe(ServerSocket host) throws Exception {
        settingOverrides = new String[] {"may-probe", "true", "columns", "[\"x0\"]"};
        startRouter("1024", host);
        probe(host);
        Socket hostSocket = accept(host);
        assertEquals(readLine(hostSocket), "STATS");
        return hostSocket;
    }

    private void probe(ServerSocket host) throws Exception {
        callOnLoop(
                () -> {
                    router.probe(new HostId(instanceId(host)));
                    return null;
                });
    }

    @Test
    public void duplicateProbeAnswerIsNotTakenForNextOne() throws Exception {
        ServerSocket host = openServerSocket();
        Socket hostSocket = startAndAwaitProbe(host);
        send(hostSocket, "PONG x0=0.1\r\n");
        awaitCounter("probes answered", 1);
        probe(host);
        send(hostSocket, "PONG x0=0.1\r\n");
        Socket next = accept(host);
        assertEquals(readLine(next), "STATS");
        assertEquals(counter("probes answered"), 1);
        assertEquals(counter("probe connections out of step"), 1);
        send(next, "PONG x0=0.2\r\n");
        awaitCounter("probes answered", 2);
        assertEquals(counter("probes failed"), 0);
    }

    @Test
    public void partialExtraProbeAnswerIsNotTakenForNextOne() throws Exception {
        ServerSocket host = openServerSocket();
        Socket hostSocket = startAndAwaitProbe(host);
        send(hostSocket, "PONG x0=0.1\r\nPO");
        awaitCounter("probes answered", 1);
        probe(host);
        Socket next = accept(host);
        assertEquals(readLine(next), "STATS");
        assertEquals(readUntilClosed(hostSocket), "");
        assertEquals(counter("probes answered"), 1);
    }

    @Test
    public void probeThatCrossesConnectionCloseIsRetried() throws Exception {
        ServerSocket host = openServerSocket();
        for (int attempt = 0; attempt < 2; attempt++) {
            Socket hostSocket = attempt == 0 ? startAndAwaitProbe(host) : accept(host);
            send(hostSocket, "PONG x0=0.1\r\n");
            awaitCounter("probes answered", attempt + 1);
            Thread.sleep(100);
            Runnable resume = pauseLoop();
            loop.execute(() -> router.probe(new HostId(instanceId(host))));
            if (attempt == 0) {
                hostSocket.close();
            } else {
                reset(hostSocket);
            }
            // The probe is written after the close, which the node has not read yet.
            resume.run();
        }
        Socket last = accept(host);
        assertEquals(readLine(last), "STATS");
        send(last, "PONG x0=0.3\r\n");
        awaitCounter("probes answered", 3);
        assertEquals(counter("probes failed"), 0);
    }

    @Test
    public void pendingProbeIsSentToNewAddressOfHost() throws Exception {
        ServerSocket host = openServerSocket();
        ServerSocket newAddress = openServerSocket();
        Socket hostSocket = startAndAwaitProbe(host);
        Socket watch = accept(discovery);
        readRequest(watch);
        sendOkResponse(
                watch,
                rosterJson(
                        2,
                        false,
                        rosterEntry(host, "in_service")
                                .replace(
                                        ":" + host.getLocalPort() + "\"",
                                        ":" + newAddress.getLocalPort() + "\"")));
        Socket next = accept(newAddress);
        assertEquals(readLine(next), "STATS");
        assertEquals(readUntilClosed(hostSocket), "");
        send(next, "PONG x0=0.1\r\n");
        awaitCounter("probes answered", 1);
        assertEquals(counter("probes failed"), 0);
    }

    @Test
    public void probeAfterUnterminatedAnswerUsesNewConnection() throws Exception {
        ServerSocket host = openServerSocket();
        Socket hostSocket = startAndAwaitProbe(host);
        send(hostSocket, "PONG x0=0.1".repeat(500));
        awaitCounter("probes failed", 1);
        assertEquals(readUntilClosed(hostSocket), "");
        probe(host);
        assertEquals(readLine(accept(host)), "STATS");
    }

    // ---- Watches of the roster ----

    @Test
    public void firstWatchThatHangsIsRetriedBeforeRosterDeadline() throws Exception {
        settingOverrides = new String[] {"must-ask-in-s", "10"};
        startRouter("1024");
        Socket watch = accept(discovery);
        long silentSince = System.nanoTime();
        readRequest(watch);
        readRequest(accept(discovery));
        double elapsedS = (System.nanoTime() - silentSince) / 1e9;
        assertTrue(elapsedS < 6, "retried after " + elapsedS + " s");
    }

    @Test
    public void watchThatHangsAfterAnAnswerIsRetriedInTime() throws Exception {
        settingOverrides = new String[] {"must-ask-in-s", "10"};
        startRouter("1024");
        Socket watch = accept(discovery);
        readRequest(watch);
        sendOkResponse(watch, rosterJson(2, true));
        assertEquals(readRequest(watch), "GET /api/targets?after=2&wait_ms=3000 HTTP/1.1");
        long silentSince = System.nanoTime();
        readRequest(accept(discovery));
        double elapsedS = (System.nanoTime() - silentSince) / 1e9;
        assertTrue(elapsedS < 6, "retried after " + elapsedS + " s");
    }

    @Test
    public void repeatedOlderRosterChangesNothing() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket watch = accept(discovery);
        readRequest(watch);
        String first = rosterJson(2, true, rosterEntry(host, "in_service"));
        sendOkResponse(watch, first);
        readRequest(watch);
        sendOkResponse(watch, rosterJson(3, false, rosterEntry(host, "terminating")));
        readRequest(watch);
        sendOkResponse(watch, first);
        assertEquals(
                readRequest(accept(discovery)), "GET /api/targets?after=3&wait_ms=1600 HTTP/1.1");
        assertTrue(readLine(connectClient("OPEN i k c=p,d=500\r\n")).startsWith("BUSY"));
        assertNothingReceived(host);
    }

    @Test
    public void duplicateRosterAnswerIsNotTakenForNextCall() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket watch = accept(discovery);
        readRequest(watch);
        String first = okResponse(rosterJson(2, true, rosterEntry(host, "in_service")));
        send(watch, first + first.substring(0, 40));
        Socket next = accept(discovery);
        assertEquals(readRequest(next), "GET /api/targets?after=2&wait_ms=1600 HTTP/1.1");
        assertEquals(readLine(watch), null);
        sendOkResponse(next, rosterJson(3, false, rosterEntry(host, "terminating")));
        readRequest(next);
        assertEquals(counter("roster calls failed"), 0);
    }

    @Test
    public void restartedGenerationsTriggerFullRosterRequest() throws Exception {
        startRouter("1024");
        Socket watch = accept(discovery);
        readRequest(watch);
        sendOkResponse(watch, rosterJson(40, true));
        readRequest(watch);
        watch.close();
        Socket next = accept(discovery);
        assertEquals(readRequest(next), "GET /api/targets?after=40&wait_ms=1600 HTTP/1.1");
        sendOkResponse(next, rosterJson(2, false));
        assertEquals(readRequest(next), "GET /api/targets HTTP/1.1");
    }

    /** Guards against a wish for the full list that ends with a failed call. */
    @Test
    public void fullRosterRequestIsRepeatedUntilItIsAnswered() throws Exception {
        startRouter("1024");
        Socket watch = accept(discovery);
        readRequest(watch);
        sendOkResponse(watch, rosterJson(40, true));
        readRequest(watch);
        watch.close();
        Socket next = accept(discovery);
        readRequest(next);
        sendOkResponse(next, rosterJson(3, false));
        assertEquals(readRequest(next), "GET /api/targets HTTP/1.1");
        send(next, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        Socket second = accept(discovery);
        assertEquals(readRequest(second), "GET /api/targets HTTP/1.1");
        reset(second);
        Socket third = accept(discovery);
        assertEquals(readRequest(third), "GET /api/targets HTTP/1.1");
        sendOkResponse(third, rosterJson(3, true));
        assertEquals(readRequest(third), "GET /api/targets?after=3&wait_ms=3000 HTTP/1.1");
    }

    /** Guards against a duplicate of an earlier answer that is taken for the full list. */
    @Test
    public void duplicateOfPartialRosterDoesNotEndFullRosterRequest() throws Exception {
        startRouter("1024");
        Socket watch = accept(discovery);
        readRequest(watch);
        sendOkResponse(watch, rosterJson(40, true));
        readRequest(watch);
        watch.close();
        Socket next = accept(discovery);
        readRequest(next);
        sendOkResponse(next, rosterJson(3, false));
        assertEquals(readRequest(next), "GET /api/targets HTTP/1.1");
        sendOkResponse(next, rosterJson(3, false));
        assertEquals(readRequest(accept(discovery)), "GET /api/targets HTTP/1.1");
    }

    @Test
    public void fullRosterRequestDuringWatchFollowsIt() throws Exception {
        startRouter("1024");
        Socket watch = accept(discovery);
        readRequest(watch);
        callOnLoop(
                () -> {
                    router.requestRoster();
                    return null;
                });
        sendOkResponse(watch, rosterJson(2, false));
        assertEquals(readRequest(watch), "GET /api/targets HTTP/1.1");
    }

    @Test
    public void truncatedRosterAnswerIsAFailureAndRetried() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket watch = accept(discovery);
        readRequest(watch);
        send(watch, okResponse(rosterJson(2, true)).substring(0, 70));
        watch.close();
        Socket next = accept(discovery);
        // After a failure the node asks for a shorter wait, by a random amount: two seconds of its
        // time are for the delay before its turn.
        String request = readRequest(next);
        assertTrue(request.matches("GET /api/targets\\?after=1&wait_ms=\\d+ HTTP/1.1"), request);
        int waitMs = Integer.parseInt(request.replaceAll(".*wait_ms=|\\sHTTP.*", ""));
        assertTrue(waitMs >= 200 && waitMs <= 1600, request);
        assertEquals(counter("roster calls failed"), 1);
        // The truncated answer has removed no host from the roster.
        connectClient("OPEN i k c=p,d=3000\r\n");
        assertTrue(readLine(accept(host)).startsWith("OPEN i "));
    }

    @Test
    public void callThatCrossesDiscoveryConnectionCloseIsRetriedAtOnce() throws Exception {
        startRouter("1024");
        Socket watch = accept(discovery);
        readRequest(watch);
        Runnable resume = pauseLoop();
        sendOkResponse(watch, rosterJson(2, true));
        watch.close();
        resume.run();
        assertEquals(
                readRequest(accept(discovery)), "GET /api/targets?after=2&wait_ms=1600 HTTP/1.1");
        assertEquals(counter("roster calls failed"), 0);
    }

    @Test
    public void reloadDuringRetryDelayStartsOnlyOneWatch() throws Exception {
        rosterOnRequest = false;
        startRouter("1024");
        reset(accept(discovery));
        awaitCounter("roster calls failed", 1);
        ServerSocket previousDiscovery = discovery;
        discovery = openServerSocket();
        reconfigure();
        Socket watch = accept(discovery);
        assertEquals(readRequest(watch), "GET /api/targets HTTP/1.1");
        sendOkResponse(watch, rosterJson(2, true));
        assertEquals(readRequest(watch), "GET /api/targets?after=2&wait_ms=3000 HTTP/1.1");
        // Longer than the half second after which the failed call would have been retried.
        previousDiscovery.setSoTimeout(700);
        assertThrows(SocketTimeoutException.class, previousDiscovery::accept);
        assertEquals(counter("roster calls"), 3);
    }

    // ---- Leave and stop of the node ----

    private void runOnLoop(Runnable task) throws Exception {
        callOnLoop(
                () -> {
                    task.run();
                    return null;
                });
    }

    @Test
    public void tunnelHalfClosedByClientBeforeStopIsMovedAndClosedOnBothSides() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] tunnel = openTunnel(host);
        tunnel[0].shutdownOutput();
        assertEquals(readLine(tunnel[1]), null);
        runOnLoop(router::stop);
        assertTrue(callOnLoop(router::isDrained));
        assertEquals(readLine(tunnel[0]), "MOVE");
        assertEquals(readLine(tunnel[0]), null);
    }

    @Test
    public void clientInMiddleOfHostLineIsMovedAtStop() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] tunnel = openTunnel(host);
        send(tunnel[1], "whole\r\nhalf a li");
        assertEquals(readLine(tunnel[0]), "whole");
        runOnLoop(router::stop);
        assertEquals(readLine(tunnel[0]), "MOVE");
        assertEquals(readLine(tunnel[0]), null);
    }

    @Test
    public void unterminatedLastLineOfHostIsForwardedBeforeClose() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] tunnel = openTunnel(host);
        send(tunnel[1], "whole\r\nlast wo");
        assertEquals(readLine(tunnel[0]), "whole");
        tunnel[1].close();
        assertEquals(readLine(tunnel[0]), "last wo");
    }

    @Test
    public void firstLineSplitAcrossLeaveIsAwaitedAndAnswered() throws Exception {
        startRouter("1024");
        Socket client = connectClient("PING\r\nOPEN i k c=p,");
        assertEquals(readLine(client), "PONG");
        runOnLoop(() -> router.leave(false));
        assertFalse(callOnLoop(router::isDrained));
        send(client, "d=3000\r\n");
        assertTrue(readLine(client).startsWith("BUSY"));
        assertTrue(callOnLoop(router::isDrained));
    }

    @Test
    public void incompleteFirstLineIsAnsweredAtStop() throws Exception {
        startRouter("1024");
        Socket half = connectClient("PING\r\nOPEN i k c=p,");
        Socket silent = connectClient("");
        assertEquals(readLine(half), "PONG");
        awaitCounter("connections taken in", 2);
        runOnLoop(() -> router.leave(false));
        runOnLoop(router::stop);
        assertEquals(readLine(half), "BUSY");
        assertEquals(readLine(silent), "BUSY");
    }

    /**
     * Returns how many connections at a listening port the operating system has established and no
     * process has accepted.
     */
    private static int unacceptedConnections(int port) throws IOException {
        String local = String.format(":%04X", port);
        List<String> lines = new ArrayList<>(Files.readAllLines(Path.of("/proc/net/tcp")));
        lines.addAll(Files.readAllLines(Path.of("/proc/net/tcp6")));
        for (String line : lines) {
            String[] fields = line.trim().split("\\s+");
            if (fields[1].endsWith(local) && fields[3].equals("0A")) {
                return Integer.parseInt(fields[4].split(":")[1], 16);
            }
        }
        throw new IOException("no listening socket at port " + port);
    }

    @Test
    public void connectionsNotHandedOverWhenReplacedNodeLeavesAreAnswered() throws Exception {
        startRouter("1024");
        Runnable resume = pauseLoop();
        loop.execute(() -> router.leave(true));
        List<Socket> late = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            late.add(connectClient("OPEN i" + i + " k c=p,d=3000\r\n"));
        }
        for (long deadline = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
                unacceptedConnections(routerAddress.getPort()) > 0; ) {
            assertTrue(System.nanoTime() < deadline);
        }
        // The last connection has left the system's backlog; the I/O library queues it a moment
        // later.
        Thread.sleep(50);
        resume.run();
        for (Socket each : late) {
            assertTrue(readLine(each).startsWith("BUSY"));
        }
    }

    @Test
    public void unreadFirstLineIsAnsweredAtStop() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket client = connectClient("");
        awaitCounter("connections taken in", 1);
        Runnable resume = pauseLoop();
        send(client, "OPEN i k c=p,d=3000\r\n");
        loop.execute(
                () -> {
                    router.leave(false);
                    router.stop();
                });
        resume.run();
        assertTrue(readLine(client).startsWith("BUSY"));
    }

    // ---- Descriptors reserved for tunnels without a connection to a host yet ----

    @Test
    public void tunnelsOfOneLoopIterationStayWithinDescriptorLimit() throws Exception {
        ServerSocket host = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        closeables.add(host);
        int clients = 60;
        int limit = callOnLoop(loop::openDescriptors) + clients + 50;
        startRouter("" + limit, host);
        List<Socket> waiting = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            waiting.add(connectClient(""));
        }
        awaitCounter("connections taken in", clients);
        Runnable resume = pauseLoop();
        for (int i = 0; i < clients; i++) {
            send(waiting.get(i), "OPEN i" + i + " k c=p,d=3000\r\n");
        }
        resume.run();
        // Some tunnels are accepted; others are declined, or turned away before their first line is
        // read to make room for those.
        while (callOnLoop(
                        () ->
                                router.tally().of("tunnels taken")
                                        + router.tally()
                                                .of(
                                                        "connections turned away for want of descriptors"))
                < clients) {
            Thread.sleep(1);
        }
        long sent = counter("tunnels taken") - counter("tunnels declined for want of descriptors");
        awaitCounter("setups sent", sent);
        assertTrue(sent > 0 && sent < clients, "sent " + sent);
        assertTrue(
                callOnLoop(loop::openDescriptors) <= limit,
                callOnLoop(loop::openDescriptors) + " of " + limit);
    }
}
