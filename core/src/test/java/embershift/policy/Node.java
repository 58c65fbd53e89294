package embershift.policy;

import embershift.model.Decisions;
import embershift.model.DeclineReason;
import embershift.model.Deployment;
import embershift.model.Deployment.Budget;
import embershift.model.Deployment.DedupScope;
import embershift.model.Deployment.Profile;
import embershift.model.Deployment.Repeat;
import embershift.model.GroupId;
import embershift.model.HostId;
import embershift.model.Listing;
import embershift.model.News;
import embershift.model.ProfileId;
import embershift.model.SetupEnd;
import embershift.model.TunnelId;
import embershift.model.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A module with hosts h0, h1, ... in zone near (even) or far (odd), and its decisions as lines, for
 * the tests.
 */
final class Node implements Decisions {

    private static final double MUST_ASK = 10;

    final Policy policy;
    final Filling filling;

    /** Setups sent from the start on. */
    int placed;

    final List<String> said = new ArrayList<>();

    /** Why tunnels were declined, from the start on. */
    final List<DeclineReason> reasons = new ArrayList<>();

    double now = 100;
    double lastTimeOut;

    Node(Repeat repeat, DedupScope scope, int hosts, long seed) {
        this(repeat, scope, hosts, seed, Budget.NONE, 1);
    }

    Node(Repeat repeat, DedupScope scope, int hosts, long seed, Budget budget, int nodes) {
        this(profiles(repeat, scope), hosts, seed, budget, nodes, 0, true);
    }

    Node(
            Repeat repeat,
            DedupScope scope,
            int hosts,
            long seed,
            Budget budget,
            int nodes,
            int rank) {
        this(profiles(repeat, scope), hosts, seed, budget, nodes, rank, true);
    }

    /**
     * {@code reportsCapacity}: whether hosts tell load over capacity, else they tell numbers of
     * tunnels.
     */
    Node(
            Repeat repeat,
            DedupScope scope,
            int hosts,
            long seed,
            Budget budget,
            int nodes,
            boolean reportsCapacity) {
        this(profiles(repeat, scope), hosts, seed, budget, nodes, 0, reportsCapacity);
    }

    Node(List<Profile> profiles, int hosts, long seed, Budget budget, int nodes) {
        this(profiles, hosts, seed, budget, nodes, 0, true);
    }

    /** A node of a hundred that has to ask the roster within {@code mustAsk} seconds. */
    static Node asking(double mustAsk, long seed) {
        return new Node(
                deployment(
                        profiles(Repeat.REPEATABLE, DedupScope.ALL),
                        mustAsk,
                        seed,
                        Budget.NONE,
                        100,
                        0,
                        true,
                        0.3,
                        8,
                        3,
                        2),
                2);
    }

    private Node(
            List<Profile> profiles,
            int hosts,
            long seed,
            Budget budget,
            int nodes,
            int rank,
            boolean reportsCapacity) {
        this(
                deployment(
                        profiles,
                        MUST_ASK,
                        seed,
                        budget,
                        nodes,
                        rank,
                        reportsCapacity,
                        0.3,
                        8,
                        3,
                        2),
                hosts);
    }

    private Node(Deployment deployment, int hosts) {
        filling = new Filling(deployment);
        policy = new Policy(deployment, filling);
        List<Listing> listings = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            listings.add(listing(i, Listing.State.READY, 0));
        }
        round(news -> news.rosterListed(listings, true));
    }

    Node(int hosts) {
        this(Repeat.REPEATABLE, DedupScope.ALL, hosts, 1);
    }

    static Deployment deployment(
            Repeat repeat,
            DedupScope scope,
            long seed,
            Budget budget,
            int nodes,
            int rank,
            double coldFrom,
            double warmAfter,
            double fallMultiple,
            double fallAfter) {
        return deployment(
                profiles(repeat, scope),
                MUST_ASK,
                seed,
                budget,
                nodes,
                rank,
                true,
                coldFrom,
                warmAfter,
                fallMultiple,
                fallAfter);
    }

    private static Deployment deployment(
            List<Profile> profiles,
            double mustAsk,
            long seed,
            Budget budget,
            int nodes,
            int rank,
            boolean reportsCapacity,
            double coldFrom,
            double warmAfter,
            double fallMultiple,
            double fallAfter) {
        return new Deployment(
                seed,
                nodes,
                rank,
                new ZoneId("near"),
                profiles,
                true,
                mustAsk,
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
                coldFrom,
                warmAfter,
                fallMultiple,
                fallAfter,
                budget,
                false,
                0);
    }

    private static List<Profile> profiles(Repeat repeat, DedupScope scope) {
        return List.of(new Profile(new ProfileId("p"), repeat, scope, 2, 0.5, 3, 0.1, 1));
    }

    static Listing listing(int host, Listing.State state, double launchedAt) {
        ZoneId zone = new ZoneId(host % 2 == 0 ? "near" : "far");
        return new Listing(host(host), state, zone, 1, host / 2, launchedAt);
    }

    static HostId host(int i) {
        return new HostId("h" + i);
    }

    static TunnelId tun(int i) {
        return new TunnelId("t" + i);
    }

    /** Plays one round and returns what was decided in it. */
    List<String> round(Consumer<News> arrivals) {
        said.clear();
        policy.round(now, arrivals, this);
        return List.copyOf(said);
    }

    /** A listing of a host that started long ago, with the weight that the roster gives it. */
    static Listing weighed(int host, double weight) {
        return new Listing(
                host(host),
                Listing.State.READY,
                new ZoneId(host % 2 == 0 ? "near" : "far"),
                weight,
                0,
                0);
    }

    /** One round in which hosts 0, 1, ... report these numbers of tunnels. */
    Node numbers(int... open) {
        round(
                news -> {
                    for (int i = 0; i < open.length; i++) {
                        news.probeEnded(host(i), true, 0.01);
                        news.hostReported(host(i), Double.NaN, open[i], 0);
                    }
                });
        return this;
    }

    /** One round in which hosts 0, 1, ... report these loads over capacity. */
    Node loads(double... loads) {
        round(
                news -> {
                    for (int i = 0; i < loads.length; i++) {
                        news.probeEnded(host(i), true, 0.01);
                        news.hostReported(host(i), loads[i], Double.NaN, Double.NaN);
                    }
                });
        return this;
    }

    List<String> arrive(int first, int many, String group) {
        return round(
                news -> {
                    for (int i = first; i < first + many; i++) {
                        news.tunnelArrived(
                                tun(i),
                                new ProfileId("p"),
                                null,
                                null,
                                group == null ? null : new GroupId(group),
                                3,
                                false);
                    }
                });
    }

    /** One round in which tunnels are told to stand at a host. */
    void stand(int first, int many, int host) {
        round(
                news -> {
                    for (int i = first; i < first + many; i++) {
                        news.tunnelStanding(
                                tun(i), new ProfileId("p"), null, null, null, host(host));
                    }
                });
    }

    /**
     * Lets time pass with a round each hundredth of a second, and returns how many moves came in
     * it.
     */
    int later(double seconds) {
        int moves = 0;
        for (int i = 0; i < Math.round(seconds * 100); i++) {
            now += 0.01;
            round(news -> {});
            moves += count("move");
        }
        return moves;
    }

    List<String> end(int tunnel, int setup, int host, SetupEnd end) {
        return round(news -> news.setupEnded(tun(tunnel), setup, host(host), end, 0.1, false));
    }

    /** The host of the last setup sent, -1 if there was none. */
    int lastHost() {
        for (int i = said.size() - 1; i >= 0; i--) {
            if (said.get(i).startsWith("set up")) {
                return Integer.parseInt(said.get(i).split(" h")[1]);
            }
        }
        return -1;
    }

    int lastProbed() {
        List<String> probes = said.stream().filter(line -> line.startsWith("probe")).toList();
        return probes.isEmpty()
                ? -1
                : Integer.parseInt(probes.get(probes.size() - 1).split(" h")[1]);
    }

    long sentTo(int host) {
        return said.stream()
                .filter(line -> line.startsWith("set up") && line.endsWith(" h" + host))
                .count();
    }

    int count(String start) {
        return (int) said.stream().filter(line -> line.startsWith(start)).count();
    }

    @Override
    public void setUp(TunnelId id, HostId host, double timeOut) {
        lastTimeOut = timeOut;
        placed++;
        said.add("set up " + id.name() + " " + host.name());
    }

    @Override
    public void cancel(TunnelId id, int setup) {
        said.add("cancel " + id.name() + " " + setup);
    }

    @Override
    public void decline(TunnelId id, double returnAfter, DeclineReason reason) {
        reasons.add(reason);
        said.add("decline " + id.name() + (returnAfter > 0 ? " with advice" : ""));
    }

    @Override
    public void closeWithError(TunnelId id) {
        said.add("close " + id.name());
    }

    @Override
    public void move(TunnelId id) {
        said.add("move " + id.name());
    }

    @Override
    public void probe(HostId host) {
        said.add("probe " + host.name());
    }

    @Override
    public void closeIdle(HostId host) {
        said.add("close idle " + host.name());
    }

    @Override
    public void watchRoster(boolean on) {
        said.add("watch roster");
    }

    @Override
    public void askRoster() {
        said.add("ask roster");
    }

    @Override
    public void tellNode(int node, byte[] content) {
        said.add("tell " + node);
    }

    @Override
    public void tellAllNodes(byte[] content) {
        said.add("tell all");
    }

    @Override
    public void wakeAfter(double delay) {
        said.add("wake");
    }

    @Override
    public void note(String line) {
        said.add("note " + line);
    }
}
