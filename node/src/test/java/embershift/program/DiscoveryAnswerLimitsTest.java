package embershift.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/**
 * Discovery that answers without end or with very many fields, at a node with the memory of the
 * deploy file. Guards against issue 67 (a): such an answer took all memory.
 */
public class DiscoveryAnswerLimitsTest {

    /** As in deploy/balancer.toml. */
    private static final String HEAP = "-Xmx96m";

    private static final int TIMEOUT_MS = 10_000;
    private static final int ANSWERS = 3;

    private static byte[] answerOfManyFields() {
        StringBuilder body = new StringBuilder("{\"generation\":2,\"instances\":[],\"x\":{");
        for (int i = 0; body.length() < (8 << 20) - 100; i++) {
            body.append('"').append(Integer.toString(i, 36)).append("\":{},");
        }
        body.append("\"last\":1}}");
        return ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII);
    }

    private static void serve(ServerSocket discovery, byte[] answer, CountDownLatch answered) {
        try {
            while (true) {
                try (Socket call = discovery.accept()) {
                    ServeTest.reader(call.getInputStream()).readLine();
                    OutputStream out = call.getOutputStream();
                    out.write(answer);
                } catch (IOException e) {
                    if (discovery.isClosed()) {
                        return;
                    }
                    // The node has ended the call.
                }
                answered.countDown();
            }
        } finally {
            answered.countDown();
        }
    }

    @Test(timeOut = 60_000)
    public void nodeServesOnAfterAnswersOfVeryManyFields() throws Exception {
        Path file = Files.createTempFile("embershift", ".json");
        CountDownLatch answered = new CountDownLatch(ANSWERS);
        Process node = null;
        try (ServerSocket discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            byte[] answer = answerOfManyFields();
            Thread thread = new Thread(() -> serve(discovery, answer, answered));
            thread.setDaemon(true);
            thread.start();
            Files.writeString(file, ServeTest.configuration(9, discovery.getLocalPort()));
            ProcessBuilder builder = ServeTest.builder("serve", "--configuration", file.toString());
            builder.command().add(1, HEAP);
            builder.command().add(2, "-XX:+ExitOnOutOfMemoryError");
            node = builder.start();
            BufferedReader log = ServeTest.reader(node.getInputStream());
            String listening = log.readLine();
            while (!listening.contains("listening on")) {
                listening = log.readLine();
            }
            int port = Integer.parseInt(listening.replaceAll(".*:", ""));
            assertTrue(answered.await(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS));
            try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
                client.setSoTimeout(TIMEOUT_MS);
                client.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
                assertEquals(ServeTest.reader(client.getInputStream()).readLine(), "PONG");
            }
            assertTrue(node.isAlive());
        } finally {
            if (node != null) {
                node.destroyForcibly();
            }
            Files.delete(file);
        }
    }
}
