import java.util.LinkedHashMap;
import java.util.List;
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
        Rig.Discovery discovery = rig.new Discovery("discovery");
        List<Rig.Host> hosts = rig.hosts(3, discovery);
        Map<String, Rig.Way> ways = new LinkedHashMap<>();
        for (String name : Rig.INSTANCES) {
            ways.put(name, rig.new Way(discovery.port()));
        }
        Rig.Instances instances = rig.new Instances(name -> ways.get(name).port());
        int clients = Rig.freePort();
        rig.startAgent("n1", "n1", clients, Rig.freePort(), discovery, instances.toml());
        String owner = "";
        for (double until = rig.now() + 15; owner.isEmpty() && rig.now() < until; Rig.sleep(0.3)) {
            owner = instances.value("duty/lists/owner");
        }
        if (!ways.containsKey(owner)) {
            throw new Rig.CannotRun("nobody owns the duty lists");
        }
        rig.warmUp(hosts, clients, 5, 10);
        if (rig.trouble) {
            ways.get(owner).cut(true);
            rig.note("the way from " + owner + " to discovery is cut");
        }
        Rig.sleep(1);
        discovery.list("h1", hosts.get(0).port(), "terminating");
        double drainedAt = rig.now();
        rig.openUntil(drainedAt + CUT_SECONDS - 1, clients, 10, "b");
        ways.get(owner).cut(false);
        rig.note("the way is whole");
        rig.openUntil(rig.now() + 5, clients, 10, "c");
        return rig.noneLate(hosts, drainedAt, drainedAt + TOLD_SECONDS + GRACE_SECONDS);
    }
}
