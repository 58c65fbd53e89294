package embershift.rig.scale;

import embershift.model.Decisions;
import embershift.model.DeclineReason;
import embershift.model.Deployment;
import embershift.model.GroupId;
import embershift.model.HostId;
import embershift.model.NodeEvents;
import embershift.model.ParticipantId;
import embershift.model.ProfileId;
import embershift.model.RosterEntry;
import embershift.model.SetupOutcome;
import embershift.model.SubjectId;
import embershift.model.TunnelId;
import embershift.model.ZoneId;
import embershift.policy.HostCapacityEstimate;
import embershift.policy.Policy;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;

/**
 * One node's module in virtual time, among hosts that answer and report even loads, under a steady
 * flow of tunnels: as many end as are placed. Each piece of news is a round of its own, whose
 * processor time is counted by its kind.
 */
final class ModuleSimulation implements Decisions {

    /**
     * What a round was for. {@code REPORT} and {@code WAKE} are control's; the others are what
     * clients cost.
     */
    enum Kind {
        ARRIVAL,
        OPENED,
        ENDED,
        REPORT,
        WAKE
    }

    static final ProfileId PROFILE = new ProfileId("p");
    private static final int ZONES = 15;
    private static final double ANSWER = 0.002;
    private static final double SETUP = 0.05;
    private static final double GOAL = 0.5;
    private static final double TIMEOUT = 3;
    private static final double MESSAGE_GOAL = 0.12;
    private static final double LOAD = 0.5;
    private static final double SPREAD = 0.1;
    private static final double NANOS = 1e9;

    private record Event(double at, long order, Kind kind, Runnable what)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Double.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private record Standing(TunnelId id, HostId host) {}

    private final Policy module;
    private final int nodes;
    private final double placements;
    private final int groups;
    private final Random chance = new Random(1);
    private final List<HostId> hosts = new ArrayList<>();
    private final Map<HostId, Double> loads = new HashMap<>();
    private final Map<TunnelId, Integer> setups = new HashMap<>();
    private final PriorityQueue<Event> agenda = new PriorityQueue<>();
    private final Deque<Standing> standing = new ArrayDeque<>();
    private final double openThere;
    private final EnumMap<Kind, double[]> spent = new EnumMap<>(Kind.class);
    private double now;
    private double wakeAt = Double.POSITIVE_INFINITY;
    private long order;
    private long named;
    private long asked;
    private long declined;
    private double firstList;

    /**
     * {@code connections}: that stand here already; {@code placements}: tunnels a second; {@code
     * groups}: that tunnels here are of.
     */
    ModuleSimulation(int hosts, int nodes, int connections, double placements, int groups) {
        this.nodes = nodes;
        this.placements = placements;
        this.groups = groups;
        openThere = (double) nodes * connections / hosts;
        Deployment deployment = deployment(nodes);
        module = new Policy(deployment, new HostCapacityEstimate(deployment));
        List<RosterEntry> listings = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            HostId host = new HostId("h" + i);
            this.hosts.add(host);
            loads.put(host, LOAD + SPREAD * (chance.nextDouble() - 0.5));
            listings.add(
                    new RosterEntry(
                            host, RosterEntry.State.READY, new ZoneId("z" + i % ZONES), 1, i, 0));
        }
        for (Kind kind : Kind.values()) {
            spent.put(kind, new double[2]);
        }
        long from = Cpu.now();
        module.round(now, news -> news.rosterReplaced(listings, false), this);
        firstList = Cpu.since(from) / NANOS;
        module.round(
                now,
                news -> {
                    for (int i = 0; i < connections; i++) {
                        TunnelId id = new TunnelId("s" + i);
                        HostId host = this.hosts.get(i % hosts);
                        news.tunnelResumed(id, PROFILE, null, null, group(), host);
                        standing.add(new Standing(id, host));
                        setups.put(id, 1);
                    }
                },
                this);
        module.round(now, news -> this.hosts.forEach(host -> report(news, host)), this);
        agenda.add(new Event(1 / placements, ++order, Kind.ARRIVAL, this::arrive));
    }

    /** As the platform would tell it; of the figures only those that cost something matter here. */
    static Deployment deployment(int nodes) {
        return new Deployment(
                1,
                nodes,
                0,
                new ZoneId("z0"),
                List.of(
                        new Deployment.Profile(
                                PROFILE,
                                Deployment.Repeat.REPEATABLE,
                                Deployment.DedupScope.ALL,
                                0,
                                GOAL,
                                TIMEOUT,
                                MESSAGE_GOAL,
                                1)),
                false,
                9,
                true,
                true,
                true,
                true,
                false,
                3,
                true,
                1,
                0.25,
                0,
                1,
                0.3,
                20,
                4,
                1.5,
                Deployment.RetryBudget.NONE,
                false,
                0);
    }

    private GroupId group() {
        return groups == 0 ? null : new GroupId("g" + chance.nextInt(groups));
    }

    private void report(NodeEvents news, HostId host) {
        news.hostReported(host, loads.get(host), openThere, 0);
    }

    /** Plays on; costs are counted from {@link #countAnew} on. */
    void run(double seconds) {
        double until = now + seconds;
        while (true) {
            Event next = agenda.peek();
            if (wakeAt <= until && (next == null || wakeAt <= next.at)) {
                now = Math.max(now, wakeAt);
                wakeAt = Double.POSITIVE_INFINITY;
                round(Kind.WAKE, news -> {});
            } else if (next != null && next.at <= until) {
                agenda.remove();
                now = next.at;
                next.what.run();
            } else {
                now = until;
                return;
            }
        }
    }

    private void round(Kind kind, Consumer<NodeEvents> news) {
        long from = Cpu.now();
        module.round(now, news, this);
        double[] sum = spent.get(kind);
        sum[0]++;
        sum[1] += Cpu.since(from);
    }

    private void arrive() {
        TunnelId id = new TunnelId("t" + ++named);
        GroupId group = group();
        round(
                Kind.ARRIVAL,
                news ->
                        news.tunnelArrived(
                                id,
                                PROFILE,
                                (ParticipantId) null,
                                (SubjectId) null,
                                group,
                                TIMEOUT,
                                false));
        if (!standing.isEmpty()) {
            Standing oldest = standing.remove();
            int setup = setups.remove(oldest.id) - 1;
            round(
                    Kind.ENDED,
                    news ->
                            news.setupEnded(
                                    oldest.id,
                                    setup,
                                    oldest.host,
                                    SetupOutcome.COMPLETED,
                                    1,
                                    true));
        }
        agenda.add(new Event(now + 1 / placements, ++order, Kind.ARRIVAL, this::arrive));
    }

    void countAnew() {
        spent.values()
                .forEach(
                        sum -> {
                            sum[0] = 0;
                            sum[1] = 0;
                        });
        asked = 0;
        declined = 0;
    }

    /** Rounds of a kind. */
    double rounds(Kind kind) {
        return spent.get(kind)[0];
    }

    /** Seconds of processor that all rounds of a kind took. */
    double processor(Kind kind) {
        return spent.get(kind)[1] / NANOS;
    }

    /** Questions to hosts. */
    long asked() {
        return asked;
    }

    long declined() {
        return declined;
    }

    /** Seconds of processor that the first list took. */
    double firstList() {
        return firstList;
    }

    @Override
    public void sendSetup(TunnelId id, HostId host, double timeOut) {
        int setup = setups.merge(id, 1, Integer::sum) - 1;
        agenda.add(
                new Event(
                        now + SETUP,
                        ++order,
                        Kind.OPENED,
                        () -> {
                            round(Kind.OPENED, news -> news.tunnelOpened(id, setup, host, SETUP));
                            standing.add(new Standing(id, host));
                        }));
    }

    @Override
    public void probe(HostId host) {
        asked++;
        agenda.add(
                new Event(
                        now + ANSWER,
                        ++order,
                        Kind.REPORT,
                        () ->
                                round(
                                        Kind.REPORT,
                                        news -> {
                                            news.probeEnded(host, true, ANSWER);
                                            report(news, host);
                                        })));
    }

    @Override
    public void wakeAfter(double delay) {
        wakeAt = Math.min(wakeAt, now + delay);
    }

    @Override
    public void decline(TunnelId id, double returnAfter, DeclineReason reason) {
        declined++;
    }

    @Override
    public void closeWithError(TunnelId id) {
        declined++;
    }

    @Override
    public void cancelSetup(TunnelId id, int setup) {}

    @Override
    public void move(TunnelId id) {}

    @Override
    public void closeIdle(HostId host) {}

    @Override
    public void watchRoster(boolean on) {}

    @Override
    public void requestRoster() {}

    @Override
    public void sendToNode(int node, byte[] content) {}

    @Override
    public void sendToAllNodes(byte[] content) {}

    @Override
    public void logForOperators(String line) {}

    int nodes() {
        return nodes;
    }
}
