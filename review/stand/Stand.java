import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** What the cases share: the record, processes, and stand-ins for hosts, discovery and clients. */
final class Stand {

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    /** The case could not be played, which says nothing about the rule. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        CannotRun(String why) {
            super(why);
        }
    }

    interface Play {
        /** Plays the case; returns whether the rule held. */
        boolean run(Stand stand) throws Exception;
    }

    final Path repository;
    final Path folder;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final List<Program> programs = Collections.synchronizedList(new ArrayList<>());
    private final Set<Integer> portsTaken = new HashSet<>();

    private Stand(Path repository, Path caseFolder) throws IOException {
        this.repository = repository;
        folder = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
    }

    /** Runs a case and exits: arguments are the repository's and the case's folder. */
    static void main(String[] args, Play play) throws IOException {
        Stand stand = new Stand(Path.of(args[0]).toAbsolutePath(), Path.of(args[1]));
        Thread end = new Thread(stand::cleanUp);
        Runtime.getRuntime().addShutdownHook(end);
        int status;
        try {
            stand.note("case: " + (stand.trouble ? "with the disruption" : "without the disruption"));
            boolean held = play.run(stand);
            status = held ? HELD : BROKEN;
            stand.note("verdict: " + (held ? "the rule held" : "THE RULE WAS BROKEN"));
        } catch (Exception e) {
            status = COULD_NOT_RUN;
            stand.note("verdict: the case could not run: " + e);
        }
        System.exit(status);
    }

    private void cleanUp() {
        synchronized (programs) {
            programs.forEach(program -> program.process.destroyForcibly());
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // The system clears its temporary folder.
        }
    }

    double now() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    void note(String text) {
        String line = String.format(Locale.ROOT, "%8.3f  %s", now(), text);
        synchronized (record) {
            record.println(line);
        }
        if (!text.startsWith("  ")) {
            System.out.println(line);
        }
    }

    static void pause(double seconds) {
        try {
            Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException e) {
            throw new CannotRun("interrupted");
        }
    }

    void pauseUntil(double time) {
        pause(Math.max(0, time - now()));
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    void await(String what, double seconds, Condition condition) throws Exception {
        double end = now() + seconds;
        while (!condition.holds()) {
            if (now() > end) {
                throw new CannotRun("not seen in " + seconds + " s: " + what);
            }
            pause(0.02);
        }
    }

    /** A free port below those that the system gives to outgoing connections. */
    synchronized int freePort() {
        Random random = new Random();
        for (int i = 0; i < 1000; i++) {
            int port = 15_000 + random.nextInt(15_000);
            if (portsTaken.contains(port)) {
                continue;
            }
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                portsTaken.add(port);
                return port;
            } catch (IOException e) {
                // Taken: the next one.
            }
        }
        throw new CannotRun("no free port");
    }

    static Thread thread(Runnable task) {
        Thread thread = new Thread(null, task, "stand", 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ---- Processes ----

    /** A process of the project, started by a shell command from the repository's root. */
    final class Program {
        final String name;
        final Process process;
        final Path log;

        Program(String name, String command, Map<String, String> environment) throws IOException {
            this.name = name;
            log = folder.resolve(name + ".log");
            ProcessBuilder builder =
                    new ProcessBuilder("/bin/sh", "-c", command)
                            .directory(repository.toFile())
                            .redirectErrorStream(true)
                            .redirectOutput(log.toFile());
            builder.environment().putAll(environment);
            process = builder.start();
            programs.add(this);
            note("started " + name + ", process " + process.pid());
        }

        void signal(String signal) throws Exception {
            note("SIG" + signal + " to " + name);
            Process kill =
                    new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid())
                            .start();
            kill.waitFor();
        }

        boolean isAlive() {
            return process.isAlive();
        }

        String logText() throws IOException {
            return Files.readString(log);
        }

        void awaitExit(double seconds) throws InterruptedException {
            process.waitFor((long) (seconds * 1000), TimeUnit.MILLISECONDS);
        }
    }

    Program start(String name, String command, Map<String, String> environment)
            throws IOException {
        return new Program(name, command, environment);
    }

    /** The command of this name in the deploy file. */
    String deployCommand(String name) throws IOException {
        Matcher matcher =
                Pattern.compile("(?m)^" + name + " = \"(.*?)\"")
                        .matcher(Files.readString(repository.resolve("deploy/balancer.toml")));
        if (!matcher.find()) {
            throw new CannotRun("deploy/balancer.toml has no " + name);
        }
        return matcher.group(1);
    }

    /** Runs a command to its end; returns its exit status and output. */
    Map.Entry<Integer, String> command(String command) throws Exception {
        Process process =
                new ProcessBuilder("/bin/sh", "-c", command)
                        .directory(repository.toFile())
                        .redirectErrorStream(true)
                        .start();
        String output =
                new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        return Map.entry(process.waitFor(), output);
    }

    // ---- Calls ----

    /** One HTTP call; returns status and body, or status 0 where there is no answer. */
    static Map.Entry<Integer, String> http(String method, int port, String path) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setSoTimeout(2000);
            socket.getOutputStream()
                    .write(
                            (method
                                            + " "
                                            + path
                                            + " HTTP/1.1\r\nHost: 127.0.0.1:"
                                            + port
                                            + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            String answer =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            return Map.entry(
                    Integer.parseInt(answer.substring(9, 12)),
                    answer.substring(answer.indexOf("\r\n\r\n") + 4));
        } catch (IOException | RuntimeException e) {
            return Map.entry(0, e.toString());
        }
    }

    void awaitReady(Program node, int management, double seconds) throws Exception {
        await(
                node.name + " ready",
                seconds,
                () -> {
                    if (!node.isAlive()) {
                        throw new CannotRun(node.name + " has exited: " + node.logText());
                    }
                    return http("GET", management, "/api/ready").getKey() == 200;
                });
        note(node.name + " is ready");
    }

    // ---- Stand-in hosts ----

    /** A tunnel's first line as it reached a host. */
    record Arrival(double at, String host, String id) {}

    final List<Arrival> arrivals = Collections.synchronizedList(new ArrayList<>());

    /** A host by the protocol page: takes each tunnel, echoes its lines, answers probes. */
    final class Host {
        final String id;
        final int port;
        private final AtomicInteger open = new AtomicInteger();

        Host(String id) throws IOException {
            this.id = id;
            port = freePort();
            listen(port, this::talk);
        }

        private void talk(BufferedReader in, OutputStream out) throws IOException {
            boolean isOpen = false;
            try {
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    if (isOpen) {
                        if (line.equals("bye")) {
                            say(out, "BYE");
                            return;
                        }
                        say(out, "echo " + line);
                    } else if (line.equals("PING")) {
                        say(out, "PONG");
                    } else if (line.equals("STATS")) {
                        say(out, "PONG inflight=" + open + ",queue=0,x0=" + open.get() / 200.0);
                    } else if (line.startsWith("OPEN ")) {
                        String tunnel = line.split(" ")[1];
                        arrivals.add(new Arrival(now(), id, tunnel));
                        note("  host " + id + " got OPEN " + tunnel);
                        isOpen = true;
                        open.incrementAndGet();
                        say(out, "UP " + id);
                    } else {
                        say(out, "SYNTAX");
                        return;
                    }
                }
            } finally {
                if (isOpen) {
                    open.decrementAndGet();
                }
            }
        }
    }

    long arrivalsAt(String host, double from, double to) {
        synchronized (arrivals) {
            return arrivals.stream()
                    .filter(each -> each.host.equals(host) && each.at > from && each.at <= to)
                    .count();
        }
    }

    interface Talk {
        void with(BufferedReader in, OutputStream out) throws IOException;
    }

    static void say(OutputStream out, String line) throws IOException {
        out.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static ServerSocket listen(int port, Talk talk) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress("127.0.0.1", port), 256);
        thread(
                () -> {
                    while (true) {
                        try {
                            Socket socket = server.accept();
                            socket.setTcpNoDelay(true);
                            thread(() -> serve(socket, talk));
                        } catch (IOException e) {
                            return;
                        }
                    }
                });
        return server;
    }

    private static void serve(Socket socket, Talk talk) {
        try (socket) {
            talk.with(
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1)),
                    socket.getOutputStream());
        } catch (IOException e) {
            // The other side has gone.
        }
    }

    // ---- Stand-in discovery ----

    /**
     * Discovery by the protocol page: a list with versions, and watches that wait for something
     * newer than a version. A restart counts versions anew.
     */
    final class Discovery {
        final int port;
        private final List<Host> hosts;
        private final Map<String, String> states = new LinkedHashMap<>();
        private final Map<String, Long> changedAt = new LinkedHashMap<>();
        private long version;
        private ServerSocket server;
        private final Set<Socket> connections = Collections.synchronizedSet(new HashSet<>());
        private int callsToTurnAway;
        private double lastTurnedAwayAt = Double.NEGATIVE_INFINITY;

        Discovery(List<Host> hosts, long firstVersion) throws IOException {
            this.hosts = hosts;
            port = freePort();
            hosts.forEach(host -> states.put(host.id, "in_service"));
            begin(firstVersion);
            up();
        }

        private synchronized void begin(long firstVersion) {
            version = firstVersion;
            states.keySet().forEach(id -> changedAt.put(id, firstVersion));
        }

        synchronized void set(String host, String state) {
            version++;
            states.put(host, state);
            changedAt.put(host, version);
            note("discovery: " + host + " is " + state + ", version " + version);
            notifyAll();
        }

        void down() throws IOException {
            note("discovery goes down");
            server.close();
            synchronized (connections) {
                for (Socket socket : connections) {
                    socket.close();
                }
                connections.clear();
            }
        }

        /** Comes back as a new process that counts versions from this one on. */
        void upAgain(long firstVersion) throws IOException {
            begin(firstVersion);
            note("discovery is back, at version " + firstVersion + ": " + states);
            up();
        }

        /** Answers that many calls for the whole list with 503, as where it has too many callers. */
        synchronized void turnAway(int wholeListCalls) {
            callsToTurnAway = wholeListCalls;
        }

        synchronized double lastTurnedAwayAt() {
            return lastTurnedAwayAt;
        }

        private void up() throws IOException {
            ServerSocket next = new ServerSocket();
            next.setReuseAddress(true);
            next.bind(new InetSocketAddress("127.0.0.1", port), 256);
            server = next;
            thread(
                    () -> {
                        while (true) {
                            try {
                                Socket socket = next.accept();
                                socket.setTcpNoDelay(true);
                                connections.add(socket);
                                thread(
                                        () ->
                                                serve(
                                                        socket,
                                                        (in, out) -> calls(next, in, out)));
                            } catch (IOException e) {
                                return;
                            }
                        }
                    });
        }

        private void calls(ServerSocket process, BufferedReader in, OutputStream out)
                throws IOException {
            String request = null;
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.startsWith("GET ")) {
                    request = line.split(" ")[1];
                } else if (line.isEmpty() && request != null) {
                    note("  discovery: call " + request);
                    String body = answer(process, request);
                    if (body == null) {
                        return;
                    }
                    note("  discovery: answers " + body);
                    boolean refused = body.isEmpty();
                    out.write(
                            ("HTTP/1.1 "
                                            + (refused ? "503 Service Unavailable" : "200 OK")
                                            + "\r\nContent-Type: application/json\r\nContent-Length: "
                                            + body.length()
                                            + "\r\n\r\n"
                                            + body)
                                    .getBytes(StandardCharsets.US_ASCII));
                    out.flush();
                    request = null;
                }
            }
        }

        /** The answer to a call; empty where it is turned away, null where discovery is down. */
        private synchronized String answer(ServerSocket process, String request) {
            long after = parameter(request, "after");
            if (after < 0) {
                if (callsToTurnAway > 0) {
                    callsToTurnAway--;
                    lastTurnedAwayAt = now();
                    note("discovery turns a call for the whole list away: 503");
                    return "";
                }
                return json(true, -1);
            }
            double end = now() + parameter(request, "wait_ms") / 1000.0;
            while (version <= after && now() < end && !process.isClosed()) {
                try {
                    wait(Math.max(1, Math.min(20, (long) ((end - now()) * 1000))));
                } catch (InterruptedException e) {
                    return null;
                }
            }
            return process.isClosed() ? null : json(false, after);
        }

        private static long parameter(String request, String name) {
            Matcher matcher = Pattern.compile("[?&]" + name + "=(\\d+)").matcher(request);
            return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
        }

        private String json(boolean whole, long after) {
            StringBuilder entries = new StringBuilder();
            for (Host host : hosts) {
                if (changedAt.get(host.id) > after) {
                    entries.append(entries.length() == 0 ? "" : ",")
                            .append(entry(host, states.get(host.id)));
                }
            }
            return "{\"generation\":"
                    + version
                    + ",\"reset\":"
                    + whole
                    + ",\"instances\":["
                    + entries
                    + "]}";
        }
    }

    static String entry(Host host, String state) {
        return "{\"instanceId\":\""
                + host.id
                + "\",\"hostPort\":\"127.0.0.1:"
                + host.port
                + "\",\"zone\":\"here\",\"machineType\":\"m\",\"cell\":0,\"lifecycle\":\""
                + state
                + "\",\"weight\":1.0,\"startedAtMs\":0}";
    }

    // ---- A node's configuration ----

    /** Settings as in example/configuration.json, with all hosts in the remembered list. */
    Path nodeConfiguration(
            String name, int listen, int discovery, int management, List<Host> hosts, long version)
            throws IOException {
        List<String> known = new ArrayList<>();
        hosts.forEach(host -> known.add(entry(host, "in_service")));
        String text =
                """
                {"name":"%s","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d",
                 "management":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":256,"sockets":1024},"peers":[],
                 "known":{"generation":%d,"reset":true,"instances":[%s]},
                 "settings":{"balancers":1,"rank":0,"az":"here","discovery":"subscribe",
                  "profiles":[{"name":"chat","repeat":"idempotent","setup-goal-s":0.8,
                   "client-timeout-s":3.0,"credit":1.0}],
                  "report":{"how":"pull","columns":["rif","x0"]},
                  "domain":{"mode":"proxy","park-s":0.0},
                  "limits":{"may-probe":true,"may-cancel":true,"may-duplicate":false,
                   "most-setups":3,"retry-after":true,"max-retry-after-s":1.5,
                   "connect-timeout-s":0.25},
                  "rules":{"answer-slack-s":0.016,"must-ask-in-s":10.0,"drain-grace-s":1.0,
                   "cold-from":0.3,"warm-after-s":10.0,"fall-multiple":4.0,"fall-s":1.5}}}
                """
                        .formatted(
                                name,
                                listen,
                                discovery,
                                management,
                                version,
                                String.join(",", known));
        return Files.writeString(folder.resolve(name + "-" + management + ".json"), text);
    }

    // ---- Stand-in clients ----

    /** Clients that each open a tunnel, send two lines, take their leave and go. */
    final class Clients {
        private volatile boolean isEnded;
        final AtomicInteger opened = new AtomicInteger();

        Clients(List<Integer> nodes, double everySeconds) {
            for (int node : nodes) {
                thread(
                        () -> {
                            for (int i = 0; !isEnded; i++) {
                                String id = "t" + node + "x" + i;
                                thread(() -> tunnel(node, id));
                                pause(everySeconds);
                            }
                        });
            }
        }

        private void tunnel(int node, String id) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", node), 2000);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(5000);
                BufferedReader in =
                        new BufferedReader(
                                new InputStreamReader(
                                        socket.getInputStream(), StandardCharsets.ISO_8859_1));
                say(socket.getOutputStream(), "OPEN " + id + " k" + id + " c=chat,d=3000");
                String answer = in.readLine();
                note("  client " + id + " sent OPEN to " + node + ", answered " + answer);
                if (answer == null || !answer.startsWith("UP")) {
                    return;
                }
                opened.incrementAndGet();
                for (int i = 0; i < 2 && !isEnded; i++) {
                    pause(0.2);
                    say(socket.getOutputStream(), "line " + i);
                    String line = in.readLine();
                    if (line == null || line.equals("MOVE")) {
                        return;
                    }
                }
                say(socket.getOutputStream(), "bye");
                in.readLine();
            } catch (IOException e) {
                note("  client " + id + " at " + node + ": " + e.getMessage());
            }
        }

        void end() {
            isEnded = true;
        }
    }

    /** A client that holds its tunnel until the node ends it. */
    void heldTunnel(int node, String id) {
        thread(
                () -> {
                    try (Socket socket = new Socket()) {
                        socket.connect(new InetSocketAddress("127.0.0.1", node), 2000);
                        say(socket.getOutputStream(), "OPEN " + id + " k" + id + " c=chat,d=3000");
                        BufferedReader in =
                                new BufferedReader(
                                        new InputStreamReader(
                                                socket.getInputStream(),
                                                StandardCharsets.ISO_8859_1));
                        String line = in.readLine();
                        note("  held tunnel " + id + ": " + line);
                        while (line != null && !line.equals("MOVE")) {
                            line = in.readLine();
                        }
                        note("  held tunnel " + id + " ends: " + line);
                    } catch (IOException e) {
                        note("  held tunnel " + id + ": " + e.getMessage());
                    }
                });
    }
}
