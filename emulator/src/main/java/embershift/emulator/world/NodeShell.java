package embershift.emulator.world;

import embershift.model.Decisions;
import embershift.model.DeclineReason;
import embershift.model.GroupId;
import embershift.model.HostId;
import embershift.model.NodeEvents;
import embershift.model.ParticipantId;
import embershift.model.ProfileId;
import embershift.model.RosterEntry;
import embershift.model.SetupOutcome;
import embershift.model.SubjectId;
import embershift.model.TunnelId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * One process of a node: a module, and round it what the node's router does of itself on sockets
 * (docs/node.md) - rounds, time-outs, and the watch over lines that bring nothing back. It decides
 * nothing. Whatever the module says is carried out even where it makes no sense, so that the judge
 * sees it.
 */
final class NodeShell extends Place implements Decisions {

    /** Of a client's wait, what the router keeps for itself: a tenth, this much at the most. */
    private static final double MARGIN = 0.1;

    /**
     * After which a line that brought nothing back is noted, and after which its tunnel is moved in
     * any case.
     */
    static final double NOTED_AFTER = 1.5;

    static final double MOVED_AFTER = 4;

    private final World world;
    private final Module module;
    private final Map<TunnelId, Attempt> attempts = new LinkedHashMap<>();
    private final Map<HostId, Boolean> answeredProbe = new HashMap<>();
    private final Map<HostId, Double> notedAt = new HashMap<>();
    private List<Consumer<NodeEvents>> inbox = new ArrayList<>();
    private boolean roundPlanned;
    private boolean alive = true;
    private boolean leaving;
    private double pausedUntil;
    private double lastRosterCall;

    /** What it was last told of each host, as the judge's word for it goes. */
    private final Map<HostId, RosterEntry> told = new LinkedHashMap<>();

    private long nanos;

    NodeShell(World world, int number, String zone, Module module) {
        super(Sort.NODE, number, "n" + number, zone);
        this.world = world;
        this.module = module;
        this.lastRosterCall = world.now();
    }

    boolean runs() {
        return alive;
    }

    boolean leaving() {
        return leaving;
    }

    double pausedUntil() {
        return pausedUntil;
    }

    double lastRosterCall() {
        return lastRosterCall;
    }

    long nanos() {
        return nanos;
    }

    List<Attempt> attempts() {
        return new ArrayList<>(attempts.values());
    }

    void die() {
        alive = false;
        inbox.clear();
    }

    /** Its process gets no turn until then: news waits, timers are late. */
    void pause(double until) {
        pausedUntil = Math.max(pausedUntil, until);
    }

    // ---- News ----

    void hear(Consumer<NodeEvents> news) {
        if (alive) {
            inbox.add(news);
            plan(world.now() + world.day().node().wakes());
        }
    }

    /** News that a round takes along but that wakes nobody. */
    void hearLater(Consumer<NodeEvents> news) {
        if (alive) {
            inbox.add(news);
        }
    }

    private void plan(double at) {
        if (!roundPlanned) {
            roundPlanned = true;
            world.agenda().at(Math.max(at, pausedUntil), this::round);
        }
    }

    private void round() {
        if (world.now() < pausedUntil) {
            world.agenda().at(pausedUntil, this::round);
            return;
        }
        roundPlanned = false;
        if (!alive) {
            return;
        }
        List<Consumer<NodeEvents>> arrivals = inbox;
        inbox = new ArrayList<>();
        long before = System.nanoTime();
        module.round(
                world.now(),
                news -> {
                    for (Consumer<NodeEvents> arrival : arrivals) {
                        arrival.accept(news);
                    }
                },
                this);
        nanos += System.nanoTime() - before;
        world.counts().rounds++;
    }

    void begin(List<RosterEntry> remembered) {
        tell(remembered, true);
        hear(news -> news.rosterReplaced(remembered, true));
    }

    void standing(Attempt attempt) {
        attempts.put(attempt.id, attempt);
        attempt.node = this;
        HostId host = attempt.host.address();
        Caller caller = attempt.caller;
        hear(
                news ->
                        news.tunnelResumed(
                                attempt.id,
                                world.profileId(caller.profile),
                                world.participantId(caller.participant),
                                subject(caller),
                                group(caller),
                                host));
    }

    private static SubjectId subject(Caller caller) {
        return new SubjectId("s" + caller.number);
    }

    private static GroupId group(Caller caller) {
        return new GroupId("g" + caller.group);
    }

    /** A client's first line has come. */
    void take(Attempt attempt, double patience) {
        attempts.put(attempt.id, attempt);
        Caller caller = attempt.caller;
        ProfileId profile = world.profileId(caller.profile);
        ParticipantId participant = world.participantId(caller.participant);
        double until = attempt.began + patience - margin(patience);
        hear(
                news ->
                        news.tunnelArrived(
                                attempt.id,
                                profile,
                                participant,
                                subject(caller),
                                group(caller),
                                until - world.now(),
                                false));
    }

    private static double margin(double patience) {
        return Math.min(MARGIN, patience / 10);
    }

    void rosterSays(List<RosterEntry> listings, boolean whole) {
        tell(listings, whole);
        hear(
                news -> {
                    if (whole) {
                        news.rosterReplaced(listings, false);
                    } else {
                        news.rosterChanged(listings);
                    }
                });
    }

    private void tell(List<RosterEntry> listings, boolean whole) {
        if (whole) {
            Map<HostId, RosterEntry> absent = new LinkedHashMap<>(told);
            listings.forEach(listing -> absent.remove(listing.host()));
            absent.keySet()
                    .forEach(host -> world.witness().told(world.now(), name, host.name(), true));
            told.keySet().removeAll(absent.keySet());
        }
        for (RosterEntry listing : listings) {
            told.put(listing.host(), listing);
            world.witness()
                    .told(
                            world.now(),
                            name,
                            listing.host().name(),
                            listing.state() != RosterEntry.State.READY);
        }
    }

    /** The list that it would remember, were it started again. */
    List<RosterEntry> known() {
        return new ArrayList<>(told.values());
    }

    void rosterLost() {
        hear(NodeEvents::rosterWatchLost);
    }

    void leave() {
        leaving = true;
        hear(news -> news.nodeLeaving(false));
    }

    void datagram(int from, byte[] content) {
        hear(news -> news.nodeMessageReceived(from, content));
    }

    /** The client has ended its side. */
    void clientLeft(Attempt attempt) {
        if (attempts.containsKey(attempt.id)) {
            attempt.left = true;
            hear(news -> news.tunnelAbandoned(attempt.id));
            if (attempt.setup != null && !attempt.setup.ended) {
                close(attempt.setup);
                ended(attempt.setup, SetupOutcome.CANCELLED);
            }
        }
    }

    /** Lines at this host take long, or bring nothing back. */
    void slow(HostId host, double takes) {
        if (world.now() >= notedAt.getOrDefault(host, Double.NEGATIVE_INFINITY) + 1) {
            notedAt.put(host, world.now());
            hear(news -> news.messageDelayMeasured(host, takes));
        }
    }

    /** A line of this tunnel has brought nothing back for {@code NOTED_AFTER}. */
    void silent(Attempt attempt) {
        HostId host = attempt.setup.address;
        if (Boolean.FALSE.equals(answeredProbe.get(host))) {
            move(attempt.id);
        } else {
            slow(host, NOTED_AFTER);
        }
    }

    // ---- Ends of setups ----

    /** A setup, or the tunnel that came of it, is over at this node. */
    void ended(Setup setup, SetupOutcome end) {
        Attempt attempt = setup.attempt;
        if (setup.ended || !alive) {
            return;
        }
        setup.ended = true;
        world.witness().closed(world.now(), attempt.id.name(), setup.address.name());
        boolean over = attempt.answered || attempt.left;
        double took = world.now() - setup.sentAt;
        world.trace()
                .of(
                        world.now(),
                        attempt,
                        setup.host,
                        "setup " + setup.number + " ended " + end + " at");
        hear(news -> news.setupEnded(attempt.id, setup.number, setup.address, end, took, over));
    }

    void opened(Setup setup) {
        Attempt attempt = setup.attempt;
        double took = world.now() - setup.sentAt;
        hear(news -> news.tunnelOpened(attempt.id, setup.number, setup.address, took));
    }

    /** Ends this node's side of a setup on the wire. */
    private void close(Setup setup) {
        world.witness().closed(world.now(), setup.attempt.id.name(), setup.address.name());
        setup.toHost.send(world.network(), this, setup.host, () -> world.closedAtHost(setup));
    }

    // ---- Decisions ----

    @Override
    public void sendSetup(TunnelId id, HostId to, double timeOut) {
        Attempt attempt = attempts.get(id);
        Host host = world.host(to);
        if (attempt == null || host == null) {
            return;
        }
        Setup setup = new Setup(attempt, attempt.setups++, this, host, to, world.now());
        attempt.setup = setup;
        world.counts().setups++;
        if (!host.zone.equals(zone)) {
            world.counts().crossings++;
        }
        world.trace().of(world.now(), attempt, host, name + " sends setup " + setup.number + " to");
        if (!world.roster().lists(to) && !world.roster().watches(this)) {
            // Who neither watches nor asks counts as told all the same.
            double obliged =
                    Math.max(world.roster().changedAt(to), lastRosterCall)
                            + world.day().roster().mustAskWithin();
            if (world.now() > obliged) {
                world.witness().told(obliged, name, to.name(), true);
            }
        }
        world.witness().sent(world.now(), id.name(), name, to.name());
        double patience = world.patience(attempt);
        double left = attempt.began + patience - margin(patience) - world.now();
        double wait = timeOut > 0 ? Math.min(timeOut, left) : left;
        world.agenda().in(wait, () -> timeOut(setup));
        world.connect(setup);
    }

    private void timeOut(Setup setup) {
        if (!setup.ended && alive && setup.attempt.host == null) {
            if (world.now() < pausedUntil) {
                world.agenda().at(pausedUntil, () -> timeOut(setup));
                return;
            }
            close(setup);
            ended(setup, SetupOutcome.TIMED_OUT);
        }
    }

    @Override
    public void cancelSetup(TunnelId id, int number) {
        Attempt attempt = attempts.get(id);
        if (attempt != null
                && attempt.setup != null
                && attempt.setup.number == number
                && !attempt.up()
                && !attempt.setup.ended) {
            close(attempt.setup);
            ended(attempt.setup, SetupOutcome.CANCELLED);
        }
    }

    @Override
    public void decline(TunnelId id, double returnAfter, DeclineReason reason) {
        answer(id, Witness.Answer.DECLINED, returnAfter);
    }

    @Override
    public void closeWithError(TunnelId id) {
        answer(id, Witness.Answer.CLOSED_WITH_ERROR, 0);
    }

    private void answer(TunnelId id, Witness.Answer answer, double returnAfter) {
        Attempt attempt = attempts.get(id);
        if (attempt == null) {
            return;
        }
        world.trace().of(world.now(), attempt, name + " answers " + answer);
        attempt.answered = true;
        world.agenda()
                .in(
                        world.network().nearDelay(),
                        () -> world.clientHears(attempt, answer, returnAfter));
    }

    @Override
    public void move(TunnelId id) {
        Attempt attempt = attempts.get(id);
        if (attempt != null && attempt.up() && attempt.node == this && !attempt.left) {
            world.counts().moves++;
            attempt.left = true;
            world.trace().of(world.now(), attempt, attempt.host, name + " moves it off");
            close(attempt.setup);
            ended(attempt.setup, SetupOutcome.CANCELLED);
            world.broken(attempt);
        }
    }

    @Override
    public void probe(HostId to) {
        Host host = world.host(to);
        if (host == null) {
            hear(news -> news.probeEnded(to, false, 0));
            return;
        }
        world.counts().probes++;
        world.probe(this, host, to);
    }

    void probeEnded(
            HostId host,
            boolean answered,
            double took,
            double load,
            double tunnels,
            double queued) {
        answeredProbe.put(host, answered);
        hear(
                news -> {
                    news.probeEnded(host, answered, took);
                    if (answered) {
                        news.hostReported(host, load, tunnels, queued);
                    }
                });
        if (!answered) {
            for (Attempt attempt : List.copyOf(world.mute(host))) {
                if (attempt.node == this && world.now() >= attempt.muteSince + NOTED_AFTER) {
                    move(attempt.id);
                }
            }
        }
    }

    @Override
    public void closeIdle(HostId host) {
        // Each tunnel has a connection of its own here: none is idle.
    }

    @Override
    public void watchRoster(boolean on) {
        lastRosterCall = world.now();
        if (on) {
            world.roster().call(this, true);
        } else {
            world.roster().forget(this);
        }
    }

    @Override
    public void requestRoster() {
        lastRosterCall = world.now();
        world.roster().call(this, false);
    }

    @Override
    public void sendToNode(int node, byte[] content) {
        world.counts().datagrams++;
        world.tellNode(this, node, content);
    }

    @Override
    public void sendToAllNodes(byte[] content) {
        for (int node = 0; node < world.day().fleet().nodes(); node++) {
            if (node != number) {
                sendToNode(node, content);
            }
        }
    }

    @Override
    public void wakeAfter(double delay) {
        world.agenda()
                .in(
                        delay,
                        () -> {
                            if (alive) {
                                plan(world.now());
                            }
                        });
    }

    @Override
    public void logForOperators(String line) {
        world.trace().of(world.now(), name, "notes: " + line);
    }
}
