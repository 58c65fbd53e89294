import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Case: a host is taken out by hand at the process that is being replaced. */
final class BanOverUpgrade {

    /** The settings' drain-grace-s and the protocol page's 50 ms. */
    private static final double GRACE = 1.0 + 0.05;

    private static final double WATCHED_SECONDS = 12;

    public static void main(String[] args) throws Exception {
        Stand.main(args, BanOverUpgrade::play);
    }

    private static boolean play(Stand stand) throws Exception {
        List<Stand.Host> hosts = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            hosts.add(stand.new Host("h" + i));
        }
        Stand.Discovery discovery = stand.new Discovery(hosts, 40);
        int listen = stand.freePort();
        int oldManagement = stand.freePort();
        int newManagement = stand.freePort();
        Path shared = Files.createDirectory(stand.folder.resolve("tmp"));
        Stand.Program before = start(stand, "old", listen, discovery, oldManagement, hosts, shared);
        stand.awaitReady(before, oldManagement, 20);
        for (int i = 0; i < 12; i++) {
            stand.heldTunnel(listen, "held" + i);
        }
        Stand.Clients clients = stand.new Clients(List.of(listen), 0.04);
        stand.pause(2.5);
        Stand.Program after = start(stand, "new", listen, discovery, newManagement, hosts, shared);
        stand.awaitReady(after, newManagement, 20);
        stand.pause(0.5);
        Map<String, Double> outSince = new HashMap<>();
        exclude(stand, oldManagement, "h1", outSince);
        if (stand.trouble) {
            before.signal("TERM");
        }
        stand.pause(0.3);
        exclude(stand, oldManagement, "h2", outSince);
        if (!outSince.containsKey("h1")) {
            throw new Stand.CannotRun("the old process did not say yes");
        }
        double from = stand.now();
        stand.pause(WATCHED_SECONDS);
        double to = stand.now();
        clients.end();
        if (stand.trouble && before.isAlive() || !after.isAlive()) {
            throw new Stand.CannotRun("the processes are not those that should be there");
        }
        if (stand.arrivalsAt("h3", from, to) == 0 || stand.arrivalsAt("h4", from, to) == 0) {
            throw new Stand.CannotRun("the hosts that stay in use get nothing");
        }
        boolean held = true;
        for (String host : List.of("h1", "h2", "h3", "h4")) {
            Double since = outSince.get(host);
            long late = since == null ? 0 : stand.arrivalsAt(host, since + GRACE, to);
            stand.note(
                    host
                            + ": "
                            + stand.arrivalsAt(host, from, to)
                            + " tunnels in the last "
                            + (int) WATCHED_SECONDS
                            + " s"
                            + (since == null
                                    ? ", not out"
                                    : ", " + late + " of them later than the grace after the yes"));
            held &= late == 0;
        }
        return held;
    }

    private static Stand.Program start(
            Stand stand,
            String name,
            int listen,
            Stand.Discovery discovery,
            int management,
            List<Stand.Host> hosts,
            Path shared)
            throws Exception {
        Path file =
                stand.nodeConfiguration("n1", listen, discovery.port, management, hosts, 40);
        return stand.start(
                name,
                stand.deployCommand("run"),
                Map.of(
                        "LB_CONFIG", file.toString(),
                        "LB_NAME", "n1",
                        "LB_LISTEN", "127.0.0.1:" + listen,
                        "LB_DISCOVERY", "127.0.0.1:" + discovery.port,
                        "LB_MANAGEMENT", "127.0.0.1:" + management,
                        "TMPDIR", shared.toString()));
    }

    private static void exclude(
            Stand stand, int management, String host, Map<String, Double> outSince) {
        Map.Entry<Integer, String> answer =
                Stand.http("POST", management, "/api/exclude/" + host);
        stand.note("exclude " + host + " at the old process: " + answer);
        if (answer.getKey() == 200) {
            outSince.put(host, stand.now());
        }
    }
}
