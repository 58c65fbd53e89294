import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Instances of the control plane, and nodes with its agent. */
final class Fleet {

    final Stand stand;
    final Map<String, Integer> ports = new TreeMap<>();
    final Map<String, Stand.Program> instances = new TreeMap<>();
    final Map<String, Stand.Program> nodes = new TreeMap<>();
    final Map<String, Integer> listen = new TreeMap<>();
    private final String fleetSection;

    Fleet(Stand stand, int instanceCount, String fleetSection) throws Exception {
        this.stand = stand;
        this.fleetSection = fleetSection;
        for (int i = 1; i <= instanceCount; i++) {
            ports.put("i" + i, stand.freePort());
        }
        for (String name : ports.keySet()) {
            startInstance(name);
        }
        for (String name : ports.keySet()) {
            stand.await(
                    name + " listens",
                    20,
                    () -> instances.get(name).logText().contains("listening"));
        }
        expectDone("found --at " + address("i1"));
        for (String name : ports.keySet()) {
            if (!name.equals("i1")) {
                stand.await(
                        name + " is added",
                        30,
                        () -> fleet("add " + address(name) + " --at " + all()).getKey() == 0);
            }
        }
        stand.await(
                "all instances vote",
                30,
                () ->
                        fleet("members --json --at " + all())
                                        .getValue()
                                        .split("\"role\":\"voter\"", -1)
                                        .length
                                == instanceCount + 1);
    }

    void startInstance(String name) throws IOException {
        Path file =
                Files.writeString(
                        stand.folder.resolve(name + ".toml"),
                        "name = \""
                                + name
                                + "\"\nfolder = \""
                                + Files.createDirectories(stand.folder.resolve(name))
                                + "\"\nlisten = \""
                                + address(name)
                                + "\"\n"
                                + fleetSection);
        instances.put(
                name,
                stand.start(
                        name,
                        "exec java -Xmx128m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar"
                                + " hosted/target/embershift-hosted.jar instance --installation "
                                + file,
                        Map.of()));
    }

    String address(String name) {
        return "127.0.0.1:" + ports.get(name);
    }

    String all() {
        List<String> addresses = new ArrayList<>();
        ports.keySet().forEach(name -> addresses.add(address(name)));
        return String.join(",", addresses);
    }

    /** Runs a command of the fleet's command line; returns its exit status and what it printed. */
    Map.Entry<Integer, String> fleet(String arguments) throws Exception {
        Map.Entry<Integer, String> result =
                stand.command(
                        "exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar"
                                + " hosted/target/embershift-hosted.jar fleet "
                                + arguments);
        stand.note("  fleet " + arguments + " -> " + result.getKey() + ": " + result.getValue());
        return result;
    }

    String expectDone(String arguments) throws Exception {
        Map.Entry<Integer, String> result = fleet(arguments);
        if (result.getKey() != 0) {
            throw new Stand.CannotRun("fleet " + arguments + ": " + result);
        }
        return result.getValue();
    }

    /** The value of a key of the record, or "". */
    String get(String key) throws Exception {
        Map.Entry<Integer, String> result = fleet("get " + key + " --at " + all());
        return result.getKey() == 0 ? result.getValue() : "";
    }

    void startNode(String name, int discovery, List<Stand.Host> hosts, String agentSettings)
            throws Exception {
        listen.put(name, stand.freePort());
        int management = stand.freePort();
        Path configuration =
                stand.nodeConfiguration(name, listen.get(name), discovery, management, hosts, 40);
        List<String> quoted = new ArrayList<>();
        ports.keySet().forEach(each -> quoted.add("\"" + address(each) + "\""));
        Path door =
                Files.writeString(
                        stand.folder.resolve(name + ".door.toml"),
                        "instances = [" + String.join(", ", quoted) + "]\n" + agentSettings);
        nodes.put(
                name,
                stand.start(
                        name,
                        "exec java -XX:+UseSerialGC -Xms24m -Xmx96m -XX:TieredStopAtLevel=1 -Xss256k"
                                + " -jar door/target/embershift-door.jar serve --door "
                                + door,
                        Map.of(
                                "LB_CONFIG", configuration.toString(),
                                "LB_NAME", name,
                                "LB_LISTEN", "127.0.0.1:" + listen.get(name),
                                "LB_DISCOVERY", "127.0.0.1:" + discovery,
                                "LB_MANAGEMENT", "127.0.0.1:" + management,
                                "TMPDIR",
                                        Files.createDirectory(
                                                        stand.folder.resolve(name + ".tmp"))
                                                .toString())));
        stand.awaitReady(nodes.get(name), management, 20);
    }

    /** Node names by their states in the record. */
    Map<String, String> states() throws Exception {
        Map<String, String> states = new TreeMap<>();
        for (String name : nodes.keySet()) {
            states.put(name, get("state/" + name));
        }
        return states;
    }
}
