package embershift.rig.scale;

import embershift.model.Deployment;
import embershift.model.GroupId;
import embershift.model.HostId;
import embershift.model.RosterEntry;
import embershift.model.TunnelId;
import embershift.model.ZoneId;
import embershift.policy.HostCapacityEstimate;
import embershift.policy.Policy;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * What one module keeps of groups: by the listeners of one group, and by the number of groups with
 * one each.
 */
final class GroupCosts {

    private static final int HOSTS = 2000;
    private static final double MICRO = 1e3;
    private static final double SECOND = 1e9;

    private GroupCosts() {}

    /**
     * Seconds of processor and bytes of heap that so many standing tunnels take in the module;
     * {@code groups} 0: of no group.
     */
    private static double[] standing(int tunnels, int groups) {
        long before = Cpu.heap();
        Deployment deployment = ModuleSimulation.deployment(1);
        Policy module = new Policy(deployment, new HostCapacityEstimate(deployment));
        ModuleSimulation quiet = new ModuleSimulation(1, 1, 0, 1, 0);
        int hosts = Math.min(HOSTS, tunnels);
        List<RosterEntry> listings = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            listings.add(
                    new RosterEntry(
                            new HostId("h" + i),
                            RosterEntry.State.READY,
                            new ZoneId("z0"),
                            1,
                            0,
                            0));
        }
        module.round(0, news -> news.rosterReplaced(listings, false), quiet);
        long listed = Cpu.heap();
        double[] took = new double[1];
        module.round(
                0,
                news -> {
                    long from = Cpu.now();
                    for (int i = 0; i < tunnels; i++) {
                        news.tunnelResumed(
                                new TunnelId("s" + i),
                                ModuleSimulation.PROFILE,
                                null,
                                null,
                                groups == 0 ? null : new GroupId("g" + i % groups),
                                listings.get(i % hosts).host());
                    }
                    took[0] = Cpu.since(from);
                },
                quiet);
        double heap = Cpu.heap() - listed;
        // A tunnel of the first group comes: the hosts that hold it are gone through.
        module.round(
                0,
                news ->
                        listings.forEach(
                                each ->
                                        news.hostReported(
                                                each.host(), 0.5, tunnels / (double) hosts, 0)),
                quiet);
        long from = Cpu.now();
        module.round(
                0,
                news ->
                        news.tunnelArrived(
                                new TunnelId("t"),
                                ModuleSimulation.PROFILE,
                                null,
                                null,
                                new GroupId("g0"),
                                3,
                                false),
                quiet);
        double arrival = Cpu.since(from);
        if (module.listedHostCount(false) != hosts || before > listed) {
            // Read, so that the module is reachable until here.
            return new double[] {took[0] / SECOND, Math.max(0, heap), arrival / MICRO};
        }
        return new double[] {took[0] / SECOND, heap, arrival / MICRO};
    }

    static List<Curve> measure(ScaleFile file, ResourceLimits limits, Consumer<String> progress)
            throws ResourceLimits.Exceeded {
        standing(100_000, 100_000);
        Curve.Many byListeners =
                new Curve.Many(
                        "groups: one group, a standing tunnel",
                        "us",
                        "groups: one group, heap of a tunnel in it",
                        "bytes",
                        "groups: one group, an arrival of it",
                        "us");
        for (int listeners : file.groups().listeners().stream().sorted().toList()) {
            List<double[]> repeats = new ArrayList<>();
            for (int i = 0; i < file.repeats(); i++) {
                limits.check();
                double[] with = standing(listeners, 1);
                repeats.add(
                        new double[] {
                            with[0] * SECOND / MICRO / listeners, with[1] / listeners, with[2]
                        });
            }
            byListeners.add(listeners, repeats);
            progress.accept("groups: " + listeners + " listeners done");
        }
        Curve.Many byGroups =
                new Curve.Many(
                        "groups: one tunnel in each, all",
                        "ms",
                        "groups: heap of the groups alone",
                        "MB",
                        "groups: heap of a tunnel, of no group",
                        "bytes");
        for (int groups : file.groups().groups().stream().sorted().toList()) {
            List<double[]> repeats = new ArrayList<>();
            for (int i = 0; i < file.repeats(); i++) {
                limits.check();
                double[] with = standing(groups, groups);
                double[] without = standing(groups, 0);
                repeats.add(
                        new double[] {
                            with[0] * MICRO, (with[1] - without[1]) / (1 << 20), without[1] / groups
                        });
            }
            byGroups.add(groups, repeats);
            progress.accept("groups: " + groups + " groups done");
        }
        List<Curve> all =
                new ArrayList<>(
                        byListeners.curves(
                                "listeners of one group at one node",
                                file.size().listeners() / (double) file.size().nodes()));
        all.addAll(
                byGroups.curves(
                        "groups at one node",
                        Math.min(file.size().connections(), file.size().groups())));
        return all;
    }
}
