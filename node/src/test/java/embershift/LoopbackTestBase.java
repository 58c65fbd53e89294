package embershift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import embershift.protocol.NodeConfiguration;
import embershift.routing.Router;
import embershift.transport.EventLoop;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Collectors;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/**
 * Base of tests that act as a node's clients, hosts, discovery service and operators on loopback.
 * Each test method has an event loop and sockets of its own, which are closed after it.
 */
public abstract class LoopbackTestBase {

    protected static final int TIMEOUT_MS = 10_000;

    protected EventLoop loop;
    protected Router router;
    protected InetSocketAddress routerAddress;
    protected ServerSocket discovery;
    protected boolean rosterOnRequest;

    /** Deployment settings that differ from the defaults below: names and JSON values in turn. */
    protected String[] settingOverrides;

    protected final List<AutoCloseable> closeables = new ArrayList<>();

    @BeforeMethod
    public void startLoop() throws IOException {
        loop = new EventLoop();
        discovery = openServerSocket();
        rosterOnRequest = true;
        settingOverrides = new String[0];
    }

    @AfterMethod
    public void stopLoop() throws Exception {
        loop.stop();
        for (AutoCloseable each : closeables) {
            each.close();
        }
        closeables.clear();
    }

    protected ServerSocket openServerSocket() throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        server.setSoTimeout(TIMEOUT_MS);
        closeables.add(server);
        return server;
    }

    /** Starts a router that knows these hosts from its configuration. */
    protected void startRouter(String sockets, ServerSocket... hosts) throws Exception {
        NodeConfiguration configuration = configuration(sockets, hosts);
        routerAddress =
                callOnLoop(
                        () -> {
                            router = new Router(loop, configuration, line -> {});
                            return router.listen(configuration.listen());
                        });
    }

    protected NodeConfiguration configuration(String sockets, ServerSocket... hosts)
            throws Exception {
        String knownHosts =
                Arrays.stream(hosts)
                        .map(host -> rosterEntry(host, "in_service"))
                        .collect(Collectors.joining(","));
        String text =
                """
            {"listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"1","limits":{"sockets":%s},
             "peer_listen":"127.0.0.1:0","peers":["127.0.0.1:9"],
             "known":{"generation":1,"reset":true,"instances":[%s]},
             "settings":{"balancers":1,"az":"a","discovery":"%s",
              "profiles":[{"name":"p","repeat":"idempotent","setup-goal-s":0.5,"client-timeout-s":3}],
              "report":{"columns":[]},"domain":{"mode":"proxy"},
              "limits":{"may-probe":false,"may-cancel":true,"may-duplicate":false,"most-setups":3,
                        "retry-after":true,"max-retry-after-s":1,"connect-timeout-s":0.25},
              "rules":{"must-ask-in-s":2,"drain-grace-s":1,"cold-from":0.3,"warm-after-s":8,
                       "fall-multiple":4,"fall-s":1.5}}}"""
                        .formatted(
                                discovery.getLocalPort(),
                                sockets,
                                knownHosts,
                                rosterOnRequest ? "subscribe" : "automatic");
        for (int i = 0; i < settingOverrides.length; i += 2) {
            text =
                    text.replaceFirst(
                            "\"" + settingOverrides[i] + "\":[^,}]*",
                            "\"" + settingOverrides[i] + "\":" + settingOverrides[i + 1]);
        }
        return NodeConfiguration.parse(text, null);
    }

    protected void reconfigure() throws Exception {
        reconfigure("1024");
    }

    protected void reconfigure(String sockets) throws Exception {
        NodeConfiguration next = configuration(sockets);
        callOnLoop(
                () -> {
                    router.reconfigure(next);
                    return null;
                });
    }

    protected static String rosterEntry(ServerSocket host, String lifecycle) {
        return "{\"instanceId\":\""
                + instanceId(host)
                + "\",\"hostPort\":\"127.0.0.1:"
                + host.getLocalPort()
                + "\",\"zone\":\"a\",\"lifecycle\":\""
                + lifecycle
                + "\",\"weight\":1,\"startedAtMs\":0}";
    }

    protected static String instanceId(ServerSocket host) {
        return "s-" + host.getLocalPort();
    }

    /** Returns a roster in discovery's format: a whole one, or one with changed entries only. */
    protected static String rosterJson(int generation, boolean isWhole, String... entries) {
        return "{\"generation\":"
                + generation
                + ",\"reset\":"
                + isWhole
                + ",\"instances\":["
                + String.join(",", entries)
                + "]}";
    }

    protected static void sendOkResponse(Socket connection, String body) throws IOException {
        send(connection, okResponse(body));
    }

    protected static String okResponse(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /**
     * Reads the next request on a connection to discovery with all its header lines, and returns
     * the request line.
     */
    protected static String readRequest(Socket connection) throws IOException {
        String requestLine = readLine(connection);
        for (String line = readLine(connection);
                line != null && !line.isEmpty();
                line = readLine(connection)) {
            // Skips the header lines.
        }
        return requestLine;
    }

    protected Socket connectClient(String text) throws IOException {
        return connect(routerAddress, text);
    }

    protected static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Opens a tunnel; returns the client's socket and the host's. */
    protected Socket[] openTunnel(ServerSocket host) throws IOException {
        Socket client = connectClient("OPEN i" + closeables.size() + " k c=p,d=3000\r\n");
        Socket hostSocket = accept(host);
        readLine(hostSocket);
        send(hostSocket, "UP r\r\n");
        assertEquals(readLine(client), "UP r");
        return new Socket[] {client, hostSocket};
    }

    /** Returns the value of a counter of the router. */
    protected long counter(String name) throws Exception {
        return callOnLoop(() -> router.tally().of(name));
    }

    /** Waits until a counter has reached a value; fails after {@link #TIMEOUT_MS}. */
    protected void awaitCounter(String name, long minimum) throws Exception {
        for (long deadline = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
                counter(name) < minimum; ) {
            assertTrue(
                    System.nanoTime() < deadline,
                    name
                            + " "
                            + counter(name)
                            + "\n"
                            + callOnLoop(() -> router.tally().toString()));
            Thread.sleep(1);
        }
    }

    /**
     * Blocks the loop's thread until the returned action is run. Events that arrive in the meantime
     * are then found by the loop all at once.
     */
    protected Runnable pauseLoop() throws Exception {
        CountDownLatch paused = new CountDownLatch(1);
        CountDownLatch resume = new CountDownLatch(1);
        loop.execute(
                () -> {
                    paused.countDown();
                    try {
                        resume.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        paused.await();
        return resume::countDown;
    }

    /** Runs a task on the loop's thread and waits for its result. */
    protected <T> T callOnLoop(Callable<T> task) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.execute(
                () -> {
                    try {
                        done.complete(task.call());
                    } catch (Exception e) {
                        done.completeExceptionally(e);
                    }
                });
        return done.get();
    }

    protected Socket connect(InetSocketAddress remote, String text) throws IOException {
        Socket socket = withReadTimeout(new Socket(remote.getAddress(), remote.getPort()));
        send(socket, text);
        return socket;
    }

    protected Socket accept(ServerSocket server) throws IOException {
        return withReadTimeout(server.accept());
    }

    private Socket withReadTimeout(Socket socket) throws IOException {
        socket.setSoTimeout(TIMEOUT_MS);
        closeables.add(socket);
        return socket;
    }

    protected static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Returns the next line without its line end, or null at the end of the stream. */
    protected static String readLine(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return line.toString().replace("\r", "");
            }
            line.append((char) b);
        }
        return line.length() == 0 ? null : line.toString();
    }

    /** Returns everything received on a connection until it is closed or reset. */
    protected static String readUntilClosed(Socket socket) throws IOException {
        StringBuilder received = new StringBuilder();
        try {
            for (int b = socket.getInputStream().read();
                    b >= 0;
                    b = socket.getInputStream().read()) {
                received.append((char) b);
            }
        } catch (SocketTimeoutException e) {
            throw e;
        } catch (IOException e) {
            // A reset ends the connection as well.
        }
        return received.toString();
    }

    /**
     * Opens a host's server socket with a backlog of one. Once the backlog is full, the operating
     * system retries the client's connect a second later, and it succeeds when there is room.
     */
    protected ServerSocket openSmallBacklogServerSocket() throws IOException {
        ServerSocket host = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        host.setSoTimeout(TIMEOUT_MS);
        closeables.add(host);
        return host;
    }

    protected void fillBacklog(ServerSocket host) throws IOException {
        for (int i = 0; i < 2; i++) {
            closeables.add(new Socket(host.getInetAddress(), host.getLocalPort()));
        }
    }

    /** Accepts the connections of {@link #fillBacklog}; returns the first one made after that. */
    protected Socket drainBacklogAndAccept(ServerSocket host) throws IOException {
        accept(host).close();
        accept(host).close();
        return accept(host);
    }

    /**
     * Asserts that no byte arrives at a host within so many milliseconds, neither on a connection
     * that waits to be accepted nor on one that is made from now on. A connection that brings a
     * byte fails the assertion whether it stays open or is closed afterwards.
     */
    protected void assertNothingReceived(ServerSocket host, int withinMs) throws IOException {
        host.setSoTimeout(withinMs);
        for (Socket socket = acceptOrNull(host); socket != null; socket = acceptOrNull(host)) {
            socket.setSoTimeout(withinMs);
            try {
                assertEquals(socket.getInputStream().read(), -1, "the host received a byte");
            } catch (IOException e) {
                // No byte came in time, or the connection was reset.
            }
        }
    }

    private Socket acceptOrNull(ServerSocket host) throws IOException {
        try {
            return accept(host);
        } catch (SocketTimeoutException e) {
            return null;
        }
    }
}
