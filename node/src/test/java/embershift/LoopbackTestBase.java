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
 * For tests that play a node's clients, hosts and other callers on loopback: a loop, and sockets
 * that end with each.
 */
public abstract class LoopbackTestBase {

    protected static final int TIMEOUT_MS = 10_000;

    protected EventLoop loop;
    protected Router router;
    protected InetSocketAddress routerAddress;
    protected ServerSocket discovery;
    protected boolean rosterOnRequest;

    /** Settings of the deployment under test, where they are other than usual: name, then value. */
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

    /** Starts a router with these hosts known. */
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
        String known =
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
                                known,
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

    /** A list as discovery tells it. */
    protected static String rosterJson(int generation, boolean whole, String... entries) {
        return "{\"generation\":"
                + generation
                + ",\"reset\":"
                + whole
                + ",\"instances\":["
                + String.join(",", entries)
                + "]}";
    }

    protected static void sendOkResponse(Socket call, String body) throws IOException {
        send(call, okResponse(body));
    }

    protected static String okResponse(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** The next call on a connection to discovery: its first line, once the rest of it is read. */
    protected static String readRequest(Socket watch) throws IOException {
        String first = readLine(watch);
        for (String line = readLine(watch);
                line != null && !line.isEmpty();
                line = readLine(watch)) {
            // Its other lines.
        }
        return first;
    }

    protected Socket connectClient(String words) throws IOException {
        return connect(routerAddress, words);
    }

    protected static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** A client's open tunnel and its host's side. */
    protected Socket[] openTunnel(ServerSocket host) throws IOException {
        Socket client = connectClient("OPEN i" + closeables.size() + " k c=p,d=3000\r\n");
        Socket side = accept(host);
        readLine(side);
        send(side, "UP r\r\n");
        assertEquals(readLine(client), "UP r");
        return new Socket[] {client, side};
    }

    /** The router's counter of that name. */
    protected long counter(String name) throws Exception {
        return callOnLoop(() -> router.tally().of(name));
    }

    /** Waits until the counter is there; fails where it does not come. */
    protected void awaitCounter(String name, long many) throws Exception {
        for (long until = System.nanoTime() + TIMEOUT_MS * 1_000_000L; counter(name) < many; ) {
            assertTrue(
                    System.nanoTime() < until,
                    name
                            + " "
                            + counter(name)
                            + "\n"
                            + callOnLoop(() -> router.tally().toString()));
            Thread.sleep(1);
        }
    }

    /**
     * Keeps the loop from its next turn on until {@code run}: what happens meanwhile it finds all
     * at once.
     */
    protected Runnable pauseLoop() throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        loop.execute(
                () -> {
                    held.countDown();
                    try {
                        goOn.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        held.await();
        return goOn::countDown;
    }

    /** Does something on the loop's thread, and waits until it is done. */
    protected <T> T callOnLoop(Callable<T> step) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.execute(
                () -> {
                    try {
                        done.complete(step.call());
                    } catch (Exception e) {
                        done.completeExceptionally(e);
                    }
                });
        return done.get();
    }

    protected Socket connect(InetSocketAddress to, String words) throws IOException {
        Socket socket = withReadTimeout(new Socket(to.getAddress(), to.getPort()));
        send(socket, words);
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

    protected static void send(Socket socket, String words) throws IOException {
        socket.getOutputStream().write(words.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The next line without its end; null at the end of the stream. */
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

    /** All that comes on this connection until it ends, however that is. */
    protected static String readUntilClosed(Socket side) throws IOException {
        StringBuilder all = new StringBuilder();
        try {
            for (int b = side.getInputStream().read(); b >= 0; b = side.getInputStream().read()) {
                all.append((char) b);
            }
        } catch (SocketTimeoutException e) {
            throw e;
        } catch (IOException e) {
            // Reset: an end as well.
        }
        return all.toString();
    }

    /**
     * A host with a queue of one: what comes beyond it is left to come again, a second later, and
     * is up once there is room.
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

    /** Takes what filled it; returns the first connection that comes up after that. */
    protected Socket drainBacklogAndAccept(ServerSocket host) throws IOException {
        accept(host).close();
        accept(host).close();
        return accept(host);
    }

    /**
     * No byte comes there within so many milliseconds on a connection that is made from now on, nor
     * on the last one that was. A connection that brings something and stays open fails as one that
     * brings something and ends.
     */
    protected void assertNothingReceived(ServerSocket host, int within) throws IOException {
        host.setSoTimeout(within);
        for (Socket side = acceptOrNull(host); side != null; side = acceptOrNull(host)) {
            side.setSoTimeout(within);
            try {
                assertEquals(side.getInputStream().read(), -1, "something was sent on");
            } catch (IOException e) {
                // Silent all the time, or reset.
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
