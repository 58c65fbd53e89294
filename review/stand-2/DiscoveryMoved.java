import java.util.LinkedHashMap;
import java.util.Map;

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
        Rig.Host draining = rig.new Host("h1");
        Rig.Host other = rig.new Host("h2");
        Rig.Host third = rig.new Host("h3");
        Rig.Discovery first = rig.new Discovery("first discovery");
        Rig.Discovery second = rig.new Discovery("second discovery");
        for (Rig.Discovery discovery : new Rig.Discovery[] {first, second}) {
            discovery.list("h1", draining.port(), "in_service");
            discovery.list("h2", other.port(), "in_service");
            discovery.list("h3", third.port(), "in_service");
        }
        Map<String, Integer> ports = new LinkedHashMap<>();
        for (String name : new String[] {"i1", "i2", "i3"}) {
            ports.put(name, first.port());
        }
        Rig.Instances instances = rig.new Instances(ports);
        int clients = Rig.freePort();
        int operators = Rig.freePort();
        Process node =
                rig.start(
                        "n1",
                        "exec java -jar door/target/embershift-door.jar serve --configuration "
                                + rig.write(
                                        "n1.json",
                                        Rig.configuration(
                                                "n1", clients, operators, first.port(), first.whole()))
                                + " --door "
                                + rig.write("door.toml", instances.toml()),
                        Map.of("TMPDIR", rig.temporary.toString()));
        rig.await("n1 is ready", 20, () -> Rig.call("GET", operators, "/api/ready") == 200);
        rig.openUntil(rig.now() + 5, clients, 10, "a");
        if (draining.setupsAfter(0) == 0) {
            throw new Rig.CannotRun("the host that is to drain got no tunnel before");
        }
        double told = rig.now();
        if (rig.trouble) {
            rig.write(
                    "n1.json",
                    Rig.configuration("n1", clients, operators, second.port(), first.whole()));
            rig.signal(node, "HUP");
            told = rig.now() + TOLD_SECONDS;
            first.retire(1.5);
        }
        Rig.sleep(1);
        (rig.trouble ? second : first).list("h1", draining.port(), "terminating");
        double drainedAt = rig.now();
        rig.openUntil(drainedAt + 25, clients, 10, "b");
        double latest = Math.max(told, drainedAt) + GRACE_SECONDS;
        long late = draining.setupsAfter(latest);
        rig.note("setups sent to h1 after the drain began: " + draining.setupsAfter(drainedAt));
        rig.note("of them later than " + String.format("%.2f", latest) + " (told, the grace and 50 ms): " + late);
        rig.note("setups sent to h2 and h3 after the drain began: "
                + (other.setupsAfter(drainedAt) + third.setupsAfter(drainedAt)));
        return late == 0;
    }
}
