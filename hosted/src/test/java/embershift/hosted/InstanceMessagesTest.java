package embershift.hosted;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.FrameCodec;
import embershift.door.JsonMessages;
import embershift.raft.MemberId;
import embershift.raft.Raft;
import embershift.testing.GoldenSamples;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Compatibility with earlier versions: the answers of an instance to callers, other instances and
 * nodes, the output of the administrators' commands, and the files of an instance's directory. One
 * instance with a group of its own runs in this process; the tests build on each other.
 */
public class InstanceMessagesTest {

    private Path directory;
    private Path settingsFile;
    private int port;

    @BeforeClass
    public void startInstance() throws Exception {
        directory = Files.createTempDirectory("instance");
        TestInstance instance = TestInstance.start(directory, "");
        port = instance.port();
        settingsFile = instance.settingsFile();
    }

    /** Replaces ports and identities, which differ between runs. */
    private String normalize(String text) {
        return text.replace(String.valueOf(port), "PORT")
                .replace(directory.toString(), "FOLDER")
                .replaceAll("\"(group|id|member)\":\"[0-9a-f]{2,}\"", "\"$1\":HEX")
                .replaceAll("\\b[0-9a-f]{12,16}\\b", "HEX")
                .replaceAll("\"time\":\"\\d+\\.\\d+\"", "\"time\":HYBRID")
                .replaceAll("\"(at|seen)\":[0-9.E-]+", "\"$1\":NUMBER")
                .replaceAll("(\"[a-z ]+\"):\\d+(?=[^{]*\\}\\})", "$1:N");
    }

    private void sampleCall(
            GoldenSamples samples, TestConnection connection, String name, ObjectNode call)
            throws Exception {
        samples.text("answer: " + name, normalize(connection.call(call).toString()));
    }

    private static ObjectNode change(String key, String value, Long revision, boolean bound) {
        ObjectNode call = StoreClient.newPut(key, value, revision == null ? -1 : revision);
        ((ObjectNode) call.path("writes").get(0)).put("bound", bound);
        return call;
    }

    private static ObjectNode inSession(long session, long number, ObjectNode call) {
        return call.put("session", session).put("number", number).put("open", number);
    }

    @Test
    public void callAnswersAreUnchanged() throws Exception {
        GoldenSamples samples = new GoldenSamples();
        try (TestConnection connection = new TestConnection(port)) {
            sampleCall(samples, connection, "status before a group", StoreClient.newCall("status"));
            sampleCall(
                    samples,
                    connection,
                    "get without a leader",
                    StoreClient.newCall("get").put("key", "a"));
            sampleCall(samples, connection, "found", StoreClient.newCall("found"));
            while (!connection
                    .call(StoreClient.newCall("status"))
                    .path("role")
                    .asText()
                    .equals("leader")) {
                Thread.sleep(5);
            }
            connection.continueFromCallId(100);
            sampleCall(samples, connection, "found again", StoreClient.newCall("found"));
            ObjectNode opened =
                    connection.call(
                            StoreClient.newCall("open").put("client", "c").put("seconds", 30));
            long session = opened.path("number").asLong();
            samples.text("answer: open", normalize(opened.toString()));
            sampleCall(
                    samples,
                    connection,
                    "open for too long",
                    StoreClient.newCall("open").put("client", "c").put("seconds", 1e9));
            sampleCall(
                    samples,
                    connection,
                    "change",
                    inSession(session, 1, change("a", "one", 0L, false)));
            sampleCall(
                    samples,
                    connection,
                    "change sent again",
                    inSession(session, 1, change("a", "one", 0L, false)));
            sampleCall(
                    samples,
                    connection,
                    "change of a condition that fails",
                    inSession(session, 2, change("a", "two", 0L, false)));
            sampleCall(
                    samples,
                    connection,
                    "change bound to the session",
                    inSession(session, 3, change("b", "bound", null, true)));
            sampleCall(
                    samples,
                    connection,
                    "change without a session",
                    inSession(999, 1, change("b", "bound", null, true)));
            sampleCall(
                    samples,
                    connection,
                    "change that was forgotten",
                    inSession(session, 1, change("a", "one", 0L, false)));
            sampleCall(
                    samples,
                    connection,
                    "change that is too large",
                    inSession(session, 4, change("k".repeat(600), "one", null, false)));
            sampleCall(samples, connection, "get", StoreClient.newCall("get").put("key", "a"));
            sampleCall(
                    samples,
                    connection,
                    "get of nothing",
                    StoreClient.newCall("get").put("key", "nothing"));
            sampleCall(samples, connection, "list", StoreClient.newCall("list").put("prefix", ""));
            sampleCall(
                    samples,
                    connection,
                    "renew",
                    StoreClient.newCall("renew").put("session", session));
            sampleCall(
                    samples,
                    connection,
                    "renew without a session",
                    StoreClient.newCall("renew").put("session", 999));
            sampleCall(
                    samples,
                    connection,
                    "watch",
                    StoreClient.newCall("watch").put("prefix", "").put("from", 1));
            sampleCall(
                    samples,
                    connection,
                    "watch from before all that is known",
                    StoreClient.newCall("watch").put("prefix", "").put("from", 0));
            sampleCall(
                    samples, connection, "end", StoreClient.newCall("end").put("session", session));
            sampleCall(
                    samples,
                    connection,
                    "add of no address",
                    StoreClient.newCall("add").put("address", "nowhere"));
            sampleCall(
                    samples,
                    connection,
                    "add where nobody is",
                    StoreClient.newCall("add").put("address", "127.0.0.1:1"));
            sampleCall(
                    samples,
                    connection,
                    "remove of nobody",
                    StoreClient.newCall("remove").put("name", "i9"));
            sampleCall(
                    samples,
                    connection,
                    "remove of the last voter",
                    StoreClient.newCall("remove").put("name", "i1"));
            sampleCall(
                    samples,
                    connection,
                    "transfer to itself",
                    StoreClient.newCall("transfer").put("name", "i1"));
            sampleCall(samples, connection, "no such call", StoreClient.newCall("dance"));
            sampleCall(samples, connection, "status", StoreClient.newCall("status"));
            connection.send(
                    JsonMessages.encodeFrame(
                            FrameCodec.CALL,
                            StoreClient.newCall("status").put("id", 7).put("version", 9)));
            samples.text(
                    "answer: version that is not known",
                    JsonMessages.decodeFrame(connection.nextFrame()).toString());
        }
        samples.assertMatch(getClass(), "calls.txt");
    }

    @Test
    public void roleNamesAreUnchanged() {
        assertEquals(
                Stream.of(Raft.Role.values()).map(CallHandler::wireName).toList(),
                List.of("follower", "looking_ahead", "candidate", "leader"));
    }

    @Test(dependsOnMethods = "callAnswersAreUnchanged")
    public void handshakesAreUnchanged() throws Exception {
        GoldenSamples samples = new GoldenSamples();
        samples.bytes(
                "greeting",
                Handshake.of(7, new MemberId(1), "i1", new MemberId(2), "h:1").encode());
        for (long[] each : new long[][] {{7, 0}, {7, 2}, {0, 0}}) {
            try (TestConnection connection = new TestConnection(port)) {
                connection.send(
                        FrameCodec.encode(
                                FrameCodec.HANDSHAKE,
                                Handshake.of(
                                                each[0],
                                                new MemberId(5),
                                                "i5",
                                                new MemberId(each[1]),
                                                "h:1")
                                        .encode()));
                byte[] frame = connection.nextFrame();
                String reply;
                if (frame[0] == FrameCodec.HANDSHAKE_ACCEPTED) {
                    Handshake read = Handshake.decode(frame);
                    reply =
                            read.oldestVersion()
                                    + " "
                                    + read.newestVersion()
                                    + " "
                                    + read.senderName()
                                    + " "
                                    + read.recipient().number()
                                    + " "
                                    + read.senderAddress();
                } else {
                    reply = new String(frame, 1, frame.length - 1, StandardCharsets.UTF_8);
                }
                samples.text(
                        "reply of kind " + frame[0] + " to group " + each[0] + " member " + each[1],
                        normalize(reply));
            }
        }
        samples.assertMatch(getClass(), "greetings.txt");
    }

    @Test(dependsOnMethods = "callAnswersAreUnchanged")
    public void nodeMessagesAreUnchanged() throws Exception {
        GoldenSamples samples = new GoldenSamples();
        try (TestConnection node = new TestConnection(port)) {
            node.send(
                    JsonMessages.encodeFrame(
                            FrameCodec.NODE,
                            JsonMessages.newMessage("here")
                                    .put("version", 1)
                                    .put("name", "n1")
                                    .put("boot", "ab12")
                                    .put("incarnation", 0)
                                    .put("clock", 3.5)));
            byte[] frame = node.nextFrame();
            samples.text(
                    "welcome, of kind " + frame[0],
                    normalize(JsonMessages.decodeFrame(frame).toString())
                            .replaceAll("\"incarnation\":\\d+", "\"incarnation\":N"));
            node.send(
                    JsonMessages.encodeFrame(
                            FrameCodec.NODE,
                            JsonMessages.newMessage("report")
                                    .put("clock", 4.5)
                                    .put("revision", 0)));
            samples.text("heard", normalize(JsonMessages.decodeFrame(node.nextFrame()).toString()));
            try (TestConnection caller = new TestConnection(port)) {
                long incarnation =
                        caller.call(StoreClient.newCall("get").put("key", "node/n1"))
                                .path("items")
                                .path(0)
                                .path("revision")
                                .asLong();
                StoreClient client =
                        new StoreClient(
                                List.of(
                                        new InetSocketAddress(
                                                InetAddress.getLoopbackAddress(), port)),
                                "test");
                client.call(
                        StoreClient.newPut("out/n1", incarnation + " by-hand because of it", -1),
                        5);
                client.close();
            }
            samples.text("out", normalize(JsonMessages.decodeFrame(node.nextFrame()).toString()));
            assertEquals(node.nextFrame(), null);
        }
        try (TestConnection node = new TestConnection(port)) {
            node.send(
                    JsonMessages.encodeFrame(
                            FrameCodec.NODE,
                            JsonMessages.newMessage("here")
                                    .put("version", 2)
                                    .put("name", "n2")
                                    .put("boot", "ab12")));
            samples.text(
                    "out, of another version",
                    normalize(JsonMessages.decodeFrame(node.nextFrame()).toString()));
        }
        samples.assertMatch(getClass(), "nodes.txt");
    }

    private String runCommand(String... arguments) throws Exception {
        List<String> commandLine = new ArrayList<>(List.of("fleet"));
        commandLine.addAll(List.of(arguments));
        commandLine.addAll(List.of("--at", "127.0.0.1:" + port));
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        PrintStream out = System.out;
        PrintStream err = System.err;
        int status;
        synchronized (InstanceMessagesTest.class) {
            try (PrintStream to = new PrintStream(printed, true, StandardCharsets.UTF_8)) {
                System.setOut(to);
                System.setErr(to);
                status = Main.run(commandLine.toArray(new String[0]));
            } finally {
                System.setOut(out);
                System.setErr(err);
            }
        }
        // The width of the columns depends on the identities in them.
        return "exit "
                + status
                + "\n"
                + normalize(printed.toString(StandardCharsets.UTF_8)).replaceAll(" {2,}", "  ");
    }

    @Test(dependsOnMethods = {"handshakesAreUnchanged", "nodeMessagesAreUnchanged"})
    public void commandOutputIsUnchanged() throws Exception {
        GoldenSamples samples = new GoldenSamples();
        String[] commands = {
            "status",
            "members",
            "put key value",
            "put key other --if-revision 0",
            "get key",
            "get nothing",
            "list",
            "list k",
            "delete key --if-revision 0",
            "delete key",
            "watch --from 1",
            "found",
            "add nowhere",
            "remove i9",
            "transfer i9",
            "nodes",
            "duties",
            "duty-transfer rollout i1",
            "revise out/h1=why sockets=500",
            "revise out/h1=why",
            "revise nonsense",
            "revise --remove out/h1 --now",
            "revise --back-to 1",
            "revise --back-to 77",
            "revisions",
            "floor 9",
            "floor 1",
            "shut-out n1 some reason",
            "shut-out n9 x",
            "let-in n1",
            "forget n1",
            "forget n1",
            "release start r1 host:h1 node:n1 --size 2",
            "release start r1 host:h1",
            "release show",
            "release pause",
            "release go",
            "release abort",
            "release dance",
            "audit",
            "audit --verify",
            "audit --revision 1",
            "audit --between 0,1",
            "audit --host h1",
            "audit --at-time nonsense",
            "get",
            "dance"
        };
        for (String each : commands) {
            samples.text(
                    "fleet " + each + " (" + samples.size() + ")", runCommand(each.split(" ")));
            if (!each.startsWith("audit") && !each.startsWith("watch")) {
                List<String> arguments = new ArrayList<>(List.of(each.split(" ")));
                arguments.add("--json");
                samples.text(
                        "fleet " + each + " --json (" + samples.size() + ")",
                        runCommand(arguments.toArray(new String[0])));
            }
        }
        samples.text(
                "check",
                "exit "
                        + Main.run(
                                new String[] {"check", "--installation", settingsFile.toString()}));
        samples.text(
                "check of no file",
                "exit " + Main.run(new String[] {"check", "--installation", "/nowhere"}));
        samples.text("no command", "exit " + Main.run(new String[] {}));
        samples.assertMatch(getClass(), "commands.txt");
    }

    @Test
    public void settingsKeysAreUnchanged() throws Exception {
        try (InputStream schema =
                InstanceSettings.class.getResourceAsStream("installation.schema.json")) {
            new GoldenSamples()
                    .text("schema", new String(schema.readAllBytes(), StandardCharsets.UTF_8))
                    .assertMatch(getClass(), "settings.txt");
        }
    }

    @Test(dependsOnMethods = "commandOutputIsUnchanged")
    public void directoryFilesAreUnchanged() throws Exception {
        try (var files = Files.list(directory.resolve("data"))) {
            assertEquals(
                    new TreeSet<>(files.map(path -> path.getFileName().toString()).toList()),
                    new TreeSet<>(List.of("identity", "lock", "log-0000000000000001")));
        }
    }
}
