import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The instance that owns the duty "lists" loses its way to discovery, while the node reaches both. A host
 * begins to drain.
 */
final class OwnerCutOff {

    private static final double TOLD_SECONDS = 6;
    private static final double GRACE_SECONDS = 0.4 + 0.05;
    private static final double CUT_SECONDS = 16;

    public static void main(String[] arguments) throws Exception {
        Rig.run(arguments, OwnerCutOff::check);
    }

    private static boolean check(Rig rig) throws Exception {
        Rig.Host draining = rig.new Host("h1");
        Rig.Host other = rig.new Host("h2");
        Rig.Host third = rig.new Host("h3");
        Rig.Discovery discovery = rig.new Discovery("discovery");
        discovery.list("h1", draining.port(), "in_service");
        discovery.list("h2", other.port(), "in_service");
        discovery.list("h3", third.port(), "in_service");
        Map<String, Rig.Way> ways = new LinkedHashMap<>();
        Map<String, Integer> ports = new LinkedHashMap<>();
        for (String name : new String[] {"i1", "i2", "i3"}) {
            ways.put(name, rig.new Way(discovery.port()));
            ports.put(name, ways.get(name).port());
        }
        Rig.Instances instances = rig.new Instances(ports);
        int clients = Rig.freePort();
        int operators = Rig.freePort();
        rig.start(
                "n1",
                "exec java -jar door/target/embershift-door.jar serve --configuration "
                        + rig.write(
                                "n1.json",
                                Rig.configuration(
                                        "n1", clients, operators, discovery.port(), discovery.whole()))
                        + " --door "
                        + rig.write("door.toml", instances.toml()),
                Map.of("TMPDIR", rig.temporary.toString()));
        rig.await("n1 is ready", 20, () -> Rig.call("GET", operators, "/api/ready") == 200);
        String owner = "";
        for (double until = rig.now() + 15; owner.isEmpty() && rig.now() < until; Rig.sleep(0.3)) {
            owner = instances.value("duty/lists/owner");
        }
        if (!ways.containsKey(owner)) {
            throw new Rig.CannotRun("nobody owns the duty lists");
        }
        rig.openUntil(rig.now() + 5, clients, 10, "a");
        if (draining.setupsAfter(0) == 0) {
            throw new Rig.CannotRun("the host that is to drain got no tunnel before");
        }
        if (rig.trouble) {
            ways.get(owner).cut(true);
            rig.note("the way from " + owner + " to discovery is cut");
        }
        Rig.sleep(1);
        discovery.list("h1", draining.port(), "terminating");
        double drainedAt = rig.now();
        rig.openUntil(drainedAt + CUT_SECONDS - 1, clients, 10, "b");
        ways.get(owner).cut(false);
        rig.note("the way is whole again");
        rig.openUntil(rig.now() + 5, clients, 10, "c");
        double latest = drainedAt + TOLD_SECONDS + GRACE_SECONDS;
        long late = draining.setupsAfter(latest);
        rig.note("setups sent to h1 after the drain began: " + draining.setupsAfter(drainedAt));
        rig.note("of them later than " + String.format("%.2f", latest) + " (6 s, the grace and 50 ms): " + late);
        rig.note("setups sent to h2 and h3 after the drain began: "
                + (other.setupsAfter(drainedAt) + third.setupsAfter(drainedAt)));
        return late == 0;
    }
}
