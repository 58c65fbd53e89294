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
 * A client that closes or cancels has gone: no attempt, first or further, begins more than 0.1 s
 * later, and an attempt may count from its connection on. Each test has the process stand still
 * between what decides an attempt and the attempt itself, as on a tenth of a core, and has the
 * client go meanwhile; verdicts are from what arrives at the hosts.
 */
public class ClientDisconnectTest extends LoopbackTestBase {

    /** Milliseconds for which the process stands still once the client has gone. */
    private static final int STALL_MS = 150;

    /** Milliseconds within which a connection that is begun all the same would have arrived. */
    private static final int ARRIVES_MS = 250;

    private enum Going {
        END,
        RESET,
        HALF_CLOSE,
        MUCH_THEN_END,
        MUCH_THEN_RESET,
        MUCH_THEN_HALF_CLOSE
    }

    /**
     * What an attempt follows: the client's line, the end of the attempt before, or the answer of a
     * host that was asked.
     */
    private enum After {
        FIRST_LINE,
        BUSY,
        ERROR,
        BREAK,
        TIME_OUT,
        PROBE
    }

    private static void go(Socket client, Going how) throws IOException {
        if (how.name().startsWith("MUCH")) {
            send(client, "line sent ahead\r\n".repeat(300));
        }
        switch (how) {
            case RESET, MUCH_THEN_RESET -> reset(client);
            case HALF_CLOSE, MUCH_THEN_HALF_CLOSE -> client.shutdownOutput();
            default -> client.close();
        }
    }

    @DataProvider
    public Object[][] orders() {
        List<Object[]> orders = new ArrayList<>();
        for (After after : After.values()) {
            for (Going how : Going.values()) {
                orders.add(new Object[] {after, how});
            }
        }
        return orders.toArray(new Object[0][]);
    }

    @DataProvider
    public Object[][] occasions() {
        Object[][] all = new Object[After.values().length][];
        for (int i = 0; i < all.length; i++) {
            all[i] = new Object[] {After.values()[i]};
        }
        return all;
    }

    @DataProvider
    public Object[][] ways() {
        Object[][] all = new Object[Going.values().length][];
        for (int i = 0; i < all.length; i++) {
            all[i] = new Object[] {Going.values()[i]};
        }
        return all;
    }

    // ---- A wake-up that stands still ----

    private final List<ServerSocket> hosts = new ArrayList<>();
    private CountDownLatch standsStill;
    private CountDownLatch goesOn;
    private Socket staller;

    /**
     * Whatever comes on this connection has the wake-up that brings it stand still, between its
     * sockets and its round.
     */
    private void stallable() throws Exception {
        standsStill = new CountDownLatch(1);
        goesOn = new CountDownLatch(1);
        CountDownLatch in = new CountDownLatch(1);
        InetSocketAddress at =
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
                                                                    standStill();
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
                                                    in.countDown();
                                                })
                                        .localAddress());
        staller = connect(at, "");
        in.await();
    }

    private void standStill() {
        standsStill.countDown();
        try {
            goesOn.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Two hosts, and a tunnel that waits for what is to decide its next attempt; returns what has
     * that happen.
     */
    private Occasion occasion(After after) throws Exception {
        hosts.clear();
        settingOverrides =
                switch (after) {
                    case PROBE -> new String[] {"may-probe", "true", "columns", "[\"x0\"]"};
                    case TIME_OUT -> new String[] {"setup-goal-s", "0.1", "connect-timeout-s", "1"};
                    default -> new String[0];
                };
        hosts.add(openServerSocket());
        if (after != After.PROBE) {
            hosts.add(openServerSocket());
        }
        startRouter("1024", hosts.toArray(new ServerSocket[0]));
        stallable();
        Socket client = connectClient("");
        awaitCounter("connections taken in", 1);
        String line = "OPEN i k c=p,d=3000\r\n";
        if (after == After.FIRST_LINE) {
            return new Occasion(client, () -> send(client, line));
        }
        send(client, line);
        Socket side = comesTo(hosts, TIMEOUT_MS);
        assertEquals(readLine(side).startsWith("OPEN i "), after != After.PROBE);
        return switch (after) {
            case BUSY -> new Occasion(client, () -> send(side, "BUSY\r\n"));
            case ERROR -> new Occasion(client, () -> send(side, "ERR\r\n"));
            case BREAK -> new Occasion(client, () -> reset(side));
            case PROBE -> new Occasion(client, () -> send(side, "PONG x0=0.1\r\n"));
            default -> {
                assertEquals(readLine(side), null);
                yield new Occasion(client, side::close);
            }
        };
    }

    private interface Step {
        void take() throws IOException;
    }

    private record Occasion(Socket client, Step decides) {}

    /** The next connection that arrives at one of them; null where none comes in time. */
    private Socket comesTo(List<ServerSocket> servers, int withinMs) throws IOException {
        for (long until = System.nanoTime() + withinMs * 1_000_000L; System.nanoTime() < until; ) {
            for (ServerSocket server : servers) {
                server.setSoTimeout(5);
                try {
                    return accept(server);
                } catch (SocketTimeoutException e) {
                    // Not here.
                }
            }
        }
        return null;
    }

    private void decideAndStandStill(Occasion occasion) throws Exception {
        Runnable goOn = pauseLoop();
        occasion.decides().take();
        send(staller, "x");
        // Both come up in one wake-up, in whichever order: the round that decides is still to come,
        // and what the client does
        // from now on is not read before that.
        goOn.run();
        standsStill.await();
    }

    @Test(dataProvider = "orders")
    public void noConnectionIsBegunForWhoWentBeforeTheRoundThatDecides(After after, Going how)
            throws Exception {
        Occasion occasion = occasion(after);
        decideAndStandStill(occasion);
        go(occasion.client(), how);
        Thread.sleep(STALL_MS);
        goesOn.countDown();
        assertEquals(comesTo(hosts, ARRIVES_MS), null, "an attempt for a client that has gone");
        assertTrue(callOnLoop(router::isDrained));
        assertEquals(counter("faults"), 0);
    }

    /** That the attempt was due: the same order brings one to a host where the client stays. */
    @Test(dataProvider = "occasions")
    public void whoStaysIsSentOnAfterTheSameStall(After after) throws Exception {
        Occasion occasion = occasion(after);
        decideAndStandStill(occasion);
        Thread.sleep(STALL_MS);
        goesOn.countDown();
        Socket side = comesTo(hosts, TIMEOUT_MS);
        assertTrue(readLine(side).startsWith("OPEN i "));
        assertEquals(counter("faults"), 0);
    }

    // ---- Tunnels that stood before, which the module does not place ----

    @Test(dataProvider = "ways")
    public void noConnectionIsBegunForWhoWentBeforeTheListThatNamesItsHost(Going how)
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
        Runnable goOn = pauseLoop();
        for (Socket client : clients) {
            go(client, how);
        }
        sendOkResponse(watch, rosterJson(2, true, rosterEntry(host, "in_service")));
        Thread.sleep(STALL_MS);
        // One wake-up brings the list and all the ends, in whichever order.
        goOn.run();
        assertEquals(
                comesTo(List.of(host), ARRIVES_MS), null, "an attempt for a client that has gone");
        assertTrue(callOnLoop(router::isDrained));
        assertEquals(counter("faults"), 0);
    }

    @Test(dataProvider = "ways")
    public void noConnectionIsBegunForWhoWentBeforeItsNextTry(Going how) throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,d=3000,at=" + instanceId(host) + "\r\n");
        Socket side = accept(host);
        readLine(side);
        long from = System.nanoTime();
        send(side, "BUSY\r\n");
        assertEquals(readLine(side), null);
        Runnable goOn = pauseLoop();
        go(client, how);
        // Until just after the next try is due: later still, and the loop would see to the sockets
        // first.
        while (System.nanoTime() < from + 275_000_000L) {
            Thread.onSpinWait();
        }
        goOn.run();
        assertEquals(
                comesTo(List.of(host), ARRIVES_MS), null, "an attempt for a client that has gone");
        assertTrue(callOnLoop(router::isDrained));
    }

    // ---- The whole way at a tenth of a core ----

    /** The loop stands still for 0.1 s and more, and has a moment in between. */
    private void throttle(int[] turns) {
        if (turns[0]-- > 0) {
            try {
                Thread.sleep(turns[0] % 3 == 0 ? STALL_MS : 100);
            } catch (InterruptedException e) {
                return;
            }
            loop.schedule(0.012, () -> throttle(turns));
        }
    }

    @Test
    public void atATenthOfACoreNothingArrivesLaterThanATenthOfASecondAfterAllHaveGone()
            throws Exception {
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
            long until = System.nanoTime() + 120_000_000L;
            while (System.nanoTime() < until) {
                Socket side = comesTo(both, 5);
                if (side != null) {
                    // Turned away: each has a further attempt due.
                    send(side, "BUSY\r\n");
                }
            }
            for (int i = 0; i < clients.size(); i++) {
                go(clients.get(i), Going.values()[i % Going.values().length]);
            }
            long gone = System.nanoTime();
            while (System.nanoTime() < gone + 100_000_000L) {
                comesTo(both, 5);
            }
            while (comesTo(both, 20) != null) {
                // What waits here by now was begun in time.
            }
            assertEquals(comesTo(both, 200), null, "in round " + round);
        }
        assertEquals(counter("faults"), 0);
    }
}
