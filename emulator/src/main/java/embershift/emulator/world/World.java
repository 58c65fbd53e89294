package embershift.emulator.world;

import embershift.emulator.day.Day;
import embershift.emulator.day.Trouble.Direction;
import embershift.model.Deployment;
import embershift.model.HostId;
import embershift.model.ParticipantId;
import embershift.model.ProfileId;
import embershift.model.RosterEntry;
import embershift.model.SetupOutcome;
import embershift.model.TunnelId;
import embershift.model.ZoneId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/**
 * One day: makes the fleet, lets clients come and troubles befall it, and counts what became of it.
 */
public final class World implements Module.Truth, Stage {

    /** Seconds between two looks at each host: what is well served is known as finely as that. */
    private static final double LOOK = 0.1;

    /** Seconds between two lines of a client. */
    private static final double LINES = 2;

    private final Day day;
    private final Agenda agenda = new Agenda();
    private final Witness witness;
    private final Trace trace;
    private final Module.Maker maker;
    private final Counts counts = new Counts();
    private final Service service;
    private final Network network;
    private final Roster roster;
    private final Front front;
    private final Store store;

    private final List<Host> hosts = new ArrayList<>();
    private final Map<HostId, Host> byAddress = new LinkedHashMap<>();
    private final NodeShell[] nodes;
    private final List<ProfileId> profileIds = new ArrayList<>();
    private final List<ParticipantId> participantIds = new ArrayList<>();
    private final Set<Attempt> mute = new LinkedHashSet<>();

    /** Of each host: tunnels that pass lines, by profile and participant. */
    private final int[][][] passing;

    private final double[] lookedAt;
    private final double[] wasTaking;
    private final List<double[]> loads = new ArrayList<>();

    private final Crowd crowd;
    private final Dice patiences;
    private final Dice setupLuck;
    private final Dice nodeLuck;
    private final Dice loadLuck;
    private final Histogram opening = new Histogram(1, 600_000_000L, 3);

    /** What modules of nodes took that have died since. */
    private long deadNanos;

    public World(Day day, long seed, Module.Maker maker, Witness witness, Trace trace) {
        this.day = day;
        this.maker = maker;
        this.witness = witness;
        this.trace = trace;
        this.service = new Service(day);
        this.patiences = new Dice(seed, "callers");
        this.setupLuck = new Dice(seed, "setups");
        this.nodeLuck = new Dice(seed, "nodes");
        this.loadLuck = new Dice(seed, "loads");
        this.network = new Network(day.network(), agenda, new Dice(seed, "network"));
        List<String> zones = day.fleet().zones();
        this.roster =
                new Roster(day.roster(), zones.get(0), agenda, network, new Dice(seed, "roster"));
        this.front = new Front(zones, new Dice(seed, "front"));
        hosts.addAll(Host.fleet(day, seed, agenda));
        hosts.forEach(host -> byAddress.put(host.address(), host));
        day.profile().forEach(profile -> profileIds.add(new ProfileId(profile.name())));
        day.participant()
                .forEach(participant -> participantIds.add(new ParticipantId(participant.name())));
        this.crowd = new Crowd(day, seed, agenda, hosts);
        this.store = new Store(day.store(), crowd.rate(), agenda);
        this.nodes = new NodeShell[day.fleet().nodes()];
        this.passing = new int[hosts.size()][day.profile().size()][day.participant().size()];
        this.lookedAt = new double[hosts.size()];
        this.wasTaking = new double[hosts.size()];
        roster.begin(hosts);
        for (int i = 0; i < nodes.length; i++) {
            startNode(i, roster.present());
        }
        if (day.traffic().standing()) {
            makeStanding();
        }
        hosts.forEach(this::look);
        sampleLoads();
        crowd.begin(this::begin);
        new Troubles(this, day, new Dice(seed, "troubles")).plan();
    }

    /** Lets the day pass and returns what became of it. */
    public Outcome run() {
        long before = System.nanoTime();
        long happened = agenda.runUntil(day.lasts());
        hosts.forEach(this::account);
        long nanos = System.nanoTime() - before;
        long inModule = 0;
        for (NodeShell node : nodes) {
            inModule += node == null ? 0 : node.nanos();
        }
        counts.callers = crowd.callers();
        counts.rosterCalls = roster.calls;
        counts.rosterEntries = roster.entries;
        return new Outcome(
                day, service, counts, opening, loads, happened, nanos, inModule + deadNanos);
    }

    // ---- What its parts ask of it ----

    double now() {
        return agenda.now();
    }

    @Override
    public Agenda agenda() {
        return agenda;
    }

    Day day() {
        return day;
    }

    Counts counts() {
        return counts;
    }

    Network network() {
        return network;
    }

    Roster roster() {
        return roster;
    }

    Witness witness() {
        return witness;
    }

    @Override
    public Trace trace() {
        return trace;
    }

    @Override
    public List<Host> hosts() {
        return hosts;
    }

    Host host(HostId address) {
        return byAddress.get(address);
    }

    ProfileId profileId(int profile) {
        return profileIds.get(profile);
    }

    ParticipantId participantId(int participant) {
        return participantIds.get(participant);
    }

    double patience(Attempt attempt) {
        return day.profile().get(attempt.caller.profile).patience();
    }

    // ---- Nodes ----

    Deployment deployment(long seed, int rank, String zone) {
        List<Deployment.Profile> profiles = new ArrayList<>();
        for (Day.Profile row : day.profile()) {
            profiles.add(
                    new Deployment.Profile(
                            new ProfileId(row.name()),
                            Deployment.Repeat.valueOf(row.repeat().name()),
                            Deployment.DedupScope.valueOf(row.scope().name()),
                            row.window(),
                            row.goal(),
                            row.patience(),
                            row.message(),
                            row.credit()));
        }
        Day.Limits limits = day.limits();
        return new Deployment(
                seed,
                day.fleet().nodes(),
                rank,
                new ZoneId(zone),
                profiles,
                true,
                day.roster().mustAskWithin(),
                limits.mayProbe(),
                limits.mayTellNodes(),
                true,
                limits.mayCancel(),
                false,
                limits.mostSetups(),
                limits.advice(),
                limits.longestReturn(),
                limits.connectTimeout(),
                0,
                day.rules().drainGrace(),
                day.host().coldFrom(),
                day.host().warmAfter(),
                day.rules().fallMultiple(),
                day.rules().fallAfter(),
                Deployment.RetryBudget.NONE,
                false,
                0);
    }

    /** Starts a node's program; its clients come once the front has had its answer. */
    void startNode(int number, List<RosterEntry> remembered) {
        String zone = day.fleet().zones().get(number % day.fleet().zones().size());
        NodeShell node =
                new NodeShell(
                        this,
                        number,
                        zone,
                        maker.make(deployment(nodeLuck.number(), number, zone), this));
        nodes[number] = node;
        witness.nodeChanged(now(), node.name, true);
        trace.of(now(), node.name, "starts");
        node.begin(remembered);
        front.takeIn(node);
    }

    /** A node's process is gone: all that passed through it breaks. */
    void killNode(NodeShell node, boolean known) {
        if (!node.runs()) {
            return;
        }
        deadNanos += node.nanos();
        node.die();
        witness.nodeChanged(now(), node.name, false);
        trace.of(now(), node.name, "dies");
        roster.forget(node);
        if (known) {
            front.takeOut(node);
        } else {
            agenda.in(nodeLuck.within(day.front().notices()), () -> front.takeOut(node));
        }
        for (Attempt attempt : node.attempts()) {
            if (attempt.setup != null && !attempt.setup.ended) {
                Setup setup = attempt.setup;
                setup.ended = true;
                witness.closed(now(), attempt.id.name(), setup.address.name());
                setup.toHost.send(network, node, setup.host, () -> closedAtHost(setup));
            }
            if (!attempt.left) {
                attempt.left = true;
                if (attempt.up()) {
                    counts.breaks++;
                    broken(attempt);
                } else if (!attempt.answered) {
                    attempt.answered = true;
                    agenda.in(network.nearDelay(), () -> lostWithNode(attempt));
                }
            }
        }
    }

    private void lostWithNode(Attempt attempt) {
        heard.add(attempt);
        witness.gaveUp(now(), attempt.id.name(), true);
        retry(attempt, 0);
    }

    void tellNode(NodeShell from, int to, byte[] content) {
        NodeShell node = to >= 0 && to < nodes.length ? nodes[to] : null;
        if (node != null) {
            network.datagram(
                    from,
                    node,
                    () -> {
                        if (nodes[to].runs()) {
                            nodes[to].datagram(from.number, content);
                        }
                    });
        }
    }

    // ---- Callers ----

    private void begin(Caller caller) {
        service.asks(caller.profile, caller.participant, caller.begins, caller.ends);
        caller.retriesLeft = day.callers().retries();
        open(caller);
    }

    /** A client tries: through the front of its zone, to a node. */
    private void open(Caller caller) {
        if (caller.over || now() >= caller.ends) {
            caller.over = true;
            return;
        }
        Attempt attempt =
                new Attempt(
                        new TunnelId("t" + caller.number + "." + caller.tries++), caller, now());
        caller.attempt = attempt;
        counts.tunnels++;
        NodeShell node = front.deal(caller.zone);
        if (node == null || !node.runs()) {
            attempt.answered = true;
            agenda.in(2 * network.nearDelay(), () -> retry(attempt, 0));
            return;
        }
        attempt.node = node;
        double patience = patience(attempt);
        agenda.in(patience, () -> patienceEnds(attempt));
        agenda.in(network.nearDelay(), () -> reach(attempt, node, patience));
    }

    private void reach(Attempt attempt, NodeShell node, double patience) {
        if (!node.runs()) {
            attempt.answered = true;
            heard.add(attempt);
            retry(attempt, 0);
            return;
        }
        witness.taken(
                now(),
                attempt.id.name(),
                node.name,
                attempt.caller.profile,
                attempt.began + patience);
        trace.of(now(), attempt, "reaches " + node.name);
        node.take(attempt, patience);
    }

    /** The client's wait is over: if nothing has reached it by now, it leaves. */
    private void patienceEnds(Attempt attempt) {
        if (heard.add(attempt)) {
            boolean excused = !attempt.node.runs() || attempt.node.pausedUntil() > attempt.began;
            counts.unanswered++;
            witness.gaveUp(now(), attempt.id.name(), excused);
            trace.of(now(), attempt, "gives up");
            agenda.in(network.nearDelay(), () -> attempt.node.clientLeft(attempt));
            retry(attempt, 0);
        }
    }

    /** Tries whose clients have had an answer, or stopped waiting for one. */
    private final Set<Attempt> heard = new LinkedHashSet<>();

    /** A final answer of the node's own has reached the client. */
    void clientHears(Attempt attempt, Witness.Answer answer, double returnAfter) {
        witness.answered(now(), attempt.id.name(), answer);
        if (!heard.add(attempt)) {
            return;
        }
        trace.of(now(), attempt, "hears " + answer);
        attempt.left = true;
        if (answer == Witness.Answer.DECLINED) {
            counts.declined++;
            retry(attempt, returnAfter);
        } else {
            counts.closedWithError++;
            if (day.profile().get(attempt.caller.profile).repeat() == Day.Repeat.ONCE_ONLY) {
                attempt.caller.over =
                        true; // it may have run: nobody knows, so its client must not try again
            } else {
                retry(attempt, 0);
            }
        }
    }

    private void retry(Attempt attempt, double after) {
        Caller caller = attempt.caller;
        if (caller.attempt != attempt || caller.over) {
            return;
        }
        if (caller.retriesLeft-- > 0) {
            agenda.in(Math.max(after, patiences.within(day.callers().pause())), () -> open(caller));
        } else {
            caller.over = true;
        }
    }

    /** A standing tunnel has broken or been moved; its client comes again soon. */
    void broken(Attempt attempt) {
        Caller caller = attempt.caller;
        settle(attempt);
        if (caller.attempt == attempt && !caller.over) {
            caller.retriesLeft = day.callers().retries();
            agenda.in(
                    network.nearDelay() + patiences.within(day.callers().returns()),
                    () -> open(caller));
        }
    }

    /** The client drops its connection and comes again within so long. */
    @Override
    public void drop(Caller caller, double within) {
        Attempt attempt = caller.attempt;
        if (attempt != null && attempt.up() && !attempt.left && !caller.over) {
            settle(attempt);
            attempt.left = true;
            NodeShell node = attempt.node;
            agenda.in(network.nearDelay(), () -> node.clientLeft(attempt));
            caller.retriesLeft = day.callers().retries();
            agenda.in(within, () -> open(caller));
        }
    }

    /** Callers whose tunnels stand now, in the order of the hosts. */
    @Override
    public List<Caller> standing() {
        List<Caller> standing = new ArrayList<>();
        for (Host host : hosts) {
            host.standing().forEach(attempt -> standing.add(attempt.caller));
        }
        return standing;
    }

    // ---- Setups, at the wire and at the host ----

    /** The way of a connection: up, the line, and what the host's program makes of it. */
    void connect(Setup setup) {
        NodeShell node = setup.node;
        Host host = setup.host;
        double timeout = day.limits().connectTimeout();
        if (host.state() == Host.State.SILENT
                || !setup.address.equals(host.address())
                || !network.openBothWays(node, host)) {
            agenda.in(timeout, () -> node.ended(setup, SetupOutcome.NO_CONNECTION));
            return;
        }
        double there = network.delay(node, host);
        double back = network.delay(node, host);
        agenda.in(
                there,
                () -> {
                    if (host.state() == Host.State.SILENT) {
                        agenda.in(timeout, () -> node.ended(setup, SetupOutcome.NO_CONNECTION));
                    } else if (host.state() == Host.State.DOWN || host.refusing) {
                        setup.toNode.send(
                                network,
                                host,
                                node,
                                () -> node.ended(setup, SetupOutcome.NO_CONNECTION));
                    } else {
                        agenda.in(
                                back,
                                () -> {
                                    if (!setup.ended && node.runs()) {
                                        setup.lineSent = true;
                                        setup.toHost.send(network, node, host, () -> arrive(setup));
                                    }
                                });
                    }
                });
    }

    private void reply(Setup setup, SetupOutcome end) {
        setup.toNode.send(network, setup.host, setup.node, () -> setup.node.ended(setup, end));
    }

    private void arrive(Setup setup) {
        Host host = setup.host;
        if (setup.closedAtHost) {
            return;
        }
        setup.arrived = true;
        if (!host.runs()) {
            if (host.state() == Host.State.DOWN) {
                reply(setup, SetupOutcome.BROKEN);
            }
            return;
        }
        double allowed = host.pushed();
        if (!Double.isNaN(allowed)) {
            witness.pushedOver(now(), host.name, host.pushRate(), allowed);
            trace.of(now(), host.name, "is pushed over");
            stopHost(host, false);
            reply(setup, SetupOutcome.BROKEN);
            return;
        }
        if (host.state() == Host.State.DRAINING || !host.hasRoom()) {
            reply(setup, SetupOutcome.FULL);
            return;
        }
        witness.ran(now(), setup.attempt.id.name(), host.name, host.zone, host.cell);
        if (host.mute) {
            return;
        }
        if (host.failing > 0 && setupLuck.part() < host.failing) {
            reply(setup, SetupOutcome.ERROR);
            return;
        }
        boolean half = host.halving > 0 && setupLuck.part() < host.halving;
        double work = day.host().setupWork() * setup.attempt.caller.cost;
        counts.setupWork += work;
        host.setUp(work, () -> callStore(setup, half, work));
        host.refresh();
    }

    /** Each setup needs a call to the session store, which all hosts share. */
    private void callStore(Setup setup, boolean half, double work) {
        Host host = setup.host;
        int launch = host.launches();
        if (setup.closedAtHost) {
            host.forget();
            counts.wastedWork += work;
            return;
        }
        if (store.full()) {
            host.forget();
            counts.wastedWork += work;
            reply(setup, SetupOutcome.ERROR);
            return;
        }
        store.call(
                () -> {
                    if (launch != host.launches()) {
                        return;
                    }
                    // Draining or not, what has begun to run is brought to its end: BUSY now would
                    // say that it never ran.
                    if (setup.closedAtHost || half) {
                        host.forget();
                        counts.wastedWork += work;
                        if (!setup.closedAtHost) {
                            reply(setup, SetupOutcome.BROKEN);
                        }
                        return;
                    }
                    up(setup);
                });
    }

    @Override
    public void storeSlower(double factor) {
        store.slower(factor);
    }

    private void up(Setup setup) {
        Attempt attempt = setup.attempt;
        Host host = setup.host;
        attempt.load = attempt.caller.load;
        host.admit(attempt);
        setup.toNode.send(network, host, setup.node, () -> upAtNode(setup));
    }

    private void upAtNode(Setup setup) {
        Attempt attempt = setup.attempt;
        NodeShell node = setup.node;
        if (setup.ended || !node.runs()) {
            counts.wastedWork += day.host().setupWork() * attempt.caller.cost;
            setup.toHost.send(network, node, setup.host, () -> closedAtHost(setup));
            return;
        }
        // UP passes on to the client by itself, whatever the module has said before: the judge sees
        // it.
        attempt.host = setup.host;
        node.opened(setup);
        boolean late = attempt.answered;
        attempt.answered = true;
        agenda.in(network.nearDelay(), () -> upAtClient(setup, late));
    }

    private void upAtClient(Setup setup, boolean late) {
        Attempt attempt = setup.attempt;
        Caller caller = attempt.caller;
        if (late) {
            witness.answered(now(), attempt.id.name(), Witness.Answer.OPENED);
        }
        if (!heard.add(attempt)) {
            return;
        }
        if (!late) {
            witness.answered(now(), attempt.id.name(), Witness.Answer.OPENED);
        }
        if (setup.ended || attempt.left) {
            return; // broken or moved on its way: the client hears UP, then the end, and comes
            // again by that
        }
        counts.opened++;
        double took = now() - attempt.began;
        opening.recordValue(Math.max(1, Math.round(took * 1e6)));
        trace.of(now(), attempt, setup.host, "is up after " + (float) took + " at");
        Day.Profile row = day.profile().get(caller.profile);
        if (took <= row.goal()) {
            service.serves(caller.profile, caller.participant, attempt.began, now(), 1);
        }
        stand(attempt);
    }

    /** From now on lines pass; the tunnel's end and its changes of load are planned. */
    private void stand(Attempt attempt) {
        pass(attempt, network.openBothWays(attempt.node, attempt.host) && attempt.host.runs());
        if (!attempt.passing) {
            muteFrom(attempt);
        }
        agenda.at(attempt.caller.ends, () -> end(attempt));
        planLoad(attempt);
    }

    private void planLoad(Attempt attempt) {
        if (day.traffic().loadSpread() > 0) {
            agenda.in(
                    loadLuck.exponential(day.traffic().loadChangesEvery()),
                    () -> {
                        if (!attempt.left
                                && attempt.host != null
                                && attempt.host.standing().contains(attempt)) {
                            Day.Profile row = day.profile().get(attempt.caller.profile);
                            double load =
                                    row.load()
                                            / day.traffic().perCore()
                                            * attempt.caller.cost
                                            * loadLuck.spread(day.traffic().loadSpread());
                            attempt.host.loadChanges(attempt, load);
                            attempt.node.hearLater(
                                    news -> news.tunnelLoadMeasured(attempt.id, load));
                            planLoad(attempt);
                        }
                    });
        }
    }

    /** The client's wish is fulfilled: its host ends the tunnel. */
    private void end(Attempt attempt) {
        if (attempt.left || attempt.caller.attempt != attempt) {
            return;
        }
        attempt.caller.over = true;
        boolean passed = attempt.passing;
        settle(attempt);
        if (passed) {
            attempt.host.release(attempt);
            attempt.setup.toNode.send(
                    network,
                    attempt.host,
                    attempt.node,
                    () -> {
                        attempt.left = true;
                        attempt.node.ended(attempt.setup, SetupOutcome.COMPLETED);
                    });
        } else {
            agenda.in(network.nearDelay(), () -> attempt.node.clientLeft(attempt));
        }
    }

    /** The node has ended its side of a setup, and the host hears it. */
    void closedAtHost(Setup setup) {
        setup.closedAtHost = true;
        if (setup.launch == setup.host.launches()) {
            setup.host.release(setup.attempt);
        }
    }

    // ---- Lines ----

    private void pass(Attempt attempt, boolean on) {
        if (attempt.passing != on) {
            account(attempt.host);
            attempt.passing = on;
            passing[attempt.host.number][attempt.caller.profile][attempt.caller.participant] +=
                    on ? 1 : -1;
        }
    }

    /** Nothing passes on this tunnel any more. */
    private void settle(Attempt attempt) {
        if (attempt.host != null) {
            pass(attempt, false);
            mute.remove(attempt);
        }
    }

    private void muteFrom(Attempt attempt) {
        if (!mute.add(attempt)) {
            return;
        }
        attempt.muteSince = now() + LINES * loadLuck.part();
        double since = attempt.muteSince;
        agenda.at(
                since + NodeShell.NOTED_AFTER,
                () -> {
                    if (mute.contains(attempt)
                            && attempt.muteSince == since
                            && attempt.node.runs()) {
                        attempt.node.silent(attempt);
                    }
                });
        agenda.at(
                since + NodeShell.MOVED_AFTER,
                () -> {
                    if (mute.contains(attempt)
                            && attempt.muteSince == since
                            && attempt.node.runs()) {
                        attempt.node.move(attempt.id);
                    }
                });
    }

    /** Standing tunnels to this address whose lines bring nothing back. */
    List<Attempt> mute(HostId address) {
        return mute.stream().filter(attempt -> attempt.setup.address.equals(address)).toList();
    }

    /** Ways or hosts have changed: which tunnels pass lines now? */
    void waysChanged() {
        for (Host host : hosts) {
            for (Attempt attempt : List.copyOf(host.standing())) {
                if (attempt.host == host && !attempt.left && heard.contains(attempt)) {
                    boolean passes = network.openBothWays(attempt.node, host);
                    pass(attempt, passes);
                    if (passes) {
                        mute.remove(attempt);
                    } else {
                        muteFrom(attempt);
                    }
                }
            }
        }
        roster.waysChanged();
    }

    // ---- Hosts ----

    /** Service since the last look, by how long lines took at it. */
    private void account(Host host) {
        double from = lookedAt[host.number];
        double takes = wasTaking[host.number];
        double now = Math.min(now(), day.lasts());
        if (now > from) {
            int[][] rows = passing[host.number];
            for (int p = 0; p < rows.length; p++) {
                if (takes <= day.profile().get(p).message()) {
                    for (int q = 0; q < rows[p].length; q++) {
                        if (rows[p][q] > 0) {
                            service.serves(p, q, from, now, rows[p][q]);
                        }
                    }
                }
            }
        }
        lookedAt[host.number] = now;
        wasTaking[host.number] = host.lineTakes();
    }

    private void look(Host host) {
        host.refresh();
        account(host);
        double takes = wasTaking[host.number];
        if (takes >= NodeShell.NOTED_AFTER && takes < Double.POSITIVE_INFINITY) {
            Set<NodeShell> there = new LinkedHashSet<>();
            host.standing().forEach(attempt -> there.add(attempt.node));
            there.forEach(node -> node.slow(host.address(), takes));
        }
        agenda.in(LOOK, () -> look(host));
    }

    private void sampleLoads() {
        loads.add(Host.loads(hosts));
        agenda.in(1, this::sampleLoads);
    }

    void probe(NodeShell node, Host host, HostId to) {
        double sentAt = now();
        double timeout = day.limits().connectTimeout();
        if (host.state() == Host.State.SILENT
                || !to.equals(host.address())
                || !network.openBothWays(node, host)) {
            agenda.in(timeout, () -> failProbe(node, to, sentAt));
            return;
        }
        int launch = host.launches();
        agenda.in(
                network.delay(node, host),
                () -> {
                    if (!host.runs()) {
                        if (host.state() == Host.State.DOWN) {
                            network.stream(host, node, () -> failProbe(node, to, sentAt));
                        } else {
                            agenda.in(timeout, () -> failProbe(node, to, sentAt));
                        }
                        return;
                    }
                    host.probed();
                    double load = host.reportedLoad();
                    int tunnels = host.reportedTunnels();
                    int queue = host.reportedQueue();
                    agenda.in(
                            host.stalled() ? LOOK : 0,
                            () ->
                                    network.stream(
                                            host,
                                            node,
                                            () -> {
                                                if (node.runs()) {
                                                    if (launch == host.launches()) {
                                                        node.probeEnded(
                                                                to,
                                                                true,
                                                                now() - sentAt,
                                                                load,
                                                                tunnels,
                                                                queue);
                                                    } else {
                                                        failProbe(node, to, sentAt);
                                                    }
                                                }
                                            }));
                });
    }

    private void failProbe(NodeShell node, HostId to, double sentAt) {
        if (node.runs()) {
            node.probeEnded(to, false, now() - sentAt, 0, 0, 0);
        }
    }

    /** A host's program ends, or its machine vanishes. */
    @Override
    public void stopHost(Host host, boolean silent) {
        if (!host.runs()) {
            return;
        }
        trace.of(now(), host.name, silent ? "vanishes" : "stops");
        account(host);
        Set<Attempt> broken = host.stop(silent);
        account(host);
        for (Attempt attempt : broken) {
            if (silent) {
                if (attempt.host == host && !attempt.left && attempt.passing) {
                    pass(attempt, false);
                    muteFrom(attempt);
                }
            } else {
                breakOff(attempt, host);
            }
        }
        for (NodeShell node : nodes) {
            if (!silent && node.runs()) {
                for (Attempt attempt : node.attempts()) {
                    Setup setup = attempt.setup;
                    if (setup != null
                            && !setup.ended
                            && setup.host == host
                            && !attempt.up()
                            && setup.arrived
                            && !broken.contains(attempt)) {
                        setup.toNode.send(
                                network, host, node, () -> node.ended(setup, SetupOutcome.BROKEN));
                    }
                }
            }
        }
        roster.changed(host);
    }

    private void breakOff(Attempt attempt, Host host) {
        NodeShell node = attempt.node;
        Setup setup = attempt.setup;
        if (setup == null || setup.host != host || attempt.left) {
            return;
        }
        setup.toNode.send(
                network,
                host,
                node,
                () -> {
                    if (!attempt.left && node.runs() && !setup.ended) {
                        if (attempt.up()) {
                            attempt.left = true;
                            counts.breaks++;
                            node.ended(setup, SetupOutcome.BROKEN);
                            broken(attempt);
                        } else {
                            node.ended(setup, SetupOutcome.BROKEN);
                        }
                    }
                });
    }

    /** A program starts there, cold; what still hangs on the old one breaks at its next line. */
    @Override
    public void startHost(Host host, boolean moved) {
        if (host.runs()) {
            return;
        }
        HostId before = host.address();
        trace.of(now(), host.name, "starts" + (moved ? " under another address" : ""));
        host.start(moved);
        byAddress.put(host.address(), host);
        account(host);
        if (!moved) {
            for (Attempt attempt : mute(before)) {
                breakOff(attempt, host);
            }
        }
        roster.changed(host);
    }

    /** It takes nothing new, lets its tunnels go as the day has it, and stops. */
    @Override
    public void drainHost(Host host, double lasts) {
        if (host.state() != Host.State.RUNNING) {
            return;
        }
        trace.of(now(), host.name, "drains");
        host.drain();
        roster.changed(host);
        List<Attempt> all = new ArrayList<>(host.standing());
        int launch = host.launches();
        for (int i = 0; i < all.size(); i++) {
            Attempt attempt = all.get(i);
            if (day.host().drain() != Day.Drain.KEPT) {
                double at =
                        day.host().drain() == Day.Drain.AT_ONCE
                                ? 0
                                : day.host().drainFor() * i / all.size();
                agenda.in(at, () -> sendAway(attempt, host, launch));
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

    private void sendAway(Attempt attempt, Host host, int launch) {
        if (launch == host.launches() && !attempt.left && host.standing().contains(attempt)) {
            host.release(attempt);
            Setup setup = attempt.setup;
            setup.toNode.send(
                    network,
                    host,
                    attempt.node,
                    () -> {
                        if (!attempt.left && attempt.node.runs() && !setup.ended) {
                            attempt.left = true;
                            counts.breaks++;
                            attempt.node.ended(setup, SetupOutcome.CANCELLED);
                            broken(attempt);
                        }
                    });
        }
    }

    // ---- The day's beginning ----

    private void makeStanding() {
        List<Host> homes = crowd.homes();
        for (Caller standing : crowd.standing()) {
            service.asks(standing.profile, standing.participant, 0, standing.ends);
            standing.retriesLeft = day.callers().retries();
            Attempt attempt =
                    new Attempt(
                            new TunnelId("t" + standing.number + "." + standing.tries++),
                            standing,
                            0);
            standing.attempt = attempt;
            NodeShell node = front.deal(standing.zone);
            Host host = homes.get(standing.group);
            attempt.load = standing.load;
            attempt.host = host;
            attempt.answered = true;
            attempt.setup = new Setup(attempt, 0, node, host, host.address(), 0);
            attempt.setups = 1;
            heard.add(attempt);
            host.begin(attempt);
            node.standing(attempt);
            stand(attempt);
        }
    }

    // ---- What troubles do to it, beside what is above ----

    @Override
    public Crowd crowd() {
        return crowd;
    }

    @Override
    public void cut(
            Predicate<Place> inside, Predicate<Place> outside, Direction direction, double lasts) {
        network.cut(inside, outside, direction, lasts, this::waysChanged);
    }

    @Override
    public void crashNode(int number, double lasts) {
        NodeShell node = nodes[number];
        if (node.runs()) {
            List<RosterEntry> known = node.known();
            killNode(node, false);
            agenda.in(lasts + nodeLuck.within(day.node().starts()), () -> startNode(number, known));
        }
    }

    @Override
    public void restartNode(int number) {
        NodeShell node = nodes[number];
        if (!node.runs() || node.leaving()) {
            return;
        }
        node.leave();
        agenda.in(nodeLuck.within(day.node().frontLag()), () -> front.takeOut(node));
        agenda.in(
                day.node().leaves(),
                () -> {
                    if (node.runs()) {
                        List<RosterEntry> known = node.known();
                        killNode(node, true);
                        agenda.in(
                                nodeLuck.within(day.node().starts()),
                                () -> startNode(number, known));
                    }
                });
    }

    @Override
    public void pauseNode(int number, double lasts) {
        nodes[number].pause(now() + lasts);
    }

    @Override
    public void rosterAway(boolean on) {
        roster.away(on);
    }

    @Override
    public void rosterOlder(double ago, double until) {
        roster.older(ago, until);
    }

    @Override
    public void rosterLeavesOut(Set<HostId> left, boolean on) {
        roster.leaveOut(left, on);
    }

    // ---- What the baseline that sees everything sees ----

    @Override
    public boolean takes(HostId address) {
        Host host = host(address);
        return host != null
                && address.equals(host.address())
                && host.state() == Host.State.RUNNING
                && !host.mute
                && !host.refusing
                && host.failing == 0
                && host.halving == 0
                && host.hasRoom();
    }

    @Override
    public double load(HostId address) {
        return host(address).trueLoad();
    }

    @Override
    public boolean holds(HostId address, String group) {
        return host(address).holds(Integer.parseInt(group.substring(1)));
    }

    @Override
    public double storeWait() {
        return store.waits();
    }

    @Override
    public double room(HostId address) {
        Host host = host(address);
        return host.cold() ? host.coldRoom() : Double.POSITIVE_INFINITY;
    }
}
