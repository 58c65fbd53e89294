package embershift.rig.scale;

import embershift.rig.scale.ModuleSimulation.Kind;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

/** What the module costs a node by the number of hosts: by its rounds, and by its questions. */
final class ModuleCosts {

    /** Virtual seconds until the measures over time inside the module are filled. */
    private static final double WARM = 9;

    private static final int FIRST_WARM_HOSTS = 200;
    private static final double MICRO = 1e6;
    private static final double MILLI = 1e3;
    private static final double PERCENT = 100;

    /**
     * Groups that the connections of one node are of, one in two alone in its group: what is known
     * of the size tells no more.
     */
    private static final int CONNECTIONS_A_GROUP = 2;

    /** A question and its answer, as one host of the emulator words it. */
    static final int QUESTION = "STATS\r\n".length();

    static final int ANSWER =
            "PONG inflight=21735,queue=12,x0=0.5012\r\n".getBytes(StandardCharsets.US_ASCII).length;

    /**
     * Headers of what goes over a connection: IPv4 and TCP with time stamps; question, answer, and
     * one that only acknowledges.
     */
    static final int HEADERS = 3 * 52;

    private static final double MEGA = 1 << 20;

    private ModuleCosts() {}

    private static ModuleSimulation simulation(ScaleFile.Size size, int hosts) {
        return new ModuleSimulation(
                hosts,
                size.nodes(),
                size.connections(),
                size.placements(),
                size.connections() / CONNECTIONS_A_GROUP);
    }

    static List<Curve> measure(ScaleFile file, ResourceLimits limits, Consumer<String> progress)
            throws ResourceLimits.Exceeded {
        ScaleFile.Size size = file.size();
        progress.accept("module: compiler warms up");
        ModuleSimulation warm = simulation(size, FIRST_WARM_HOSTS);
        warm.run(WARM + 2 * file.module().seconds());
        Curve.Many points =
                new Curve.Many(
                        "module: first list of hosts",
                        "ms",
                        "module: a round without news",
                        "us",
                        "module: a round with a report",
                        "us",
                        "module: a round with an arrival",
                        "us",
                        "module: questions to hosts",
                        "a second",
                        "module: control's rounds (reports, wake-ups)",
                        "% of a core",
                        "module: clients' rounds (arrivals, openings, ends)",
                        "% of a core",
                        "module: bytes of questions and answers, without headers",
                        "bytes a second",
                        "module: bytes of questions and answers, headers reckoned",
                        "bytes a second",
                        "questions that come to one host from all nodes",
                        "a second",
                        "module: tunnels declined or closed with error",
                        "% of arrivals",
                        "module: heap of the hosts it knows",
                        "MB");
        for (int hosts : file.module().hosts().stream().sorted().toList()) {
            List<double[]> repeats = new ArrayList<>();
            for (int i = 0; i < file.repeats(); i++) {
                limits.check();
                repeats.add(once(size, hosts, file.module().seconds()));
            }
            points.add(hosts, repeats);
            progress.accept(String.format(Locale.ROOT, "module: %d hosts done", hosts));
        }
        return points.curves("hosts", size.hosts());
    }

    private static double[] once(ScaleFile.Size size, int hosts, double seconds) {
        // First, while nothing of this point is there.
        double heap = heap(hosts);
        ModuleSimulation simulation = simulation(size, hosts);
        simulation.run(WARM);
        simulation.countAnew();
        simulation.run(seconds);
        double asked = simulation.asked() / seconds;
        double control = simulation.processor(Kind.REPORT) + simulation.processor(Kind.WAKE);
        double clients =
                simulation.processor(Kind.ARRIVAL)
                        + simulation.processor(Kind.OPENED)
                        + simulation.processor(Kind.ENDED);
        return new double[] {
            simulation.firstList() * MILLI,
            each(simulation, Kind.WAKE),
            each(simulation, Kind.REPORT),
            each(simulation, Kind.ARRIVAL),
            asked,
            PERCENT * control / seconds,
            PERCENT * clients / seconds,
            asked * (QUESTION + ANSWER),
            asked * (QUESTION + ANSWER + HEADERS),
            asked * size.nodes() / hosts,
            PERCENT * simulation.declined() / Math.max(1, simulation.rounds(Kind.ARRIVAL)),
            heap
        };
    }

    /** Megabytes that a module takes which knows so many hosts and has no tunnel. */
    private static double heap(int hosts) {
        long before = Cpu.heap();
        ModuleSimulation simulation = new ModuleSimulation(hosts, 1, 0, 1, 0);
        long with = Cpu.heap();
        // Read behind it, so that it is reachable until then.
        return simulation.nodes() * (with - before) / MEGA;
    }

    private static double each(ModuleSimulation simulation, Kind kind) {
        return MICRO * simulation.processor(kind) / Math.max(1, simulation.rounds(kind));
    }
}
