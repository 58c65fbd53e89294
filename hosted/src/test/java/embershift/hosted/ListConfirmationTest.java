package embershift.hosted;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.FrameCodec;
import embershift.door.JsonMessages;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against review/7 at the sender: an owner of the lists that had lost discovery reported its
 * list as the latest one each second, and nodes could not see how old that was.
 */
public class ListConfirmationTest {

    private static final String ROSTER = "{\"generation\":3,\"reset\":true,\"instances\":[]}";

    /** A list without changes is confirmed at least this often. */
    private static final double MAX_AGE_SECONDS = 1.5;

    private static final double SILENCE_SECONDS = 3;

    private ServerSocket discovery;
    private TestConnection node;
    private volatile boolean isSilent;
    private long lastReport;

    @BeforeMethod
    public void startInstance() throws Exception {
        isSilent = false;
        discovery = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::acceptCalls);
        thread.setDaemon(true);
        thread.start();
        int port =
                TestInstance.start(
                                Files.createTempDirectory("instance"),
                                "[fleet]\ndiscovery = \"127.0.0.1:"
                                        + discovery.getLocalPort()
                                        + "\"\n")
                        .port();
        try (TestConnection caller = new TestConnection(port)) {
            caller.call(StoreClient.newCall("found"));
        }
        node = connectNode(port);
    }

    @AfterMethod
    public void close() throws IOException {
        node.close();
        discovery.close();
    }

    /** The group has no leader for a moment, and registers no node until then. */
    private static TestConnection connectNode(int port) throws Exception {
        while (true) {
            TestConnection connection = new TestConnection(port);
            sendMessage(
                    connection,
                    JsonMessages.newMessage("here")
                            .put("version", 1)
                            .put("name", "n1")
                            .put("boot", "a1")
                            .put("incarnation", 0)
                            .put("clock", 1.0));
            byte[] frame = connection.nextFrame();
            if (frame != null) {
                assertEquals(JsonMessages.decodeFrame(frame).path("kind").asText(), "welcome");
                return connection;
            }
            connection.close();
            Thread.sleep(50);
        }
    }

    private static void sendMessage(TestConnection connection, ObjectNode message)
            throws IOException {
        connection.send(JsonMessages.encodeFrame(FrameCodec.NODE, message));
    }

    private void acceptCalls() {
        try {
            while (true) {
                Socket socket = discovery.accept();
                Thread thread = new Thread(() -> answerCalls(socket));
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException e) {
            // The test is over.
        }
    }

    private void answerCalls(Socket socket) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (!line.startsWith("GET ")) {
                    continue;
                }
                String wait = line.replaceAll(".*wait_ms=(\\d+).*", "$1");
                Thread.sleep(wait.matches("\\d+") ? Long.parseLong(wait) : 0);
                if (isSilent) {
                    Thread.sleep(60_000);
                }
                socket.getOutputStream()
                        .write(
                                ("HTTP/1.1 200 OK\r\nContent-Length: "
                                                + ROSTER.length()
                                                + "\r\n\r\n"
                                                + ROSTER)
                                        .getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException | InterruptedException e) {
            // The test is over.
        }
    }

    /** Reports until an order with the list has come, and answers that. */
    private ObjectNode nextListOrder() throws Exception {
        while (true) {
            sendMessage(
                    node,
                    JsonMessages.newMessage("report")
                            .put("clock", ++lastReport)
                            .put("revision", 0));
            ObjectNode message = JsonMessages.decodeFrame(node.nextFrame());
            if (message.path("what").asText().equals("hosts")) {
                sendMessage(
                        node,
                        JsonMessages.newMessage("verdict")
                                .put("id", message.path("id").asLong())
                                .put("verdict", "TAKEN")
                                .put("end", "SAME"));
                return message;
            }
            Thread.sleep(50);
        }
    }

    @Test
    public void ageOfTheConfirmationGrowsWhileDiscoveryIsSilent() throws Exception {
        for (int i = 0; i < 4; i++) {
            double age = nextListOrder().path("age").asDouble(Double.POSITIVE_INFINITY);
            assertTrue(age >= 0 && age < MAX_AGE_SECONDS, "age " + age);
        }
        isSilent = true;
        long silentSince = System.nanoTime();
        double elapsed = 0;
        while (elapsed < SILENCE_SECONDS) {
            elapsed = (System.nanoTime() - silentSince) / 1e9;
            double age = nextListOrder().path("age").asDouble(0);
            assertTrue(age >= elapsed, "age " + age + " after a silence of " + elapsed + " s");
        }
    }
}
