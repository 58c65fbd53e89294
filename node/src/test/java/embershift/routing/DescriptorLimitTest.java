package embershift.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import embershift.LoopbackTestBase;
import embershift.model.HostId;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Descriptors that no client can take: discovery, hosts and operators have theirs in whatever order
 * things happen.
 */
public class DescriptorLimitTest extends LoopbackTestBase {

    private int before;
    private int ownBefore;

    /** Starts with so many descriptors beyond those that this process holds now. */
    private int startWith(int more, ServerSocket... hosts) throws Exception {
        int limit = callOnLoop(loop::openDescriptors) + more;
        before = held() - callOnLoop(loop::openDescriptors);
        ownBefore = closeables.size();
        startRouter("" + limit, hosts);
        return limit;
    }

    private static int held() {
        return new File("/proc/self/fd").list().length;
    }

    /**
     * What the node holds as the system has it: all of this process, less what the test has opened
     * since.
     */
    private int heldByNode() {
        return held() - before - (closeables.size() - ownBefore);
    }

    private ServerSocket wide() throws IOException {
        ServerSocket host = new ServerSocket(0, 500, InetAddress.getLoopbackAddress());
        host.setSoTimeout(TIMEOUT_MS);
        closeables.add(host);
        return host;
    }

    private List<Socket> idle(int many) throws IOException {
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            idle.add(connectClient(i % 2 == 0 ? "" : "OPEN half"));
        }
        return idle;
    }

    private void echoes(Socket[] ends, String line) throws IOException {
        send(ends[0], line + "\r\n");
        assertEquals(readLine(ends[1]), line);
        send(ends[1], line + " back\r\n");
        assertEquals(readLine(ends[0]), line + " back");
    }

    // ---- Idle clients ----

    @Test
    public void whatTheSystemHasAcceptedCountsWhileTheLoopStandsStill() throws Exception {
        int limit = startWith(80);
        Runnable goOn = pauseLoop();
        idle(300);
        // The library accepts on a thread of its own: it has had the time to take them all.
        Thread.sleep(200);
        int held = heldByNode();
        goOn.run();
        assertTrue(held <= limit, held + " of " + limit);
        awaitCounter("connections turned away for want of descriptors", 100);
        assertTrue(heldByNode() <= limit, heldByNode() + " of " + limit);
    }

    @Test
    public void crowdThatFillsWhileDiscoveryIsDownKeepsNeitherListNorSoundClientsOut()
            throws Exception {
        settingOverrides =
                new String[] {"may-probe", "true", "columns", "[\"x0\"]", "connect-timeout-s", "2"};
        ServerSocket[] hosts = new ServerSocket[12];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = wide();
        }
        ServerSocket host = hosts[0];
        int port = discovery.getLocalPort();
        discovery.close();
        int limit = startWith(120, host);
        // The one host answers questions, and says yes to tunnels.
        Thread answers = new Thread(() -> answer(host));
        answers.start();
        List<Socket> tunnels = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            Socket client = connectClient("OPEN t" + i + " k c=p,d=3000\r\n");
            assertEquals(readLine(client), "UP r");
            tunnels.add(client);
        }
        int most = 0;
        for (int i = 0; i < 6; i++) {
            idle(60);
            most = Math.max(most, callOnLoop(loop::openDescriptors));
        }
        // The crowd has filled what there is.
        awaitCounter("connections turned away for want of descriptors", 100);
        most = Math.max(most, callOnLoop(loop::openDescriptors));
        long back = System.nanoTime();
        ServerSocket again = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        closeables.add(again);
        again.setSoTimeout(TIMEOUT_MS);
        String[] entries = new String[hosts.length];
        for (int i = 0; i < hosts.length; i++) {
            entries[i] = rosterEntry(hosts[i], "in_service");
            if (i > 0) {
                ServerSocket other = hosts[i];
                new Thread(() -> answer(other)).start();
            }
        }
        Socket watch = accept(again);
        readRequest(watch);
        sendOkResponse(watch, rosterJson(2, true, entries));
        readRequest(watch);
        double took = (System.nanoTime() - back) / 1e9;
        assertTrue(took < 6, "the list was there after " + took + " s");
        idle(60);
        Socket sound = connectClient("OPEN sound k c=p,d=3000\r\n");
        assertEquals(readLine(sound), "UP r");
        for (Socket tunnel : tunnels) {
            send(tunnel, "still here\r\n");
            assertEquals(readLine(tunnel), "still here");
        }
        most = Math.max(most, callOnLoop(loop::openDescriptors));
        assertTrue(most <= limit, most + " of " + limit);
        assertEquals(counter("probes failed"), 0);
        assertEquals(counter("faults"), 0);
    }

    /**
     * A host that answers each question, opens each tunnel and sends each line back, until it is
     * closed.
     */
    private static void answer(ServerSocket host) {
        while (!host.isClosed()) {
            try {
                Socket side = host.accept();
                new Thread(
                                () -> {
                                    try (side) {
                                        for (String line = readLine(side);
                                                line != null;
                                                line = readLine(side)) {
                                            send(
                                                    side,
                                                    line.equals("STATS")
                                                            ? "PONG x0=0.1\r\n"
                                                            : line.startsWith("OPEN ")
                                                                    ? "UP r\r\n"
                                                                    : line + "\r\n");
                                        }
                                    } catch (IOException e) {
                                        // The node, or the test, has ended it.
                                    }
                                })
                        .start();
            } catch (IOException e) {
                // Closed, or nobody came for a while.
            }
        }
    }

    // ---- Hosts' kept connections ----

    private void askAll(ServerSocket[] hosts) throws Exception {
        callOnLoop(
                () -> {
                    for (ServerSocket host : hosts) {
                        router.probe(new HostId(instanceId(host)));
                    }
                    return null;
                });
    }

    @Test
    public void keptConnectionsThatAreLostWhileIdleClientsFillAllComeBack() throws Exception {
        settingOverrides =
                new String[] {"may-probe", "true", "columns", "[\"x0\"]", "connect-timeout-s", "2"};
        ServerSocket[] hosts = new ServerSocket[40];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = wide();
        }
        int limit = startWith(110, hosts);
        askAll(hosts);
        List<Socket> sides = new ArrayList<>();
        for (ServerSocket host : hosts) {
            Socket side = accept(host);
            assertEquals(readLine(side), "STATS");
            send(side, "PONG x0=0.1\r\n");
            sides.add(side);
        }
        awaitCounter("probes answered", hosts.length);
        for (Socket side : sides) {
            side.close();
            closeables.remove(side);
        }
        idle(150);
        awaitCounter("connections turned away for want of descriptors", 30);
        // All are asked at once, and each host says what it has to once it is reached.
        askAll(hosts);
        int most = 0;
        for (ServerSocket host : hosts) {
            Thread answers = new Thread(() -> answer(host));
            answers.setDaemon(true);
            answers.start();
        }
        for (long until = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
                counter("probes answered") < 2L * hosts.length; ) {
            assertTrue(
                    System.nanoTime() < until,
                    counter("probes answered") + " answered, failed " + counter("probes failed"));
            most = Math.max(most, callOnLoop(loop::openDescriptors));
        }
        assertEquals(counter("probes failed"), 0);
        assertTrue(most <= limit, most + " of " + limit);
    }

    // ---- A lower limit ----

    @Test
    public void lowerLimitThanOpenTunnelsHoldCostsNoneOfThemAndWhoComesHearsSo() throws Exception {
        ServerSocket host = wide();
        int limit = startWith(200, host);
        List<Socket[]> tunnels = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            tunnels.add(openTunnel(host));
        }
        reconfigure("" + (limit - 180));
        for (int i = 0; i < 12; i++) {
            assertEquals(readLine(connectClient("OPEN late" + i + " k c=p,d=3000\r\n")), "BUSY");
        }
        Runnable goOn = pauseLoop();
        List<Socket> together = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            together.add(connectClient("OPEN both" + i + " k c=p,d=3000\r\n"));
        }
        idle(20);
        goOn.run();
        for (Socket each : together) {
            assertEquals(readLine(each), "BUSY");
        }
        for (Socket[] ends : tunnels) {
            echoes(ends, "still here");
        }
        // Discovery is heard all the same: one that the node has not been told of yet.
        discovery = openServerSocket();
        reconfigure("" + (limit - 180));
        assertEquals(readRequest(accept(discovery)), "GET /api/targets HTTP/1.1");
        assertEquals(counter("faults"), 0);
    }

    @Test
    public void whoClaimsToHaveStoodBeforeTakesNoneThatAreNotForClients() throws Exception {
        int limit = startWith(90);
        for (int i = 0; i < 150; i++) {
            connectClient("OPEN i" + i + " k c=p,d=3000,at=nobody\r\n");
        }
        int most = 0;
        for (long until = System.nanoTime() + 500_000_000L; System.nanoTime() < until; ) {
            most = Math.max(most, heldByNode());
        }
        assertTrue(counter("tunnels declined for want of descriptors") > 0);
        assertTrue(most <= limit, most + " of " + limit);
    }
}
