package embershift.door;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.fleet.rollout.ConfigRevision;
import embershift.operations.HostEjections;
import embershift.program.NodeExtension;
import embershift.protocol.NodeConfiguration;
import embershift.routing.Router;
import embershift.testing.GoldenSamples;
import embershift.transport.EventLoop;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A node's messages to a control-plane instance, and its verdicts on orders, keep the format of
 * earlier versions.
 */
public class NodeMessagesTest {

    private static final int TIMEOUT_MS = 10_000;
    private static final long INCARNATION = 12;
    private static final String CONFIGURATION =
            """
        {"name":"node-1","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"1",
         "settings":{"balancers":1,"az":"a","discovery":"subscribe",
          "profiles":[{"name":"p","repeat":"idempotent","setup-goal-s":0.5,"client-timeout-s":3}],
          "limits":{"may-probe":false,"may-cancel":true,"may-duplicate":false,"most-setups":3,"retry-after":true},
          "rules":{"must-ask-in-s":9,"drain-grace-s":1,"cold-from":0.3,"warm-after-s":2,"fall-multiple":4,"fall-s":1.5}}}""";

    private final GoldenSamples samples = new GoldenSamples();
    private final FrameCodec frames = new FrameCodec();
    private final Deque<byte[]> receivedFrames = new ArrayDeque<>();
    private final CompletableFuture<Integer> exitStatus = new CompletableFuture<>();
    private ServerSocket instance;
    private Socket connection;
    private EventLoop loop;
    private double nodeClock;
    private long lastOrderId;

    @BeforeMethod
    public void startNode() throws Exception {
        loop = new EventLoop();
        instance = new ServerSocket(0, 9, InetAddress.getLoopbackAddress());
        instance.setSoTimeout(TIMEOUT_MS);
        NodeConfiguration configuration =
                NodeConfiguration.parse(CONFIGURATION.formatted(instance.getLocalPort()), null);
        Router router = new Router(loop, configuration, line -> {});
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
                                        configuration,
                                        router,
                                        new HostEjections(loop, router, null))));
        connection = instance.accept();
        connection.setSoTimeout(TIMEOUT_MS);
    }

    @AfterMethod
    public void stopNode() throws Exception {
        loop.stop();
        connection.close();
        instance.close();
    }

    private NodeExtension.NodeContext createNodeContext(
            NodeConfiguration configuration, Router router, HostEjections ejections) {
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
    private ObjectNode readMessage(byte frameType, String kind) throws Exception {
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

    private void send(byte frameType, ObjectNode message) throws IOException {
        connection
                .getOutputStream()
                .write(FrameCodec.encodeToArray(frameType, JsonMessages.encode(message)));
    }

    /** Returns the message as text, with the values that differ between runs replaced. */
    private static String withoutVaryingValues(ObjectNode message) {
        return message.toString()
                .replaceAll("\"(clock|echo|at)\":[0-9.E-]+", "\"$1\":NUMBER")
                .replaceAll("\"boot\":\"[0-9a-f]+\"", "\"boot\":HEX")
                .replaceAll("\"time\":\"\\d+\\.\\d+\"", "\"time\":HYBRID")
                .replaceAll("\\d{13}\\.\\d+ ", "HYBRID ")
                .replaceAll("boot=[0-9a-f]+", "boot=HEX")
                .replaceAll("of \\d+ ms ago", "of NUMBER ms ago")
                .replaceAll("(trail 1 .*? \\d+ \\d+) \\S+ [0-9a-f]{32}", "$1 CHAIN SUM");
    }

    private ObjectNode order(String task, String action, long token) {
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

    private void recordVerdict(String name, ObjectNode order) throws Exception {
        readMessage(FrameCodec.NODE, "report");
        send(
                FrameCodec.ORDER,
                order.put("seen", order.path("seen").asDouble() == 0 ? 0 : nodeClock));
        ObjectNode verdict;
        do {
            verdict = readMessage(FrameCodec.NODE, "verdict");
        } while (verdict.path("id").asLong() != order.path("id").asLong());
        samples.text("verdict: " + name, withoutVaryingValues(verdict));
    }

    /**
     * Sends a task's first order, which the node rejects because it knows no fencing token, and
     * answers its read of the token.
     */
    private void provideFencingToken(String task, long token) throws Exception {
        recordVerdict("fence of " + task + " not known", order(task, "nothing", token));
        ObjectNode call = readMessage(FrameCodec.CALL, "");
        samples.text("call: fence of " + task, withoutVaryingValues(call));
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
    }

    private static SortedMap<String, Optional<String>> changes(String... namesAndValues) {
        SortedMap<String, Optional<String>> changes = new TreeMap<>();
        for (int at = 0; at < namesAndValues.length; at += 2) {
            changes.put(namesAndValues[at], Optional.of(namesAndValues[at + 1]));
        }
        return changes;
    }

    private ObjectNode completeRevisionOrder(ConfigRevision revision) {
        ObjectNode order = baseRevisionOrder(revision, 0);
        JsonMessages.putTexts(order.putObject("fields"), revision.fields());
        return order;
    }

    private ObjectNode revisionOrder(
            ConfigRevision revision, long base, Map<String, Optional<String>> changes) {
        ObjectNode order = baseRevisionOrder(revision, base);
        JsonMessages.putChanges(order.putObject("fields"), changes);
        return order;
    }

    private ObjectNode baseRevisionOrder(ConfigRevision revision, long base) {
        return order("rollout", "revision", 30)
                .put("number", revision.number())
                .put("base", base)
                .put("chain", revision.chainDigest())
                .put("content", revision.contentDigest());
    }

    private ObjectNode endpointsOrder(long number, long base, long token) {
        ObjectNode order =
                order("lists", "hosts", token)
                        .put("number", number)
                        .put("base", base)
                        .put("generation", 5);
        order.putObject("changed")
                .put(
                        "h1",
                        "{\"instanceId\":\"h1\",\"hostPort\":\"127.0.0.1:9\",\"zone\":\"a\","
                                + "\"lifecycle\":\"in_service\",\"weight\":1,\"startedAtMs\":0}");
        order.putArray("gone").add("h2");
        return order;
    }

    @Test
    public void messagesKeepTheirFormat() throws Exception {
        samples.text("here", withoutVaryingValues(readMessage(FrameCodec.NODE, "here")));
        send(
                FrameCodec.ORDER,
                JsonMessages.newMessage("welcome")
                        .put("incarnation", INCARNATION)
                        .put("floor", 0)
                        .put("time", "1.0")
                        .put("at", 1.0));
        samples.text("report: first", withoutVaryingValues(readMessage(FrameCodec.NODE, "report")));
        ObjectNode segment = readMessage(FrameCodec.NODE, "trail");
        samples.text("trail: first", withoutVaryingValues(segment));
        send(
                FrameCodec.ORDER,
                JsonMessages.newMessage("kept")
                        .put("number", segment.path("number").asLong())
                        .put("time", "1.0")
                        .put("at", 1.2));
        recordVerdicts();
        ObjectNode report = readMessage(FrameCodec.NODE, "report");
        samples.text("report: after orders", withoutVaryingValues(report));
        send(
                FrameCodec.ORDER,
                JsonMessages.newMessage("out")
                        .put("why", "because")
                        .put("time", "1.0")
                        .put("at", 9.0));
        assertEquals(exitStatus.get(TIMEOUT_MS, TimeUnit.MILLISECONDS).intValue(), 5);
        samples.text(
                "exit status: shut out and stale",
                FleetAgent.EXIT_SHUT_OUT + " " + FleetAgent.EXIT_STALE);
        for (byte kind :
                new byte[] {
                    FrameCodec.HANDSHAKE,
                    FrameCodec.HANDSHAKE_ACCEPTED,
                    FrameCodec.HANDSHAKE_REJECTED,
                    FrameCodec.MESSAGE,
                    FrameCodec.CALL,
                    FrameCodec.ANSWER,
                    FrameCodec.NODE,
                    FrameCodec.ORDER
                }) {
            samples.text(
                    "frame of kind " + kind,
                    HexFormat.of()
                            .formatHex(FrameCodec.encode(kind, new byte[] {1, 2, 3}).array()));
        }
        samples.assertMatch(getClass(), "node-messages.txt");
    }

    @Test
    public void settingsKeepTheirKeys() throws Exception {
        try (InputStream schema = AgentSettings.class.getResourceAsStream("door.schema.json")) {
            new GoldenSamples()
                    .text("schema", new String(schema.readAllBytes(), StandardCharsets.UTF_8))
                    .assertMatch(getClass(), "settings.txt");
        }
    }

    private void recordVerdicts() throws Exception {
        provideFencingToken("lists", 20);
        recordVerdict("whole list", endpointsOrder(1, 0, 20));
        recordVerdict("same list", endpointsOrder(1, 0, 20));
        recordVerdict("list against one not held", endpointsOrder(9, 7, 20));
        recordVerdict("list of an older fence", endpointsOrder(10, 0, 19));
        recordVerdict("list of an older number", endpointsOrder(0, 0, 20));
        recordVerdict("list behind discovery", endpointsOrder(11, 0, 21).put("generation", 4));
        provideFencingToken("rollout", 30);
        ConfigRevision first = ConfigRevision.NONE.next(changes("out/h1", "why", "sockets", "500"));
        recordVerdict(
                "revision against one not held",
                revisionOrder(first.next(changes("out/h3", "x")), 1, changes("out/h3", "x")));
        recordVerdict("whole revision", completeRevisionOrder(first));
        recordVerdict("revision once more, by difference", revisionOrder(first, 1, changes()));
        ConfigRevision rejected = first.next(changes("unknown", "x"));
        recordVerdict(
                "revision that is refused",
                revisionOrder(rejected, 1, rejected.differenceFrom(first)));
        SortedMap<String, Optional<String>> changes = changes("out/h2", "x");
        changes.put("out/h1", Optional.empty());
        ConfigRevision second = first.next(changes);
        recordVerdict(
                "revision by difference", revisionOrder(second, 1, second.differenceFrom(first)));
        recordVerdict("older revision", completeRevisionOrder(first));
        provideFencingToken("release", 40);
        ObjectNode ejectOrder = order("release", "out", 40);
        ejectOrder.putArray("hosts").add("h4");
        recordVerdict("hosts out for a release", ejectOrder);
        recordVerdict("no such order", order("release", "dance", 40));
        recordVerdict("order that is too old", order("release", "out", 40).put("seen", 0));
    }
}
