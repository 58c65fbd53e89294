import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A site with one instance and one node is cut off from the others. In that time the node is restarted as
 * planned, twice: the first of the two processes asks its instance to register it.
 */
final class StaleRegistration {

    private static final double CUT_SECONDS = 13;
    private static final double RESEND_SECONDS = 6;

    private final Rig rig;
    private final Rig.Discovery discovery;
    private final int clients = Rig.freePort();
    private final int operators = Rig.freePort();

    private StaleRegistration(Rig rig) throws Exception {
        this.rig = rig;
        discovery = rig.new Discovery("discovery");
    }

    public static void main(String[] arguments) throws Exception {
        Rig.run(arguments, rig -> new StaleRegistration(rig).check());
    }

    private Process restart(Process old, String log, String instances) throws Exception {
        rig.signal(old, "TERM");
        rig.note("n1 ended with status " + old.waitFor());
        return rig.startAgent(log, "n1", clients, operators, discovery, instances);
    }

    /** The instance that has passed the registration of a node on to the leader; empty if none has. */
    private static String near(Rig.Instances instances) {
        return Rig.INSTANCES.stream()
                .skip(1)
                .filter(name -> instances.ways.get(name + " to i1").hasPassed("\"node/"))
                .findFirst()
                .orElse("");
    }

    private boolean check() throws Exception {
        rig.hosts(1, discovery);
        Rig.Instances instances =
                rig.new Instances(
                        name -> discovery.port(),
                        "i1 to i2", "i1 to i3", "i2 to i1", "i2 to i3", "i3 to i1", "i3 to i2");
        Map<String, Rig.Way> fromNode = new LinkedHashMap<>();
        List<String> addresses = new ArrayList<>();
        for (String name : Rig.INSTANCES) {
            fromNode.put(name, rig.new Way(instances.ports.get(name)));
            addresses.add("\"127.0.0.1:" + fromNode.get(name).port() + "\"");
        }
        String door = "instances = [" + String.join(", ", addresses) + "]\n";

        Process first = rig.startAgent("n1", "n1", clients, operators, discovery, door);
        // The nodes of the other sites. Each registers at whichever instance answers it first; the site
        // that is cut off is that of an instance which has registered one and does not lead.
        for (int i = 2; i <= 5 || (i <= 9 && near(instances).isEmpty()); i++) {
            rig.startAgent("n" + i, "n" + i, Rig.freePort(), Rig.freePort(), discovery, instances.toml());
        }
        String near = near(instances);
        if (near.isEmpty() && rig.trouble) {
            throw new Rig.CannotRun("all nodes have registered at the leader itself");
        }
        List<Rig.Way> cut = new ArrayList<>();
        instances.ways.forEach((name, way) -> {
            if (name.contains(near)) {
                cut.add(way);
            }
        });
        fromNode.forEach((name, way) -> {
            if (!name.equals(near)) {
                cut.add(way);
            }
        });
        double cutAt = rig.now();
        if (rig.trouble) {
            cut.forEach(way -> way.resendSeconds = RESEND_SECONDS);
            cut.forEach(way -> way.cut(true));
            rig.note("the site of " + near + " and n1 is cut off from the others");
        }
        Process second = restart(first, "n1-second", door);
        boolean held = cut.stream().anyMatch(way -> way.hasHeld("\"node/n1\""));
        rig.note("the second process's registration is " + (held ? "" : "not ") + "held on the way");
        Process third = restart(second, "n1-third", door);
        Rig.sleep(Math.max(0, cutAt + CUT_SECONDS - rig.now()));
        cut.forEach(way -> way.cut(false));
        rig.note("the site is reached again after " + String.format("%.1f", rig.now() - cutAt) + " s");
        int unanswered = 0;
        for (int i = 0; i < 120; i++) {
            unanswered += rig.open(clients, "c" + i, 0).isEmpty() ? 1 : 0;
            Rig.sleep(0.1);
        }
        instances.fleet("nodes", "--at", instances.all());
        boolean runs = third.isAlive();
        rig.note("the third process, the only one of n1, "
                + (runs ? "runs" : "has ended with status " + third.waitFor())
                + "; " + unanswered + " of 120 clients got no answer");
        return runs;
    }
}
