package embershift.door;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.fleet.rollout.ConfigRevision;
import embershift.testing.GoldenSamples;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/**
 * A node's messages to a control-plane instance, and its verdicts on orders, keep the format of
 * earlier versions.
 */
public class NodeMessagesTest extends AgentTestBase {

    private final GoldenSamples samples = new GoldenSamples();

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

    private void recordVerdict(String name, ObjectNode order) throws Exception {
        samples.text("verdict: " + name, withoutVaryingValues(executeOrder(order)));
    }

    /**
     * Sends a task's first order, which the node rejects because it knows no fencing token, and
     * answers its read of the token.
     */
    private void provideFencingToken(String task, long token) throws Exception {
        recordVerdict("fence of " + task + " not known", order(task, "nothing", token));
        samples.text("call: fence of " + task, withoutVaryingValues(answerTokenRead(token)));
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

    @Test
    public void messagesKeepTheirFormat() throws Exception {
        samples.text("here", withoutVaryingValues(readMessage(FrameCodec.NODE, "here")));
        sendWelcome();
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
        recordVerdict(
                "list of another discovery", endpointsOrder(9, 0, 21).put("source", "127.0.0.1:9"));
    }
}
