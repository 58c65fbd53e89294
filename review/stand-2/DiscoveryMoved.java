import java.util.List;

/**
 * A node that has its lists from the instances gets a new configuration with SIGHUP, which names another
 * discovery. A host begins to drain there.
 */
final class DiscoveryMoved {

    private static final double TOLD_SECONDS = 4;
    private static final double GRACE_SECONDS = 0.4 + 0.05;

    public static void main(String[] arguments) throws Exception {
        Rig.run(arguments, DiscoveryMoved::check);
    }

    private static boolean check(Rig rig) throws Exception {
        Rig.Discovery first = rig.new Discovery("first discovery");
        Rig.Discovery second = rig.new Discovery("second discovery");
        List<Rig.Host> hosts = rig.hosts(3, first, second);
        Rig.Instances instances = rig.new Instances(name -> first.port());
        int clients = Rig.freePort();
        int operators = Rig.freePort();
        Process node = rig.startAgent("n1", "n1", clients, operators, first, instances.toml());
        rig.warmUp(hosts, clients, 5, 10);
        double told = rig.now();
        if (rig.trouble) {
            rig.write("n1.json", Rig.configuration("n1", clients, operators, second.port(), first.whole()));
            rig.signal(node, "HUP");
            told = rig.now() + TOLD_SECONDS;
            first.retire(1.5);
        }
        Rig.sleep(1);
        (rig.trouble ? second : first).list("h1", hosts.get(0).port(), "terminating");
        double drainedAt = rig.now();
        rig.openUntil(drainedAt + 25, clients, 10, "b");
        return rig.noneLate(hosts, drainedAt, Math.max(told, drainedAt) + GRACE_SECONDS);
    }
}
