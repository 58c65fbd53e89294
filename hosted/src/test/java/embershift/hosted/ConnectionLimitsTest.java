package embershift.hosted;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.FrameCodec;
import embershift.door.JsonMessages;
import embershift.fleet.audit.AuditEntry;
import embershift.fleet.audit.AuditLog;
import embershift.raft.MemberId;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * An instance in a process of its own, with little memory, whose callers don't behave. Guards
 * against issue 67 (a) and (b): 200 connections with half a frame each, or one that did not read
 * its answers, took all memory, and other callers got no answers.
 */
public class ConnectionLimitsTest {

    private static final int HEAP_MB = 96;
    private static final int CONNECTIONS = 200;
    private static final int FLOOD_SECONDS = 5;

    /** Seconds within which a caller that behaves is answered: a quarter of its patience. */
    private static final double ANSWER_SECONDS = 0.75;

    private Path directory;
    private Process instance;
    private InetSocketAddress address;
    private final List<Socket> sockets = new ArrayList<>();

    @BeforeMethod
    public void startInstance() throws Exception {
        directory = Files.createTempDirectory("limits");
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
        }
        Path settings = directory.resolve("i1.toml");
        Files.writeString(
                settings,
                "name = \"i1\"\nfolder = \"%s\"\nlisten = \"127.0.0.1:%d\"\n"
                        .formatted(directory.resolve("data"), address.getPort()));
        instance =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx" + HEAP_MB + "m",
                                "-XX:+ExitOnOutOfMemoryError",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "embershift.hosted.Main",
                                "instance",
                                "--installation",
                                settings.toString())
                        .redirectErrorStream(true)
                        .redirectOutput(directory.resolve("log").toFile())
                        .start();
        long deadline = System.nanoTime() + 20_000_000_000L;
        while (call(StoreClient.newCall("found"), 1) == null) {
            assertTrue(instance.isAlive() && System.nanoTime() < deadline, log());
            Thread.sleep(50);
        }
        try (StoreClient client = new StoreClient(List.of(address), "test")) {
            assertTrue(client.call(StoreClient.newPut("key", "value", -1), 10).isDone());
        }
    }

    @AfterMethod
    public void endInstance() throws Exception {
        for (Socket socket : sockets) {
            socket.close();
        }
        sockets.clear();
        instance.destroyForcibly().waitFor();
    }

    private String log() throws IOException {
        return Files.readString(directory.resolve("log"));
    }

    private ObjectNode call(ObjectNode call, double seconds) {
        return StoreClient.callInstance(address, call, seconds);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(1000);
        sockets.add(socket);
        return socket;
    }

    /** Asserts that another caller is answered in time, all the while. */
    private void assertOthersAreAnswered(double seconds) throws Exception {
        long end = System.nanoTime() + (long) (seconds * 1e9);
        do {
            ObjectNode answer = call(StoreClient.newCall("get").put("key", "key"), ANSWER_SECONDS);
            assertTrue(instance.isAlive(), log());
            assertNotEquals(answer, null, "no answer in " + ANSWER_SECONDS + " s");
            assertEquals(answer.path("end").asText(), "done", answer.toString());
            Thread.sleep(50);
        } while (System.nanoTime() < end);
    }

    private static byte[] frame(ObjectNode call) {
        ByteBuffer frame = JsonMessages.encodeFrame(FrameCodec.CALL, call);
        byte[] bytes = new byte[frame.remaining()];
        frame.get(bytes);
        return bytes;
    }

    /** Writes the same bytes again and again, until the instance ends the connection. */
    private static Thread flood(Socket socket, byte[] bytes) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                OutputStream out = socket.getOutputStream();
                                while (true) {
                                    out.write(bytes);
                                }
                            } catch (IOException e) {
                                // The instance, or the end of the test, has closed it.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @Test
    public void hundredsOfIncompleteFramesDoNotTakeAllMemory() throws Exception {
        byte[] half = ByteBuffer.allocate(3 << 20).putInt(FrameCodec.MAX_CONTENT_BYTES).array();
        for (int i = 0; i < CONNECTIONS; i++) {
            try {
                connect().getOutputStream().write(half);
            } catch (SocketException e) {
                // The instance has closed it for the memory that it took.
            }
            assertTrue(instance.isAlive(), log());
        }
        assertOthersAreAnswered(1);
    }

    @Test
    public void refusedConnectionsLeaveTheMemoryOfIncompleteFramesToOthers() throws Exception {
        ByteBuffer refused =
                FrameCodec.encode(
                        FrameCodec.HANDSHAKE,
                        Handshake.of(7, new MemberId(5), "i5", new MemberId(6), "h:1").encode());
        byte[] handshakeAndHalf = new byte[12 << 10];
        int length = refused.remaining();
        refused.get(handshakeAndHalf, 0, length);
        ByteBuffer.wrap(handshakeAndHalf).putInt(length, FrameCodec.MAX_CONTENT_BYTES);
        for (int i = 0; i < 5 * CONNECTIONS; i++) {
            try (Socket socket = connect()) {
                socket.getOutputStream().write(handshakeAndHalf);
                assertTrue(socket.getInputStream().read() >= 0, "the refusal");
            }
        }
        byte[] call =
                frame(StoreClient.newCall("status").put("id", 1).put("x", "x".repeat(2 << 20)));
        Socket caller = connect();
        caller.getOutputStream().write(call, 0, call.length / 2);
        assertOthersAreAnswered(0.5);
        caller.getOutputStream().write(call, call.length / 2, call.length - call.length / 2);
        assertTrue(caller.getInputStream().read() >= 0, "the answer");
    }

    @Test
    public void messageOfVeryManyShortFieldsIsRefused() throws Exception {
        StringBuilder fields = new StringBuilder("{\"call\":\"get\"");
        for (int i = 0; fields.length() < FrameCodec.MAX_CONTENT_BYTES - 100; i++) {
            fields.append(",\"").append(Integer.toString(i, 36)).append("\":1");
        }
        byte[] content = fields.append('}').toString().getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < 20; i++) {
            Socket socket = connect();
            try {
                socket.getOutputStream().write(FrameCodec.encodeToArray(FrameCodec.CALL, content));
                assertEquals(socket.getInputStream().read(), -1);
            } catch (SocketException e) {
                // Closed with a reset, as much was still unread.
            }
        }
        assertOthersAreAnswered(1);
    }

    @Test
    public void callerAtFullSpeedThatDoesNotReadTakesNeitherMemoryNorOthersTurn() throws Exception {
        byte[] calls = frame(StoreClient.newCall("get").put("key", "key"));
        flood(connect(), calls);
        flood(connect(), frame(StoreClient.newCall("status")));
        flood(connect(), frame(StoreClient.newCall("x".repeat(3000))));
        assertOthersAreAnswered(FLOOD_SECONDS);
    }

    private void floodAsNode(ObjectNode message) throws IOException {
        Socket socket = connect();
        ObjectNode hello =
                JsonMessages.newMessage("here")
                        .put("version", 1)
                        .put("name", "n1")
                        .put("boot", "a1")
                        .put("incarnation", 1);
        socket.getOutputStream()
                .write(FrameCodec.encodeToArray(FrameCodec.NODE, JsonMessages.encode(hello)));
        flood(socket, FrameCodec.encodeToArray(FrameCodec.NODE, JsonMessages.encode(message)));
    }

    @Test
    public void reportsAtFullSpeedDoNotTakeOthersTurn() throws Exception {
        floodAsNode(JsonMessages.newMessage("report").put("clock", 1));
        assertOthersAreAnswered(FLOOD_SECONDS);
    }

    @Test
    public void auditSegmentsAtFullSpeedDoNotTakeAllMemory() throws Exception {
        AuditLog log = new AuditLog(10);
        log.append(1, AuditEntry.Kind.STARTED, Map.of(), "x".repeat(300_000));
        String segment = log.nextSegment("n1", 1).orElseThrow().encode();
        floodAsNode(JsonMessages.newMessage("trail").put("number", 1).put("text", segment));
        assertOthersAreAnswered(FLOOD_SECONDS);
    }
}
