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
 * A starting node must become ready without waiting for discovery. The discovery services here
 * never send a complete roster, so a node that waited for one would never become ready.
 */
public class ReadyTest {

    private static final int TIMEOUT_MS = 30_000;
    private static final long BYTE_INTERVAL_NS = 1_000_000;
    private static final String RESPONSE_START =
            "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{\"generation\":2,";

    @DataProvider
    public Object[][] discoveries() {
        return new Object[][] {{"refused"}, {"silent"}, {"cut in half"}, {"never-ending"}};
    }

    @Test(dataProvider = "discoveries")
    public void startingNodeIsReadyAndPlacesByItsKnownRosterWhateverDiscoveryDoes(String kind)
            throws Exception {
        Path folder = Files.createTempDirectory("embershift");
        Process node = null;
        CountDownLatch discoveryCalled = new CountDownLatch(1);
        Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
        ServerSocket discovery = listenOnLoopback();
        try (ServerSocket host = listenOnLoopback()) {
            int port = ReplaceTest.freePort();
            int management = ReplaceTest.freePort();
            if (kind.equals("refused")) {
                discovery.close();
            } else {
                startDaemonThread(
                        () -> serveDiscovery(kind, discovery, openSockets, discoveryCalled));
            }
            startDaemonThread(() -> acceptTunnels(host));
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
            for (long deadline = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
                    !firstLine(management, "GET /api/ready HTTP/1.1\r\n\r\n")
                            .startsWith("HTTP/1.1 200");
                    Thread.sleep(10)) {
                assertTrue(System.nanoTime() < deadline && node.isAlive(), Files.readString(log));
            }
            assertEquals(firstLine(port, "OPEN i k c=p,d=3000\r\n"), "UP r");
            assertTrue(
                    kind.equals("refused")
                            || discoveryCalled.await(TIMEOUT_MS, TimeUnit.MILLISECONDS),
                    "discovery was not asked");
        } finally {
            discovery.close();
            if (node != null) {
                node.destroyForcibly().waitFor();
            }
            for (Socket each : openSockets) {
                each.close();
            }
            try (var files = Files.list(folder)) {
                for (Path each : files.toList()) {
                    Files.delete(each);
                }
            }
            Files.delete(folder);
        }
    }

    static ServerSocket listenOnLoopback() throws IOException {
        return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    /** Work of a stand-in, which ends with its sockets. */
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    static void startDaemonThread(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException | InterruptedException e) {
                                // The sockets are closed at the end of the test.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void serveDiscovery(
            String kind,
            ServerSocket discovery,
            Set<Socket> openSockets,
            CountDownLatch discoveryCalled)
            throws IOException {
        while (true) {
            Socket socket = discovery.accept();
            openSockets.add(socket);
            startDaemonThread(
                    () -> {
                        ServeTest.reader(socket.getInputStream()).readLine();
                        discoveryCalled.countDown();
                        if (!kind.equals("silent")) {
                            socket.getOutputStream()
                                    .write(RESPONSE_START.getBytes(StandardCharsets.US_ASCII));
                        }
                        while (kind.equals("never-ending")) {
                            LockSupport.parkNanos(BYTE_INTERVAL_NS);
                            socket.getOutputStream().write(' ');
                        }
                    });
        }
    }

    private static void acceptTunnels(ServerSocket host) throws IOException {
        while (true) {
            Socket connection = host.accept();
            startDaemonThread(
                    () -> {
                        ServeTest.reader(connection.getInputStream()).readLine();
                        connection
                                .getOutputStream()
                                .write("UP r\r\n".getBytes(StandardCharsets.US_ASCII));
                    });
        }
    }

    /** Returns the first line of the answer; "" where nothing listens. */
    static String firstLine(int port, String request) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return String.valueOf(ServeTest.reader(socket.getInputStream()).readLine());
        } catch (IOException e) {
            return "";
        }
    }
}
