package embershift.rig.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Hosts and the discovery that lists them, in this process. Each host writes down which setup
 * reached it when; discovery counts who asks. What nodes and instances say of themselves is no part
 * of it.
 */
public final class HostsStand implements AutoCloseable {

    /** A setup that reached a host. {@code at}: this machine's monotonic time, ns. */
    public record Setup(long at, String host, String tunnel) {}

    private static final class Host {
        private final ServerSocket server;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private volatile boolean serves = true;
        private String lifecycle = "in_service";
        private long startedAt;

        Host(ServerSocket server) {
            this.server = server;
        }
    }

    private final Map<String, Host> hosts = new TreeMap<>();
    private final List<Setup> setups = new ArrayList<>();
    private final ServerSocket discovery;
    private final Set<Socket> callers = ConcurrentHashMap.newKeySet();

    /** Connections that have brought a call lately, open or not. */
    private final Set<Socket> callingSockets = ConcurrentHashMap.newKeySet();

    private long generation = 1;
    private long calls;

    public HostsStand(int many) throws IOException {
        for (int i = 1; i <= many; i++) {
            String name = "h" + i;
            Host host = new Host(new ServerSocket(0, 200, InetAddress.getLoopbackAddress()));
            hosts.put(name, host);
            accept(host.server, socket -> serve(name, host, socket));
        }
        discovery = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        accept(discovery, this::answer);
    }

    interface Serving {
        void serve(Socket socket) throws IOException;
    }

    static void accept(ServerSocket server, Serving serving) {
        daemon(
                () -> {
                    while (!server.isClosed()) {
                        try {
                            Socket socket = server.accept();
                            daemon(
                                    () -> {
                                        try (socket) {
                                            serving.serve(socket);
                                        } catch (IOException e) {
                                            // Its other end is gone.
                                        }
                                    });
                        } catch (IOException e) {
                            // It is being closed.
                        }
                    }
                });
    }

    private static void daemon(Runnable what) {
        Thread thread = new Thread(null, what, "stand", 128 << 10);
        thread.setDaemon(true);
        thread.start();
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    private static void say(Socket socket, String words) throws IOException {
        socket.getOutputStream().write(words.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void serve(String name, Host host, Socket socket) throws IOException {
        host.open.add(socket);
        try {
            BufferedReader in = reader(socket);
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.startsWith("OPEN ")) {
                    String id = line.split(" ")[1];
                    synchronized (this) {
                        setups.add(new Setup(System.nanoTime(), name, id));
                    }
                    say(socket, host.serves ? "UP " + id + "\r\n" : "BUSY\r\n");
                    if (!host.serves) {
                        return;
                    }
                } else {
                    say(
                            socket,
                            line.equals("STATS")
                                    ? "PONG x0=0.1\r\n"
                                    : line.equals("PING") ? "PONG\r\n" : line + "\r\n");
                }
            }
        } finally {
            host.open.remove(socket);
        }
    }

    /** All setups so far. */
    public synchronized List<Setup> setups() {
        return new ArrayList<>(setups);
    }

    public List<String> names() {
        return List.copyOf(hosts.keySet());
    }

    public int discoveryPort() {
        return discovery.getLocalPort();
    }

    /** Calls that discovery has had so far. */
    public synchronized long calls() {
        return calls;
    }

    /** Forgets which connections have brought a call. */
    public synchronized void forgetCallers() {
        callingSockets.clear();
    }

    /** How many connections have brought a call since {@link #forgetCallers}. */
    public synchronized int callers() {
        return callingSockets.size();
    }

    /** Discovery says so of a host from now on, which takes setups while it is in service. */
    public synchronized void lifecycle(String name, String lifecycle, boolean serves) {
        Host host = hosts.get(name);
        host.lifecycle = lifecycle;
        host.serves = serves;
        if (lifecycle.equals("in_service")) {
            host.startedAt = System.currentTimeMillis();
        }
        generation++;
        notifyAll();
    }

    /** Its connections break, as when its program ends. */
    public void breakOff(String name) {
        hosts.get(name)
                .open
                .forEach(
                        socket -> {
                            try {
                                socket.close();
                            } catch (IOException e) {
                                // It is gone all the same.
                            }
                        });
    }

    /** The list that discovery tells now. */
    synchronized String page() {
        StringBuilder page =
                new StringBuilder(
                        "{\"generation\":" + generation + ",\"reset\":true,\"instances\":[");
        String comma = "";
        for (Map.Entry<String, Host> each : hosts.entrySet()) {
            page.append(comma)
                    .append("{\"instanceId\":\"")
                    .append(each.getKey())
                    .append("\",\"hostPort\":\"127.0.0.1:")
                    .append(each.getValue().server.getLocalPort())
                    .append("\",\"zone\":\"a\",\"lifecycle\":\"")
                    .append(each.getValue().lifecycle)
                    .append("\",\"weight\":1,\"startedAtMs\":")
                    .append(each.getValue().startedAt)
                    .append('}');
            comma = ",";
        }
        return page.append("]}").toString();
    }

    private void answer(Socket socket) throws IOException {
        BufferedReader in = reader(socket);
        callers.add(socket);
        try {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (!line.startsWith("GET ")) {
                    continue;
                }
                String after = line.replaceAll(".*after=(\\d+).*", "$1");
                String wait = line.replaceAll(".*wait_ms=(\\d+).*", "$1");
                synchronized (this) {
                    calls++;
                    callingSockets.add(socket);
                    long until =
                            System.nanoTime()
                                    + (wait.matches("\\d+") ? Long.parseLong(wait) : 0) * 1_000_000;
                    while (after.matches("\\d+")
                            && Long.parseLong(after) == generation
                            && System.nanoTime() < until) {
                        wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
                    }
                }
                byte[] page = page().getBytes(StandardCharsets.UTF_8);
                say(
                        socket,
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                + page.length
                                + "\r\n\r\n");
                socket.getOutputStream().write(page);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            callers.remove(socket);
        }
    }

    @Override
    public void close() throws IOException {
        discovery.close();
        for (Host host : hosts.values()) {
            host.server.close();
        }
        hosts.keySet().forEach(this::breakOff);
        for (Socket caller : callers) {
            caller.close();
        }
    }
}
