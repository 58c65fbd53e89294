package embershift.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * What a node's yes waits for at its start: never for discovery. Discoveries here never tell a
 * whole list, so a yes that waited would not come.
 */
public class ReadyTest {

    private static final int PATIENCE_MS = 30_000;
    private static final long PIECE_NS = 1_000_000;
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{\"generation\":2,";

    @DataProvider
    public Object[][] discoveries() {
        return new Object[][] {{"refused"}, {"silent"}, {"cut in half"}, {"never-ending"}};
    }

    @Test(dataProvider = "discoveries")
    public void nodeIsReadyAndPlacesByTheListThatItKnowsWhateverDiscoveryDoesAtItsStart(String kind)
            throws Exception {
        Path folder = Files.createTempDirectory("embershift");
        Process node = null;
        CountDownLatch called = new CountDownLatch(1);
        Set<Socket> open = ConcurrentHashMap.newKeySet();
        ServerSocket discovery = listening();
        try (ServerSocket host = listening()) {
            int port = ReplaceTest.freePort();
            int management = ReplaceTest.freePort();
            if (kind.equals("refused")) {
                discovery.close();
            } else {
                daemon(() -> answer(kind, discovery, open, called));
            }
            daemon(() -> takeAll(host));
            Path file =
                    Files.writeString(
                            folder.resolve("configuration.json"),
                            ServeTest.configuration(host.getLocalPort(), discovery.getLocalPort())
                                    .replace(
                                            "\"listen\":\"127.0.0.1:0\"",
                                            "\"listen\":\"127.0.0.1:" + port + "\""));
            ProcessBuilder builder = ServeTest.builder("serve", "--configuration", file.toString());
            builder.environment().put("LB_MANAGEMENT", "127.0.0.1:" + management);
            builder.environment().put("TMPDIR", folder.toString());
            Path log = folder.resolve("log");
            node = builder.redirectOutput(log.toFile()).start();
            for (long until = System.nanoTime() + PATIENCE_MS * 1_000_000L;
                    !first(management, "GET /api/ready HTTP/1.1\r\n\r\n")
                            .startsWith("HTTP/1.1 200");
                    Thread.sleep(10)) {
                assertTrue(System.nanoTime() < until && node.isAlive(), Files.readString(log));
            }
            assertEquals(first(port, "OPEN i k c=p,d=3000\r\n"), "UP r");
            assertTrue(
                    kind.equals("refused") || called.await(PATIENCE_MS, TimeUnit.MILLISECONDS),
                    "discovery was not asked");
        } finally {
            discovery.close();
            if (node != null) {
                node.destroyForcibly().waitFor();
            }
            for (Socket each : open) {
                each.close();
            }
            try (var all = Files.list(folder)) {
                for (Path each : all.toList()) {
                    Files.delete(each);
                }
            }
            Files.delete(folder);
        }
    }

    private static ServerSocket listening() throws IOException {
        return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    private interface Task {
        void play() throws IOException;
    }

    private static void daemon(Task part) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                part.play();
                            } catch (IOException e) {
                                // The test is over.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void answer(
            String kind, ServerSocket discovery, Set<Socket> open, CountDownLatch called)
            throws IOException {
        while (true) {
            Socket socket = discovery.accept();
            open.add(socket);
            daemon(
                    () -> {
                        ServeTest.reader(socket.getInputStream()).readLine();
                        called.countDown();
                        if (!kind.equals("silent")) {
                            socket.getOutputStream()
                                    .write(HEAD.getBytes(StandardCharsets.US_ASCII));
                        }
                        while (kind.equals("never-ending")) {
                            LockSupport.parkNanos(PIECE_NS);
                            socket.getOutputStream().write(' ');
                        }
                    });
        }
    }

    private static void takeAll(ServerSocket host) throws IOException {
        while (true) {
            Socket side = host.accept();
            daemon(
                    () -> {
                        ServeTest.reader(side.getInputStream()).readLine();
                        side.getOutputStream()
                                .write("UP r\r\n".getBytes(StandardCharsets.US_ASCII));
                    });
        }
    }

    /** The first line of the answer; "" where nothing listens. */
    private static String first(int port, String words) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(PATIENCE_MS);
            socket.getOutputStream().write(words.getBytes(StandardCharsets.US_ASCII));
            return String.valueOf(ServeTest.reader(socket.getInputStream()).readLine());
        } catch (IOException e) {
            return "";
        }
    }
}
