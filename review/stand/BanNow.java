import java.util.ArrayList;
import java.util.List;

/** Case: two revisions are made while the duty rollout has no owner, the first of them with --now. */
final class BanNow {

    /** More than the session (5 s), an election (0.6 s) and the rollout's patience (10 s) together. */
    private static final double BOUND_SECONDS = 20;

    private static final double WATCHED_SECONDS = 35;

    public static void main(String[] args) throws Exception {
        Stand.main(args, BanNow::play);
    }

    private static boolean play(Stand stand) throws Exception {
        List<Stand.Host> hosts = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            hosts.add(stand.new Host("h" + i));
        }
        Stand.Discovery discovery = stand.new Discovery(hosts, 40);
        Fleet fleet =
                new Fleet(
                        stand,
                        3,
                        "[fleet]\ndiscovery = \"127.0.0.1:"
                                + discovery.port
                                + "\"\nsession-s = 5\n");
        for (String name : List.of("n1", "n2", "n3")) {
            fleet.startNode(name, discovery.port, hosts, "");
        }
        Stand.Clients clients = stand.new Clients(List.copyOf(fleet.listen.values()), 0.1);
        fleet.expectDone("revise sockets=900 --at " + fleet.all());
        stand.await(
                "revision 1 on all nodes",
                30,
                () -> fleet.get("rollout/floor").equals("1"));
        if (stand.arrivalsAt("h1", 0, stand.now()) == 0) {
            throw new Stand.CannotRun("h1 is not in use");
        }
        if (stand.trouble) {
            String owner = fleet.get("duty/rollout/owner");
            fleet.instances.get(owner).signal("KILL");
        }
        stand.note(fleet.expectDone("revise --now out/h1=worn --at " + fleet.all()));
        double accepted = stand.now();
        stand.note(fleet.expectDone("revise colour=red --at " + fleet.all()));
        stand.await(
                "revision 3 is halted",
                BOUND_SECONDS,
                () -> fleet.get("rollout/stage").startsWith("3 HALTED"));
        stand.note("rollout/stage: " + fleet.get("rollout/stage"));
        stand.pauseUntil(accepted + WATCHED_SECONDS);
        double to = stand.now();
        clients.end();
        stand.note("states: " + fleet.states());
        double bound = accepted + BOUND_SECONDS;
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
