package embershift.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Deque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against tunnels to a host that had begun to drain before the node's process started: where
 * changes of the list count as known without a request, the list in the configuration may be out of
 * date, and a process goes by it only if discovery does not answer.
 */
public class InitialRosterTest {

    private static final int TIMEOUT_MS = 30_000;

    /** Restarted nodes have to be ready within this time, also while discovery is down. */
    private static final double READY_SECONDS = 10;

    private static final double SLOW_ANSWER_SECONDS = 1.5;

    /** What discovery does with a call; it answers all calls after the scripted ones at once. */
    private enum Reaction {
        ANSWER_SLOWLY,
        REFUSE,
        RESET,
        STAY_SILENT,
        ANSWER
    }

    private final Deque<Reaction> script = new ConcurrentLinkedDeque<>();
    private final Queue<Socket> openSockets = new ConcurrentLinkedQueue<>();
    private final Queue<String> setupsAtDrainingHost = new ConcurrentLinkedQueue<>();
    private Path folder;
    private ServerSocket discovery;
    private ServerSocket drainingHost;
    private ServerSocket readyHost;
    private Process node;
    private int port;
    private int management;

    @BeforeMethod
    public void openSockets() throws IOException {
        folder = Files.createTempDirectory("embershift");
        script.clear();
        setupsAtDrainingHost.clear();
        discovery = ReadyTest.listenOnLoopback();
        drainingHost = ReadyTest.listenOnLoopback();
        readyHost = ReadyTest.listenOnLoopback();
        serve(discovery, this::answerCall);
        serve(drainingHost, socket -> openTunnel(socket, setupsAtDrainingHost));
        serve(readyHost, socket -> openTunnel(socket, new ConcurrentLinkedQueue<>()));
    }

    @AfterMethod
    public void closeAll() throws Exception {
        if (node != null) {
            node.destroyForcibly().waitFor();
            node = null;
        }
        for (ServerSocket server : List.of(discovery, drainingHost, readyHost)) {
            server.close();
        }
        for (Socket socket : openSockets) {
            socket.close();
        }
        openSockets.clear();
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    private interface ConnectionHandler {
        void handle(Socket socket) throws IOException, InterruptedException;
    }

    private void serve(ServerSocket server, ConnectionHandler handler) {
        ReadyTest.startDaemonThread(
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        openSockets.add(socket);
                        ReadyTest.startDaemonThread(() -> handler.handle(socket));
                    }
                });
    }

    private void answerCall(Socket socket) throws IOException, InterruptedException {
        BufferedReader in = ServeTest.reader(socket.getInputStream());
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (!line.startsWith("GET ")) {
                continue;
            }
            Reaction reaction = script.isEmpty() ? Reaction.ANSWER : script.poll();
            switch (reaction) {
                case REFUSE -> send(socket, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                case RESET -> {
                    socket.setSoLinger(true, 0);
                    socket.close();
                    return;
                }
                case STAY_SILENT -> Thread.sleep(TIMEOUT_MS);
                default -> {
                    boolean isSlow = reaction == Reaction.ANSWER_SLOWLY;
                    Thread.sleep(isSlow ? (long) (1000 * SLOW_ANSWER_SECONDS) : 0);
                    String roster = roster(2, "terminating");
                    send(
                            socket,
                            "HTTP/1.1 200 OK\r\nContent-Length: "
                                    + roster.length()
                                    + "\r\n\r\n"
                                    + roster);
                }
            }
        }
    }

    private static void openTunnel(Socket socket, Queue<String> setups) throws IOException {
        setups.add(ServeTest.reader(socket.getInputStream()).readLine());
        send(socket, "UP r\r\n");
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private String roster(int generation, String stateOfFirstHost) {
        return "{\"generation\":"
                + generation
                + ",\"reset\":true,\"instances\":["
                + rosterEntry("s", drainingHost, stateOfFirstHost)
                + ","
                + rosterEntry("t", readyHost, "in_service")
                + "]}";
    }

    private static String rosterEntry(String name, ServerSocket host, String state) {
        return "{\"instanceId\":\""
                + name
                + "\",\"hostPort\":\"127.0.0.1:"
                + host.getLocalPort()
                + "\",\"zone\":\"a\",\"lifecycle\":\""
                + state
                + "\",\"weight\":1,\"startedAtMs\":0}";
    }

    /** Starts a node that remembers both hosts as in service. */
    private void startNode() throws IOException {
        port = ReplaceTest.freePort();
        management = ReplaceTest.freePort();
        String text =
                ServeTest.configuration(readyHost.getLocalPort(), discovery.getLocalPort())
                        .replace("127.0.0.1:0", "127.0.0.1:" + port)
                        .replace("\"subscribe\"", "\"automatic\"")
                        .replaceFirst(
                                "(?s)\"known\":.*?}]}", "\"known\":" + roster(1, "in_service"));
        Path file = Files.writeString(folder.resolve("configuration.json"), text);
        ProcessBuilder builder = ServeTest.builder("serve", "--configuration", file.toString());
        builder.environment().put("LB_MANAGEMENT", "127.0.0.1:" + management);
        builder.environment().put("TMPDIR", folder.toString());
        node = builder.redirectOutput(folder.resolve("log").toFile()).start();
    }

    private boolean isReady() {
        return ReadyTest.firstLine(management, "GET /api/ready HTTP/1.1\r\n\r\n")
                .startsWith("HTTP/1.1 200");
    }

    /** Waits until the node answers clients; the operators' readiness must not come before that. */
    private void awaitServing() throws Exception {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!ReadyTest.firstLine(port, "PING\r\n").equals("PONG")) {
            assertFalse(
                    isReady() && !ReadyTest.firstLine(port, "PING\r\n").equals("PONG"),
                    "ready too early");
            assertTrue(
                    System.nanoTime() < deadline && node.isAlive(),
                    Files.readString(folder.resolve("log")));
            Thread.sleep(10);
        }
    }

    @DataProvider
    public Object[][] firstCalls() {
        return new Object[][] {
            {List.of(Reaction.ANSWER_SLOWLY)},
            {List.of(Reaction.REFUSE, Reaction.REFUSE)},
            {List.of(Reaction.RESET, Reaction.ANSWER_SLOWLY)},
            {List.of(Reaction.STAY_SILENT)},
        };
    }

    @Test(dataProvider = "firstCalls")
    public void rememberedHostThatDrainsGetsNoTunnelFromNewProcess(List<Reaction> reactions)
            throws Exception {
        script.addAll(reactions);
        startNode();
        awaitServing();
        for (int i = 0; i < 20; i++) {
            assertEquals(ReadyTest.firstLine(port, "OPEN i" + i + " k c=p,d=3000\r\n"), "UP r");
        }
        assertEquals(List.copyOf(setupsAtDrainingHost), List.of());
        assertTrue(isReady());
    }

    @DataProvider
    public Object[][] outages() {
        return new Object[][] {{true}, {false}};
    }

    @Test(dataProvider = "outages")
    public void nodeIsReadyInTimeWhileDiscoveryIsDown(boolean isSilent) throws Exception {
        if (isSilent) {
            for (int i = 0; i < 100; i++) {
                script.add(Reaction.STAY_SILENT);
            }
        } else {
            discovery.close();
        }
        long startedAt = System.nanoTime();
        startNode();
        awaitServing();
        double elapsedSeconds = (System.nanoTime() - startedAt) / 1e9;
        assertTrue(elapsedSeconds < READY_SECONDS, "ready after " + elapsedSeconds + " s");
        assertEquals(ReadyTest.firstLine(port, "OPEN i k c=p,d=3000\r\n"), "UP r");
    }

    @Test
    public void nodeThatWaitsForItsFirstListEndsAtSigterm() throws Exception {
        script.add(Reaction.STAY_SILENT);
        script.add(Reaction.STAY_SILENT);
        startNode();
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (script.size() == 2) {
            assertTrue(System.nanoTime() < deadline, "discovery was not called");
            Thread.sleep(10);
        }
        node.toHandle().destroy();
        assertTrue(node.waitFor(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        List<String> log = Files.readAllLines(folder.resolve("log"));
        assertTrue(log.stream().anyMatch(line -> line.endsWith("n stopped")), log.toString());
        assertFalse(log.stream().anyMatch(line -> line.endsWith("n serving")), log.toString());
    }
}
