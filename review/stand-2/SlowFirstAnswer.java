import java.util.Map;

/**
 * A node is restarted as planned where lists are pushed, and discovery takes its time for the first call.
 * A host has begun to drain since the list that the new process starts with.
 */
final class SlowFirstAnswer {

    private static final double GRACE_SECONDS = 0.4 + 0.05;
    private static final double TURN_SECONDS = 1.5;

    public static void main(String[] arguments) throws Exception {
        Rig.run(arguments, SlowFirstAnswer::check);
    }

    private static boolean check(Rig rig) throws Exception {
        Rig.Host draining = rig.new Host("h1");
        Rig.Host other = rig.new Host("h2");
        Rig.Host third = rig.new Host("h3");
        Rig.Discovery discovery = rig.new Discovery("discovery");
        discovery.list("h1", draining.port(), "in_service");
        discovery.list("h2", other.port(), "in_service");
        discovery.list("h3", third.port(), "in_service");
        int clients = Rig.freePort();
        int operators = Rig.freePort();
        Map<String, String> variables =
                Map.of(
                        "TMPDIR",
                        rig.temporary.toString(),
                        "LB_CONFIG",
                        rig.write(
                                        "n1.json",
                                        Rig.configuration(
                                                "n1", clients, operators, discovery.port(), discovery.whole()))
                                .toString());
        Process node = rig.start("n1", rig.deployCommand("run"), variables);
        rig.await("n1 is ready", 20, () -> Rig.call("GET", operators, "/api/ready") == 200);
        rig.openUntil(rig.now() + 3, clients, 20, "a");
        if (draining.setupsAfter(0) == 0) {
            throw new Rig.CannotRun("the host that is to drain got no tunnel before");
        }
        rig.signal(node, "TERM");
        discovery.list("h1", draining.port(), "terminating");
        rig.note("n1 ended with status " + node.waitFor());
        if (rig.trouble) {
            discovery.turnSeconds = TURN_SECONDS;
            rig.note("discovery answers a call after " + TURN_SECONDS + " s");
        }
        rig.start("n1-again", rig.deployCommand("run"), variables);
        rig.await("n1 is ready again", 20, () -> Rig.call("GET", operators, "/api/ready") == 200);
        double readyAt = rig.now();
        rig.openUntil(readyAt + 6, clients, 40, "b");
        double latest = readyAt + GRACE_SECONDS;
        long late = draining.setupsAfter(latest);
        rig.note("setups sent to h1 after the restart: " + draining.setupsAfter(readyAt - 0.5));
        rig.note("of them later than " + String.format("%.2f", latest) + " (ready, the grace and 50 ms): " + late);
        rig.note("setups sent to h2 and h3: " + (other.setupsAfter(readyAt) + third.setupsAfter(readyAt)));
        return late == 0;
    }
}
