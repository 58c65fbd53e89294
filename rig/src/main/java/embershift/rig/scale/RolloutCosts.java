package embershift.rig.scale;

import embershift.fleet.rollout.ConfigRevision;
import embershift.fleet.rollout.ConfigRollout;
import embershift.fleet.rollout.NodeReport;
import embershift.fleet.rollout.RolloutSettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * What the owner of the rollout costs by the number of nodes, and how long a change takes until all
 * go by it, in virtual time: nodes that answer at once, a record that notes at once, and the
 * owner's own pace and limits.
 */
final class RolloutCosts {

    /** Between two looks of the owner, as {@code LeasedTasks} has it. */
    private static final double TICK = 0.05;

    private static final double ANSWER = 0.01;
    private static final double REPORT = 0.5;
    private static final double SETTLED = 3;
    private static final double LONGEST = 120;
    private static final double NANOS = 1e9;
    private static final double PERCENT = 100;

    private RolloutCosts() {}

    private record Event(double at, long order, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Double.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private static final class Fleet implements ConfigRollout.Environment {
        private final ConfigRollout rollout = new ConfigRollout(RolloutSettings.DEFAULTS, this);
        private final PriorityQueue<Event> agenda = new PriorityQueue<>();
        private final Map<String, ConfigRevision> goneBy = new HashMap<>();
        private final List<String> names = new ArrayList<>();
        private double now;
        private long order;
        private long orders;
        private double spent;

        Fleet(int nodes) {
            for (int i = 0; i < nodes; i++) {
                String name = String.format("n%05d", i);
                names.add(name);
                goneBy.put(name, ConfigRevision.NONE);
                rollout.addNode(name);
                at(REPORT * i / nodes, () -> reports(name));
            }
            rollout.restore(0, Optional.empty());
            at(0, this::tick);
        }

        private void at(double delay, Runnable what) {
            agenda.add(new Event(now + delay, ++order, what));
        }

        private void tick() {
            timed(() -> rollout.tick(now));
            at(TICK, this::tick);
        }

        private void reports(String name) {
            heard(name);
            at(REPORT, () -> reports(name));
        }

        private void heard(String name) {
            ConfigRevision by = goneBy.get(name);
            NodeReport report =
                    new NodeReport(
                            name,
                            1,
                            by.number(),
                            by.chainDigest(),
                            by.contentDigest(),
                            true,
                            0,
                            "",
                            0,
                            0);
            timed(() -> rollout.reportReceived(now, report));
        }

        private void timed(Runnable what) {
            long from = Cpu.now();
            what.run();
            spent += Cpu.since(from) / NANOS;
        }

        void run(double until) {
            while (!agenda.isEmpty() && agenda.peek().at <= until) {
                Event next = agenda.remove();
                now = next.at;
                next.what.run();
            }
            now = until;
        }

        @Override
        public void order(String node, ConfigRevision revision, long base) {
            orders++;
            at(
                    ANSWER,
                    () -> {
                        goneBy.put(node, revision);
                        timed(
                                () ->
                                        rollout.orderCompleted(
                                                now, node, ConfigRollout.OrderAnswer.APPLIED));
                        heard(node);
                    });
        }

        @Override
        public void recordProgress(String text) {
            at(ANSWER, rollout::progressRecorded);
        }

        @Override
        public void raiseFloor(long revision) {
            // Nobody is below it here.
        }

        @Override
        public void shutOut(String node, long incarnation, String why) {
            throw new IllegalStateException(node + " is shut out: " + why);
        }

        @Override
        public void requestRestart(String node, String why) {
            throw new IllegalStateException(node + " is to be replaced: " + why);
        }

        @Override
        public void notifyOperator(String what) {
            // For operators.
        }
    }

    /**
     * Share of a core when nothing happens; seconds until all go by a change that goes to all at
     * once; processor of it; orders a node.
     */
    static double[] once(int nodes) {
        Fleet fleet = new Fleet(nodes);
        fleet.run(SETTLED);
        double before = fleet.spent;
        fleet.run(2 * SETTLED);
        double idle = PERCENT * (fleet.spent - before) / SETTLED;
        ConfigRevision change = ConfigRevision.NONE.next(Map.of("out/h7", Optional.of("worn")));
        before = fleet.spent;
        double began = fleet.now;
        fleet.rollout.addRevision(change);
        fleet.rollout.markImmediate(change.number());
        while (fleet.goneBy.values().stream().anyMatch(by -> by.number() < 1)
                && fleet.now < began + LONGEST) {
            fleet.run(fleet.now + TICK / 2);
        }
        double took = fleet.now - began;
        double cost = fleet.spent - before - idle / PERCENT * took;
        return new double[] {
            idle, took, Math.max(0, cost) * NANOS / 1e6, (double) fleet.orders / nodes
        };
    }

    static List<Curve> measure(ScaleFile file, ResourceLimits limits, Consumer<String> progress)
            throws ResourceLimits.Exceeded {
        once(200);
        once(200);
        Curve.Many points =
                new Curve.Many(
                        "rollout: the owner's decisions while nothing happens",
                        "% of a core",
                        "rollout: a change until all go by it, nodes that answer in 10 ms",
                        "s",
                        "rollout: processor of a change at its owner",
                        "ms",
                        "rollout: orders of a change, a node",
                        "orders");
        for (int nodes : file.rollout().nodes().stream().sorted().toList()) {
            List<double[]> repeats = new ArrayList<>();
            for (int i = 0; i < file.repeats(); i++) {
                limits.check();
                repeats.add(once(nodes));
            }
            points.add(nodes, repeats);
            progress.accept("rollout: " + nodes + " nodes done");
        }
        return points.curves("nodes", file.size().nodes());
    }
}
