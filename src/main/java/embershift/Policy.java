package embershift;

import embershift.model.Decisions;
import embershift.model.Deployment;
import embershift.model.Deployment.DedupScope;
import embershift.model.Deployment.Profile;
import embershift.model.Deployment.Repeat;
import embershift.model.GroupId;
import embershift.model.HostId;
import embershift.model.Listing;
import embershift.model.News;
import embershift.model.ProfileId;
import embershift.model.SetupEnd;
import embershift.model.SubjectId;
import embershift.model.TenantId;
import embershift.model.TunnelId;
import embershift.model.ZoneId;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.zip.CRC32;

/**
 * Every decision of one embershift node. Make one from the node's {@link Deployment}, then call
 * {@link #round} whenever there is news or a wake-up asked for has come: it takes the news as calls of
 * {@link News}, in order, and writes what is to be done into {@link Decisions}. Both interfaces are in
 * embershift.model. The mechanism, a weighted draw over the hosts' reported load, and each departure
 * from it are told in docs/design.md.
 */
public final class Policy implements News {

    /** Seconds between two probes of a host, and so the age of the figures that a draw rests on. */
    private static final double PERIOD = 1.0;
    private static final double SPAN = 256;
    /** Load over capacity up to which a host that holds the tunnel's group counts as active. */
    private static final double ROOMY = 0.6;
    /** Numbers drawn for a group before its tunnel is placed like any other. */
    private static final int GROUP_DRAWS = 2;
    /** Mean load over capacity below which a group's cost matters less than a crossing. */
    private static final double IDLE = 0.35;
    /** Mean load over capacity from which tunnels go to their groups' hosts or nowhere. */
    private static final double BUSY = 0.7;
    /** Load over capacity from which a host's messages come too late, so that it loses tunnels. */
    private static final double SINKING = 0.9;
    /** Load over capacity from which a host takes no more: past it all its tunnels fare badly. */
    private static final double BRIMFUL = 0.8;
    /** Periods between two moves off a host. */
    private static final double MOVE_PAUSE = 2;
    /** A host is active while its load is no more than this multiple of the mean. */
    private static final double LEVEL_SLACK = 1.05;
    /** The same for hosts that hold the tunnel's group: elsewhere it would cost more. */
    private static final double HOLDER_SLACK = 1.15;
    /** What of its part a node sends to a cold host: the rest is for chance, and for what it can't know. */
    private static final double COLD_CAUTION = 0.5;
    /** How much longer than the recent mean a setup may take before it is tried elsewhere. */
    private static final double SLOW_SETUP = 3;
    /** A setup that has little time left, against its goal, is not worth sending. */
    private static final double LEAST_OF_GOAL = 0.1;
    /** Periods for which a host that has just failed weighs zero; doubled at each failure that follows. */
    private static final double SHUN = 4;

    private final Deployment deployment;
    private final Map<ProfileId, Profile> profiles = new HashMap<>();
    private final Map<HostId, Host> hosts = new HashMap<>();
    /** The hosts by name: the one order of every loop. */
    private final List<Host> roll = new ArrayList<>();
    private final Map<TunnelId, Tunnel> table = new LinkedHashMap<>();
    /** Where packets of a passed-through tunnel last went, to send them there again while they are kept. */
    private final Map<SubjectId, Parting> partings = new LinkedHashMap<>();
    private final Ring opened = new Ring(4, PERIOD / 2);
    private final Ring completed = new Ring(8, 2 * PERIOD);
    private double warmHostCanTake;

    /** Setups that ended, and of those the failed: what many hosts share is no host's fault. */
    private final Ring ended = new Ring(4, PERIOD / 4);
    private final Deque<Tunnel> waiting = new ArrayDeque<>();
    private int out;
    /** Setups that may be out together; unlimited until setups fail at many hosts. */
    private double window = Double.POSITIVE_INFINITY;
    private double windowCutAt = Double.NEGATIVE_INFINITY;

    /** What a tunnel adds to a host's load figure in the mean: an empty host can't tell it by its own. */
    private double usualLoadOfOne;

    private double now = Double.NEGATIVE_INFINITY;
    private Decisions decisions;
    private long draws;
    private double wokenAt = Double.POSITIVE_INFINITY;
    private double nextMoves;

    private boolean watching;
    private double rosterCallAt = Double.POSITIVE_INFINITY;
    private double rosterPatience;

    public Policy(Deployment deployment) {
        this.deployment = deployment;
        this.rosterPatience = deployment.mustAskWithin() / 4;
        for (Profile profile : deployment.profiles()) {
            profiles.put(profile.id(), profile);
        }
    }

    /** One round: takes in all news, then decides; {@code now} never runs backwards. */
    public void round(double now, Consumer<News> arrivals, Decisions decisions) {
        boolean first = this.now == Double.NEGATIVE_INFINITY;
        this.now = now;
        this.decisions = decisions;
        if (now >= wokenAt) {
            wokenAt = Double.POSITIVE_INFINITY;
        }
        if (first && deployment.rosterOnRequest()) {
            // Nodes restarted together would call together, and the roster turn all of them away.
            rosterCallAt = now + chance() * rosterPatience / 2;
        }
        arrivals.accept(this);
        placeWaiting();
        followRoster();
        probe();
        moveOffSinkingHosts();
        wake();
    }

    // ---- The roster ----

    @Override
    public void rosterListed(List<Listing> listings, boolean remembered) {
        for (Host host : roll) {
            host.listed = false;
        }
        rosterChanged(listings);
        for (Host host : roll) {
            if (!host.listed) {
                host.state = Listing.State.GONE;
            }
        }
        if (!remembered) {
            rosterAnswered();
        }
    }

    @Override
    public void rosterChanged(List<Listing> listings) {
        for (Listing listing : listings) {
            Host host = hosts.get(listing.host());
            if (host == null) {
                host = new Host(listing.host());
                host.nextProbe = now;
                enrol(host);
            }
            if (listing.launchedAt() > host.launchedAt) {
                host.launchedAt = listing.launchedAt();
                host.startsAnew(listing.launchedAt());
                host.nextProbe = now;
            }
            host.listed = true;
            host.state = listing.state();
            host.zone = listing.zone();
            host.cell = listing.cell();
        }
        rosterAnswered();
    }

    /** Keeps the roll in one order at all nodes: the intervals of the draw lie alike. */
    private void enrol(Host host) {
        hosts.put(host.id, host);
        int at = 0;
        while (at < roll.size() && roll.get(at).id.name().compareTo(host.id.name()) < 0) {
            at++;
        }
        roll.add(at, host);
    }

    private void rosterAnswered() {
        if (deployment.rosterOnRequest() && watching) {
            rosterCallAt = Double.POSITIVE_INFINITY;
            rosterPatience = deployment.mustAskWithin() / 4;
        }
    }

    @Override
    public void rosterLost() {
        // The watch may have broken: ask anew, later each time and out of step with other nodes.
        watching = false;
        rosterCallAt = now + rosterPatience * (0.25 + 0.5 * chance());
        rosterPatience = Math.min(rosterPatience * 1.5, deployment.mustAskWithin() / 2);
    }

    private void followRoster() {
        if (now >= rosterCallAt) {
            decisions.watchRoster(true);
            watching = true;
            // An answer that never comes counts as a failure.
            rosterCallAt = now + deployment.mustAskWithin();
        }
    }

    // ---- Tunnels and their setups ----

    @Override
    public void tunnelArrived(TunnelId id, ProfileId profile, TenantId tenant, SubjectId subject,
                              GroupId group, double timeLeft, boolean midFlow) {
        Profile row = profiles.get(profile);
        if (row == null || table.containsKey(id)) {
            return;
        }
        Tunnel tunnel = new Tunnel(id, row, subject, group, now + timeLeft);
        table.put(id, tunnel);
        Parting parting = subject == null ? null : partings.remove(subject);
        if (parting != null && midFlow && now - parting.at < deployment.parkedFor()
                && parting.host.listed && parting.host.state == Listing.State.READY) {
            send(tunnel, parting.host);
        } else {
            place(tunnel);
        }
    }

    @Override
    public void tunnelStanding(TunnelId id, ProfileId profile, TenantId tenant, SubjectId subject,
                               GroupId group, HostId at) {
        Host host = hosts.get(at);
        Profile row = profiles.get(profile);
        if (row == null || table.containsKey(id)) {
            return;
        }
        if (host == null) {
            host = new Host(at);
            enrol(host);
        }
        Tunnel tunnel = new Tunnel(id, row, subject, group, Double.POSITIVE_INFINITY);
        tunnel.setups = 1;
        tunnel.open = true;
        tunnel.host = host;
        host.admit(tunnel);
        table.put(id, tunnel);
    }

    @Override
    public void tunnelOpened(TunnelId id, int setup, HostId at, double took) {
        Tunnel tunnel = table.get(id);
        if (tunnel != null && setup == tunnel.setups - 1 && tunnel.out) {
            tunnel.out = false;
            out--;
            opened.add(now, took, 1);
            pace(false);
            tunnel.open = true;
            tunnel.host.failuresInRow = 0;
        }
    }

    @Override
    public void tunnelLeft(TunnelId id) {
        Tunnel tunnel = table.remove(id);
        if (tunnel != null) {
            leave(tunnel);
            if (tunnel.out) {
                out--;
                if (deployment.mayCancel()) {
                    decisions.cancel(id, tunnel.setups - 1);
                }
            }
        }
    }

    @Override
    public void setupEnded(TunnelId id, int setup, HostId at, SetupEnd end, double took, boolean over) {
        Host host = hosts.get(at);
        Tunnel tunnel = table.get(id);
        boolean current = tunnel != null && setup == tunnel.setups - 1;
        if (host != null) {
            judge(host, end, current && tunnel.open);
        }
        if (end == SetupEnd.COMPLETED) {
            completed.add(now, 0, 1);
        }
        if (tunnel == null) {
            return;
        }
        if (current) {
            leave(tunnel);
            if (tunnel.out) {
                tunnel.out = false;
                out--;
                if (end == SetupEnd.ERROR || end == SetupEnd.TIMED_OUT) {
                    pace(true);
                }
            }
        }
        if (over) {
            table.remove(id);
            if (deployment.tunnelsPassThrough() && tunnel.subject != null && host != null && tunnel.open) {
                rememberParting(tunnel.subject, host);
            }
        } else if (current) {
            if (!end.neverRan()) {
                tunnel.mayHaveRunAt = host;
                tunnel.mayHaveRun = true;
            }
            if (host != null) {
                tunnel.tried.add(host);
            }
            place(tunnel);
        }
    }

    private void rememberParting(SubjectId subject, Host host) {
        partings.remove(subject);
        partings.put(subject, new Parting(host, now));
        while (now - partings.values().iterator().next().at > deployment.parkedFor()) {
            partings.remove(partings.keySet().iterator().next());
        }
    }

    /** Sends the tunnel's next setup, or gives its final answer at once where none can or may be sent. */
    private void place(Tunnel tunnel) {
        double left = tunnel.clientGivesUpAt - now;
        boolean worthSending = tunnel.setups < deployment.mostSetups()
                && left > LEAST_OF_GOAL * tunnel.profile.setupGoal() && mayRunAgain(tunnel);
        if (worthSending && out >= window && mayWait(tunnel)) {
            waiting.add(tunnel);
            return;
        }
        Host host = worthSending && out < window ? draw(tunnel) : null;
        if (host != null) {
            send(tunnel, host);
        } else {
            giveUp(tunnel);
        }
    }

    private void giveUp(Tunnel tunnel) {
        table.remove(tunnel.id);
        if (mayDecline(tunnel)) {
            decisions.decline(tunnel.id, returnAdvice());
        } else {
            decisions.closeWithError(tunnel.id);
        }
    }

    /** Whether its turn is likely to come while the client still waits and a setup still has time. */
    private boolean mayWait(Tunnel tunnel) {
        double turn = (waiting.size() + 1) / Math.max(1, opened.rate(now));
        return now + turn + tunnel.profile.setupGoal() < tunnel.clientGivesUpAt;
    }

    private void placeWaiting() {
        for (Iterator<Tunnel> turn = waiting.iterator(); turn.hasNext();) {
            Tunnel tunnel = turn.next();
            if (!table.containsKey(tunnel.id)) {
                turn.remove();
            } else if (now + tunnel.profile.setupGoal() / 2 >= tunnel.clientGivesUpAt) {
                // Rule 1: tunnels wait with unlike time left, so any of them may run out of it first.
                turn.remove();
                giveUp(tunnel);
            }
        }
        while (out < window && !waiting.isEmpty()) {
            place(waiting.remove());
        }
    }

    /**
     * Guards the session store, or whatever else all setups share: where they fail at many hosts,
     * sending more makes more fail, so the setups out together are halved, and grow again by one for
     * each such number opened.
     */
    private void pace(boolean failed) {
        ended.add(now, failed ? 1 : 0, 1);
        if (!failed) {
            window += 1 / window;
        } else if (now >= windowCutAt + PERIOD / 4 && ended.sum(now) > Math.max(3, ended.count(now) / 3.0)) {
            windowCutAt = now;
            window = Math.max(1, Math.min(window, out + 1) / 2);
        }
    }

    /** Rule 2: what may have run is not sent again unless that is harmless. */
    private boolean mayRunAgain(Tunnel tunnel) {
        return switch (tunnel.profile.repeat()) {
            case REPEATABLE -> true;
            case REFERENCED -> !tunnel.mayHaveRun || now < tunnel.firstSentAt + tunnel.profile.dedupWindow();
            case ONCE_ONLY -> !tunnel.mayHaveRun;
        };
    }

    /** Rule 2: a decline promises the client that trying again is harmless. */
    private boolean mayDecline(Tunnel tunnel) {
        return switch (tunnel.profile.repeat()) {
            case REPEATABLE -> true;
            case REFERENCED -> !tunnel.mayHaveRun || tunnel.profile.dedupScope() == DedupScope.ALL
                    && now < tunnel.firstSentAt + tunnel.profile.dedupWindow();
            case ONCE_ONLY -> !tunnel.mayHaveRun;
        };
    }

    /** Rule 2: a referenced tunnel that may have run goes only where its repeats are dropped. */
    private boolean dropsRepeats(Tunnel tunnel, Host host) {
        if (!tunnel.mayHaveRun || tunnel.profile.repeat() != Repeat.REFERENCED) {
            return true;
        }
        Host ran = tunnel.mayHaveRunAt;
        return ran != null && switch (tunnel.profile.dedupScope()) {
            case ALL -> true;
            case ZONE -> ran.zone != null && ran.zone.equals(host.zone);
            case CELL -> ran.cell == host.cell;
        };
    }

    private void send(Tunnel tunnel, Host host) {
        double left = tunnel.clientGivesUpAt - now;
        // Once timed out, a once-only tunnel could neither be sent again nor declined.
        boolean last = tunnel.setups + 1 >= deployment.mostSetups()
                || tunnel.profile.repeat() == Repeat.ONCE_ONLY;
        // While all setups are slow, those cut off at the goal would only be queued once more.
        double usual = opened.sum(now) / Math.max(1, opened.count(now));
        double patience = Math.max(tunnel.profile.setupGoal(), SLOW_SETUP * usual);
        double timeOut = last ? 0 : Math.min(left, patience);
        if (tunnel.setups == 0) {
            tunnel.firstSentAt = now;
        }
        tunnel.setups++;
        tunnel.out = true;
        out++;
        tunnel.host = host;
        host.admit(tunnel);
        host.placedSinceReport++;
        host.coldCredit -= 1;
        decisions.setUp(tunnel.id, host.id, timeOut);
    }

    private void leave(Tunnel tunnel) {
        if (tunnel.host != null) {
            tunnel.host.dismiss(tunnel);
            tunnel.host = null;
        }
    }

    private double returnAdvice() {
        double longest = Math.min(PERIOD, deployment.longestReturn());
        return deployment.adviceOnReturn() ? longest * (0.5 + chance()) / 1.5 : 0;
    }

    // ---- The draw ----

    /**
     * The host whose interval covers a number drawn from [0, 256), among those that may take this
     * tunnel.
     */
    private Host draw(Tunnel tunnel) {
        List<Host> eligible = new ArrayList<>();
        int listed = 0;
        int reachable = 0;
        for (Host host : roll) {
            if (host.takesNew() && dropsRepeats(tunnel, host)) {
                listed++;
                reachable += host.silent ? 0 : 1;
                if (!host.silent && !host.shunned() && !tunnel.tried.contains(host)) {
                    eligible.add(host);
                }
            }
        }
        if (2 * eligible.size() < reachable || eligible.isEmpty()) {
            // Where most hosts look bad it is the view that is bad, or there is no better choice: plain
            // draw.
            eligible.clear();
            for (Host host : roll) {
                if (host.takesNew() && dropsRepeats(tunnel, host) && (reachable == 0 || !host.silent)) {
                    eligible.add(host);
                }
            }
        }
        measureWarmHosts();
        eligible.removeIf(host -> host.cold() && !host.coldMayTake());
        if (eligible.isEmpty()) {
            return null;
        }
        double mean = figures(eligible);
        // One tunnel too many ends in hosts that shed tunnels, whose clients come again at once:
        // declines cost less.
        eligible.removeIf(host -> host.expectedLoad() > BRIMFUL && deployment.reportsCapacity());
        if (eligible.isEmpty()) {
            return null;
        }
        Host home = tunnel.group == null ? null : drawnForGroup(tunnel, eligible, mean);
        if (home == null && tunnel.group != null && mean > BUSY && deployment.reportsCapacity()) {
            // In a busy fleet one more host to pay for a group costs more than a tunnel earns, but on
            // idle hosts.
            eligible.removeIf(host -> !(host.expectedLoad() < IDLE));
            if (eligible.isEmpty()) {
                return null;
            }
        }
        return home != null ? home : drawn(narrowed(eligible, mean), chance() * SPAN);
    }

    /**
     * Each host that holds any of a group pays for it, and nodes don't know what others hold. So the
     * number is drawn for the group, not the tunnel: nodes with like weights find the same host;
     * redrawn while that is busy.
     */
    private Host drawnForGroup(Tunnel tunnel, List<Host> eligible, double mean) {
        boolean nearOnly = mean < IDLE && eligible.stream().anyMatch(host -> host.near());
        List<Host> holding = new ArrayList<>();
        for (Host host : eligible) {
            if ((host.near() || !nearOnly) && host.groups.containsKey(tunnel.group)
                    && host.count <= limit(mean, HOLDER_SLACK)) {
                holding.add(host);
            }
        }
        if (!holding.isEmpty()) {
            return drawn(holding, chance() * SPAN);
        }
        List<Host> listed = new ArrayList<>();
        for (Host host : roll) {
            if (host.takesNew() && (host.near() || !nearOnly)) {
                listed.add(host);
            }
        }
        figures(listed);
        for (int k = 0; k < (mean > BUSY ? 1 : GROUP_DRAWS); k++) {
            CRC32 crc = new CRC32();
            crc.update(tunnel.group.name().getBytes(StandardCharsets.UTF_8));
            crc.update(k);
            Host host = drawn(listed, crc.getValue() / (double) (1L << 32) * SPAN);
            if (eligible.contains(host) && host.count <= limit(mean, LEVEL_SLACK)) {
                return host;
            }
        }
        return null;
    }

    private double limit(double mean, double slack) {
        return mean > BUSY ? BRIMFUL : Math.max(mean * slack, ROOMY);
    }

    private void measureWarmHosts() {
        double loads = 0;
        int warm = 0;
        for (Host host : roll) {
            if (host.takesNew() && !host.cold() && !Double.isNaN(host.load)) {
                loads += host.load;
                warm++;
            }
        }
        boolean known = deployment.reportsCapacity() && warm > 0;
        double load = known ? Math.min(1, Math.max(IDLE, loads / warm)) : 1;
        warmHostCanTake = warm == 0 ? 0 : completed.rate(now) / warm / load;
    }

    /** Who counts as active for this tunnel: hosts no busier than the mean, and near if there are any. */
    private List<Host> narrowed(List<Host> eligible, double mean) {
        List<Host> level = new ArrayList<>();
        List<Host> near = new ArrayList<>();
        for (Host host : eligible) {
            if (host.count <= mean * LEVEL_SLACK) {
                level.add(host);
                if (host.near()) {
                    near.add(host);
                }
            }
        }
        return !near.isEmpty() ? near : !level.isEmpty() ? level : eligible;
    }

    /**
     * Sets each host's count to its latest load figure, own placements since added, and returns their
     * mean.
     */
    private double figures(List<Host> active) {
        double loads = 0;
        double tunnels = 0;
        for (Host host : active) {
            if (!Double.isNaN(host.load)) {
                loads += host.load;
                tunnels += host.tunnelsThere();
            }
        }
        usualLoadOfOne = tunnels < 1 ? 0 : loads / tunnels;
        double sum = 0;
        int heard = 0;
        for (Host host : active) {
            if (!Double.isNaN(host.load)) {
                host.count = host.expectedLoad();
                sum += host.count;
                heard++;
            }
        }
        double mean = heard == 0 ? 0 : sum / heard;
        for (Host host : active) {
            if (Double.isNaN(host.load) || host.cold() && host.count < mean) {
                host.count = mean;
            }
        }
        return mean;
    }

    private Host drawn(List<Host> active, double mark) {
        int n = active.size();
        if (n == 1) {
            return active.get(0);
        }
        double total = 0;
        for (Host host : active) {
            total += host.count;
        }
        for (Host host : active) {
            mark -= weight(host.count, total, n);
            if (mark < 0) {
                return host;
            }
        }
        return active.get(n - 1);
    }

    /** The design's w_i = 256 (total - count_i) / (total (n - 1)). */
    static double weight(double count, double total, int n) {
        return n == 1 ? SPAN : total <= 0 ? SPAN / n : SPAN * (total - count) / (total * (n - 1));
    }

    /** A number from [0, 1), from the node's seed and a counter. */
    private double chance() {
        CRC32 crc = new CRC32();
        crc.update(ByteBuffer.allocate(16).putLong(deployment.seed()).putLong(draws++).array());
        return crc.getValue() / (double) (1L << 32);
    }

    // ---- Probes, reports and the hosts' health ----

    private void probe() {
        if (!deployment.mayProbe()) {
            return;
        }
        for (Host host : roll) {
            if (now >= host.nextProbe && host.listed && host.state != Listing.State.GONE && !host.probing) {
                host.probing = true;
                host.nextProbe = now + PERIOD * (0.9 + 0.2 * chance());
                decisions.probe(host.id);
            }
        }
    }

    @Override
    public void probeEnded(HostId at, boolean answered, double took) {
        Host host = hosts.get(at);
        if (host != null) {
            host.probing = false;
            host.silent = !answered;
        }
    }

    @Override
    public void hostReported(HostId at, double loadOverCapacity, double openTunnels, double queued) {
        Host host = hosts.get(at);
        if (host != null) {
            double load = !Double.isNaN(loadOverCapacity) ? loadOverCapacity
                    : !Double.isNaN(openTunnels) ? openTunnels : queued;
            if (!Double.isNaN(load)) {
                host.load = load;
                host.openThere = openTunnels;
                host.placedSinceReport = 0;
            }
        }
    }

    /** A host that fails looks idle and would keep a wide interval: it weighs zero for a while. */
    private void judge(Host host, SetupEnd end, boolean stood) {
        switch (end) {
            case ERROR, BROKEN, TIMED_OUT -> {
                if (stood) {
                    // A host that sheds tunnels tells it by its load, one that died by not answering.
                    host.nextProbe = Math.min(host.nextProbe, now);
                    return;
                }
                host.failuresInRow++;
                host.shunnedUntil = now + SHUN * PERIOD * Math.min(4, host.failuresInRow);
            }
            case NO_CONNECTION -> {
                host.silent = true;
                host.nextProbe = Math.min(host.nextProbe, now);
            }
            case FULL -> host.shunnedUntil = Math.max(host.shunnedUntil, now + PERIOD / 2);
            default -> { }
        }
    }

    @Override
    public void tunnelLoadNoted(TunnelId id, double load) {
        // The host's own figure holds it already.
    }

    @Override
    public void messageDelayNoted(HostId host, double delay) {
        // Comes with a load that moves tunnels off anyway.
    }

    @Override
    public void nodeHeard(int node, byte[] content) {
        // Nodes tell each other nothing so far.
    }

    // ---- Moves ----

    /** Moves some tunnels off each host that can't serve those it has, as long as others have room. */
    private void moveOffSinkingHosts() {
        if (now < nextMoves) {
            return;
        }
        nextMoves = now + PERIOD;
        for (Host host : roll) {
            if (host.load > SINKING && now >= host.nextMove && deployment.reportsCapacity() && !host.cold()) {
                // Reports lag: what was moved since shows only in later ones.
                host.nextMove = now + MOVE_PAUSE * PERIOD;
                // Every node moves the same part of its own, so together they move what is too much.
                moveSome(host, (host.load - BRIMFUL) / host.load);
            }
        }
    }

    private void moveSome(Host host, double share) {
        List<Tunnel> standing = new ArrayList<>();
        for (Tunnel tunnel : host.own.values()) {
            if (tunnel.open && !tunnel.moving) {
                standing.add(tunnel);
            }
        }
        // The last of a group to leave takes the group's cost along, so tunnels with few of theirs here
        // go first.
        standing.sort(Comparator.<Tunnel>comparingInt(tunnel -> host.held(tunnel.group))
                .thenComparingDouble(tunnel -> tunnel.profile.credit()));
        double part = share * standing.size();
        int many = (int) part + (chance() < part - (int) part ? 1 : 0);
        for (Tunnel tunnel : standing.subList(0, Math.min(many, standing.size()))) {
            tunnel.moving = true;
            decisions.move(tunnel.id);
        }
    }

    // ---- Time ----

    private void wake() {
        double next = Math.min(rosterCallAt, nextMoves);
        if (!waiting.isEmpty()) {
            next = Math.min(next, now + PERIOD / 10);
        }
        for (Host host : roll) {
            if (deployment.mayProbe() && host.listed && host.state != Listing.State.GONE && !host.probing) {
                next = Math.min(next, host.nextProbe);
            }
        }
        if (next < wokenAt && next < Double.POSITIVE_INFINITY) {
            wokenAt = next;
            decisions.wakeAfter(Math.max(0, next - now));
        }
    }

    /**
     * A measure over time: sums in a ring of fixed time buckets, the first value of an event and its
     * number.
     */
    private static final class Ring {
        private final double[] values;
        private final int[] numbers;
        private final double length;
        private long newest = Long.MIN_VALUE;

        Ring(int buckets, double length) {
            this.values = new double[buckets];
            this.numbers = new int[buckets];
            this.length = length;
        }

        private void turnTo(double time) {
            long bucket = (long) Math.floor(time / length);
            if (newest == Long.MIN_VALUE) {
                newest = bucket;
            }
            for (long b = Math.max(newest + 1, bucket - values.length + 1); b <= bucket; b++) {
                values[Math.floorMod(b, values.length)] = 0;
                numbers[Math.floorMod(b, values.length)] = 0;
            }
            newest = Math.max(newest, bucket);
        }

        void add(double time, double value, int number) {
            turnTo(time);
            values[Math.floorMod(newest, values.length)] += value;
            numbers[Math.floorMod(newest, values.length)] += number;
        }

        double sum(double time) {
            turnTo(time);
            double sum = 0;
            for (double value : values) {
                sum += value;
            }
            return sum;
        }

        int count(double time) {
            turnTo(time);
            int count = 0;
            for (int number : numbers) {
                count += number;
            }
            return count;
        }

        double rate(double time) {
            return count(time) / (length * numbers.length);
        }
    }

    private record Parting(Host host, double at) {
    }

    private static final class Tunnel {
        final TunnelId id;
        final Profile profile;
        final SubjectId subject;
        final GroupId group;
        final double clientGivesUpAt;
        final List<Host> tried = new ArrayList<>(2);
        Host host;
        int setups;
        boolean out;
        boolean open;
        boolean moving;
        boolean mayHaveRun;
        Host mayHaveRunAt;
        double firstSentAt;

        Tunnel(TunnelId id, Profile profile, SubjectId subject, GroupId group, double clientGivesUpAt) {
            this.id = id;
            this.profile = profile;
            this.subject = subject;
            this.group = group;
            this.clientGivesUpAt = clientGivesUpAt;
        }
    }

    private final class Host {
        final HostId id;
        final Map<TunnelId, Tunnel> own = new LinkedHashMap<>();
        final Map<GroupId, Integer> groups = new HashMap<>();
        boolean listed;
        Listing.State state = Listing.State.GONE;
        ZoneId zone;
        int cell;
        double launchedAt;
        double coldUntil = Double.NEGATIVE_INFINITY;
        double coldCredit;
        double coldCreditAt;
        double load = Double.NaN;
        double openThere = Double.NaN;
        double count;
        int placedSinceReport;
        double nextMove = Double.NEGATIVE_INFINITY;
        int failuresInRow;
        double shunnedUntil = Double.NEGATIVE_INFINITY;
        boolean silent;
        boolean probing;
        double nextProbe = Double.POSITIVE_INFINITY;

        Host(HostId id) {
            this.id = id;
        }

        void startsAnew(double at) {
            coldUntil = at + deployment.warmAfter();
            // Nodes hear of a start together: a random part of the first unit keeps them from sending
            // together.
            coldCredit = chance();
            coldCreditAt = now;
            load = Double.NaN;
            shunnedUntil = now;
            failuresInRow = 0;
        }

        boolean takesNew() {
            return listed && state == Listing.State.READY;
        }

        boolean near() {
            return deployment.zone().equals(zone);
        }

        boolean shunned() {
            return now < shunnedUntil;
        }

        boolean cold() {
            return now < coldUntil;
        }

        /**
         * Rule 4: this node's part of what a cold host can be sent. What a warm host could take in a
         * second is what this node's tunnels on one come to an end, over its load: moves and returns do
         * not swell that.
         */
        boolean coldMayTake() {
            double climbed = 1 - (coldUntil - now) / deployment.warmAfter();
            double part = deployment.coldFrom() + (1 - deployment.coldFrom()) * Math.max(0, climbed);
            double rate = deployment.fallMultiple() * part * warmHostCanTake * COLD_CAUTION;
            double most = Math.max(1, rate * deployment.fallAfter());
            coldCredit = Math.min(coldCredit + rate * (now - coldCreditAt), most);
            coldCreditAt = now;
            return coldCredit >= 1;
        }

        /** The latest figure, with what this node has placed since; NaN for a host not heard from. */
        double expectedLoad() {
            return load + placedSinceReport * loadOfOne();
        }

        /**
         * What one of this node's tunnels adds to the load figure, and those that other nodes place
         * meanwhile.
         */
        double loadOfOne() {
            double there = tunnelsThere();
            return (there < 1 || load < IDLE / 2 ? usualLoadOfOne : load / there) * deployment.nodes();
        }

        double tunnelsThere() {
            return Double.isNaN(openThere) ? own.size() * deployment.nodes() : openThere;
        }

        int held(GroupId group) {
            return group == null ? 0 : groups.getOrDefault(group, 0);
        }

        void admit(Tunnel tunnel) {
            own.put(tunnel.id, tunnel);
            if (tunnel.group != null) {
                groups.merge(tunnel.group, 1, Integer::sum);
            }
        }

        void dismiss(Tunnel tunnel) {
            if (own.remove(tunnel.id) != null && tunnel.group != null) {
                groups.computeIfPresent(tunnel.group, (group, held) -> held == 1 ? null : held - 1);
            }
        }
    }
}
