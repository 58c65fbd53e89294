package embershift.program;

import embershift.protocol.MalformedDataException;
import embershift.protocol.NodeConfiguration;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Runs a node with a host, a discovery service and a client in one process; tunnels are opened,
 * used and moved. It shows that a node can run on this machine, and the build uses it to record the
 * classes that nodes load at their start.
 */
final class SelfTest {

    private static final int READ_TIMEOUT_MS = 5000;
    private static final int TUNNELS = 3;

    /** Serves one connection of a line-based protocol. */
    private interface ConnectionHandler {
        void handle(Socket socket, BufferedReader in) throws IOException;
    }

    private final ServerSocket host = listenOnLoopback();
    private final ServerSocket discovery = listenOnLoopback();

    SelfTest() throws IOException {}

    private static ServerSocket listenOnLoopback() throws IOException {
        return new ServerSocket(0, TUNNELS, InetAddress.getLoopbackAddress());
    }

    /**
     * Runs the test; fails where a client does not receive what it should. The node keeps running
     * and is shut down with the process.
     */
    void run(Log log) throws IOException, MalformedDataException {
        serve(host, this::runHost);
        serve(discovery, this::runDiscovery);
        InetSocketAddress node =
                new NodeProcess(() -> NodeConfiguration.parse(configurationJson(), null), log)
                        .start();
        for (int i = 0; i < TUNNELS; i++) {
            try (Socket client = new Socket(node.getAddress(), node.getPort())) {
                client.setSoTimeout(READ_TIMEOUT_MS);
                BufferedReader in = reader(client);
                send(client, "PING\r\n");
                expect(in, "PONG");
                send(client, "OPEN " + i + " key c=any,d=3000,g=" + i + "\r\n");
                expect(in, "UP rehearsed");
                send(client, "line\r\n");
                expect(in, i == 0 ? "MOVE" : "line");
            }
        }
    }

    private static void expect(BufferedReader in, String expected) throws IOException {
        String received = in.readLine();
        if (!expected.equals(received)) {
            throw new IOException(
                    "self-test received '" + received + "' instead of '" + expected + "'");
        }
    }

    private static void serve(ServerSocket server, ConnectionHandler handler) {
        startDaemonThread(
                () -> {
                    try {
                        while (true) {
                            Socket socket = server.accept();
                            startDaemonThread(
                                    () -> {
                                        try (socket;
                                                BufferedReader in = reader(socket)) {
                                            handler.handle(socket, in);
                                        } catch (IOException e) {
                                            // The node has closed this connection, as it does
                                            // with all connections at its end.
                                        }
                                    });
                        }
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    private static void startDaemonThread(Runnable task) {
        Thread thread = new Thread(task, "rehearsal");
        thread.setDaemon(true);
        thread.start();
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /**
     * The host: answers probes, opens tunnels and echoes their lines, but moves the first tunnel at
     * its first line.
     */
    private void runHost(Socket socket, BufferedReader in) throws IOException {
        boolean isFirstTunnel = false;
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.equals("STATS")) {
                send(socket, "PONG queue=0,qps=1.0,x0=0.1\r\n");
            } else if (line.startsWith("OPEN ")) {
                isFirstTunnel = line.startsWith("OPEN 0 ");
                send(socket, "UP rehearsed\r\n");
            } else if (isFirstTunnel) {
                send(socket, "MOVE\r\n");
                return;
            } else {
                send(socket, line + "\r\n");
            }
        }
    }

    private void runDiscovery(Socket socket, BufferedReader in) throws IOException {
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.isEmpty()) {
                String roster = rosterJson();
                send(
                        socket,
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                + roster.length()
                                + "\r\n\r\n"
                                + roster);
            }
        }
    }

    private String rosterJson() {
        return "{\"generation\":1,\"reset\":true,\"instances\":[{\"instanceId\":\"s\",\"hostPort\":\"127.0.0.1:"
                + host.getLocalPort()
                + "\",\"zone\":\"a\",\"machineType\":\"m\",\"cell\":0,"
                + "\"lifecycle\":\"in_service\",\"weight\":1.0,\"startedAtMs\":0}]}";
    }

    private String configurationJson() {
        return """
            {"name":"rehearsal","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"1",
             "limits":{"sockets":1024},"peer_listen":"127.0.0.1:0","peers":[],"known":%s,
             "settings":{"balancers":1,"az":"a","discovery":"subscribe",
              "profiles":[{"name":"any","repeat":"idempotent","setup-goal-s":0.8,"client-timeout-s":3,"credit":1}],
              "report":{"columns":["queue","qps","x0"]},"domain":{"mode":"proxy"},
              "limits":{"may-probe":true,"may-tell":true,"may-cancel":true,"may-duplicate":false,"most-setups":3,
                        "retry-after":true,"max-retry-after-s":1.5,"connect-timeout-s":0.25},
              "rules":{"answer-slack-s":0.016,"must-ask-in-s":2,"drain-grace-s":1,"cold-from":0.3,
                       "warm-after-s":10,"fall-multiple":4,"fall-s":1.5}}}"""
                .formatted(discovery.getLocalPort(), rosterJson());
    }
}
