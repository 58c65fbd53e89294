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
 * What a node says to a control-plane instance, and how it answers each order, stays as earlier
 * versions have it.
 */
public class NodeMessagesTest {

    private static final int PATIENCE_MS = 10_000;
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
    private final Deque<byte[]> pieces = new ArrayDeque<>();
    private final CompletableFuture<Integer> exit = new CompletableFuture<>();
    private ServerSocket instance;
    private Socket link;
    private EventLoop loop;
    private double clock;
    private long orders;

    @BeforeMethod
    public void startNode() throws Exception {
        loop = new EventLoop();
        instance = new ServerSocket(0, 9, InetAddress.getLoopbackAddress());
        instance.setSoTimeout(PATIENCE_MS);
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
                                node(
                                        configuration,
                                        router,
                                        new HostEjections(loop, router, null))));
        link = instance.accept();
        link.setSoTimeout(PATIENCE_MS);
    }

    @AfterMethod
    public void stopNode() throws Exception {
        loop.stop();
        link.close();
        instance.close();
    }

    private NodeExtension.NodeContext node(
            NodeConfiguration configuration, Router router, HostEjections bans) {
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
                return bans;
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
                // For people: no format.
            }

            @Override
            public void exit(int status) {
                exit.complete(status);
            }
        };
    }

    private byte[] piece() throws Exception {
        byte[] buffer = new byte[1 << 16];
        while (pieces.isEmpty()) {
            int read = link.getInputStream().read(buffer);
            if (read < 0) {
                throw new IOException("the node ended the connection");
            }
            frames.decode(ByteBuffer.wrap(buffer, 0, read), pieces::add);
        }
        return pieces.remove();
    }

    /** The next message of that kind; what else comes meanwhile is passed over. */
    private ObjectNode message(byte pieceKind, String kind) throws Exception {
        while (true) {
            byte[] piece = piece();
            ObjectNode message = JsonMessages.decodeFrame(piece);
            if (message.has("clock")) {
                clock = message.path("clock").asDouble();
            }
            if (piece[0] == pieceKind && message.path("kind").asText().equals(kind)) {
                return message;
            }
        }
    }

    private void say(byte pieceKind, ObjectNode message) throws IOException {
        link.getOutputStream()
                .write(FrameCodec.encodeToArray(pieceKind, JsonMessages.encode(message)));
    }

    /** As an instance says it; what differs from run to run is left out. */
    private static String stable(ObjectNode message) {
        return message.toString()
                .replaceAll("\"(clock|echo|at)\":[0-9.E-]+", "\"$1\":NUMBER")
                .replaceAll("\"boot\":\"[0-9a-f]+\"", "\"boot\":HEX")
                .replaceAll("\"time\":\"\\d+\\.\\d+\"", "\"time\":HYBRID")
                .replaceAll("\\d{13}\\.\\d+ ", "HYBRID ")
                .replaceAll("boot=[0-9a-f]+", "boot=HEX")
                .replaceAll("of \\d+ ms ago", "of NUMBER ms ago")
                .replaceAll("(trail 1 .*? \\d+ \\d+) \\S+ [0-9a-f]{32}", "$1 CHAIN SUM");
    }

    private ObjectNode order(String duty, String what, long fence) {
        return JsonMessages.newMessage("order")
                .put("id", ++orders)
                .put("seen", clock)
                .put("duty", duty)
                .put("fence", fence)
                .put("what", what)
                .put("floor", 0)
                .put("time", "1.0")
                .put("at", 1.5);
    }

    private void verdict(String name, ObjectNode order) throws Exception {
        message(FrameCodec.NODE, "report");
        say(FrameCodec.ORDER, order.put("seen", order.path("seen").asDouble() == 0 ? 0 : clock));
        ObjectNode verdict;
        do {
            verdict = message(FrameCodec.NODE, "verdict");
        } while (verdict.path("id").asLong() != order.path("id").asLong());
        samples.text("verdict: " + name, stable(verdict));
    }

    /** The first order of a duty finds no fence known, and has the node ask for it. */
    private void tellFence(String duty, long fence) throws Exception {
        verdict("fence of " + duty + " not known", order(duty, "nothing", fence));
        ObjectNode call = message(FrameCodec.CALL, "");
        samples.text("call: fence of " + duty, stable(call));
        ObjectNode answer =
                JsonMessages.newObject()
                        .put("id", call.path("id").asLong())
                        .put("end", "done")
                        .put("revision", 50);
        answer.putArray("items")
                .addObject()
                .put("key", call.path("key").asText())
                .put("revision", fence);
        say(FrameCodec.ANSWER, answer);
    }

    private static SortedMap<String, Optional<String>> changes(String... namesAndValues) {
        SortedMap<String, Optional<String>> changes = new TreeMap<>();
        for (int at = 0; at < namesAndValues.length; at += 2) {
            changes.put(namesAndValues[at], Optional.of(namesAndValues[at + 1]));
        }
        return changes;
    }

    private ObjectNode whole(ConfigRevision revision) {
        ObjectNode order = order(revision, 0);
        JsonMessages.putTexts(order.putObject("fields"), revision.fields());
        return order;
    }

    private ObjectNode revision(
            ConfigRevision revision, long base, Map<String, Optional<String>> changes) {
        ObjectNode order = order(revision, base);
        JsonMessages.putChanges(order.putObject("fields"), changes);
        return order;
    }

    private ObjectNode order(ConfigRevision revision, long base) {
        return order("rollout", "revision", 30)
                .put("number", revision.number())
                .put("base", base)
                .put("chain", revision.chainDigest())
                .put("content", revision.contentDigest());
    }

    private ObjectNode hosts(long number, long base, long fence) {
        ObjectNode order =
                order("lists", "hosts", fence)
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
    public void conversationIsAsBefore() throws Exception {
        samples.text("here", stable(message(FrameCodec.NODE, "here")));
        say(
                FrameCodec.ORDER,
                JsonMessages.newMessage("welcome")
                        .put("incarnation", INCARNATION)
                        .put("floor", 0)
                        .put("time", "1.0")
                        .put("at", 1.0));
        samples.text("report: first", stable(message(FrameCodec.NODE, "report")));
        ObjectNode trail = message(FrameCodec.NODE, "trail");
        samples.text("trail: first", stable(trail));
        say(
                FrameCodec.ORDER,
                JsonMessages.newMessage("kept")
                        .put("number", trail.path("number").asLong())
                        .put("time", "1.0")
                        .put("at", 1.2));
        verdicts();
        ObjectNode report = message(FrameCodec.NODE, "report");
        samples.text("report: after orders", stable(report));
        say(
                FrameCodec.ORDER,
                JsonMessages.newMessage("out")
                        .put("why", "because")
                        .put("time", "1.0")
                        .put("at", 9.0));
        assertEquals(exit.get(PATIENCE_MS, TimeUnit.MILLISECONDS).intValue(), 5);
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
    public void settingsHaveTheKeysOfBefore() throws Exception {
        try (InputStream schema = AgentSettings.class.getResourceAsStream("door.schema.json")) {
            new GoldenSamples()
                    .text("schema", new String(schema.readAllBytes(), StandardCharsets.UTF_8))
                    .assertMatch(getClass(), "settings.txt");
        }
    }

    private void verdicts() throws Exception {
        tellFence("lists", 20);
        verdict("whole list", hosts(1, 0, 20));
        verdict("same list", hosts(1, 0, 20));
        verdict("list against one not held", hosts(9, 7, 20));
        verdict("list of an older fence", hosts(10, 0, 19));
        verdict("list of an older number", hosts(0, 0, 20));
        verdict("list behind discovery", hosts(11, 0, 21).put("generation", 4));
        tellFence("rollout", 30);
        ConfigRevision first = ConfigRevision.NONE.next(changes("out/h1", "why", "sockets", "500"));
        verdict(
                "revision against one not held",
                revision(first.next(changes("out/h3", "x")), 1, changes("out/h3", "x")));
        verdict("whole revision", whole(first));
        verdict("revision once more, by difference", revision(first, 1, changes()));
        ConfigRevision refused = first.next(changes("unknown", "x"));
        verdict("revision that is refused", revision(refused, 1, refused.differenceFrom(first)));
        SortedMap<String, Optional<String>> changes = changes("out/h2", "x");
        changes.put("out/h1", Optional.empty());
        ConfigRevision second = first.next(changes);
        verdict("revision by difference", revision(second, 1, second.differenceFrom(first)));
        verdict("older revision", whole(first));
        tellFence("release", 40);
        ObjectNode out = order("release", "out", 40);
        out.putArray("hosts").add("h4");
        verdict("hosts out for a release", out);
        verdict("no such order", order("release", "dance", 40));
        verdict("order that is too old", order("release", "out", 40).put("seen", 0));
    }
}
