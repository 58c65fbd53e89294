import java.util.ArrayList;
import java.util.List;

/** Case: discovery restarts and counts versions anew while an instance hands its list to the nodes. */
final class ListsAfterRestart {

    private static final double MUST_ASK_SECONDS = 10;
    private static final double GRACE = 1.0 + 0.05;
    private static final double WATCHED_SECONDS = 40;

    public static void main(String[] args) throws Exception {
        Stand.main(args, ListsAfterRestart::play);
    }

    private static boolean play(Stand stand) throws Exception {
        List<Stand.Host> hosts = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            hosts.add(stand.new Host("h" + i));
        }
        Stand.Discovery discovery = stand.new Discovery(hosts, 40);
        Fleet fleet =
                new Fleet(stand, 3, "[fleet]\ndiscovery = \"127.0.0.1:" + discovery.port + "\"\n");
        fleet.startNode("n1", discovery.port, hosts, "");
        fleet.startNode("n2", discovery.port, hosts, "");
        Stand.Clients clients = stand.new Clients(List.copyOf(fleet.listen.values()), 0.1);
        stand.await("an owner of lists", 20, () -> !fleet.get("duty/lists/owner").isEmpty());
        stand.pause(5);
        if (stand.trouble) {
            discovery.down();
            stand.pause(1);
            discovery.set("h1", "terminating");
            discovery.upAgain(3);
        } else {
            discovery.set("h1", "terminating");
        }
        double reachable = stand.now();
        stand.pauseUntil(reachable + WATCHED_SECONDS);
        double to = stand.now();
        clients.end();
        double bound = reachable + MUST_ASK_SECONDS + GRACE;
        long late = stand.arrivalsAt("h1", bound, to);
        stand.note(
                "h1: "
                        + late
                        + " tunnels between "
                        + String.format("%.1f s and %.1f s", bound, to)
                        + "; h2: "
                        + stand.arrivalsAt("h2", bound, to)
                        + ", h3: "
                        + stand.arrivalsAt("h3", bound, to));
        if (stand.arrivalsAt("h2", bound, to) == 0) {
            throw new Stand.CannotRun("the hosts that stay in use get nothing");
        }
        return late == 0;
    }
}
