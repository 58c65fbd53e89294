package embershift.hosted;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.FrameCodec;
import embershift.door.JsonMessages;
import embershift.raft.MemberId;
import embershift.raft.Raft;
import embershift.testing.GoldenSamples;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * What an instance answers to callers, other instances and nodes, what the administrator's commands
 * print, and the files of an instance's directory stay as earlier versions have them. One instance
 * of a group of its own runs in this process; cases build on each other.
 */
public class InstanceMessagesTest {

    private static final int PATIENCE_MS = 10_000;

    private Path folder;
    private Path file;
    private int port;

    /** A connection to the instance. */
    private static final class Connection implements AutoCloseable {
        private final Socket socket;
        private final FrameCodec frames = new FrameCodec();
        private final Deque<byte[]> pieces = new ArrayDeque<>();
        private long calls;

        Connection(int port) throws IOException {
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setSoTimeout(PATIENCE_MS);
        }

        byte[] next() throws Exception {
            byte[] buffer = new byte[1 << 16];
            while (pieces.isEmpty()) {
                int read = socket.getInputStream().read(buffer);
                if (read < 0) {
                    return null;
                }
                frames.take(ByteBuffer.wrap(buffer, 0, read), pieces::add);
            }
            return pieces.remove();
        }

        void say(ByteBuffer piece) throws IOException {
            byte[] bytes = new byte[piece.remaining()];
            piece.get(bytes);
            socket.getOutputStream().write(bytes);
        }

        ObjectNode call(ObjectNode call) throws Exception {
            say(JsonMessages.frame(FrameCodec.CALL, call.put("id", ++calls).put("version", 1)));
            return JsonMessages.read(next());
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    @BeforeClass
    public void startInstance() throws Exception {
        folder = Files.createTempDirectory("instance");
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        file = folder.resolve("i1.toml");
        Files.writeString(
                file,
                "name = \"i1\"\nfolder = \""
                        + folder.resolve("data")
                        + "\"\nlisten = \"127.0.0.1:"
                        + port
                        + "\"\n");
        assertEquals(Main.run(new String[] {"instance", "--installation", file.toString()}), -1);
    }

    /** Without ports and identities, which differ from run to run. */
    private String stable(String text) {
        return text.replace(String.valueOf(port), "PORT")
                .replace(folder.toString(), "FOLDER")
                .replaceAll("\"(group|id|member)\":\"[0-9a-f]{2,}\"", "\"$1\":HEX")
                .replaceAll("\\b[0-9a-f]{12,16}\\b", "HEX")
                .replaceAll("\"time\":\"\\d+\\.\\d+\"", "\"time\":HYBRID")
                .replaceAll("\"(at|seen)\":[0-9.E-]+", "\"$1\":NUMBER")
                .replaceAll("(\"[a-z ]+\"):\\d+(?=[^{]*\\}\\})", "$1:N");
    }

    private void call(GoldenSamples samples, Connection connection, String name, ObjectNode call)
            throws Exception {
        samples.text("answer: " + name, stable(connection.call(call).toString()));
    }

    private static ObjectNode change(String key, String value, Long revision, boolean bound) {
        ObjectNode call = StoreClient.newPut(key, value, revision == null ? -1 : revision);
        ((ObjectNode) call.path("writes").get(0)).put("bound", bound);
        return call;
    }

    private static ObjectNode in(long session, long number, ObjectNode call) {
        return call.put("session", session).put("number", number).put("open", number);
    }

    @Test
    public void callsAreAnsweredAsBefore() throws Exception {
        GoldenSamples samples = new GoldenSamples();
        try (Connection connection = new Connection(port)) {
            call(samples, connection, "status before a group", StoreClient.newCall("status"));
            call(
                    samples,
                    connection,
                    "get without a leader",
                    StoreClient.newCall("get").put("key", "a"));
            call(samples, connection, "found", StoreClient.newCall("found"));
            while (!connection
                    .call(StoreClient.newCall("status"))
                    .path("role")
                    .asText()
                    .equals("leader")) {
                Thread.sleep(5);
            }
            connection.calls = 100;
            call(samples, connection, "found again", StoreClient.newCall("found"));
            ObjectNode opened =
                    connection.call(
                            StoreClient.newCall("open").put("client", "c").put("seconds", 30));
            long session = opened.path("number").asLong();
            samples.text("answer: open", stable(opened.toString()));
            call(
                    samples,
                    connection,
                    "open for too long",
                    StoreClient.newCall("open").put("client", "c").put("seconds", 1e9));
            call(samples, connection, "change", in(session, 1, change("a", "one", 0L, false)));
            call(
                    samples,
                    connection,
                    "change sent again",
                    in(session, 1, change("a", "one", 0L, false)));
            call(
                    samples,
                    connection,
                    "change of a condition that fails",
                    in(session, 2, change("a", "two", 0L, false)));
            call(
                    samples,
                    connection,
                    "change bound to the session",
                    in(session, 3, change("b", "bound", null, true)));
            call(
                    samples,
                    connection,
                    "change without a session",
                    in(999, 1, change("b", "bound", null, true)));
            call(
                    samples,
                    connection,
                    "change that was forgotten",
                    in(session, 1, change("a", "one", 0L, false)));
            call(
                    samples,
                    connection,
                    "change that is too large",
                    in(session, 4, change("k".repeat(600), "one", null, false)));
            call(samples, connection, "get", StoreClient.newCall("get").put("key", "a"));
            call(
                    samples,
                    connection,
                    "get of nothing",
                    StoreClient.newCall("get").put("key", "nothing"));
            call(samples, connection, "list", StoreClient.newCall("list").put("prefix", ""));
            call(
                    samples,
                    connection,
                    "renew",
                    StoreClient.newCall("renew").put("session", session));
            call(
                    samples,
                    connection,
                    "renew without a session",
                    StoreClient.newCall("renew").put("session", 999));
            call(
                    samples,
                    connection,
                    "watch",
                    StoreClient.newCall("watch").put("prefix", "").put("from", 1));
            call(
                    samples,
                    connection,
                    "watch from before all that is known",
                    StoreClient.newCall("watch").put("prefix", "").put("from", 0));
            call(samples, connection, "end", StoreClient.newCall("end").put("session", session));
            call(
                    samples,
                    connection,
                    "add of no address",
                    StoreClient.newCall("add").put("address", "nowhere"));
            call(
                    samples,
                    connection,
                    "add where nobody is",
                    StoreClient.newCall("add").put("address", "127.0.0.1:1"));
            call(
                    samples,
                    connection,
                    "remove of nobody",
                    StoreClient.newCall("remove").put("name", "i9"));
            call(
                    samples,
                    connection,
                    "remove of the last voter",
                    StoreClient.newCall("remove").put("name", "i1"));
            call(
                    samples,
                    connection,
                    "transfer to itself",
                    StoreClient.newCall("transfer").put("name", "i1"));
            call(samples, connection, "no such call", StoreClient.newCall("dance"));
            call(samples, connection, "status", StoreClient.newCall("status"));
            connection.say(
                    JsonMessages.frame(
                            FrameCodec.CALL,
                            StoreClient.newCall("status").put("id", 7).put("version", 9)));
            samples.text(
                    "answer: version that is not known",
                    JsonMessages.read(connection.next()).toString());
        }
        samples.assertMatch(getClass(), "calls.txt");
    }

    @Test
    public void rolesAreToldByTheNamesOfBefore() {
        assertEquals(
                Stream.of(Raft.Role.values()).map(CallHandler::wireName).toList(),
                List.of("follower", "looking_ahead", "candidate", "leader"));
    }

    @Test(dependsOnMethods = "callsAreAnsweredAsBefore")
    public void otherInstancesAreGreetedAsBefore() throws Exception {
        GoldenSamples samples = new GoldenSamples();
        samples.bytes(
                "greeting",
                Handshake.of(7, new MemberId(1), "i1", new MemberId(2), "h:1").encode());
        for (long[] each : new long[][] {{7, 0}, {7, 2}, {0, 0}}) {
            try (Connection connection = new Connection(port)) {
                connection.say(
                        FrameCodec.encode(
                                FrameCodec.HANDSHAKE,
                                Handshake.of(
                                                each[0],
                                                new MemberId(5),
                                                "i5",
                                                new MemberId(each[1]),
                                                "h:1")
                                        .encode()));
                byte[] piece = connection.next();
                String said;
                if (piece[0] == FrameCodec.HANDSHAKE_ACCEPTED) {
                    Handshake read = Handshake.decode(piece);
                    said =
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
                    said = new String(piece, 1, piece.length - 1, StandardCharsets.UTF_8);
                }
                samples.text(
                        "reply of kind " + piece[0] + " to group " + each[0] + " member " + each[1],
                        stable(said));
            }
        }
        samples.assertMatch(getClass(), "greetings.txt");
    }

    @Test(dependsOnMethods = "callsAreAnsweredAsBefore")
    public void nodesAreToldAsBefore() throws Exception {
        GoldenSamples samples = new GoldenSamples();
        try (Connection node = new Connection(port)) {
            node.say(
                    JsonMessages.frame(
                            FrameCodec.NODE,
                            JsonMessages.node("here")
                                    .put("version", 1)
                                    .put("name", "n1")
                                    .put("boot", "ab12")
                                    .put("incarnation", 0)
                                    .put("clock", 3.5)));
            byte[] piece = node.next();
            samples.text(
                    "welcome, of kind " + piece[0],
                    stable(JsonMessages.read(piece).toString())
                            .replaceAll("\"incarnation\":\\d+", "\"incarnation\":N"));
            node.say(
                    JsonMessages.frame(
                            FrameCodec.NODE,
                            JsonMessages.node("report").put("clock", 4.5).put("revision", 0)));
            samples.text("heard", stable(JsonMessages.read(node.next()).toString()));
            try (Connection caller = new Connection(port)) {
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
            samples.text("out", stable(JsonMessages.read(node.next()).toString()));
            assertEquals(node.next(), null);
        }
        try (Connection node = new Connection(port)) {
            node.say(
                    JsonMessages.frame(
                            FrameCodec.NODE,
                            JsonMessages.node("here")
                                    .put("version", 2)
                                    .put("name", "n2")
                                    .put("boot", "ab12")));
            samples.text(
                    "out, of another version", stable(JsonMessages.read(node.next()).toString()));
        }
        samples.assertMatch(getClass(), "nodes.txt");
    }

    private String command(String... words) throws Exception {
        List<String> all = new ArrayList<>(List.of("fleet"));
        all.addAll(List.of(words));
        all.addAll(List.of("--at", "127.0.0.1:" + port));
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        PrintStream out = System.out;
        PrintStream err = System.err;
        int status;
        synchronized (InstanceMessagesTest.class) {
            try (PrintStream to = new PrintStream(printed, true, StandardCharsets.UTF_8)) {
                System.setOut(to);
                System.setErr(to);
                status = Main.run(all.toArray(new String[0]));
            } finally {
                System.setOut(out);
                System.setErr(err);
            }
        }
        // Columns are as wide as the identities in them.
        return "exit "
                + status
                + "\n"
                + stable(printed.toString(StandardCharsets.UTF_8)).replaceAll(" {2,}", "  ");
    }

    @Test(dependsOnMethods = {"otherInstancesAreGreetedAsBefore", "nodesAreToldAsBefore"})
    public void commandsPrintAsBefore() throws Exception {
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
            samples.text("fleet " + each + " (" + samples.size() + ")", command(each.split(" ")));
            if (!each.startsWith("audit") && !each.startsWith("watch")) {
                List<String> words = new ArrayList<>(List.of(each.split(" ")));
                words.add("--json");
                samples.text(
                        "fleet " + each + " --json (" + samples.size() + ")",
                        command(words.toArray(new String[0])));
            }
        }
        samples.text(
                "check",
                "exit " + Main.run(new String[] {"check", "--installation", file.toString()}));
        samples.text(
                "check of no file",
                "exit " + Main.run(new String[] {"check", "--installation", "/nowhere"}));
        samples.text("no command", "exit " + Main.run(new String[] {}));
        samples.assertMatch(getClass(), "commands.txt");
    }

    @Test
    public void settingsHaveTheKeysOfBefore() throws Exception {
        try (InputStream schema =
                InstanceSettings.class.getResourceAsStream("installation.schema.json")) {
            new GoldenSamples()
                    .text("schema", new String(schema.readAllBytes(), StandardCharsets.UTF_8))
                    .assertMatch(getClass(), "settings.txt");
        }
    }

    @Test(dependsOnMethods = "commandsPrintAsBefore")
    public void directoryHasTheSameFiles() throws Exception {
        try (var files = Files.list(folder.resolve("data"))) {
            assertEquals(
                    new TreeSet<>(files.map(path -> path.getFileName().toString()).toList()),
                    new TreeSet<>(List.of("identity", "lock", "log-0000000000000001")));
        }
    }
}
