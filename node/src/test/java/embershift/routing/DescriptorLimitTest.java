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
 * Tests of the limit on file descriptors and of those reserved for discovery, hosts and operators:
 * clients cannot take them, in whatever order events happen.
 */
public class DescriptorLimitTest extends LoopbackTestBase {

    private int otherDescriptors;
    private int closeablesAtStart;

    /**
     * Starts a router whose limit leaves so many descriptors beyond those that the loop holds now;
     * returns the limit.
     */
    private int startWithSpareDescriptors(int spare, ServerSocket... hosts) throws Exception {
        int limit = callOnLoop(loop::openDescriptors) + spare;
        otherDescriptors = processDescriptors() - callOnLoop(loop::openDescriptors);
        closeablesAtStart = closeables.size();
        startRouter("" + limit, hosts);
        return limit;
    }

    private static int processDescriptors() {
        return new File("/proc/self/fd").list().length;
    }

    /**
     * Returns how many descriptors the node holds according to the operating system: those of this
     * process, less those of the test itself.
     */
    private int nodeDescriptors() {
        return processDescriptors() - otherDescriptors - (closeables.size() - closeablesAtStart);
    }

    private ServerSocket openLargeBacklogServerSocket() throws IOException {
        ServerSocket host = new ServerSocket(0, 500, InetAddress.getLoopbackAddress());
        host.setSoTimeout(TIMEOUT_MS);
        closeables.add(host);
        return host;
    }

    private List<Socket> connectIdleClients(int count) throws IOException {
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(connectClient(i % 2 == 0 ? "" : "OPEN half"));
        }
        return clients;
    }

    private void assertRelayed(Socket[] tunnel, String line) throws IOException {
        send(tunnel[0], line + "\r\n");
        assertEquals(readLine(tunnel[1]), line);
        send(tunnel[1], line + " back\r\n");
        assertEquals(readLine(tunnel[0]), line + " back");
    }

    // ---- Idle clients ----

    @Test
    public void connectionsAcceptedWhileLoopIsPausedCountTowardsLimit() throws Exception {
        int limit = startWithSpareDescriptors(80);
        Runnable resume = pauseLoop();
        connectIdleClients(300);
        // The I/O library accepts on a thread of its own: leaves it the time to accept them all.
        Thread.sleep(200);
        int held = nodeDescriptors();
        resume.run();
        assertTrue(held <= limit, held + " of " + limit);
        awaitCounter("connections turned away for want of descriptors", 100);
        assertTrue(nodeDescriptors() <= limit, nodeDescriptors() + " of " + limit);
    }

    @Test
    public void idleClientsFillingLimitDuringDiscoveryOutageBlockNeitherRosterNorClients()
            throws Exception {
        settingOverrides =
                new String[] {"may-probe", "true", "columns", "[\"x0\"]", "connect-timeout-s", "2"};
        ServerSocket[] hosts = new ServerSocket[12];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = openLargeBacklogServerSocket();
        }
        ServerSocket host = hosts[0];
        int port = discovery.getLocalPort();
        discovery.close();
        int limit = startWithSpareDescriptors(120, host);
        // The only host known so far answers probes and opens tunnels.
        Thread hostThread = new Thread(() -> serveEchoHost(host));
        hostThread.start();
        List<Socket> tunnels = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            Socket client = connectClient("OPEN t" + i + " k c=p,d=3000\r\n");
            assertEquals(readLine(client), "UP r");
            tunnels.add(client);
        }
        int maxHeld = 0;
        for (int i = 0; i < 6; i++) {
            connectIdleClients(60);
            maxHeld = Math.max(maxHeld, callOnLoop(loop::openDescriptors));
        }
        // The idle clients have reached the limit.
        awaitCounter("connections turned away for want of descriptors", 100);
        maxHeld = Math.max(maxHeld, callOnLoop(loop::openDescriptors));
        long restoredAt = System.nanoTime();
        ServerSocket restoredDiscovery =
                new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        closeables.add(restoredDiscovery);
        restoredDiscovery.setSoTimeout(TIMEOUT_MS);
        String[] entries = new String[hosts.length];
        for (int i = 0; i < hosts.length; i++) {
            entries[i] = rosterEntry(hosts[i], "in_service");
            if (i > 0) {
                ServerSocket other = hosts[i];
                new Thread(() -> serveEchoHost(other)).start();
            }
        }
        Socket watch = accept(restoredDiscovery);
        readRequest(watch);
        sendOkResponse(watch, rosterJson(2, true, entries));
        readRequest(watch);
        double elapsedS = (System.nanoTime() - restoredAt) / 1e9;
        assertTrue(elapsedS < 6, "roster received after " + elapsedS + " s");
        connectIdleClients(60);
        Socket newClient = connectClient("OPEN sound k c=p,d=3000\r\n");
        assertEquals(readLine(newClient), "UP r");
        for (Socket tunnel : tunnels) {
            send(tunnel, "still here\r\n");
            assertEquals(readLine(tunnel), "still here");
        }
        maxHeld = Math.max(maxHeld, callOnLoop(loop::openDescriptors));
        assertTrue(maxHeld <= limit, maxHeld + " of " + limit);
        assertEquals(counter("probes failed"), 0);
        assertEquals(counter("faults"), 0);
    }

    /** Acts as a host that answers probes, opens tunnels and echoes lines until it is closed. */
    private static void serveEchoHost(ServerSocket host) {
        while (!host.isClosed()) {
            try {
                Socket hostSocket = host.accept();
                new Thread(
                                () -> {
                                    try (hostSocket) {
                                        for (String line = readLine(hostSocket);
                                                line != null;
                                                line = readLine(hostSocket)) {
                                            send(
                                                    hostSocket,
                                                    line.equals("STATS")
                                                            ? "PONG x0=0.1\r\n"
                                                            : line.startsWith("OPEN ")
                                                                    ? "UP r\r\n"
                                                                    : line + "\r\n");
                                        }
                                    } catch (IOException e) {
                                        // The node or the test has closed the connection.
                                    }
                                })
                        .start();
            } catch (IOException e) {
                // The server socket was closed, or accept timed out.
            }
        }
    }

    // ---- Kept connections for probes ----

    private void probeAll(ServerSocket[] hosts) throws Exception {
        callOnLoop(
                () -> {
                    for (ServerSocket host : hosts) {
                        router.probe(new HostId(instanceId(host)));
                    }
                    return null;
                });
    }

    @Test
    public void probeConnectionsLostWhileIdleClientsFillLimitAreReopened() throws Exception {
        settingOverrides =
                new String[] {"may-probe", "true", "columns", "[\"x0\"]", "connect-timeout-s", "2"};
        ServerSocket[] hosts = new ServerSocket[40];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = openLargeBacklogServerSocket();
        }
        int limit = startWithSpareDescriptors(110, hosts);
        probeAll(hosts);
        List<Socket> hostSockets = new ArrayList<>();
        for (ServerSocket host : hosts) {
            Socket hostSocket = accept(host);
            assertEquals(readLine(hostSocket), "STATS");
            send(hostSocket, "PONG x0=0.1\r\n");
            hostSockets.add(hostSocket);
        }
        awaitCounter("probes answered", hosts.length);
        for (Socket hostSocket : hostSockets) {
            hostSocket.close();
            closeables.remove(hostSocket);
        }
        connectIdleClients(150);
        awaitCounter("connections turned away for want of descriptors", 30);
        // All hosts are probed at once, and each answers as soon as it is connected.
        probeAll(hosts);
        int maxHeld = 0;
        for (ServerSocket host : hosts) {
            Thread hostThread = new Thread(() -> serveEchoHost(host));
            hostThread.setDaemon(true);
            hostThread.start();
        }
        for (long deadline = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
                counter("probes answered") < 2L * hosts.length; ) {
            assertTrue(
                    System.nanoTime() < deadline,
                    counter("probes answered") + " answered, failed " + counter("probes failed"));
            maxHeld = Math.max(maxHeld, callOnLoop(loop::openDescriptors));
        }
        assertEquals(counter("probes failed"), 0);
        assertTrue(maxHeld <= limit, maxHeld + " of " + limit);
    }

    // ---- Lowering the limit, and standing tunnels ----

    @Test
    public void limitBelowOpenTunnelsKeepsThemAndDeclinesNewOnes() throws Exception {
        ServerSocket host = openLargeBacklogServerSocket();
        int limit = startWithSpareDescriptors(200, host);
        List<Socket[]> tunnels = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            tunnels.add(openTunnel(host));
        }
        reconfigure("" + (limit - 180));
        for (int i = 0; i < 12; i++) {
            assertEquals(readLine(connectClient("OPEN late" + i + " k c=p,d=3000\r\n")), "BUSY");
        }
        Runnable resume = pauseLoop();
        List<Socket> together = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            together.add(connectClient("OPEN both" + i + " k c=p,d=3000\r\n"));
        }
        connectIdleClients(20);
        resume.run();
        for (Socket each : together) {
            assertEquals(readLine(each), "BUSY");
        }
        for (Socket[] tunnel : tunnels) {
            assertRelayed(tunnel, "still here");
        }
        // Discovery can still be called, even at an address that the node did not have before.
        discovery = openServerSocket();
        reconfigure("" + (limit - 180));
        assertEquals(readRequest(accept(discovery)), "GET /api/targets HTTP/1.1");
        assertEquals(counter("faults"), 0);
    }

    @Test
    public void standingTunnelsDoNotTakeReservedDescriptors() throws Exception {
        int limit = startWithSpareDescriptors(90);
        for (int i = 0; i < 150; i++) {
            connectClient("OPEN i" + i + " k c=p,d=3000,at=nobody\r\n");
        }
        int maxHeld = 0;
        for (long deadline = System.nanoTime() + 500_000_000L; System.nanoTime() < deadline; ) {
            maxHeld = Math.max(maxHeld, nodeDescriptors());
        }
        assertTrue(counter("tunnels declined for want of descriptors") > 0);
        assertTrue(maxHeld <= limit, maxHeld + " of " + limit);
    }
}
