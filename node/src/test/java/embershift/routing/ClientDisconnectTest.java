package embershift.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import embershift.LoopbackTestBase;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks that no setup, neither the first nor a retry, is started for a client more than 0.1 s
 * after the client has closed, reset or half-closed its connection. Opening a connection to a host
 * may already count as an attempt. Each test stalls the process between the event that decides an
 * attempt and the attempt itself, as happens on a tenth of a core, and disconnects the client in
 * the meantime. Results are judged by what arrives at the hosts.
 */
public class ClientDisconnectTest extends LoopbackTestBase {

    /** Milliseconds for which the process is stalled after the client has disconnected. */
    private static final int STALL_MS = 150;

    /** Milliseconds within which a connection that is wrongly started would have arrived. */
    private static final int ARRIVAL_MS = 250;

    private enum DisconnectKind {
        CLOSE,
        RESET,
        HALF_CLOSE,
        DATA_THEN_CLOSE,
        DATA_THEN_RESET,
        DATA_THEN_HALF_CLOSE
    }

    /**
     * The event that causes an attempt: the client's first line, the end of the previous attempt,
     * or a host's answer to a probe.
     */
    private enum AttemptTrigger {
        FIRST_LINE,
        BUSY,
        ERROR,
        CONNECTION_RESET,
        TIMEOUT,
        PROBE_ANSWER
    }

    private static void disconnect(Socket client, DisconnectKind kind) throws IOException {
        if (kind.name().startsWith("DATA")) {
            send(client, "line sent ahead\r\n".repeat(300));
        }
        switch (kind) {
            case RESET, DATA_THEN_RESET -> reset(client);
            case HALF_CLOSE, DATA_THEN_HALF_CLOSE -> client.shutdownOutput();
            default -> client.close();
        }
    }

    @DataProvider
    public Object[][] triggersAndDisconnectKinds() {
        List<Object[]> combinations = new ArrayList<>();
        for (AttemptTrigger trigger : AttemptTrigger.values()) {
            for (DisconnectKind kind : DisconnectKind.values()) {
                combinations.add(new Object[] {trigger, kind});
            }
        }
        return combinations.toArray(new Object[0][]);
    }

    @DataProvider
    public Object[][] triggers() {
        Object[][] rows = new Object[AttemptTrigger.values().length][];
        for (int i = 0; i < rows.length; i++) {
            rows[i] = new Object[] {AttemptTrigger.values()[i]};
        }
        return rows;
    }

    @DataProvider
    public Object[][] disconnectKinds() {
        Object[][] rows = new Object[DisconnectKind.values().length][];
        for (int i = 0; i < rows.length; i++) {
            rows[i] = new Object[] {DisconnectKind.values()[i]};
        }
        return rows;
    }

    // ---- Stalling one wake-up of the loop ----

    private final List<ServerSocket> hosts = new ArrayList<>();
    private CountDownLatch stalled;
    private CountDownLatch stallEnd;
    private Socket stallConnection;

    /**
     * Opens a connection on which any byte stalls the loop's wake-up that reads it, after its
     * sockets are read and before its policy round.
     */
    private void openStallConnection() throws Exception {
        stalled = new CountDownLatch(1);
        stallEnd = new CountDownLatch(1);
        CountDownLatch accepted = new CountDownLatch(1);
        InetSocketAddress stallAddress =
                callOnLoop(
                        () ->
                                loop.listen(
                                                new InetSocketAddress(
                                                        InetAddress.getLoopbackAddress(), 0),
                                                () -> true,
                                                link -> {
                                                    link.setListener(
                                                            new embershift.transport.TcpConnection
                                                                    .Listener() {
                                                                @Override
                                                                public void received(
                                                                        ByteBuffer bytes) {
                                                                    stall();
                                                                }

                                                                @Override
                                                                public void inputEnded() {
                                                                    link.close();
                                                                }

                                                                @Override
                                                                public void connectionLost() {
                                                                    link.close();
                                                                }
                                                            });
                                                    accepted.countDown();
                                                })
                                        .localAddress());
        stallConnection = connect(stallAddress, "");
        accepted.await();
    }

    private void stall() {
        stalled.countDown();
        try {
            stallEnd.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Starts a router with two hosts (one for a probe) and a tunnel that waits for the event that
     * decides its next attempt; returns the client and the action that causes the event.
     */
    private PendingAttempt prepareAttempt(AttemptTrigger trigger) throws Exception {
        hosts.clear();
        settingOverrides =
                switch (trigger) {
                    case PROBE_ANSWER -> new String[] {"may-probe", "true", "columns", "[\"x0\"]"};
                    case TIMEOUT -> new String[] {"setup-goal-s", "0.1", "connect-timeout-s", "1"};
                    default -> new String[0];
                };
        hosts.add(openServerSocket());
        if (trigger != AttemptTrigger.PROBE_ANSWER) {
            hosts.add(openServerSocket());
        }
        startRouter("1024", hosts.toArray(new ServerSocket[0]));
        openStallConnection();
        Socket client = connectClient("");
        awaitCounter("connections taken in", 1);
        String line = "OPEN i k c=p,d=3000\r\n";
        if (trigger == AttemptTrigger.FIRST_LINE) {
            return new PendingAttempt(client, () -> send(client, line));
        }
        send(client, line);
        Socket hostSocket = acceptWithin(hosts, TIMEOUT_MS);
        assertEquals(
                readLine(hostSocket).startsWith("OPEN i "), trigger != AttemptTrigger.PROBE_ANSWER);
        return switch (trigger) {
            case BUSY -> new PendingAttempt(client, () -> send(hostSocket, "BUSY\r\n"));
            case ERROR -> new PendingAttempt(client, () -> send(hostSocket, "ERR\r\n"));
            case CONNECTION_RESET -> new PendingAttempt(client, () -> reset(hostSocket));
            case PROBE_ANSWER ->
                    new PendingAttempt(client, () -> send(hostSocket, "PONG x0=0.1\r\n"));
            default -> {
                assertEquals(readLine(hostSocket), null);
                yield new PendingAttempt(client, hostSocket::close);
            }
        };
    }

    private interface Action {
        void run() throws IOException;
    }

    private record PendingAttempt(Socket client, Action trigger) {}

    /** Returns the next connection made to one of the servers, or null if none is made in time. */
    private Socket acceptWithin(List<ServerSocket> servers, int withinMs) throws IOException {
        for (long deadline = System.nanoTime() + withinMs * 1_000_000L;
                System.nanoTime() < deadline; ) {
            for (ServerSocket server : servers) {
                server.setSoTimeout(5);
                try {
                    return accept(server);
                } catch (SocketTimeoutException e) {
                    // No connection at this server yet.
                }
            }
        }
        return null;
    }

    private void triggerAndStall(PendingAttempt attempt) throws Exception {
        Runnable resume = pauseLoop();
        attempt.trigger().run();
        send(stallConnection, "x");
        // One wake-up reads both, in any order. The round that decides the attempt comes after
        // that, and nothing that the client does from now on is read before the round.
        resume.run();
        stalled.await();
    }

    @Test(dataProvider = "triggersAndDisconnectKinds")
    public void noAttemptForClientGoneBeforeDecidingRound(
            AttemptTrigger trigger, DisconnectKind kind) throws Exception {
        PendingAttempt attempt = prepareAttempt(trigger);
        triggerAndStall(attempt);
        disconnect(attempt.client(), kind);
        Thread.sleep(STALL_MS);
        stallEnd.countDown();
        assertEquals(acceptWithin(hosts, ARRIVAL_MS), null, "attempt for a disconnected client");
        assertTrue(callOnLoop(router::isDrained));
        assertEquals(counter("faults"), 0);
    }

    /** Checks that the attempt was due: with a client that stays, it arrives at a host. */
    @Test(dataProvider = "triggers")
    public void clientThatStaysIsForwardedAfterSameStall(AttemptTrigger trigger) throws Exception {
        PendingAttempt attempt = prepareAttempt(trigger);
        triggerAndStall(attempt);
        Thread.sleep(STALL_MS);
        stallEnd.countDown();
        Socket hostSocket = acceptWithin(hosts, TIMEOUT_MS);
        assertTrue(readLine(hostSocket).startsWith("OPEN i "));
        assertEquals(counter("faults"), 0);
    }

    // ---- Standing tunnels, which the policy does not place ----

    @Test(dataProvider = "disconnectKinds")
    public void noAttemptForClientGoneBeforeRosterNamesItsHost(DisconnectKind kind)
            throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024");
        Socket watch = accept(discovery);
        readRequest(watch);
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            clients.add(
                    connectClient("OPEN i" + i + " k c=p,d=3000,at=" + instanceId(host) + "\r\n"));
        }
        awaitCounter("tunnels taken", 12);
        Runnable resume = pauseLoop();
        for (Socket client : clients) {
            disconnect(client, kind);
        }
        sendOkResponse(watch, rosterJson(2, true, rosterEntry(host, "in_service")));
        Thread.sleep(STALL_MS);
        // One wake-up reads the roster and all disconnects, in any order.
        resume.run();
        assertEquals(
                acceptWithin(List.of(host), ARRIVAL_MS), null, "attempt for a disconnected client");
        assertTrue(callOnLoop(router::isDrained));
        assertEquals(counter("faults"), 0);
    }

    @Test(dataProvider = "disconnectKinds")
    public void noAttemptForClientGoneBeforeRetry(DisconnectKind kind) throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,d=3000,at=" + instanceId(host) + "\r\n");
        Socket hostSocket = accept(host);
        readLine(hostSocket);
        long declinedAt = System.nanoTime();
        send(hostSocket, "BUSY\r\n");
        assertEquals(readLine(hostSocket), null);
        Runnable resume = pauseLoop();
        disconnect(client, kind);
        // Waits until just after the retry is due. If it waited longer, the loop would read the
        // sockets before the timer.
        while (System.nanoTime() < declinedAt + 275_000_000L) {
            Thread.onSpinWait();
        }
        resume.run();
        assertEquals(
                acceptWithin(List.of(host), ARRIVAL_MS), null, "attempt for a disconnected client");
        assertTrue(callOnLoop(router::isDrained));
    }

    // ---- End to end at a tenth of a core ----

    /** Blocks the loop for 0.1 s or more at a time, with 12 ms to run in between. */
    private void throttle(int[] remainingTurns) {
        if (remainingTurns[0]-- > 0) {
            try {
                Thread.sleep(remainingTurns[0] % 3 == 0 ? STALL_MS : 100);
            } catch (InterruptedException e) {
                return;
            }
            loop.schedule(0.012, () -> throttle(remainingTurns));
        }
    }

    @Test
    public void throttledNodeStartsNoAttemptLaterThan100MsAfterClientsLeave() throws Exception {
        ServerSocket host = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        ServerSocket other = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        closeables.add(host);
        closeables.add(other);
        List<ServerSocket> both = List.of(host, other);
        startRouter("1024", host, other);
        loop.execute(() -> throttle(new int[] {14}));
        int rounds = 3;
        for (int round = 0; round < rounds; round++) {
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                clients.add(connectClient("OPEN r" + round + "i" + i + " k c=p,d=3000\r\n"));
            }
            long deadline = System.nanoTime() + 120_000_000L;
            while (System.nanoTime() < deadline) {
                Socket hostSocket = acceptWithin(both, 5);
                if (hostSocket != null) {
                    // Declines each setup, so that a retry is due for each tunnel.
                    send(hostSocket, "BUSY\r\n");
                }
            }
            for (int i = 0; i < clients.size(); i++) {
                disconnect(
                        clients.get(i),
                        DisconnectKind.values()[i % DisconnectKind.values().length]);
            }
            long goneAt = System.nanoTime();
            while (System.nanoTime() < goneAt + 100_000_000L) {
                acceptWithin(both, 5);
            }
            while (acceptWithin(both, 20) != null) {
                // Connections in the backlog by now were started in time.
            }
            assertEquals(acceptWithin(both, 200), null, "in round " + round);
        }
        assertEquals(counter("faults"), 0);
    }
}
