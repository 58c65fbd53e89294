package embershift.rig.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.hosted.StoreClient;
import embershift.rig.history.History;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Some instances of the hosted program, each a process of its own, with a relay on the way from
 * each to each.
 */
public final class Instances implements AutoCloseable {

    private static final Pattern LISTENING =
            Pattern.compile("\"message\":\"listening\".*\"address\":\"[^\"]*:(\\d+)\"");
    private static final double START = 20;
    private static final double FORM = 20;
    private static final List<String> OPTIONS =
            List.of(
                    "-XX:+UseSerialGC",
                    "-Xmx192m",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:-UsePerfData",
                    "-Xss256k",
                    "--add-exports",
                    "java.base/sun.nio.ch=ALL-UNNAMED");

    /** Whom clients are to the ways. */
    public static final String CLIENTS = "clients";

    private final Path folder;
    private final Ways ways;
    private final History history;
    private final List<String> names = new ArrayList<>();
    private final Map<String, Program> programs = new HashMap<>();
    private final Map<String, InetSocketAddress> listens = new HashMap<>();
    private final Map<Ways.Way, Relay> relays = new HashMap<>();
    private final Map<String, String> classPaths = new HashMap<>();
    private final Function<String, String> more;

    /** {@code more}: lines of TOML for each installation, may be empty. */
    public Instances(Path folder, int many, Ways ways, History history, String more)
            throws IOException {
        this(folder, many, ways, history, name -> more);
    }

    /** {@code more}: lines of TOML for the installation of that name, may be empty. */
    public Instances(
            Path folder, int many, Ways ways, History history, Function<String, String> more)
            throws IOException {
        this.folder = folder;
        this.ways = ways;
        this.history = history;
        this.more = more;
        for (int i = 1; i <= many; i++) {
            names.add("i" + i);
        }
        for (String to : names) {
            for (String from : names) {
                if (!from.equals(to)) {
                    relay(from, to);
                }
            }
            relay(CLIENTS, to);
        }
    }

    private void relay(String from, String to) throws IOException {
        relays.put(new Ways.Way(from, to), new Relay(ways, from, to, () -> listen(to)));
    }

    /** Where it listens now, past all relays; null while it does not. */
    public synchronized InetSocketAddress listen(String name) {
        return listens.get(name);
    }

    public List<String> names() {
        return names;
    }

    public Program program(String name) {
        return programs.get(name);
    }

    /** From its next start on it runs by this class path. */
    public void classPath(String name, String classPath) {
        classPaths.put(name, classPath);
    }

    public Path folder(String name) {
        return folder.resolve(name);
    }

    /** Where {@code from} finds {@code to}. */
    public InetSocketAddress way(String from, String to) {
        return relays.get(new Ways.Way(from, to)).address();
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Starts one and waits until it listens. */
    public void start(String name) throws IOException {
        StringBuilder file =
                new StringBuilder(
                        "name = \""
                                + name
                                + "\"\nfolder = \""
                                + folder(name)
                                + "\"\nlisten = \"127.0.0.1:0\"\ndrills = true\n"
                                + more.apply(name)
                                + "\n[ways]\n");
        for (String other : names) {
            if (!other.equals(name)) {
                file.append(other).append(" = \"").append(text(way(name, other))).append("\"\n");
            }
        }
        Path installation = folder.resolve(name + ".toml");
        Files.writeString(installation, file, StandardCharsets.UTF_8);
        Program program =
                Program.java(
                        classPaths.getOrDefault(name, System.getProperty("java.class.path")),
                        OPTIONS,
                        "embershift.hosted.Main",
                        List.of("instance", "--installation", installation.toString()),
                        Map.of(),
                        folder.resolve(name + ".log"));
        programs.put(name, program);
        int port =
                program.await(
                        text -> {
                            Matcher matcher = LISTENING.matcher(text);
                            return matcher.find() ? Integer.valueOf(matcher.group(1)) : null;
                        },
                        START);
        synchronized (this) {
            listens.put(name, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        }
        history.event("started", name, "");
    }

    public void startAll() throws IOException {
        for (String name : names) {
            start(name);
        }
    }

    public void kill(String name) {
        history.event("killed", name, "");
        synchronized (this) {
            listens.remove(name);
        }
        programs.get(name).kill();
    }

    public void stop(String name) {
        history.event("stopped", name, "");
        programs.get(name).stop();
    }

    public void goOn(String name) {
        history.event("went on", name, "");
        programs.get(name).goOn();
    }

    /** Makes one group of the first {@code many}. */
    public void form(int many) throws IOException {
        found(names.get(0));
        for (int i = 1; i < many; i++) {
            add(names.get(i));
        }
        awaitVoters(many);
    }

    /**
     * Has one begin a group. A call whose answer is late is made again, and that one is refused, as
     * there is a group then: its folder was empty, so that group can only be the one that was asked
     * for.
     */
    public void found(String name) throws IOException {
        StoreClient.Outcome outcome;
        try (StoreClient client = client(name)) {
            outcome = client.call(StoreClient.newCall("found"), FORM);
        }
        if (!outcome.isDone() && !outcome.text().startsWith("this instance belongs to group ")) {
            throw new IOException(outcome.status() + ": " + outcome.text());
        }
    }

    /** Takes one in; the leader finds it by its own way. */
    public void add(String name) throws IOException {
        for (Patience patience = new Patience(FORM); ; ) {
            ObjectNode leader = leader();
            if (leader != null) {
                ObjectNode call =
                        StoreClient.newCall("add")
                                .put("address", text(way(leader.path("name").asText(), name)));
                StoreClient.Outcome outcome;
                try (StoreClient client = client(leader.path("name").asText())) {
                    outcome = client.call(call, 3);
                }
                if (outcome.isDone() || outcome.text().equals("it is so already")) {
                    return;
                }
            }
            if (patience.over()) {
                throw new IOException(name + " can't be taken in");
            }
            sleep(0.05);
        }
    }

    private void awaitVoters(int many) throws IOException {
        Patience patience = new Patience(FORM);
        while (true) {
            ObjectNode leader = leader();
            int voters = 0;
            if (leader != null) {
                for (JsonNode member : leader.path("members")) {
                    voters += member.path("role").asText().equals("voter") ? 1 : 0;
                }
                if (voters == many
                        && leader.path("agreed").asLong() == leader.path("last").asLong()) {
                    return;
                }
            }
            if (patience.over()) {
                throw new IOException("the group did not form: " + leader);
            }
            sleep(0.02);
        }
    }

    public static void sleep(double seconds) {
        try {
            Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * What an instance that runs says of itself, waited for: on a busy machine one answer may be
     * late.
     */
    public ObjectNode awaitStatus(String name, double seconds) throws IOException {
        for (Patience patience = new Patience(seconds); ; sleep(0.02)) {
            ObjectNode status = status(name);
            if (status != null) {
                return status;
            }
            if (patience.over()) {
                throw new IOException(name + " does not answer");
            }
        }
    }

    /** What an instance says of itself, asked past all relays, or null. */
    public ObjectNode status(String name) {
        InetSocketAddress address = listen(name);
        return address == null
                ? null
                : StoreClient.callInstance(address, StoreClient.newCall("status"), 0.5);
    }

    /**
     * What the instance that leads in the latest term says of itself, or null where none says that
     * it leads.
     */
    public ObjectNode leader() {
        return names.stream()
                .map(this::status)
                .filter(Objects::nonNull)
                .filter(status -> status.path("role").asText().equals("leader"))
                .max(Comparator.comparingLong(status -> status.path("term").asLong()))
                .orElse(null);
    }

    /** The name of the leader, waited for. {@code seconds}: as {@link Patience} counts them. */
    public String awaitLeader(double seconds, String... but) throws IOException {
        Patience patience = new Patience(seconds);
        while (true) {
            ObjectNode leader = leader();
            if (leader != null && !List.of(but).contains(leader.path("name").asText())) {
                return leader.path("name").asText();
            }
            if (patience.over()) {
                throw new IOException("nobody leads");
            }
            sleep(0.005);
        }
    }

    /** A client of these instances, or of all where none is named. */
    public StoreClient client(String... some) {
        List<String> wanted = some.length == 0 ? names : List.of(some);
        return new StoreClient(wanted.stream().map(name -> way(CLIENTS, name)).toList(), "client");
    }

    /** Ends all. */
    @Override
    public void close() throws IOException {
        programs.values().forEach(Program::kill);
        for (Relay relay : relays.values()) {
            relay.close();
        }
    }

    /** Takes a run's folder away. */
    public static void delete(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
