package embershift.rig.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.hosted.StoreClient;
import embershift.rig.history.History;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

/**
 * Instances, nodes with doors, hosts, discovery and whoever starts things anew: a small fleet of
 * processes with relays between them.
 */
public final class FleetSite implements AutoCloseable {

    private static final List<String> OPTIONS =
            List.of(
                    "-XX:+UseSerialGC",
                    "-Xms24m",
                    "-Xmx96m",
                    "-XX:TieredStopAtLevel=1",
                    "-Xss256k",
                    "-XX:-UsePerfData",
                    "--add-exports",
                    "java.base/sun.nio.ch=ALL-UNNAMED",
                    "-Djava.nio.channels.spi.SelectorProvider=embershift.transport.SharingProvider");
    private static final double PATIENCE = 30;

    /** What discovery is to the ways of instances. */
    public static final String DISCOVERY = "discovery";

    /** What a command prints is heard by the thread that gives it; all else goes where it went. */
    private static final ThreadLocal<ByteArrayOutputStream> HEARD = new ThreadLocal<>();

    static {
        PrintStream before = System.out;
        System.setOut(
                new PrintStream(
                        new OutputStream() {
                            @Override
                            public void write(int one) {
                                write(new byte[] {(byte) one}, 0, 1);
                            }

                            @Override
                            public void write(byte[] bytes, int from, int many) {
                                ByteArrayOutputStream heard = HEARD.get();
                                if (heard == null) {
                                    before.write(bytes, from, many);
                                } else {
                                    heard.write(bytes, from, many);
                                }
                            }

                            @Override
                            public void flush() {
                                before.flush();
                            }
                        },
                        true,
                        StandardCharsets.UTF_8));
    }

    private final Path folder;
    public final Ways ways;
    public final Instances instances;
    public final HostsStand hosts;
    public final ManagerStand manager;
    private final Map<String, Program> nodes = new ConcurrentHashMap<>();
    private final List<Program> allNodes = new ArrayList<>();
    private final Map<String, Integer> ports = new ConcurrentHashMap<>();
    private final List<Relay> relays = new ArrayList<>();
    private final Map<String, Relay> discoveryWays = new HashMap<>();
    private final Map<String, Path> doors = new HashMap<>();
    private long tunnels;

    /**
     * {@code fleet}: more lines of the instances' section of that name; {@code door}: of each
     * node's file.
     */
    public FleetSite(
            Path folder, int manyInstances, int manyNodes, int manyHosts, String fleet, String door)
            throws IOException {
        this.folder = folder;
        ways = new Ways(1);
        hosts = new HostsStand(manyHosts);
        manager = new ManagerStand(this::startAnew);
        for (int i = 1; i <= manyInstances; i++) {
            String name = "i" + i;
            Relay relay =
                    new Relay(
                            ways,
                            name,
                            DISCOVERY,
                            () ->
                                    new InetSocketAddress(
                                            InetAddress.getLoopbackAddress(),
                                            hosts.discoveryPort()));
            relays.add(relay);
            discoveryWays.put(name, relay);
        }
        instances =
                new Instances(
                        folder,
                        manyInstances,
                        ways,
                        new History(),
                        name -> fleetSection(name) + fleet);
        instances.startAll();
        instances.form(manyInstances);
        for (int i = 1; i <= manyNodes; i++) {
            String name = "n" + i;
            List<String> at = new ArrayList<>();
            for (String instance : instances.names()) {
                Relay relay = new Relay(ways, name, instance, () -> instances.listen(instance));
                relays.add(relay);
                at.add("\"127.0.0.1:" + relay.address().getPort() + "\"");
            }
            doors.put(
                    name,
                    Files.writeString(
                            folder.resolve(name + ".door.toml"),
                            "instances = ["
                                    + String.join(", ", at)
                                    + "]\n"
                                    + (door.contains("report-s") ? "" : "report-s = 0.2\n")
                                    + door));
        }
        startNodes();
    }

    /** Each instance has a way of its own to discovery, which nodes reach directly. */
    private String fleetSection(String instance) {
        return "[fleet]\ndiscovery = \"127.0.0.1:"
                + discoveryWays.get(instance).address().getPort()
                + "\"\ndiscovery-at-nodes = \"127.0.0.1:"
                + hosts.discoveryPort()
                + "\"\nmanager = \"127.0.0.1:"
                + manager.port()
                + "\"\n";
    }

    private void startNodes() throws IOException {
        List<IOException> failed = new ArrayList<>();
        doors.keySet().stream().sorted().toList().parallelStream()
                .forEach(
                        name -> {
                            try {
                                startNode(name);
                            } catch (IOException e) {
                                synchronized (failed) {
                                    failed.add(e);
                                }
                            }
                        });
        if (!failed.isEmpty()) {
            throw failed.get(0);
        }
    }

    /** Starts a node, or another of its name beside it. */
    public Program startNode(String name) throws IOException {
        Path configuration =
                Files.writeString(
                        folder.resolve(name + ".json"),
                        """
            {"name":"%s","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"1",
             "settings":{"balancers":1,"az":"a","discovery":"subscribe",
              "profiles":[{"name":"p","repeat":"idempotent","setup-goal-s":0.5,"client-timeout-s":3}],
              "limits":{"may-probe":false,"may-cancel":true,"may-duplicate":false,"most-setups":3,"retry-after":true},
              "rules":{"must-ask-in-s":9,"drain-grace-s":1,"cold-from":0.3,"warm-after-s":2,"fall-multiple":4,"fall-s":1.5}}}"""
                                .formatted(name, hosts.discoveryPort()));
        Program program =
                Program.java(
                        System.getProperty("java.class.path"),
                        OPTIONS,
                        "embershift.door.Main",
                        List.of(
                                "serve",
                                "--configuration",
                                configuration.toString(),
                                "--door",
                                doors.get(name).toString()),
                        Map.of(),
                        folder.resolve(name + ".log"));
        synchronized (this) {
            nodes.put(name, program);
            allNodes.add(program);
        }
        ports.put(
                name,
                program.await(
                        text ->
                                text.contains("listening on 127.0.0.1:") && text.endsWith("\n")
                                        ? Integer.valueOf(
                                                text.replaceAll(
                                                        "(?s).*listening on 127.0.0.1:(\\d+).*",
                                                        "$1"))
                                        : null,
                        PATIENCE));
        return program;
    }

    private void startAnew(String kind, String name) throws IOException {
        if (kind.equals("node")) {
            Program before = nodes.get(name);
            before.terminate();
            before.await();
            startNode(name);
        } else {
            hosts.lifecycle(name, "terminating", false);
            Instances.sleep(0.3);
            hosts.breakOff(name);
            Instances.sleep(0.3);
            hosts.lifecycle(name, "in_service", true);
        }
    }

    public List<String> nodeNames() {
        return doors.keySet().stream().sorted().toList();
    }

    public Program node(String name) {
        return nodes.get(name);
    }

    /**
     * Opens a tunnel at a node and lets it go again; what the node answered, or null where it
     * answered nothing.
     */
    public String tunnel(String node) {
        String id = node + "-" + nextTunnel();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), ports.get(node))) {
            socket.setSoTimeout(4000);
            socket.getOutputStream()
                    .write(
                            ("OPEN " + id + " k c=p,d=3000\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1));
            return new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1))
                    .readLine();
        } catch (IOException e) {
            return null;
        }
    }

    private synchronized long nextTunnel() {
        return ++tunnels;
    }

    /**
     * Clients that open tunnels at each node until they are closed; answers are counted by their
     * first word.
     */
    public final class Clients implements AutoCloseable {
        private final Map<String, Integer> answers = new TreeMap<>();
        private volatile boolean over;

        public Clients(double pause) {
            for (String node : doors.keySet()) {
                Thread thread =
                        new Thread(
                                () -> {
                                    while (!over) {
                                        String answer = tunnel(node);
                                        synchronized (answers) {
                                            answers.merge(
                                                    answer == null
                                                            ? "nothing"
                                                            : answer.split(" ")[0],
                                                    1,
                                                    Integer::sum);
                                        }
                                        Instances.sleep(pause);
                                    }
                                },
                                "client");
                thread.setDaemon(true);
                thread.start();
            }
        }

        public Map<String, Integer> answers() {
            synchronized (answers) {
                return new TreeMap<>(answers);
            }
        }

        @Override
        public void close() {
            over = true;
        }
    }

    /**
     * All setups that reached a host after that time (ns), by tunnels of that node; null: of any.
     */
    public long setups(String host, String node, long after) {
        return hosts.setups().stream()
                .filter(
                        setup ->
                                setup.host().equals(host)
                                        && setup.at() > after
                                        && (node == null || setup.tunnel().startsWith(node + "-")))
                .count();
    }

    private List<String> addresses() {
        return instances.names().stream()
                .map(name -> "127.0.0.1:" + instances.way(Instances.CLIENTS, name).getPort())
                .collect(Collectors.toList());
    }

    private JsonNode item(String key) {
        try (StoreClient client = instances.client()) {
            StoreClient.Outcome outcome =
                    client.call(StoreClient.newCall("get").put("key", key), 5);
            return outcome.isDone()
                    ? outcome.answer().path("items").path(0)
                    : MissingNode.getInstance();
        }
    }

    /** What a key of the record holds, or null. */
    public String get(String key) {
        JsonNode item = item(key);
        return item.isMissingNode() ? null : item.path("value").asText();
    }

    /** The keys and values of the record that begin so. */
    public Map<String, String> list(String prefix) {
        Map<String, String> all = new TreeMap<>();
        try (StoreClient client = instances.client()) {
            StoreClient.Outcome outcome =
                    client.call(StoreClient.newCall("list").put("prefix", prefix), 5);
            if (outcome.isDone()) {
                outcome.answer()
                        .path("items")
                        .forEach(
                                item ->
                                        all.put(
                                                item.path("key").asText(),
                                                item.path("value").asText()));
            }
        }
        return all;
    }

    /** A command as an administrator gives it: its exit status and what it printed. */
    public record Said(int status, String text) {}

    public Said fleet(String... words) throws IOException {
        List<String> line =
                new ArrayList<>(List.of("fleet", words[0], "--at", String.join(",", addresses())));
        line.addAll(List.of(words).subList(1, words.length));
        ByteArrayOutputStream heard = new ByteArrayOutputStream();
        HEARD.set(heard);
        try {
            return new Said(
                    embershift.hosted.Main.run(line.toArray(new String[0])),
                    heard.toString(StandardCharsets.UTF_8));
        } finally {
            HEARD.remove();
        }
    }

    /** The state that the owner of the rollout has noted of a node, its first word; "" for none. */
    public String state(String node) {
        String state = get("state/" + node);
        return state == null ? "" : state.split(" ")[0];
    }

    /** The instance that owns a duty now, or null. */
    public String owner(String duty) {
        return get("duty/" + duty + "/owner");
    }

    /**
     * Waits until something is so, or fails with what was waited for. {@code seconds}: as {@link
     * Patience} counts them.
     */
    public static void await(String what, double seconds, BooleanSupplier so) throws IOException {
        for (Patience patience = new Patience(seconds); !so.getAsBoolean(); Instances.sleep(0.05)) {
            if (patience.over()) {
                throw new IOException("not in time: " + what);
            }
        }
    }

    /** Of the latest grant of a duty; "" for none. */
    public String fence(String duty) {
        return item("duty/" + duty + "/fence").path("revision").asText();
    }

    public String awaitOwner(String duty, String but) throws IOException {
        String[] owner = new String[1];
        await(
                "an owner of " + duty + (but == null ? "" : " that is not " + but),
                PATIENCE,
                () -> {
                    owner[0] = owner(duty);
                    return owner[0] != null && !owner[0].equals(but);
                });
        return owner[0];
    }

    public void awaitState(String node, String state) throws IOException {
        await(
                node + " " + state + ", is " + state(node),
                PATIENCE,
                () -> state(node).equals(state));
    }

    /** What one instance has counted. */
    public ObjectNode counts(String instance) {
        ObjectNode status = instances.status(instance);
        return status == null ? null : (ObjectNode) status.path("counts");
    }

    @Override
    public void close() throws IOException {
        synchronized (this) {
            allNodes.forEach(Program::kill);
        }
        instances.close();
        for (Relay relay : relays) {
            relay.close();
        }
        manager.close();
        hosts.close();
    }
}
