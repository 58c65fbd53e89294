import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Two toy hosts and a toy discovery, to try a node with: {@code java example/Toy.java}. A host echoes each
 * line in capitals, says BYE to "bye", and reports as its load how many tunnels it holds. Type "drain" to
 * let the second host drain, "ready" to take that back.
 */
public final class Toy {

    private static final int DISCOVERY = 18500;
    private static final int[] HOSTS = {18081, 18082};
    private static final AtomicLong GENERATION = new AtomicLong(1);
    private static volatile boolean draining;
    private static final ExecutorService THREADS = Executors.newCachedThreadPool();

    private interface Talk {
        void with(BufferedReader in, OutputStream out) throws IOException, InterruptedException;
    }

    public static void main(String[] args) throws IOException {
        for (int port : HOSTS) {
            AtomicInteger held = new AtomicInteger();
            listen(port, (in, out) -> host(port, held, in, out));
        }
        listen(DISCOVERY, Toy::discovery);
        System.out.println("two hosts and a discovery are up; type drain or ready");
        BufferedReader typed = new BufferedReader(new InputStreamReader(System.in));
        for (String line = typed.readLine(); line != null; line = typed.readLine()) {
            draining = line.equals("drain");
            GENERATION.incrementAndGet();
        }
    }

    private static void listen(int port, Talk talk) throws IOException {
        ServerSocket server = new ServerSocket(port, 64, InetAddress.getLoopbackAddress());
        THREADS.execute(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    THREADS.execute(() -> serve(socket, talk));
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            }
        });
    }

    private static void serve(Socket socket, Talk talk) {
        try (socket) {
            talk.with(new BufferedReader(new InputStreamReader(socket.getInputStream(),
                    StandardCharsets.ISO_8859_1)), socket.getOutputStream());
        } catch (IOException | InterruptedException e) {
            System.out.println("a connection broke: " + e.getMessage());
        }
    }

    private static void say(OutputStream out, String line) throws IOException {
        out.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private static void host(int port, AtomicInteger held, BufferedReader in, OutputStream out)
            throws IOException {
        boolean open = false;
        try {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (open && line.equals("bye")) {
                    say(out, "BYE");
                    return;
                } else if (open) {
                    say(out, line.toUpperCase());
                } else if (line.equals("STATS")) {
                    say(out, "PONG inflight=" + held + ",x0=" + held.get() / 100.0);
                } else if (line.equals("PING")) {
                    say(out, "PONG");
                } else if (line.startsWith("OPEN ")) {
                    open = true;
                    held.incrementAndGet();
                    System.out.println(port + ": " + line);
                    say(out, "UP " + port);
                } else {
                    say(out, "SYNTAX");
                    return;
                }
            }
        } finally {
            if (open) {
                held.decrementAndGet();
            }
        }
    }

    private static void discovery(BufferedReader in, OutputStream out)
            throws IOException, InterruptedException {
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (!line.startsWith("GET ")) {
                continue;
            }
            // A watch waits until there is something newer, here for two seconds at most.
            long after = line.contains("after=") ? Long.parseLong(line.replaceAll(".*after=(\\d+).*", "$1")) : -1;
            for (int i = 0; i < 40 && GENERATION.get() <= after; i++) {
                Thread.sleep(50);
            }
            StringBuilder body = new StringBuilder("{\"generation\":" + GENERATION + ",\"reset\":true,\"instances\":[");
            for (int i = 0; i < HOSTS.length; i++) {
                body.append(i == 0 ? "" : ",").append("{\"instanceId\":\"toy-").append(i + 1)
                        .append("\",\"hostPort\":\"127.0.0.1:").append(HOSTS[i])
                        .append("\",\"zone\":\"here\",\"lifecycle\":\"")
                        .append(draining && i == 1 ? "terminating" : "in_service")
                        .append("\",\"weight\":1.0,\"startedAtMs\":0}");
            }
            body.append("]}");
            say(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n");
            out.write(body.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }
}
