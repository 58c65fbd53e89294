package embershift.emulator.sockets;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.emulator.day.Day;
import embershift.emulator.day.Trouble.Direction;
import embershift.emulator.world.Agenda;
import embershift.emulator.world.Attempt;
import embershift.emulator.world.Caller;
import embershift.emulator.world.Counts;
import embershift.emulator.world.Crowd;
import embershift.emulator.world.Cuts;
import embershift.emulator.world.Dice;
import embershift.emulator.world.Host;
import embershift.emulator.world.Outcome;
import embershift.emulator.world.Place;
import embershift.emulator.world.Service;
import embershift.emulator.world.Stage;
import embershift.emulator.world.Store;
import embershift.emulator.world.Trace;
import embershift.emulator.world.Troubles;
import embershift.emulator.world.Witness;
import embershift.model.HostId;
import embershift.protocol.LineCodec;
import embershift.protocol.MalformedDataException;
import embershift.transport.EventLoop;
import embershift.transport.TcpConnection;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/**
 * One day on loopback, in real time: the hosts, callers and troubles of the world in virtual time,
 * with sockets between them and real nodes. Differences that loopback makes are told in
 * docs/emulator.md: a way that is cut, or a machine that vanished, still takes connections, and is
 * silent then.
 */
public final class SocketDay implements Stage {

    /** How the nodes run. */
    public enum Nodes {
        HERE,
        FORKED
    }

    /** Seconds before the day in which nodes start and what stands is brought up. */
    private static final double PRELUDE = 16;

    private static final double LOOK = 0.1;
    private static final double ASK = 0.05;

    /** Seconds between two lines of a client. */
    static final double LINES = 2;

    /** Tunnels that are brought up at once before the day. */
    private static final int UPS = 60;

    private static final JsonMapper JSON = new JsonMapper();

    /** What a day came to, and how late this machine was with it at the most. */
    public record Played(Outcome outcome, List<String> troubles, double latest) {}

    private final Day day;
    private final Nodes kind;
    private final Witness witness;
    private final Trace trace;
    private final EventLoop loop;
    private final Agenda agenda = new Agenda(-PRELUDE);
    private final Pump pump;
    private final CompletableFuture<Played> played = new CompletableFuture<>();
    private final Counts counts = new Counts();
    private final Service service;
    private final Histogram opening = new Histogram(1, 600_000_000L, 3);
    private final List<Host> hosts;
    private final List<HostStand> stands = new ArrayList<>();
    private final List<double[]> loads = new ArrayList<>();
    private final Crowd crowd;
    private final Store store;
    private final RosterStand roster;
    private final PeerRelay relay;
    private final List<InetSocketAddress> listens = new ArrayList<>();
    private final List<InetSocketAddress> peerListens = new ArrayList<>();
    private final NodeStand[] nodes;
    private final List<NodePlace> places = new ArrayList<>();
    private final double[] downAt;
    private final double[] pausedUntil;
    private final boolean[] leaving;
    private final List<Integer> front = new ArrayList<>();
    private final Map<String, Attempt> attempts = new HashMap<>();
    private final Map<Caller, ClientStand> standing = new LinkedHashMap<>();
    private final Cuts cuts = new Cuts();
    private final Place rosterPlace;
    private final List<String> wrong = new ArrayList<>();
    private final Path folder;
    private final Dice ways;
    private final Dice luck;
    private final Dice nodeLuck;
    private final Dice patiences;
    private final Dice fronts;
    private final long seed;
    private int waitingUps;
    private boolean begun;

    /** A node, as one end of a way. */
    private static final class NodePlace extends Place {
        NodePlace(int number, String zone) {
            super(Sort.NODE, number, "n" + number, zone);
        }
    }

    private static final class RosterPlace extends Place {
        RosterPlace(String zone) {
            super(Sort.ROSTER, 0, "roster", zone);
        }
    }

    private SocketDay(Day day, long seed, Nodes kind, Witness witness, Trace trace, EventLoop loop)
            throws IOException {
        this.day = day;
        this.seed = seed;
        this.kind = kind;
        this.witness = witness;
        this.trace = trace;
        this.loop = loop;
        this.service = new Service(day);
        this.pump = new Pump(loop, agenda, day.lasts(), this::end);
        this.ways = new Dice(seed, "network");
        this.luck = new Dice(seed, "setups");
        this.nodeLuck = new Dice(seed, "nodes");
        this.patiences = new Dice(seed, "callers");
        this.fronts = new Dice(seed, "front");
        this.folder = Files.createTempDirectory("embershift-emulator");
        hosts = Host.fleet(day, seed, agenda);
        crowd = new Crowd(day, seed, agenda, hosts);
        store = new Store(day.store(), crowd.rate(), agenda);
        int many = day.fleet().nodes();
        nodes = new NodeStand[many];
        downAt = new double[many];
        pausedUntil = new double[many];
        leaving = new boolean[many];
        rosterPlace = new RosterPlace(day.fleet().zones().get(0));
        for (int i = 0; i < many; i++) {
            places.add(new NodePlace(i, zone(i)));
            listens.add(free());
            peerListens.add(freeDatagrams());
            downAt[i] = Double.POSITIVE_INFINITY;
            pausedUntil[i] = Double.NEGATIVE_INFINITY;
        }
        for (Host host : hosts) {
            stands.add(new HostStand(this, host));
        }
        roster = new RosterStand(this, hosts, new Dice(seed, "roster"));
        relay =
                new PeerRelay(
                        this,
                        loop,
                        peerListens,
                        (from, to) ->
                                cuts.open(places.get(from), places.get(to))
                                        && luck.part() >= day.network().loss());
    }

    /** Plays the day; returns when it is over. */
    public static Played play(Day day, long seed, Nodes kind, Witness witness, Trace trace)
            throws IOException {
        EventLoop loop = new EventLoop();
        CompletableFuture<SocketDay> made = new CompletableFuture<>();
        loop.execute(
                () -> {
                    SocketDay one;
                    try {
                        one = new SocketDay(day, seed, kind, witness, trace, loop);
                    } catch (IOException | RuntimeException e) {
                        made.completeExceptionally(e);
                        return;
                    }
                    made.complete(one);
                    try {
                        one.start();
                    } catch (IOException | MalformedDataException | RuntimeException e) {
                        one.played.completeExceptionally(e);
                    }
                });
        try {
            return made.thenCompose(one -> one.played).join();
        } catch (java.util.concurrent.CompletionException e) {
            throw new IOException(e.getCause());
        } finally {
            loop.execute(
                    () -> {
                        CompletableFuture<Void> unused = made.thenAccept(SocketDay::clear);
                    });
            loop.execute(loop::stop);
        }
    }

    private static InetSocketAddress free() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
        }
    }

    private static InetSocketAddress freeDatagrams() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }

    // ---- The day's beginning and end ----

    private void start() throws IOException, MalformedDataException {
        pump.begin(-PRELUDE);
        for (int i = 0; i < nodes.length; i++) {
            startNode(i);
        }
        hosts.forEach(this::look);
        List<Host> homes = crowd.homes();
        bringUp(new ArrayList<>(crowd.standing()), homes);
    }

    /** Once all nodes answer: what stands when the day begins, some at a time. */
    private void bringUp(List<Caller> left, List<Host> homes) {
        if (front.size() < nodes.length) {
            if (agenda.now() > -PRELUDE / 2) {
                played.completeExceptionally(
                        new IOException("the nodes did not start; their logs are in " + folder));
                return;
            }
            agenda.in(ASK, () -> bringUp(left, homes));
            return;
        }
        while (!left.isEmpty() && waitingUps < UPS) {
            Caller caller = left.remove(left.size() - 1);
            caller.retriesLeft = day.callers().retries();
            service.asks(caller.profile, caller.participant, 0, caller.ends);
            waitingUps++;
            ClientStand client =
                    new ClientStand(
                            this,
                            caller,
                            deal(caller.zone),
                            new ClientStand.Host(homes.get(caller.group).name));
            attempts.put(client.attempt.id.name(), client.attempt);
            client.begin();
        }
        if ((left.isEmpty() && waitingUps == 0) || agenda.now() > -1) {
            if (!begun) {
                begun = true;
                pump.begin(0);
                standing.values().forEach(client -> client.dayBegins(LINES * luck.part()));
                crowd.begin(this::begin);
                new Troubles(this, day, new Dice(seed, "troubles")).plan();
                sample();
            }
        } else {
            agenda.in(ASK, () -> bringUp(left, homes));
        }
    }

    private void end() {
        counts.callers = crowd.callers();
        standing.values().forEach(ClientStand::settle);
        played.complete(
                new Played(
                        new Outcome(
                                day,
                                service,
                                counts,
                                opening,
                                loads,
                                0,
                                (long) (day.lasts() * 1e9),
                                0),
                        wrong,
                        pump.latest()));
    }

    private void clear() {
        for (NodeStand node : nodes) {
            if (node != null) {
                node.kill();
            }
        }
    }

    private void sample() {
        loads.add(Host.loads(hosts));
        agenda.in(1, this::sample);
    }

    private void look(Host host) {
        host.refresh();
        agenda.in(LOOK, () -> look(host));
    }

    // ---- What its parts ask of it ----

    Day day() {
        return day;
    }

    EventLoop loop() {
        return loop;
    }

    Pump pump() {
        return pump;
    }

    double now() {
        return agenda.now();
    }

    Counts counts() {
        return counts;
    }

    Witness witness() {
        return witness;
    }

    Service service() {
        return service;
    }

    Store store() {
        return store;
    }

    double luck() {
        return luck.part();
    }

    Attempt attempt(String id) {
        return attempts.get(id);
    }

    HostStand stand(Host host) {
        return stands.get(host.number);
    }

    String zone(int node) {
        return day.fleet().zones().get(node % day.fleet().zones().size());
    }

    InetSocketAddress address(int node) {
        return listens.get(node);
    }

    /** Something that must not be, such as words that the protocol does not have. */
    void trouble(String what) {
        wrong.add(what);
    }

    /** Whether that node and the roster reach each other. */
    boolean open(int node) {
        return cuts.openBothWays(places.get(node), rosterPlace);
    }

    double peerDelay(int from, int to) {
        return ways.within(
                zone(from).equals(zone(to)) ? day.network().within() : day.network().between());
    }

    Talk.Way way(Host host, int node) {
        double[] range =
                host.zone.equals(zone(node)) ? day.network().within() : day.network().between();
        return new Talk.Way() {
            @Override
            public double delay() {
                return ways.within(range);
            }

            @Override
            public boolean inOpen() {
                return cuts.open(places.get(node), host);
            }

            @Override
            public boolean outOpen() {
                return cuts.open(host, places.get(node));
            }
        };
    }

    // ---- Nodes and the front ----

    private void startNode(int number) throws IOException, MalformedDataException {
        String configuration = configuration(number);
        witness.nodeChanged(now(), "n" + number, true);
        nodes[number] =
                kind == Nodes.HERE
                        ? NodeStand.here(configuration)
                        : NodeStand.forked(
                                configuration, listens.get(number), folder, "n" + number);
        downAt[number] = Double.POSITIVE_INFINITY;
        leaving[number] = false;
        ask(number, nodes[number]);
    }

    private void startAgain(int number) {
        try {
            startNode(number);
        } catch (IOException | MalformedDataException e) {
            trouble("node n" + number + " did not start again: " + e.getMessage());
        }
    }

    /** The front asks a node that starts until it answers. */
    private void ask(int number, NodeStand node) {
        if (nodes[number] != node || !node.runs()) {
            return;
        }
        TcpConnection[] link = new TcpConnection[1];
        link[0] =
                loop.connect(
                        listens.get(number),
                        new TcpConnection.Listener() {
                            @Override
                            public void connected() {
                                link[0].write(LineCodec.encode("PING"));
                            }

                            @Override
                            public void connectFailed() {
                                loop.schedule(ASK, () -> ask(number, node));
                            }

                            @Override
                            public void received(ByteBuffer bytes) {
                                link[0].close();
                                if (nodes[number] == node && !front.contains(number)) {
                                    front.add(number);
                                }
                            }

                            @Override
                            public void inputEnded() {
                                link[0].close();
                                loop.schedule(ASK, () -> ask(number, node));
                            }

                            @Override
                            public void connectionLost() {
                                loop.schedule(ASK, () -> ask(number, node));
                            }
                        });
    }

    private int deal(String zone) {
        List<Integer> near =
                front.stream().filter(node -> zone(node).equals(zone)).sorted().toList();
        List<Integer> all = near.isEmpty() ? front : near;
        return all.isEmpty() ? -1 : all.get(fronts.below(all.size()));
    }

    /**
     * Whether a client that began then has no claim on this node: it died or stood still meanwhile.
     */
    boolean excuses(int node, double began) {
        return downAt[node] < now() || !nodes[node].runs() || pausedUntil[node] > began;
    }

    private String configuration(int number) {
        ObjectNode all =
                JSON.createObjectNode()
                        .put("name", "n" + number)
                        .put("listen", PeerRelay.text(listens.get(number)))
                        .put("discovery", roster.address(number))
                        .put("seed", Long.toHexString(nodeLuck.number()));
        all.putObject("limits").put("cores", 1.0).put("memory_mb", 256).put("sockets", 8192);
        all.put("peer_listen", PeerRelay.text(peerListens.get(number)))
                .put("peers_all", relay.all(number));
        ArrayNode peers = all.putArray("peers");
        relay.peers(number).forEach(peers::add);
        all.set("known", roster.known(number));
        ObjectNode settings =
                all.putObject("settings")
                        .put("balancers", day.fleet().nodes())
                        .put("rank", number)
                        .put("az", zone(number))
                        .put("discovery", "subscribe");
        ArrayNode profiles = settings.putArray("profiles");
        for (Day.Profile row : day.profile()) {
            ObjectNode profile =
                    profiles.addObject()
                            .put("name", row.name())
                            .put(
                                    "repeat",
                                    switch (row.repeat()) {
                                        case REPEATABLE -> "idempotent";
                                        case REFERENCED -> "deduplicated";
                                        case ONCE_ONLY -> "at_most_once";
                                    })
                            .put("setup-goal-s", row.goal())
                            .put("client-timeout-s", row.patience())
                            .put("credit", row.credit());
            profile.put("dedup-scope", row.scope().name().toLowerCase(java.util.Locale.ROOT))
                    .put("dedup-window-s", row.window());
        }
        settings.putObject("report").putArray("columns").add("inflight").add("queue").add("x0");
        settings.putObject("domain").put("mode", "proxy");
        Day.Limits limits = day.limits();
        settings.putObject("limits")
                .put("may-probe", limits.mayProbe())
                .put("may-tell", limits.mayTellNodes())
                .put("may-cancel", limits.mayCancel())
                .put("may-duplicate", false)
                .put("most-setups", limits.mostSetups())
                .put("retry-after", limits.advice())
                .put("max-retry-after-s", limits.longestReturn())
                .put("connect-timeout-s", limits.connectTimeout());
        settings.putObject("rules")
                .put("answer-slack-s", 0.016)
                .put("must-ask-in-s", day.roster().mustAskWithin())
                .put("drain-grace-s", day.rules().drainGrace())
                .put("cold-from", day.host().coldFrom())
                .put("warm-after-s", day.host().warmAfter())
                .put("fall-multiple", day.rules().fallMultiple())
                .put("fall-s", day.rules().fallAfter());
        return all.toString();
    }

    // ---- Callers ----

    private void begin(Caller caller) {
        service.asks(caller.profile, caller.participant, caller.begins, caller.ends);
        caller.retriesLeft = day.callers().retries();
        open(caller);
    }

    private void open(Caller caller) {
        if (caller.over || now() >= caller.ends) {
            caller.over = true;
            return;
        }
        counts.tunnels++;
        int node = deal(caller.zone);
        if (node < 0) {
            again(caller, 0);
            return;
        }
        ClientStand client = new ClientStand(this, caller, node, null);
        attempts.put(client.attempt.id.name(), client.attempt);
        client.begin();
    }

    void opened(ClientStand client) {
        standing.put(client.caller, client);
        if (!begun) {
            waitingUps--;
            return;
        }
        counts.opened++;
        double took = now() - client.attempt.began;
        opening.recordValue(Math.max(1, Math.round(took * 1e6)));
        if (took <= day.profile().get(client.caller.profile).goal()) {
            service.serves(
                    client.caller.profile,
                    client.caller.participant,
                    client.attempt.began,
                    now(),
                    1);
        }
    }

    /**
     * What was to stand when the day begins could not be brought up: its client comes like any
     * other.
     */
    void notStanding(ClientStand client) {
        waitingUps--;
        trouble(client.attempt.id.name() + " does not stand when the day begins");
        comeAgain(client);
    }

    void parted(ClientStand client) {
        standing.remove(client.caller, client);
        attempts.remove(client.attempt.id.name());
    }

    void retry(ClientStand client, double after) {
        if (client.caller.attempt == client.attempt) {
            again(client.caller, after);
        }
    }

    private void again(Caller caller, double after) {
        if (caller.over) {
            return;
        }
        if (caller.retriesLeft-- > 0) {
            agenda.in(Math.max(after, patiences.within(day.callers().pause())), () -> open(caller));
        } else {
            caller.over = true;
        }
    }

    void comeAgain(ClientStand client) {
        if (client.caller.attempt == client.attempt && !client.caller.over) {
            client.caller.retriesLeft = day.callers().retries();
            agenda.in(patiences.within(day.callers().returns()), () -> open(client.caller));
        }
    }

    // ---- Troubles ----

    @Override
    public Agenda agenda() {
        return agenda;
    }

    @Override
    public Trace trace() {
        return trace;
    }

    @Override
    public List<Host> hosts() {
        return hosts;
    }

    @Override
    public Crowd crowd() {
        return crowd;
    }

    @Override
    public void stopHost(Host host, boolean silent) {
        if (host.runs()) {
            stand(host).stop(silent);
            roster.changed(host);
        }
    }

    @Override
    public void startHost(Host host, boolean moved) {
        if (!host.runs()) {
            stand(host).start();
            roster.changed(host);
        }
    }

    @Override
    public void drainHost(Host host, double lasts) {
        if (host.state() != Host.State.RUNNING) {
            return;
        }
        host.drain();
        roster.changed(host);
        List<HostStand.Side> all = stand(host).standing();
        int launch = host.launches();
        for (int i = 0; i < all.size(); i++) {
            HostStand.Side side = all.get(i);
            if (day.host().drain() != Day.Drain.KEPT) {
                double at =
                        day.host().drain() == Day.Drain.AT_ONCE
                                ? 0
                                : day.host().drainFor() * i / all.size();
                agenda.in(
                        at,
                        () -> {
                            if (launch == host.launches()
                                    && stand(host).standing().contains(side)) {
                                side.part("MOVE");
                            }
                        });
            }
        }
        agenda.in(
                day.host().drainFor(),
                () -> {
                    if (launch == host.launches()) {
                        stopHost(host, false);
                        agenda.in(lasts, () -> startHost(host, false));
                    }
                });
    }

    @Override
    public void cut(
            Predicate<Place> inside, Predicate<Place> outside, Direction direction, double lasts) {
        Cuts.Cut cut = new Cuts.Cut(inside, outside, direction);
        cuts.begin(cut);
        agenda.in(
                lasts,
                () -> {
                    cuts.end(cut);
                    stands.forEach(HostStand::wayChanged);
                    roster.wayChanged();
                });
    }

    @Override
    public void crashNode(int node, double lasts) {
        if (nodes[node].runs() && downAt[node] > now()) {
            downAt[node] = now();
            witness.nodeChanged(now(), "n" + node, false);
            nodes[node].kill();
            agenda.in(
                    nodeLuck.within(day.front().notices()),
                    () -> {
                        if (downAt[node] <= now()) {
                            front.remove(Integer.valueOf(node));
                        }
                    });
            // The start itself takes the time that it takes.
            agenda.in(lasts, () -> startAgain(node));
        }
    }

    @Override
    public void restartNode(int node) {
        if (!nodes[node].runs() || leaving[node] || downAt[node] <= now()) {
            return;
        }
        leaving[node] = true;
        nodes[node].leave();
        agenda.in(
                nodeLuck.within(day.node().frontLag()), () -> front.remove(Integer.valueOf(node)));
        agenda.in(
                day.node().leaves(),
                () -> {
                    downAt[node] = now();
                    witness.nodeChanged(now(), "n" + node, false);
                    nodes[node].kill();
                    startAgain(node);
                });
    }

    @Override
    public void pauseNode(int node, double lasts) {
        pausedUntil[node] = Math.max(pausedUntil[node], now() + lasts);
        nodes[node].pause(lasts);
    }

    @Override
    public List<Caller> standing() {
        return new ArrayList<>(standing.keySet());
    }

    @Override
    public void drop(Caller caller, double within) {
        ClientStand client = standing.get(caller);
        if (client != null) {
            client.drop();
            caller.retriesLeft = day.callers().retries();
            agenda.in(within, () -> open(caller));
        }
    }

    @Override
    public void storeSlower(double factor) {
        store.slower(factor);
    }

    @Override
    public void rosterAway(boolean on) {
        roster.away(on);
    }

    @Override
    public void rosterOlder(double ago, double until) {
        roster.older(until);
    }

    @Override
    public void rosterLeavesOut(Set<HostId> left, boolean on) {
        Set<Integer> numbers = new LinkedHashSet<>();
        hosts.stream()
                .filter(host -> left.contains(host.address()))
                .forEach(host -> numbers.add(host.number));
        roster.leaveOut(numbers, on);
    }
}
