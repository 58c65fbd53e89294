package embershift.policy;

import embershift.model.Decisions;
import embershift.model.DeclineReason;
import embershift.model.Deployment;
import embershift.model.Deployment.DedupScope;
import embershift.model.Deployment.Profile;
import embershift.model.Deployment.Repeat;
import embershift.model.Deployment.RetryBudget;
import embershift.model.GroupId;
import embershift.model.HostId;
import embershift.model.NodeEvents;
import embershift.model.ProfileId;
import embershift.model.RosterEntry;
import embershift.model.SetupOutcome;
import embershift.model.TunnelId;
import embershift.model.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A policy with hosts h0, h1, ... in zone near (even) or far (odd), which records its decisions as
 * lines.
 */
final class PolicyHarness implements Decisions {

    private static final double ROSTER_CALL_DEADLINE = 10;

    final Policy policy;
    final HostCapacityEstimate capacityEstimate;

    /** Setups sent since the start. */
    int setupsSent;

    final List<String> decisions = new ArrayList<>();

    /** Why tunnels were declined, since the start. */
    final List<DeclineReason> declineReasons = new ArrayList<>();

    double now = 100;
    double lastTimeout;

    PolicyHarness(Repeat repeat, DedupScope scope, int hosts, long seed) {
        this(repeat, scope, hosts, seed, RetryBudget.NONE, 1);
    }

    PolicyHarness(
            Repeat repeat, DedupScope scope, int hosts, long seed, RetryBudget budget, int nodes) {
        this(profiles(repeat, scope), hosts, seed, budget, nodes, 0, true);
    }

    PolicyHarness(
            Repeat repeat,
            DedupScope scope,
            int hosts,
            long seed,
            RetryBudget budget,
            int nodes,
            int nodeIndex) {
        this(profiles(repeat, scope), hosts, seed, budget, nodes, nodeIndex, true);
    }

    /** {@code reportsCapacity}: whether hosts report load over capacity, or only tunnel counts. */
    PolicyHarness(
            Repeat repeat,
            DedupScope scope,
            int hosts,
            long seed,
            RetryBudget budget,
            int nodes,
            boolean reportsCapacity) {
        this(profiles(repeat, scope), hosts, seed, budget, nodes, 0, reportsCapacity);
    }

    PolicyHarness(List<Profile> profiles, int hosts, long seed, RetryBudget budget, int nodes) {
        this(profiles, hosts, seed, budget, nodes, 0, true);
    }

    /**
     * One of a hundred nodes, which has to call the roster within {@code rosterCallDeadline}
     * seconds.
     */
    static PolicyHarness withRosterCallDeadline(double rosterCallDeadline, long seed) {
        return new PolicyHarness(
                deployment(
                        profiles(Repeat.REPEATABLE, DedupScope.ALL),
                        rosterCallDeadline,
                        seed,
                        RetryBudget.NONE,
                        100,
                        0,
                        true,
                        0.3,
                        8,
                        3,
                        2),
                2);
    }

    private PolicyHarness(
            List<Profile> profiles,
            int hosts,
            long seed,
            RetryBudget budget,
            int nodes,
            int nodeIndex,
            boolean reportsCapacity) {
        this(
                deployment(
                        profiles,
                        ROSTER_CALL_DEADLINE,
                        seed,
                        budget,
                        nodes,
                        nodeIndex,
                        reportsCapacity,
                        0.3,
                        8,
                        3,
                        2),
                hosts);
    }

    private PolicyHarness(Deployment deployment, int hosts) {
        capacityEstimate = new HostCapacityEstimate(deployment);
        policy = new Policy(deployment, capacityEstimate);
        List<RosterEntry> entries = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            entries.add(entry(i, RosterEntry.State.READY, 0));
        }
        round(events -> events.rosterReplaced(entries, true));
    }

    PolicyHarness(int hosts) {
        this(Repeat.REPEATABLE, DedupScope.ALL, hosts, 1);
    }

    static Deployment deployment(
            Repeat repeat,
            DedupScope scope,
            long seed,
            RetryBudget budget,
            int nodes,
            int nodeIndex,
            double coldCapacityShare,
            double warmUpTime,
            double overloadMultiple,
            double overloadWindow) {
        return deployment(
                profiles(repeat, scope),
                ROSTER_CALL_DEADLINE,
                seed,
                budget,
                nodes,
                nodeIndex,
                true,
                coldCapacityShare,
                warmUpTime,
                overloadMultiple,
                overloadWindow);
    }

    private static Deployment deployment(
            List<Profile> profiles,
            double rosterCallDeadline,
            long seed,
            RetryBudget budget,
            int nodes,
            int nodeIndex,
            boolean reportsCapacity,
            double coldCapacityShare,
            double warmUpTime,
            double overloadMultiple,
            double overloadWindow) {
        return new Deployment(
                seed,
                nodes,
                nodeIndex,
                new ZoneId("near"),
                profiles,
                true,
                rosterCallDeadline,
                true,
                true,
                reportsCapacity,
                true,
                false,
                4,
                true,
                1.5,
                0.25,
                0.016,
                0.5,
                coldCapacityShare,
                warmUpTime,
                overloadMultiple,
                overloadWindow,
                budget,
                false,
                0);
    }

    private static List<Profile> profiles(Repeat repeat, DedupScope scope) {
        return List.of(new Profile(new ProfileId("p"), repeat, scope, 2, 0.5, 3, 0.1, 1));
    }

    static RosterEntry entry(int host, RosterEntry.State state, double launchedAt) {
        ZoneId zone = new ZoneId(host % 2 == 0 ? "near" : "far");
        return new RosterEntry(host(host), state, zone, 1, host / 2, launchedAt);
    }

    static HostId host(int number) {
        return new HostId("h" + number);
    }

    static TunnelId tunnel(int number) {
        return new TunnelId("t" + number);
    }

    /** Runs one round and returns its decisions. */
    List<String> round(Consumer<NodeEvents> events) {
        decisions.clear();
        policy.round(now, events, this);
        return List.copyOf(decisions);
    }

    /** The entry of a host that started long ago, with this weight. */
    static RosterEntry entryWithWeight(int host, double weight) {
        return new RosterEntry(
                host(host),
                RosterEntry.State.READY,
                new ZoneId(host % 2 == 0 ? "near" : "far"),
                weight,
                0,
                0);
    }

    /** Runs a round in which hosts 0, 1, ... report these tunnel counts. */
    PolicyHarness reportTunnelCounts(int... open) {
        round(
                events -> {
                    for (int i = 0; i < open.length; i++) {
                        events.probeEnded(host(i), true, 0.01);
                        events.hostReported(host(i), Double.NaN, open[i], 0);
                    }
                });
        return this;
    }

    /** Runs a round in which hosts 0, 1, ... report these loads over capacity. */
    PolicyHarness reportLoads(double... loads) {
        round(
                events -> {
                    for (int i = 0; i < loads.length; i++) {
                        events.probeEnded(host(i), true, 0.01);
                        events.hostReported(host(i), loads[i], Double.NaN, Double.NaN);
                    }
                });
        return this;
    }

    List<String> arriveTunnels(int first, int count, String group) {
        return round(
                events -> {
                    for (int i = first; i < first + count; i++) {
                        events.tunnelArrived(
                                tunnel(i),
                                new ProfileId("p"),
                                null,
                                null,
                                group == null ? null : new GroupId(group),
                                3,
                                false);
                    }
                });
    }

    /** Runs a round in which tunnels are resumed that are open at this host. */
    void resumeTunnels(int first, int count, int host) {
        round(
                events -> {
                    for (int i = first; i < first + count; i++) {
                        events.tunnelResumed(
                                tunnel(i), new ProfileId("p"), null, null, null, host(host));
                    }
                });
    }

    /**
     * Advances the time with a round each hundredth of a second, and returns the number of moves.
     */
    int advance(double seconds) {
        int moves = 0;
        for (int i = 0; i < Math.round(seconds * 100); i++) {
            now += 0.01;
            round(events -> {});
            moves += count("move");
        }
        return moves;
    }

    List<String> endSetup(int tunnel, int setup, int host, SetupOutcome outcome) {
        return round(
                events ->
                        events.setupEnded(tunnel(tunnel), setup, host(host), outcome, 0.1, false));
    }

    /** The host of the last setup sent, -1 if there was none. */
    int lastSetupHost() {
        for (int i = decisions.size() - 1; i >= 0; i--) {
            if (decisions.get(i).startsWith("set up")) {
                return Integer.parseInt(decisions.get(i).split(" h")[1]);
            }
        }
        return -1;
    }

    int lastProbedHost() {
        List<String> probes = decisions.stream().filter(line -> line.startsWith("probe")).toList();
        return probes.isEmpty()
                ? -1
                : Integer.parseInt(probes.get(probes.size() - 1).split(" h")[1]);
    }

    long setupsSentTo(int host) {
        return decisions.stream()
                .filter(line -> line.startsWith("set up") && line.endsWith(" h" + host))
                .count();
    }

    int count(String start) {
        return (int) decisions.stream().filter(line -> line.startsWith(start)).count();
    }

    @Override
    public void sendSetup(TunnelId id, HostId host, double timeout) {
        lastTimeout = timeout;
        setupsSent++;
        decisions.add("set up " + id.name() + " " + host.name());
    }

    @Override
    public void cancelSetup(TunnelId id, int setup) {
        decisions.add("cancel " + id.name() + " " + setup);
    }

    @Override
    public void decline(TunnelId id, double retryAfter, DeclineReason reason) {
        declineReasons.add(reason);
        decisions.add("decline " + id.name() + (retryAfter > 0 ? " with advice" : ""));
    }

    @Override
    public void closeWithError(TunnelId id) {
        decisions.add("close " + id.name());
    }

    @Override
    public void move(TunnelId id) {
        decisions.add("move " + id.name());
    }

    @Override
    public void probe(HostId host) {
        decisions.add("probe " + host.name());
    }

    @Override
    public void closeIdle(HostId host) {
        decisions.add("close idle " + host.name());
    }

    @Override
    public void watchRoster(boolean enabled) {
        decisions.add("watch roster");
    }

    @Override
    public void requestRoster() {
        decisions.add("request roster");
    }

    @Override
    public void sendToNode(int node, byte[] content) {
        decisions.add("send to " + node);
    }

    @Override
    public void sendToAllNodes(byte[] content) {
        decisions.add("send to all");
    }

    @Override
    public void wakeAfter(double delay) {
        decisions.add("wake");
    }

    @Override
    public void logForOperators(String line) {
        decisions.add("log " + line);
    }
}
