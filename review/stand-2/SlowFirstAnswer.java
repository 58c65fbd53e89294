import java.util.List;

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
        Rig.Discovery discovery = rig.new Discovery("discovery");
        List<Rig.Host> hosts = rig.hosts(3, discovery);
        int clients = Rig.freePort();
        int operators = Rig.freePort();
        Process node = rig.startNode("n1", clients, operators, discovery);
        rig.warmUp(hosts, clients, 3, 20);
        rig.signal(node, "TERM");
        discovery.list("h1", hosts.get(0).port(), "terminating");
        rig.note("n1 ended with status " + node.waitFor());
        if (rig.trouble) {
            discovery.turnSeconds = TURN_SECONDS;
            rig.note("discovery answers a call after " + TURN_SECONDS + " s");
        }
        double startedAt = rig.now();
        rig.startNode("n1-again", clients, operators, discovery);
        double readyAt = rig.now();
        rig.openUntil(readyAt + 6, clients, 40, "b");
        return rig.noneLate(hosts, startedAt, readyAt + GRACE_SECONDS);
    }
}
