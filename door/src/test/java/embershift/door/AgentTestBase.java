package embershift.door;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.operations.HostEjections;
import embershift.program.NodeExtension;
import embershift.protocol.MalformedDataException;
import embershift.protocol.NodeConfiguration;
import embershift.routing.Router;
import embershift.transport.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/**
 * Base of tests that act as a control-plane instance, and as discovery, for a node with an agent in
 * this process.
 */
abstract class AgentTestBase {

    static final int TIMEOUT_MS = 10_000;
    static final long INCARNATION = 12;
    private static final String CONFIGURATION =
            """
        {"name":"node-1","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"1",
         "settings":{"balancers":1,"az":"a","discovery":"subscribe",
          "profiles":[{"name":"p","repeat":"idempotent","setup-goal-s":0.5,"client-timeout-s":3}],
          "limits":{"may-probe":false,"may-cancel":true,"may-duplicate":false,"most-setups":3,"retry-after":true},
          "rules":{"must-ask-in-s":9,"drain-grace-s":1,"cold-from":0.3,"warm-after-s":2,"fall-multiple":4,"fall-s":1.5}}}""";

    private final FrameCodec frames = new FrameCodec();
    private final Deque<byte[]> receivedFrames = new ArrayDeque<>();
    final CompletableFuture<Integer> exitStatus = new CompletableFuture<>();
    EventLoop loop;
    Router router;
    ServerSocket discovery;
    private ServerSocket instance;
    private Socket connection;
    private double nodeClock;
    private long lastOrderId;

    @BeforeMethod
    public void startNode() throws Exception {
        loop = new EventLoop();
        instance = listenOnLoopback();
        discovery = listenOnLoopback();
        NodeConfiguration configuration = configuration(discovery);
        router = new Router(loop, configuration, line -> {});
        Path file =
                Files.writeString(
                        Files.createTempFile("agent", ".toml"),
                        "instances = [\"127.0.0.1:"
                                + instance.getLocalPort()
                                + "\"]\nreport-s = 0.1\n");
        FleetAgent agent = new FleetAgent(AgentSettings.read(file));
        loop.execute(
                () ->
                        agent.start(
                                createNodeContext(
                                        configuration, new HostEjections(loop, router, null))));
        connection = instance.accept();
        connection.setSoTimeout(TIMEOUT_MS);
    }

    @AfterMethod
    public void stopNode() throws Exception {
        loop.stop();
        connection.close();
        instance.close();
        discovery.close();
    }

    static ServerSocket listenOnLoopback() throws IOException {
        ServerSocket server = new ServerSocket(0, 9, InetAddress.getLoopbackAddress());
        server.setSoTimeout(TIMEOUT_MS);
        return server;
    }

    static String address(ServerSocket server) {
        return "127.0.0.1:" + server.getLocalPort();
    }

    static NodeConfiguration configuration(ServerSocket discovery) throws MalformedDataException {
        return NodeConfiguration.parse(CONFIGURATION.formatted(discovery.getLocalPort()), null);
    }

    private NodeExtension.NodeContext createNodeContext(
            NodeConfiguration configuration, HostEjections ejections) {
        return new NodeExtension.NodeContext() {
            @Override
            public EventLoop loop() {
                return loop;
            }

            @Override
            public Router router() {
                return router;
            }

            @Override
            public HostEjections ejections() {
                return ejections;
            }

            @Override
            public NodeConfiguration configuration() {
                return configuration;
            }

            @Override
            public boolean isServing() {
                return true;
            }

            @Override
            public void log(String line) {
                // Not recorded: log lines have no fixed format.
            }

            @Override
            public void exit(int status) {
                exitStatus.complete(status);
            }
        };
    }

    private byte[] readFrame() throws Exception {
        byte[] buffer = new byte[1 << 16];
        while (receivedFrames.isEmpty()) {
            int read = connection.getInputStream().read(buffer);
            if (read < 0) {
                throw new IOException("the node closed the connection");
            }
            frames.decode(ByteBuffer.wrap(buffer, 0, read), receivedFrames::add);
        }
        return receivedFrames.remove();
    }

    /** Returns the next message of that kind and skips all others. */
    ObjectNode readMessage(byte frameType, String kind) throws Exception {
        while (true) {
            byte[] frame = readFrame();
            ObjectNode message = JsonMessages.decodeFrame(frame);
            if (message.has("clock")) {
                nodeClock = message.path("clock").asDouble();
            }
            if (frame[0] == frameType && message.path("kind").asText().equals(kind)) {
                return message;
            }
        }
    }

    void send(byte frameType, ObjectNode message) throws IOException {
        connection
                .getOutputStream()
                .write(FrameCodec.encodeToArray(frameType, JsonMessages.encode(message)));
    }

    void sendWelcome() throws IOException {
        send(
                FrameCodec.ORDER,
                JsonMessages.newMessage("welcome")
                        .put("incarnation", INCARNATION)
                        .put("floor", 0)
                        .put("time", "1.0")
                        .put("at", 1.0));
    }

    ObjectNode order(String task, String action, long token) {
        return JsonMessages.newMessage("order")
                .put("id", ++lastOrderId)
                .put("seen", nodeClock)
                .put("duty", task)
                .put("fence", token)
                .put("what", action)
                .put("floor", 0)
                .put("time", "1.0")
                .put("at", 1.5);
    }

    ObjectNode endpointsOrder(long number, long base, long token) {
        ObjectNode order =
                order("lists", "hosts", token)
                        .put("number", number)
                        .put("base", base)
                        .put("generation", 5)
                        .put("source", address(discovery))
                        .put("age", 0);
        order.putObject("changed")
                .put(
                        "h1",
                        "{\"instanceId\":\"h1\",\"hostPort\":\"127.0.0.1:9\",\"zone\":\"a\","
                                + "\"lifecycle\":\"in_service\",\"weight\":1,\"startedAtMs\":0}");
        order.putArray("gone").add("h2");
        return order;
    }

    /** Returns whether the node goes by published lists now, as it reports from now on. */
    boolean usesPublishedList() throws Exception {
        double now = loop.now();
        ObjectNode report;
        do {
            report = readMessage(FrameCodec.NODE, "report");
        } while (report.path("clock").asDouble() < now);
        return report.path("led").asBoolean();
    }

    /** Sends an order, as one that follows the node's next report, and returns the verdict. */
    ObjectNode executeOrder(ObjectNode order) throws Exception {
        readMessage(FrameCodec.NODE, "report");
        send(
                FrameCodec.ORDER,
                order.put("seen", order.path("seen").asDouble() == 0 ? 0 : nodeClock));
        ObjectNode verdict;
        do {
            verdict = readMessage(FrameCodec.NODE, "verdict");
        } while (verdict.path("id").asLong() != order.path("id").asLong());
        return verdict;
    }

    /** Answers the node's read of a task's fencing token; returns the call. */
    ObjectNode answerTokenRead(long token) throws Exception {
        ObjectNode call = readMessage(FrameCodec.CALL, "");
        ObjectNode answer =
                JsonMessages.newObject()
                        .put("id", call.path("id").asLong())
                        .put("end", "done")
                        .put("revision", 50);
        answer.putArray("items")
                .addObject()
                .put("key", call.path("key").asText())
                .put("revision", token);
        send(FrameCodec.ANSWER, answer);
        return call;
    }
}
