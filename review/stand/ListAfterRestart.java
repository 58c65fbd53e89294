import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Case: discovery restarts, counts versions anew, and turns the call for the whole list away once. */
final class ListAfterRestart {

    /** After that a change counts as told, whatever became of calls before. */
    private static final double TOLD_SECONDS = 6;

    /** The settings' drain-grace-s and the protocol page's 50 ms. */
    private static final double GRACE = 1.0 + 0.05;

    private static final double WATCHED_SECONDS = 25;

    public static void main(String[] args) throws Exception {
        Stand.main(args, ListAfterRestart::play);
    }

    private static boolean play(Stand stand) throws Exception {
        List<Stand.Host> hosts = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            hosts.add(stand.new Host("h" + i));
        }
        Stand.Discovery discovery = stand.new Discovery(hosts, 40);
        int listen = stand.freePort();
        int management = stand.freePort();
        Path file =
                stand.nodeConfiguration("n1", listen, discovery.port, management, hosts, 40);
        Stand.Program node =
                stand.start(
                        "n1",
                        stand.deployCommand("run"),
                        Map.of(
                                "LB_CONFIG", file.toString(),
                                "LB_NAME", "n1",
                                "LB_LISTEN", "127.0.0.1:" + listen,
                                "LB_DISCOVERY", "127.0.0.1:" + discovery.port,
                                "LB_MANAGEMENT", "127.0.0.1:" + management,
                                "TMPDIR",
                                        Files.createDirectory(stand.folder.resolve("tmp"))
                                                .toString()));
        stand.awaitReady(node, management, 20);
        Stand.Clients clients = stand.new Clients(List.of(listen), 0.05);
        stand.pause(4);
        if (stand.arrivalsAt("h1", 0, stand.now()) == 0) {
            throw new Stand.CannotRun("h1 is not in use");
        }
        if (stand.trouble) {
            discovery.down();
            stand.pause(1);
            discovery.set("h1", "terminating");
            discovery.turnAway(1);
            discovery.upAgain(3);
        } else {
            discovery.set("h1", "terminating");
        }
        // The bound runs from the moment in which discovery had the change and could be reached; a
        // call that it turned away does not count as that.
        double reachable = stand.now();
        if (stand.trouble) {
            stand.await(
                    "the call for the whole list",
                    15,
                    () -> discovery.lastTurnedAwayAt() > Double.NEGATIVE_INFINITY);
            reachable = discovery.lastTurnedAwayAt();
        }
        stand.pauseUntil(reachable + WATCHED_SECONDS);
        double to = stand.now();
        clients.end();
        double bound = reachable + TOLD_SECONDS + GRACE;
        long late = stand.arrivalsAt("h1", bound, to);
        stand.note(
                "h1: "
                        + late
                        + " tunnels between "
                        + String.format("%.1f s and %.1f s", bound, to)
                        + " after it counts as told that h1 drains; h2: "
                        + stand.arrivalsAt("h2", bound, to)
                        + ", h3: "
                        + stand.arrivalsAt("h3", bound, to));
        if (!node.isAlive() || stand.arrivalsAt("h2", bound, to) == 0) {
            throw new Stand.CannotRun("the hosts that stay in use get nothing");
        }
        return late == 0;
    }
}
