import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Stand-ins and helpers for the cases of the second review: discovery, hosts, clients, a proxy, and the
 * project's programs as processes. Everything is on loopback addresses. A case writes what happens to its
 * record; {@link #run} ends all processes that the case started.
 */
final class Rig implements AutoCloseable {

    /** A case; returns whether the rule held. */
    interface Case {
        boolean check(Rig rig) throws Exception;
    }

    /** Thrown where a case could not be carried out. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1;

        CannotRun(String reason) {
            super(reason);
        }
    }

    static final ExecutorService THREADS =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task);
                        thread.setDaemon(true);
                        return thread;
                    });

    private static final int LIMIT_SECONDS = 110;

    final Path root;
    final Path temporary;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final BufferedWriter record;
    private final long startedAt = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();

    private Rig(Path folder) throws IOException {
        root = folder.toAbsolutePath().normalize().getParent().getParent();
        temporary = Files.createTempDirectory("review-case");
        record = Files.newBufferedWriter(folder.resolve("record.txt"));
    }

    /** Runs a case whose folder is the first argument, and exits: 0 held, 1 broken, 2 could not run. */
    static void run(String[] arguments, Case check) throws IOException {
        int status;
        try (Rig rig = new Rig(Path.of(arguments[0]))) {
            Runtime.getRuntime().addShutdownHook(new Thread(rig::endProcesses));
            THREADS.execute(
                    () -> {
                        sleep(LIMIT_SECONDS);
                        rig.note("the case took too long");
                        rig.endProcesses();
                        Runtime.getRuntime().halt(2);
                    });
            rig.note(rig.trouble ? "with the disruption" : "without the disruption");
            try {
                status = check.check(rig) ? 0 : 1;
                rig.note(status == 0 ? "RESULT: the rule held" : "RESULT: the rule was broken");
            } catch (Exception e) {
                rig.note("RESULT: the case could not run: " + e);
                for (StackTraceElement frame : e.getStackTrace()) {
                    rig.note("    " + frame);
                }
                status = 2;
            }
            rig.endProcesses();
            rig.logs();
        }
        System.exit(status);
    }

    /** Seconds since the case began. */
    double now() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void note(String text) {
        String line = String.format("%8.3f  %s", now(), text);
        System.out.println(line);
        try {
            record.write(line + "\n");
            record.flush();
        } catch (IOException e) {
            System.err.println("record: " + e.getMessage());
        }
    }

    /** Writes a line to the record only. */
    synchronized void trace(String text) {
        try {
            record.write(String.format("%8.3f  %s%n", now(), text));
            record.flush();
        } catch (IOException e) {
            System.err.println("record: " + e.getMessage());
        }
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until a condition holds. */
    void await(String what, double seconds, java.util.function.BooleanSupplier condition)
            throws CannotRun {
        double until = now() + seconds;
        while (!condition.getAsBoolean()) {
            if (now() > until) {
                throw new CannotRun("did not come about within " + seconds + " s: " + what);
            }
            sleep(0.02);
        }
        note(what);
    }

    /** A free port below those that systems usually give to connections that begin here. */
    static int freePort() throws IOException {
        for (int tries = 0; ; tries++) {
            int port = ThreadLocalRandom.current().nextInt(11000, 30000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                if (tries == 100) {
                    throw e;
                }
            }
        }
    }

    Path write(String name, String text) throws IOException {
        Path file = temporary.resolve(name);
        Files.writeString(file, text);
        return file;
    }

    // ---- The project's programs ----

    /** Starts a program by a command of the deploy files, from the root of the repository. */
    Process start(String name, String command, Map<String, String> variables) throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", command).directory(root.toFile());
        builder.environment().putAll(variables);
        builder.redirectErrorStream(true).redirectOutput(temporary.resolve(name + ".log").toFile());
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        note("started " + name + " as " + process.pid());
        return process;
    }

    /** A command of deploy/balancer.toml. */
    String deployCommand(String name) throws IOException, CannotRun {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(name + " = \"")) {
                int from = line.indexOf('"') + 1;
                return line.substring(from, line.lastIndexOf('"')).replace("\\\"", "\"");
            }
        }
        throw new CannotRun("deploy/balancer.toml has no command " + name);
    }

    void signal(Process process, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
        note("SIG" + signal + " to " + process.pid());
    }

    /** Adds what the processes have logged to the record. */
    private void logs() throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.list(temporary)) {
            files = all.filter(file -> file.toString().endsWith(".log")).sorted().toList();
        }
        for (Path file : files) {
            for (String line : Files.readAllLines(file)) {
                trace("log of " + file.getFileName() + ": " + line);
            }
        }
    }

    private void endProcesses() {
        synchronized (processes) {
            processes.forEach(Process::destroyForcibly);
            for (Process process : processes) {
                try {
                    process.waitFor(2, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        record.close();
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }

    /** Starts the node of the deploy file, and waits until it is ready. */
    Process startNode(String log, int clients, int operators, Discovery discovery) throws Exception {
        Process process =
                start(
                        log,
                        deployCommand("run"),
                        Map.of(
                                "TMPDIR",
                                temporary.toString(),
                                "LB_CONFIG",
                                configure("n1", clients, operators, discovery).toString()));
        await(log + " is ready", 20, () -> call("GET", operators, "/api/ready") == 200);
        return process;
    }

    /** Starts a node with the agent, whose file is given, and waits until it is ready. */
    Process startAgent(String log, String name, int clients, int operators, Discovery discovery, String door)
            throws Exception {
        Process process =
                start(
                        log,
                        "exec java -jar door/target/embershift-door.jar serve --configuration "
                                + configure(name, clients, operators, discovery)
                                + " --door "
                                + write("door-" + name + ".toml", door),
                        Map.of("TMPDIR", temporary.toString()));
        await(log + " is ready", 20, () -> call("GET", operators, "/api/ready") == 200);
        return process;
    }

    /** Writes a node's configuration, whose remembered list is discovery's present one, if it is new. */
    Path configure(String name, int clients, int operators, Discovery discovery) throws IOException {
        Path file = temporary.resolve(name + ".json");
        return Files.exists(file)
                ? file
                : write(
                        name + ".json",
                        configuration(name, clients, operators, discovery.port(), discovery.whole()));
    }

    /** Hosts h1, h2 and so on, which each discovery lists as in service. */
    List<Host> hosts(int count, Discovery... discoveries) throws IOException {
        List<Host> hosts = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            Host host = new Host("h" + i);
            hosts.add(host);
            for (Discovery discovery : discoveries) {
                discovery.list(host.name, host.port(), "in_service");
            }
        }
        return hosts;
    }

    /** Notes how many setups the first host got in all and too late, and whether none was too late. */
    boolean noneLate(List<Host> hosts, double drainedAt, double latest) {
        long late = hosts.get(0).setupsAfter(latest);
        note("setups sent to h1 after the drain began: " + hosts.get(0).setupsAfter(drainedAt));
        note("of them later than " + String.format("%.2f", latest) + " (told, the grace and 50 ms): " + late);
        note("setups sent to the other hosts after the drain began: "
                + hosts.stream().skip(1).mapToLong(host -> host.setupsAfter(drainedAt)).sum());
        return late == 0;
    }

    /** Opens tunnels for some seconds; the case can't run where the first host gets none of them. */
    void warmUp(List<Host> hosts, int port, double seconds, double perSecond) throws CannotRun {
        openUntil(now() + seconds, port, perSecond, "a");
        if (hosts.get(0).setupsAfter(0) == 0) {
            throw new CannotRun("the host that is to drain got no tunnel before");
        }
    }

    // ---- A group of control-plane instances ----

    static final List<String> INSTANCES = List.of("i1", "i2", "i3");

    /** Three instances that agree, with their command line. */
    final class Instances {
        final Map<String, Integer> ports = new LinkedHashMap<>();

        /** The ways by which an instance reaches another, as "i2 to i1". */
        final Map<String, Way> ways = new LinkedHashMap<>();

        /**
         * Starts the instances; the first leads. Each asks discovery at the port that is given for its
         * name. Those named in {@code proxied}, as "i2 to i1", reach the other one by a way that can be
         * cut.
         */
        Instances(Function<String, Integer> discoveryPort, String... proxied) throws Exception {
            for (String name : INSTANCES) {
                ports.put(name, freePort());
            }
            for (String name : INSTANCES) {
                StringBuilder others = new StringBuilder("[ways]\n");
                for (String each : proxied) {
                    if (each.startsWith(name + " to ")) {
                        String other = each.substring(each.length() - 2);
                        ways.put(each, new Way(ports.get(other)));
                        others.append(other + " = \"127.0.0.1:" + ways.get(each).port() + "\"\n");
                    }
                }
                String file =
                        "name = \"" + name + "\"\n"
                                + "folder = \"" + temporary.resolve("folder-" + name) + "\"\n"
                                + "listen = \"127.0.0.1:" + ports.get(name) + "\"\n"
                                + others
                                + "[fleet]\n"
                                + "discovery = \"127.0.0.1:" + discoveryPort.apply(name) + "\"\n";
                Path installation = write(name + ".toml", file);
                start(
                        name,
                        "exec java -jar hosted/target/embershift-hosted.jar instance --installation "
                                + installation,
                        Map.of());
            }
            for (String name : INSTANCES) {
                await(name + " listens", 20, () -> accepts(ports.get(name)));
            }
            fleet("found", "--at", "127.0.0.1:" + ports.get("i1"));
            fleet("add", "127.0.0.1:" + ports.get("i2"), "--at", all());
            for (int tries = 0; !fleet("add", "127.0.0.1:" + ports.get("i3"), "--at", all()).done; ) {
                if (++tries > 20) {
                    throw new CannotRun("the third instance could not be added");
                }
                sleep(0.2);
            }
        }

        String all() {
            List<String> addresses = new ArrayList<>();
            ports.values().forEach(port -> addresses.add("127.0.0.1:" + port));
            return String.join(",", addresses);
        }

        /** The agent's file of a node that reaches all instances. */
        String toml() {
            return "instances = [\"" + all().replace(",", "\", \"") + "\"]\n";
        }

        /** The value of a key, or an empty text. */
        String value(String key) throws Exception {
            Answer answer = fleet("get", key, "--at", all());
            return answer.done ? answer.text.strip() : "";
        }

        /** Runs a command of the fleet's command line. */
        Answer fleet(String... words) throws Exception {
            List<String> command =
                    new ArrayList<>(
                            List.of("java", "-jar", "hosted/target/embershift-hosted.jar", "fleet"));
            command.addAll(List.of(words));
            Process process =
                    new ProcessBuilder(command)
                            .directory(root.toFile())
                            .redirectErrorStream(true)
                            .start();
            synchronized (processes) {
                processes.add(process);
            }
            String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            int status = process.waitFor();
            note("fleet " + String.join(" ", words) + " -> " + status + " " + text.strip());
            return new Answer(status == 0, text);
        }
    }

    /** What the command line said. */
    static final class Answer {
        final boolean done;
        final String text;

        Answer(boolean done, String text) {
            this.done = done;
            this.text = text;
        }
    }

    static boolean accepts(int port) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 200);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** The status of a GET or POST at an operators' address; 0 where there is no answer. */
    static int call(String method, int port, String path) {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                            .timeout(Duration.ofSeconds(2))
                            .method(method, HttpRequest.BodyPublishers.noBody())
                            .build();
            return HttpClient.newHttpClient()
                    .send(request, HttpResponse.BodyHandlers.ofString())
                    .statusCode();
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    // ---- Discovery ----

    /** Discovery as PROTOCOL.md describes it: the whole list, and watches. */
    final class Discovery {
        private final ServerSocket server;
        private final List<Socket> open = new ArrayList<>();
        private final Map<String, String> entries = new LinkedHashMap<>();
        private final Map<String, Long> changedAt = new LinkedHashMap<>();
        private final String name;
        private long generation = 1;

        /** Seconds that each call waits for its turn. */
        volatile double turnSeconds;

        Discovery(String name) throws IOException {
            this.name = name;
            server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
            THREADS.execute(this::accept);
        }

        int port() {
            return server.getLocalPort();
        }

        /** Lists a host with a lifecycle: in_service or terminating. */
        synchronized void list(String id, int port, String lifecycle) {
            generation++;
            entries.put(
                    id,
                    "{\"instanceId\":\"" + id + "\",\"hostPort\":\"127.0.0.1:" + port
                            + "\",\"zone\":\"here\",\"machineType\":\"m\",\"cell\":1,\"lifecycle\":\""
                            + lifecycle + "\",\"weight\":1.0,\"startedAtMs\":0}");
            changedAt.put(id, generation);
            notifyAll();
            note(name + " lists " + id + " as " + lifecycle + " in generation " + generation);
        }

        synchronized String whole() {
            return "{\"generation\":" + generation + ",\"reset\":true,\"instances\":["
                    + String.join(",", entries.values()) + "]}";
        }

        private synchronized String since(long after, long waitMillis) throws InterruptedException {
            long until = System.nanoTime() + waitMillis * 1_000_000;
            while (generation <= after && System.nanoTime() < until) {
                wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
            }
            List<String> changed = new ArrayList<>();
            entries.forEach(
                    (id, entry) -> {
                        if (changedAt.get(id) > after) {
                            changed.add(entry);
                        }
                    });
            return "{\"generation\":" + generation + ",\"reset\":false,\"instances\":["
                    + String.join(",", changed) + "]}";
        }

        /** Takes no new connection, and closes the open ones after some seconds. */
        void retire(double seconds) throws IOException {
            server.close();
            note(name + " takes no new connection");
            THREADS.execute(
                    () -> {
                        sleep(seconds);
                        synchronized (open) {
                            open.forEach(Rig::shut);
                        }
                        note(name + " has closed its connections");
                    });
        }

        private void accept() {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    synchronized (open) {
                        open.add(socket);
                    }
                    THREADS.execute(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                BufferedReader in =
                        new BufferedReader(
                                new InputStreamReader(
                                        socket.getInputStream(), StandardCharsets.US_ASCII));
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    String path = line.split(" ")[1];
                    while (!line.isEmpty()) {
                        line = in.readLine();
                    }
                    sleep(turnSeconds);
                    String body =
                            path.contains("after=")
                                    ? since(number(path, "after"), number(path, "wait_ms"))
                                    : whole();
                    byte[] bytes = body.getBytes(StandardCharsets.US_ASCII);
                    socket.getOutputStream()
                            .write(
                                    ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                                    + bytes.length + "\r\n\r\n" + body)
                                            .getBytes(StandardCharsets.US_ASCII));
                    trace(name + " answered " + path + " with " + body);
                }
            } catch (IOException e) {
                trace(name + ": a connection ended: " + e.getMessage());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private long number(String path, String field) {
            for (String pair : path.substring(path.indexOf('?') + 1).split("&")) {
                if (pair.startsWith(field + "=")) {
                    return Long.parseLong(pair.substring(field.length() + 1));
                }
            }
            return 0;
        }
    }

    static void shut(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It has ended already.
        }
    }

    // ---- Hosts ----

    /** A session host: opens each tunnel at once, sends each line back, and answers probes. */
    final class Host {
        final String name;
        final List<Double> setups = new ArrayList<>();
        volatile double lineSeconds;
        private final ServerSocket server;
        private int tunnels;

        Host(String name) throws IOException {
            this.name = name;
            server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
            THREADS.execute(
                    () -> {
                        while (true) {
                            try {
                                Socket socket = server.accept();
                                THREADS.execute(() -> serve(socket));
                            } catch (IOException e) {
                                return;
                            }
                        }
                    });
        }

        int port() {
            return server.getLocalPort();
        }

        /** Setups that began later than this. */
        long setupsAfter(double time) {
            synchronized (setups) {
                return setups.stream().filter(at -> at > time).count();
            }
        }

        private synchronized int count(int change) {
            tunnels += change;
            return tunnels;
        }

        private void serve(Socket socket) {
            boolean isOpen = false;
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = socket.getInputStream();
                for (Line line = Line.read(in, Rig.this); line.text != null; line = Line.read(in, Rig.this)) {
                    if (isOpen) {
                        sleep(lineSeconds);
                        trace(name + " sends back " + line.text);
                        say(socket, line.text);
                    } else if (line.text.equals("PING")) {
                        say(socket, "PONG");
                    } else if (line.text.equals("STATS")) {
                        say(socket, "PONG queue=0,inflight=" + count(0) + ",x0=" + (0.2 + 0.002 * count(0)));
                    } else if (line.text.startsWith("OPEN ")) {
                        synchronized (setups) {
                            setups.add(line.beganAt);
                        }
                        trace(name + " got a setup at " + String.format("%.3f", line.beganAt) + ": " + line.text);
                        isOpen = true;
                        count(1);
                        say(socket, "UP " + name + "-" + line.text.split(" ")[1]);
                    } else {
                        say(socket, "SYNTAX");
                        return;
                    }
                }
                if (isOpen) {
                    say(socket, "BYE");
                    trace(name + " said BYE");
                }
            } catch (IOException e) {
                trace(name + ": a connection ended: " + e.getMessage());
            } finally {
                if (isOpen) {
                    count(-1);
                }
            }
        }
    }

    /** A line and when its first byte came; no text at the end of the input. */
    static final class Line {
        final String text;
        final double beganAt;

        private Line(String text, double beganAt) {
            this.text = text;
            this.beganAt = beganAt;
        }

        static Line read(InputStream in, Rig rig) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            double beganAt = 0;
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    return new Line(null, rig.now());
                }
                beganAt = bytes.size() == 0 ? rig.now() : beganAt;
                bytes.write(next);
            }
            return new Line(bytes.toString(StandardCharsets.ISO_8859_1).strip(), beganAt);
        }
    }

    static void say(Socket socket, String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    // ---- Clients ----

    /** Opens one tunnel, holds it for a while, and returns the node's answer; empty without one. */
    String open(int port, String id, double holdSeconds) {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            say(socket, "OPEN " + id + " key-" + id + " c=estado,d=3000");
            socket.setSoTimeout(3500);
            Line answer = Line.read(socket.getInputStream(), this);
            trace("client " + id + " was answered " + answer.text);
            if (answer.text != null && answer.text.startsWith("UP ")) {
                sleep(holdSeconds);
                socket.shutdownOutput();
                try {
                    socket.setSoTimeout(1500);
                    while (Line.read(socket.getInputStream(), this).text != null) {
                        // Until both sides have ended.
                    }
                } catch (SocketTimeoutException e) {
                    // The client has had what it wanted.
                }
            }
            return answer.text == null ? "" : answer.text;
        } catch (IOException e) {
            trace("client " + id + " got no answer: " + e.getMessage());
            return "";
        }
    }

    /** Opens tunnels at a steady rate until a time; each is held for a second. */
    void openUntil(double until, int port, double perSecond, String prefix) {
        for (int i = 0; now() < until; i++) {
            String id = prefix + i;
            THREADS.execute(() -> open(port, id, 1));
            sleep(1 / perSecond);
        }
    }

    // ---- The network ----

    /**
     * A way that can be cut: then open connections stay open and what is sent on them is held; new
     * ones don't come up. What was held passes some time after the way is whole again, as the
     * senders' systems send it again at growing intervals.
     */
    final class Way {
        private final ServerSocket server;
        private final int target;
        private static final int BACKLOG = 4;
        private final List<Socket> fillers = new ArrayList<>();
        private volatile boolean isCut;
        volatile double resendSeconds;
        private final StringBuffer passed = new StringBuffer();
        private final StringBuffer held = new StringBuffer();

        Way(int target) throws IOException {
            this.target = target;
            server = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
            THREADS.execute(
                    () -> {
                        while (true) {
                            try {
                                Socket socket = server.accept();
                                if (isCut) {
                                    awaitWhole();
                                    shut(socket);
                                } else {
                                    THREADS.execute(() -> carry(socket));
                                }
                            } catch (IOException e) {
                                return;
                            }
                        }
                    });
        }

        int port() {
            return server.getLocalPort();
        }

        /** Whether this text has passed in one piece. */
        boolean hasPassed(String what) {
            return passed.indexOf(what) >= 0;
        }

        /** Whether this text is held, or was. */
        boolean hasHeld(String what) {
            return held.indexOf(what) >= 0;
        }

        void cut(boolean cut) {
            isCut = cut;
            // What is not accepted fills the backlog; then the system lets no connection come up.
            for (int i = 0; cut && i < 2 * BACKLOG + 2; i++) {
                Socket filler = new Socket();
                fillers.add(filler);
                try {
                    filler.connect(new InetSocketAddress("127.0.0.1", port()), 20);
                } catch (IOException e) {
                    // The backlog is full.
                }
            }
            if (!cut) {
                fillers.forEach(Rig::shut);
                fillers.clear();
            }
        }

        private void awaitWhole() {
            while (isCut) {
                sleep(0.01);
            }
        }

        private void carry(Socket near) {
            try {
                Socket far = new Socket("127.0.0.1", target);
                THREADS.execute(() -> pump(near, far));
                pump(far, near);
            } catch (IOException e) {
                shut(near);
            }
        }

        private String text(byte[] buffer, int count) {
            return new String(buffer, 0, count, StandardCharsets.ISO_8859_1).replaceAll("[^ -~]", ".");
        }

        private void pump(Socket from, Socket to) {
            byte[] buffer = new byte[16384];
            try {
                OutputStream out = to.getOutputStream();
                for (int count = from.getInputStream().read(buffer);
                        count >= 0;
                        count = from.getInputStream().read(buffer)) {
                    if (isCut) {
                        held.append(text(buffer, count));
                        trace("held on a way that is cut: " + text(buffer, count));
                        awaitWhole();
                        sleep(resendSeconds);
                        trace("passed on late: " + text(buffer, count));
                    }
                    out.write(buffer, 0, count);
                    passed.append(text(buffer, count));
                }
            } catch (IOException e) {
                // One side has ended.
            }
            awaitWhole();
            shut(from);
            shut(to);
        }
    }

    // ---- Configurations ----

    /** A node's configuration as the platform writes it, with settings of a small deployment. */
    static String configuration(
            String name, int listen, int management, int discovery, String known) {
        return """
                {"name": "%s", "listen": "127.0.0.1:%d", "discovery": "127.0.0.1:%d",
                 "management": "127.0.0.1:%d", "seed": "8c1f30d27a5be964",
                 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                 "known": %s,
                 "settings": {
                  "balancers": 1, "rank": 0, "az": "here", "areas": ["here"], "tiers": ["sesiones"],
                  "discovery": "automatic",
                  "profiles": [{"name": "estado", "repeat": "idempotent", "setup-goal-s": 0.8,
                    "client-timeout-s": 3.0, "credit": 3.0}],
                  "report": {"how": "pull", "columns": ["q", "rif", "x0"]},
                  "domain": {"mode": "proxy", "park-s": 0.0, "message-aim-s": [0.25]},
                  "limits": {"may-probe": true, "may-cancel": true, "may-duplicate": false,
                    "most-setups": 3, "retry-after": true, "max-retry-after-s": 2.0,
                    "connect-timeout-s": 0.2},
                  "rules": {"answer-slack-s": 0.016, "drain-grace-s": 0.4, "cold-from": 0.3,
                    "warm-after-s": 8.5, "fall-multiple": 3.0, "fall-s": 2.0}}}
                """
                .formatted(name, listen, discovery, management, known);
    }
}
