package embershift.policy;

import embershift.model.Decisions;
import embershift.model.DeclineReason;
import embershift.model.Deployment;
import embershift.model.Deployment.DedupScope;
import embershift.model.Deployment.Profile;
import embershift.model.Deployment.Repeat;
import embershift.model.GroupId;
import embershift.model.HostId;
import embershift.model.Listing;
import embershift.model.News;
import embershift.model.ParticipantId;
import embershift.model.ProfileId;
import embershift.model.SetupEnd;
import embershift.model.SubjectId;
import embershift.model.TunnelId;
import embershift.model.ZoneId;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Every decision of one embershift node. Make one from the node's {@link Deployment}, then call
 * {@link #round} whenever there is news or a wake-up asked for has come: it takes the news as calls
 * of {@link News}, in order, and writes what is to be done into {@link Decisions}. Both interfaces
 * are in embershift.model. The mechanism, a weighted draw over the hosts' reported load, and each
 * departure from it are told in docs/design.md.
 */
public final class Policy implements News {

    /** Seconds between two probes of a host, where tunnels arrive often enough to be worth it. */
    private static final double PERIOD = 1.0;

    /** Periods for which a host's figure can be placed by without asking the host again. */
    private static final double FRESH = 1.2;

    /** Periods after which a figure tells nothing any more. */
    private static final double KEPT = 4;

    /** Hosts whose figures together tell of the fleet. */
    private static final int FEW = 4;

    /**
     * Probes that a placed tunnel is worth; where they can't keep all figures fresh, hosts are
     * asked.
     */
    private static final double PROBES_EACH = 5;

    /** Hosts asked for one tunnel, and the part of its setup goal that an answer may take. */
    private static final int ASKS = 4;

    private static final double ASK_PATIENCE = 0.25;

    /**
     * What a node's own placement stands for at the most, with those that other nodes make
     * meanwhile.
     */
    private static final int OTHERS = 5;

    private static final double SPAN = 256;

    /** Load over capacity up to which a host that holds the tunnel's group counts as active. */
    private static final double ROOMY = 0.6;

    /** Hosts drawn for a group before its tunnel is placed like any other. */
    private static final int GROUP_DRAWS = 2;

    /** Mean load over capacity below which a group's cost matters less than a crossing. */
    private static final double IDLE = 0.35;

    /** Mean load over capacity from which tunnels go to their groups' hosts or nowhere. */
    private static final double BUSY = 0.7;

    /** Load over capacity from which a host's messages come too late, so that it loses tunnels. */
    private static final double SINKING = 0.9;

    /** Load over capacity from which a host takes no more: past it all its tunnels fare badly. */
    private static final double BRIMFUL = 0.8;

    /**
     * Load over capacity past which a host's figure tells of its own trouble, and nothing of the
     * fleet.
     */
    private static final double OVERWHELMED = 2;

    /**
     * How often a period's room may be given away: some tunnels end, and some hosts' room is not
     * found.
     */
    private static final double ROOM_PROMISED = 2;

    /** Periods over which the tunnels of a draining host are moved. */
    private static final double DRAIN = 1.5;

    /** Periods between two moves off a host. */
    private static final double MOVE_PAUSE = 2;

    /** A host is active while its load is no more than this multiple of the mean. */
    private static final double LEVEL_SLACK = 1.05;

    /** The same for hosts that hold the tunnel's group: elsewhere it would cost more. */
    private static final double HOLDER_SLACK = 1.15;

    /**
     * How much longer than its goal, or the recent mean, a setup may take before it is tried
     * elsewhere.
     */
    private static final double SLOW_SETUP = 3;

    /** A setup that has little time left, against its goal, is not worth sending. */
    private static final double LEAST_OF_GOAL = 0.1;

    /**
     * Periods for which a host that has just failed weighs zero; doubled at each failure that
     * follows.
     */
    private static final double SHUN = 4;

    /** Hosts at most that a node which declines tunnels asks in a period. */
    private static final double LOOKS = 5;

    /**
     * Seconds between calls at the roster: its news count as told after six, and an answer may take
     * two.
     */
    private static final double CALL_AGAIN = 3.8;

    /** Part of a late host's tunnels that are moved at a time. */
    private static final double LATE_SHARE = 0.5;

    private final Deployment deployment;
    private final Map<ProfileId, Profile> profiles = new HashMap<>();
    private final Map<HostId, Host> hosts = new HashMap<>();

    /** The hosts by name: the one order of every loop. */
    private final List<Host> roll = new ArrayList<>();

    private final Map<TunnelId, Tunnel> table = new LinkedHashMap<>();
    private final Partings partings;
    private final Holders holders = new Holders();

    /** The hosts by a number of their own: what a group's numbers fall on, alike at all nodes. */
    private final Seats seats = new Seats();

    private final Ring arrived = new Ring(8, PERIOD);
    private final Allowance allowance;
    private double startedAt;

    /** Whether it was told of tunnels that stood before. */
    private boolean stood;

    private final Ring placed = new Ring(8, PERIOD);

    /** The part of arriving tunnels that the fleet has room for. */
    private double admitted = 1;

    /** Tunnels for which a host has been asked for its figures. */
    private List<Tunnel> asking = new ArrayList<>();

    private double nextLook = Double.NEGATIVE_INFINITY;
    private boolean surveyed;
    private double mean;
    private int active;
    private int counted;
    private boolean fewHeard;
    private boolean nearTake;

    /** Whether most hosts look bad: then it is the view that is bad. */
    private boolean doubtful;

    private boolean noneAnswers;
    private boolean noneTimely;
    private double shortestMessage = Double.POSITIVE_INFINITY;
    private double longestMessage;
    private final Ring opened = new Ring(4, PERIOD / 2);
    private final Ring completed = new Ring(8, 2 * PERIOD);
    private double warmHostCanTake;
    private final Deque<Tunnel> waiting = new ArrayDeque<>();
    private final Pace pace = new Pace(PERIOD);

    /**
     * What a tunnel adds to a host's load figure in the mean: an empty host can't tell it by its
     * own.
     */
    private double usualLoadOfOne;

    private double usualLoad;

    /** Tunnels placed so far, less those that ended on hosts that still stand. */
    private int grown;

    private final Filling filling;
    private final Departures departures = new Departures();
    private final Farewell farewell = new Farewell(departures, PERIOD);
    private double now = Double.NEGATIVE_INFINITY;
    private Decisions decisions;
    private final Chance chance;
    private double wokenAt = Double.POSITIVE_INFINITY;
    private boolean watching;
    private double rosterCallAt = Double.POSITIVE_INFINITY;
    private double rosterPatience;
    private double rosterLostAt;

    public Policy(Deployment deployment, Filling filling) {
        this.deployment = deployment;
        this.filling = filling;
        this.chance = new Chance(deployment.seed());
        this.partings = new Partings(deployment.parkedFor());
        this.allowance = new Allowance(deployment.budget());
        this.rosterPatience = deployment.mustAskWithin() / 4;
        for (Profile profile : deployment.profiles()) {
            profiles.put(profile.id(), profile);
            shortestMessage = Math.min(shortestMessage, profile.messageGoal());
            longestMessage = Math.max(longestMessage, profile.messageGoal());
        }
    }

    /** One round: takes in all news, then decides; {@code now} never runs backwards. */
    public void round(double now, Consumer<News> arrivals, Decisions decisions) {
        boolean first = this.now == Double.NEGATIVE_INFINITY;
        this.now = now;
        this.decisions = decisions;
        surveyed = false;
        startedAt = first ? now : startedAt;
        if (now >= wokenAt - PERIOD / 1000) {
            // A clock of whole steps may wake the node a step early: without a new wake-up it would
            // sleep
            // past its tunnels' client timeouts (rule 1).
            wokenAt = Double.POSITIVE_INFINITY;
        }
        if (first && deployment.rosterOnRequest()) {
            // Nodes restarted together would call together, and the roster turn all of them away.
            rosterCallAt = now + chance.next() * rosterPatience / 2;
        }
        arrivals.accept(this);
        placeAnswered();
        placeWaiting();
        moveDeparting();
        followRoster();
        wake(Math.min(probe(), farewell.nextQuestion()));
    }

    // ---- The roster ----

    @Override
    public void rosterListed(List<Listing> listings, boolean remembered) {
        roll.forEach(host -> host.listed = false);
        rosterChanged(listings);
        roll.stream().filter(host -> !host.listed).forEach(host -> host.state = Listing.State.GONE);
    }

    @Override
    public void rosterChanged(List<Listing> listings) {
        for (Listing listing : listings) {
            Host host = known(listing.host());
            if (listing.launchedAt() > host.launchedAt) {
                host.back = host.zone != null;
                host.launchedAt = listing.launchedAt();
                host.startsAnew(listing.launchedAt());
            }
            host.listed = true;
            host.weight = listing.weight();
            turn(host, listing.state(), host.byHand);
            host.zone = listing.zone();
            host.cell = listing.cell();
        }
        if (deployment.rosterOnRequest() && watching) {
            rosterCallAt = Double.POSITIVE_INFINITY;
            rosterPatience = deployment.mustAskWithin() / 4;
        }
    }

    @Override
    public void hostByHand(HostId at, boolean out) {
        Host host = known(at);
        if (!out && host.byHand) {
            // Staff restart what they take out: it is cold, and what it did before tells nothing.
            host.back = true;
            host.startsAnew(now);
        }
        turn(host, host.state, out);
    }

    private void turn(Host host, Listing.State state, boolean byHand) {
        boolean leaving = host.leaving();
        host.state = state;
        host.byHand = byHand;
        // A node that leaves has an end by which all are moved: a host's own time would put that
        // off.
        if (host.leaving() && !leaving && !farewell.begun()) {
            departures.addAll(host.own.values(), now, DRAIN * PERIOD);
        }
    }

    private Host known(HostId id) {
        return hosts.computeIfAbsent(id, name -> seats.enrol(new Host(name), roll));
    }

    @Override
    public void rosterLost() {
        // Ask anew, later each time, out of step with other nodes; a call that took long was wait
        // enough.
        double took = watching ? Math.max(0, now + deployment.mustAskWithin() - rosterCallAt) : 0;
        double draw = chance.nextApart();
        double pause =
                Math.min(
                        rosterPatience * (0.25 + 0.5 * draw),
                        CALL_AGAIN * (0.8 + 0.2 * draw) - took);
        rosterLostAt = watching ? now : rosterLostAt;
        watching = false;
        rosterCallAt = now + Math.max(0, pause);
        rosterPatience = Math.min(rosterPatience * 1.5, deployment.mustAskWithin() / 2);
    }

    private void followRoster() {
        if (now >= rosterCallAt) {
            decisions.watchRoster(true);
            watching = true;
            rosterCallAt =
                    now + deployment.mustAskWithin(); // an answer that never comes is a failure
        }
    }

    // ---- Tunnels and their setups ----

    @Override
    public void tunnelArrived(
            TunnelId id,
            ProfileId profile,
            ParticipantId participant,
            SubjectId subject,
            GroupId group,
            double timeLeft,
            boolean midFlow) {
        Profile row = profiles.get(profile);
        if (row == null || table.containsKey(id)) {
            return;
        }
        Tunnel tunnel = new Tunnel(id, row, subject, group, now + timeLeft);
        table.put(id, tunnel);
        arrived.add(now, 0, 1);
        allowance.took(now);
        Host last = midFlow ? partings.recall(subject, now) : null;
        if (last != null && last.takesNew()) {
            send(tunnel, last);
        } else {
            place(tunnel);
        }
    }

    @Override
    public void tunnelStanding(
            TunnelId id,
            ProfileId profile,
            ParticipantId participant,
            SubjectId subject,
            GroupId group,
            HostId at) {
        Profile row = profiles.get(profile);
        if (row == null || table.containsKey(id)) {
            return;
        }
        Host host = known(at);
        stood = true;
        Tunnel tunnel = new Tunnel(id, row, subject, group, Double.POSITIVE_INFINITY);
        tunnel.setups = 1;
        tunnel.open = true;
        tunnel.host = host;
        host.admit(tunnel);
        table.put(id, tunnel);
        if (farewell.begun() || host.leaving()) {
            departures.add(tunnel);
        }
    }

    @Override
    public void tunnelOpened(TunnelId id, int setup, HostId at, double took) {
        Tunnel tunnel = table.get(id);
        if (tunnel != null && setup == tunnel.setups - 1 && tunnel.out) {
            tunnel.out = false;
            opened.add(now, took, 1);
            pace.ended(now, false);
            tunnel.open = true;
            tunnel.host.failuresInRow = 0;
            if (farewell.begun() || tunnel.host.leaving()) {
                departures.add(tunnel);
            }
        }
    }

    @Override
    public void tunnelLeft(TunnelId id) {
        Tunnel tunnel = table.remove(id);
        if (tunnel != null) {
            leave(tunnel);
            if (tunnel.out) {
                pace.givenUp();
                if (deployment.mayCancel()) {
                    decisions.cancel(id, tunnel.setups - 1);
                }
            }
        }
    }

    @Override
    public void setupEnded(
            TunnelId id, int setup, HostId at, SetupEnd end, double took, boolean over) {
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
            grown -= end == SetupEnd.BROKEN ? 0 : 1;
            if (tunnel.out) {
                tunnel.out = false;
                if (end == SetupEnd.ERROR || end == SetupEnd.TIMED_OUT) {
                    pace.ended(now, true);
                } else {
                    pace.givenUp();
                }
            }
        }
        if (over) {
            table.remove(id);
            if (deployment.tunnelsPassThrough()
                    && tunnel.subject != null
                    && host != null
                    && tunnel.open) {
                partings.remember(tunnel.subject, host, now);
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

    /**
     * Sends the tunnel's next setup, or gives its final answer at once where none can or may be
     * sent.
     */
    private void place(Tunnel tunnel) {
        double needed = LEAST_OF_GOAL * tunnel.profile.setupGoal();
        tunnel.obstacle =
                farewell.begun()
                        ? DeclineReason.NODE_LEAVES
                        : tunnel.setups >= deployment.mostSetups()
                                ? DeclineReason.SETUPS_SPENT
                                : tunnel.clientGivesUpAt - now <= needed
                                        ? DeclineReason.TIME_SPENT
                                        : tunnel.setups > 0 && allowance.left(now) < 1
                                                ? DeclineReason.BUDGET_SPENT // rule 5
                                                : null;
        boolean worthSending = tunnel.obstacle == null && mayRunAgain(tunnel);
        tunnel.obstacle =
                worthSending && pace.full() ? DeclineReason.SETUPS_HELD_BACK : tunnel.obstacle;
        if (worthSending && pace.full() && mayWait(tunnel)) {
            waiting.add(tunnel);
            return;
        }
        Host host = worthSending && !pace.full() ? draw(tunnel) : null;
        if (host == null) {
            giveUp(tunnel);
            if (worthSending) {
                lookAround();
            }
        } else if (mayAsk(tunnel) && !host.fresh()) {
            tunnel.asks++;
            tunnel.asked = host;
            tunnel.askedUntil = now + ASK_PATIENCE * tunnel.profile.setupGoal();
            asking.add(tunnel);
            ask(host, false);
        } else {
            send(tunnel, host);
        }
    }

    /**
     * No host for a tunnel. Guards against a dark view: who never asks would not hear of new room.
     */
    private void lookAround() {
        departures.hold(now + PERIOD);
        if (deployment.mayProbe() && now >= nextLook) {
            nextLook = now + PERIOD / LOOKS;
            List<Host> unsure =
                    roll.stream()
                            .filter(
                                    host ->
                                            used(host)
                                                    && !host.fresh()
                                                    && !host.probing
                                                    && !host.cold())
                            .toList();
            if (!unsure.isEmpty()) {
                ask(unsure.get((int) (chance.next() * unsure.size())), false);
            }
        }
    }

    /** A figure is worth a wait while the setup that follows still has time for its goal. */
    private boolean mayAsk(Tunnel tunnel) {
        return deployment.mayProbe()
                && tunnel.asks < ASKS
                && now + 2 * tunnel.profile.setupGoal() < tunnel.clientGivesUpAt;
    }

    /** Places the tunnels whose asked hosts have answered, or have not for too long. */
    private void placeAnswered() {
        List<Tunnel> asked = asking;
        asking = new ArrayList<>();
        for (Tunnel tunnel : asked) {
            if (tunnel.asked.probing && now < tunnel.askedUntil) {
                asking.add(tunnel);
            } else if (table.containsKey(tunnel.id)) {
                if (tunnel.asked.probing) {
                    tunnel.tried.add(tunnel.asked);
                    tunnel.asks = fewHeard ? ASKS : tunnel.asks;
                }
                place(tunnel);
            }
        }
    }

    private void giveUp(Tunnel tunnel) {
        table.remove(tunnel.id);
        if (mayDecline(tunnel)) {
            double most = Math.min(PERIOD, deployment.longestReturn()) / 1.5;
            double advice = deployment.adviceOnReturn() ? most * (0.5 + chance.next()) : 0;
            decisions.decline(tunnel.id, advice, tunnel.obstacle);
        } else {
            decisions.closeWithError(tunnel.id);
        }
    }

    /**
     * Whether its turn is likely to come while the client still waits and a setup still has time.
     */
    private boolean mayWait(Tunnel tunnel) {
        double turn = (waiting.size() + 1) / Math.max(1, opened.rate(now));
        return now + turn + tunnel.profile.setupGoal() < tunnel.clientGivesUpAt;
    }

    private void placeWaiting() {
        // Rule 1: tunnels wait with unlike time left, so any of them may run out of it first.
        List<Tunnel> late = new ArrayList<>(waiting);
        late.removeIf(
                tunnel ->
                        !table.containsKey(tunnel.id)
                                || now + tunnel.profile.setupGoal() / 2 < tunnel.clientGivesUpAt);
        late.forEach(this::giveUp);
        waiting.removeIf(tunnel -> !table.containsKey(tunnel.id));
        while (!pace.full() && !waiting.isEmpty()) {
            place(waiting.remove());
        }
    }

    /** Rule 2: what may have run is not sent again unless that is harmless. */
    private boolean mayRunAgain(Tunnel tunnel) {
        return switch (tunnel.profile.repeat()) {
            case REPEATABLE -> true;
            case REFERENCED -> !tunnel.mayHaveRun || now < tunnel.dedupWindowEnd();
            case ONCE_ONLY -> !tunnel.mayHaveRun;
        };
    }

    /** Rule 2: a decline promises the client that trying again is harmless. */
    private boolean mayDecline(Tunnel tunnel) {
        return mayRunAgain(tunnel)
                && (!tunnel.mayHaveRun
                        || tunnel.profile.repeat() != Repeat.REFERENCED
                        || tunnel.profile.dedupScope() == DedupScope.ALL);
    }

    /** Rule 2: a referenced tunnel that may have run goes only where its repeats are dropped. */
    private boolean dropsRepeats(Tunnel tunnel, Host host) {
        if (!tunnel.mayHaveRun || tunnel.profile.repeat() != Repeat.REFERENCED) {
            return true;
        }
        Host ran = tunnel.mayHaveRunAt;
        return ran != null
                && switch (tunnel.profile.dedupScope()) {
                    case ALL -> true;
                    case ZONE -> ran.zone != null && ran.zone.equals(host.zone);
                    case CELL -> ran.cell == host.cell;
                };
    }

    private void send(Tunnel tunnel, Host host) {
        if (tunnel.setups == 0) {
            tunnel.firstSentAt = now;
        } else {
            allowance.spent(now);
        }
        // A slow session store, or whatever all setups share, only queues those cut off at the goal
        // again.
        double usual = opened.sum(now) / Math.max(1, opened.count(now));
        double patience = SLOW_SETUP * Math.max(tunnel.profile.setupGoal(), usual);
        // Timed out, a once-only tunnel, or one past its window, could neither go again nor be
        // declined.
        Repeat repeat = tunnel.profile.repeat();
        boolean last =
                tunnel.setups + 1 >= deployment.mostSetups()
                        || repeat == Repeat.ONCE_ONLY
                        || (repeat == Repeat.REFERENCED
                                && now + patience >= tunnel.dedupWindowEnd());
        double timeOut = last ? 0 : Math.min(tunnel.clientGivesUpAt - now, patience);
        tunnel.setups++;
        tunnel.out = true;
        pace.sent();
        tunnel.host = host;
        host.admit(tunnel);
        mean += host.loadOfOne() / counted;
        host.placedSinceReport++;
        grown++;
        placed.add(now, 0, 1);
        host.slowStart.took(now);
        decisions.setUp(tunnel.id, host.id, timeOut);
    }

    private void leave(Tunnel tunnel) {
        if (tunnel.host != null) {
            tunnel.host.dismiss(tunnel);
            tunnel.host = null;
        }
    }

    // ---- The draw ----

    /**
     * The host that this tunnel's number falls on, drawn from [0, 256) over the hosts' weights, or
     * null where none should take it.
     */
    private Host draw(Tunnel tunnel) {
        survey();
        // What is too much for the warm hosts' room may still go where a cold one waits for its
        // part.
        boolean excess = tunnel.asks == 0 && admitted < 1 && chance.next() >= admitted;
        Host home = excess || tunnel.group == null ? null : drawnForGroup(tunnel);
        if (home != null) {
            return home;
        }
        List<Host> eligible = new ArrayList<>(roll);
        eligible.removeIf(host -> (excess && !host.cold()) || !mayTake(host, tunnel));
        if (!tunnel.tried.containsAll(eligible)) {
            eligible.removeAll(tunnel.tried);
        }
        if (deployment.reportsCapacity()) {
            // One tunnel too many ends in hosts that shed tunnels, whose clients come again at
            // once:
            // declines cost less. In a busy fleet one more host to pay for a group costs more than
            // a
            // tunnel earns, but on idle hosts.
            double most = tunnel.group != null && mean > BUSY ? IDLE : BRIMFUL;
            // A cold host goes by its own load, which falls as it warms: by the mean, or by what an
            // idle host
            // is held to, a busy fleet would leave it empty.
            eligible.removeIf(host -> host.expectedLoad() > (host.cold() ? BRIMFUL : most));
        }
        // The few that a node knows just after its start would take all that comes in a rush.
        if (!mayAsk(tunnel) && !fewHeard && eligible.stream().anyMatch(Host::fresh)) {
            eligible.removeIf(host -> !host.fresh());
        }
        if (eligible.isEmpty()) {
            tunnel.obstacle =
                    excess && admitted > 0
                            ? DeclineReason.EXCESS
                            : Obstacles.commonest(
                                    roll,
                                    this::used,
                                    host -> late(host, tunnel),
                                    host -> mayTake(host, tunnel));
            return null;
        }
        return drawn(narrowed(eligible), chance.next() * SPAN);
    }

    /** Whether rules, health and list let this host take the tunnel now. */
    private boolean mayTake(Host host, Tunnel tunnel) {
        return used(host)
                && dropsRepeats(tunnel, host)
                && !late(host, tunnel)
                && ((!host.cold() && !hollow(host))
                        || host.slowStart.mayTake(now, warmHostCanTake));
    }

    private boolean late(Host host, Tunnel tunnel) {
        return !noneTimely && host.lateness.lasts(now, tunnel.profile.messageGoal());
    }

    /**
     * Whether a host stands out as empty in a busy fleet. Guards against one that shed its tunnels
     * or died unlisted, which all nodes would rush together, and so again and again: each keeps to
     * its part. One that is empty fills in seconds.
     */
    private boolean hollow(Host host) {
        return mean > BUSY && host.heard() && host.load < usualLoad / 2;
    }

    private boolean used(Host host) {
        return host.takesNew() && (noneAnswers || !host.silent()) && (doubtful || !host.shunned());
    }

    /** Hosts on the list; {@code avoided}: those that get nothing new as of the last round. */
    public int listed(boolean avoided) {
        return (int) roll.stream().filter(host -> host.here() && !(avoided && used(host))).count();
    }

    /**
     * Each host that holds any of a group pays for it, and nodes don't know what others hold. So
     * numbers are drawn for the group, not the tunnel, until they have fallen on hosts' intervals
     * of the weights: nodes find the same hosts, and a host that comes or goes shifts only its own
     * groups.
     */
    private Host drawnForGroup(Tunnel tunnel) {
        boolean nearOnly = mean < IDLE && nearTake;
        double holderLimit = limit(HOLDER_SLACK);
        List<Host> holding = new ArrayList<>(holders.of(tunnel.group));
        holding.removeIf(
                host ->
                        (nearOnly && !host.near())
                                || !mayTake(host, tunnel)
                                || tunnel.tried.contains(host)
                                || count(host) > holderLimit);
        if (!holding.isEmpty()) {
            return drawn(holding, chance.next() * SPAN);
        }
        double most = limit(LEVEL_SLACK);
        long number = Seats.numberOf(tunnel.group.name());
        int draws = mean > BUSY ? 1 : GROUP_DRAWS;
        for (int k = 0; draws > 0 && k < 4 * seats.size(); k++) {
            long drawn = Seats.scattered(number + k);
            Host host = seats.under(drawn);
            if (host == null
                    || !host.takesNew()
                    || (nearOnly && !host.near())
                    || (drawn & 0xffff) / 65536.0 * mean * active >= mean * active - count(host)) {
                continue;
            }
            draws--;
            if (mayTake(host, tunnel)
                    && !tunnel.tried.contains(host)
                    && (count(host) <= most || (!host.heard() && mayAsk(tunnel)))) {
                return host;
            }
        }
        return null;
    }

    private double limit(double slack) {
        return mean > BUSY ? BRIMFUL : Math.max(mean * slack, ROOMY);
    }

    /** Once a round that places tunnels: what the hosts' figures say together. */
    private void survey() {
        if (surveyed) {
            return;
        }
        surveyed = true;
        int reachable = 0;
        int warm = 0;
        List<Host> healthy = new ArrayList<>();
        active = 0;
        nearTake = false;
        filling.begin();
        for (Host host : roll) {
            if (host.takesNew()) {
                active++;
                warm += host.cold() && !host.back ? 0 : 1;
                reachable += host.silent() ? 0 : 1;
                if (!host.silent() && !host.shunned()) {
                    healthy.add(host);
                    nearTake |= host.near();
                }
            }
        }
        noneAnswers = reachable == 0;
        doubtful = 2 * healthy.size() < reachable;
        healthy.stream().filter(host -> !host.overwhelmed()).forEach(filling::add);
        noneTimely = healthy.stream().allMatch(host -> host.lateness.lasts(now, longestMessage));
        healthy.removeIf(
                host ->
                        host.cold()
                                || host.noted
                                || (!noneTimely && host.lateness.lasts(now, longestMessage)));
        int heard = (int) healthy.stream().filter(Host::heard).count();
        List<Host> sound = healthy.stream().filter(host -> !host.overwhelmed()).toList();
        sound = sound.isEmpty() ? healthy : sound;
        counted = Math.max(1, sound.size());
        List<Host> telling = sound.stream().filter(Host::heard).toList();
        double loads = telling.stream().mapToDouble(host -> host.load).sum();
        double tunnels = telling.stream().mapToDouble(Host::tunnelsThere).sum();
        usualLoad = loads / Math.max(1, telling.size());
        // Guards the nearest host: placements that weigh nothing would all go there, hundreds at
        // once where a
        // node that has just started takes in the clients of one that leaves.
        boolean untold = deployment.reportsCapacity() && young();
        usualLoadOfOne = untold || tunnels < 1 || loads <= 0 ? 1 / SPAN : loads / tunnels;
        mean = sound.stream().mapToDouble(Host::expectedLoad).sum() / counted;
        double sumOfRoom =
                healthy.stream()
                        .filter(Host::heard)
                        .mapToDouble(host -> Math.max(0, BRIMFUL - host.expectedLoad()))
                        .sum();
        fewHeard = heard < Math.min(active, FEW);
        if (fewHeard) {
            // A few hosts don't tell that the fleet is busy: tunnels would be declined unasked.
            mean = Math.min(mean, ROOMY);
        }
        boolean known = deployment.reportsCapacity() && heard > 0;
        double load = known ? Math.min(1, Math.max(IDLE, usualLoad)) : 1;
        // Nodes that all see the same little room would fill it many times over before a report
        // shows it:
        // hosts would sink, shed and be filled again. So each keeps to its share of the room.
        double room = ROOM_PROMISED * sumOfRoom / Math.max(1, heard) * active / deployment.nodes();
        double inflow = arrived.rate(now) * PERIOD * usualLoadOfOne;
        admitted = !known || fewHeard || room >= inflow ? 1 : room / inflow;
        // With all hosts new at once, what ended did so on as many others.
        // Where tunnels last long, what ends tells too little: a host takes what fills it over its
        // warm-up.
        warmHostCanTake =
                Math.max(
                        completed.rate(now) / Math.max(1, warm > 0 ? warm : active) / load,
                        filling.aSecond(young()));
    }

    /**
     * Whether the node has started among others: its own tunnels are no measure of all that there
     * are.
     */
    private boolean young() {
        return !stood && now < startedAt + 2 * KEPT * PERIOD;
    }

    /** The design's count_i; warming hosts that report less take the mean. */
    private double count(Host host) {
        return host.cold() ? Math.max(mean, host.expectedLoad()) : host.expectedLoad();
    }

    /**
     * Who counts as active for this tunnel: hosts no busier than the mean, and near if there are
     * any.
     */
    private List<Host> narrowed(List<Host> eligible) {
        List<Host> level =
                eligible.stream().filter(host -> count(host) <= mean * LEVEL_SLACK).toList();
        List<Host> near = level.stream().filter(Host::near).toList();
        return !near.isEmpty() ? near : !level.isEmpty() ? level : eligible;
    }

    private Host drawn(List<Host> active, double mark) {
        int n = active.size();
        double total = active.stream().mapToDouble(this::count).sum();
        for (Host host : active) {
            mark -= weight(count(host), total, n);
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

    // ---- Probes, reports and the hosts' health ----

    /**
     * Keeps all figures fresh where the tunnels placed are worth that many probes; where nodes are
     * many and each has few tunnels, hosts are only asked for a tunnel that may go there. Tunnels
     * that are declined come again many times: they are worth none. Returns when the next probe is
     * due.
     */
    private double probe() {
        double next = Double.POSITIVE_INFINITY;
        double rate = placed.count(now) / Math.min(8 * PERIOD, now - startedAt + PERIOD);
        double round = Math.max(PERIOD, roll.size() / (PROBES_EACH * rate));
        if (!deployment.mayProbe() || round > PERIOD * 2) {
            return next;
        }
        for (Host host : roll) {
            if (host.here() && !host.byHand && !host.probing) {
                if (now >= host.nextProbe) {
                    ask(host, false);
                    host.nextProbe = now + round * (0.9 + 0.2 * chance.next());
                } else {
                    next = Math.min(next, host.nextProbe);
                }
            }
        }
        return next;
    }

    private void ask(Host host, boolean noted) {
        host.noted = noted;
        if (!host.probing) {
            host.probing = true;
            decisions.probe(host.id);
        }
    }

    @Override
    public void probeEnded(HostId at, boolean answered, double took) {
        Host host = hosts.get(at);
        if (host != null) {
            host.probing = false;
            host.reportedAt = answered ? now : host.reportedAt;
            host.silentUntil = answered ? now : now + SHUN * PERIOD;
            host.away |= !answered;
        }
    }

    @Override
    public void hostReported(
            HostId at, double loadOverCapacity, double openTunnels, double queued) {
        Host host = hosts.get(at);
        if (host != null) {
            double load =
                    !Double.isNaN(loadOverCapacity)
                            ? loadOverCapacity
                            : (!Double.isNaN(openTunnels) ? openTunnels : queued) / host.weight;
            if (load >= 0 && load < Double.POSITIVE_INFINITY) { // else senseless: the figure before
                // stands
                doubt(host, load);
                host.load = load;
                host.openThere = openTunnels >= 0 ? openTunnels : Double.NaN;
                host.reportedAt = now;
                host.grownAtReport = grown;
                // A setup that is still out is in no report: a rush of them would look like idle
                // hosts.
                host.placedSinceReport =
                        (int) host.own.values().stream().filter(tun -> tun.out).count();
                moveOffSinking(host);
            }
        }
    }

    /**
     * Rule 4: a host that came back from death looks idle; a roster that is away or late does not
     * tell.
     */
    private void doubt(Host host, double load) {
        boolean rosterAway =
                Double.isFinite(rosterCallAt) && host.slowStart.beganBefore(rosterLostAt);
        surveyed = false;
        if ((host.away || rosterAway) && !host.cold()) {
            host.load = Double.NaN; // what it was before is no measure
            survey();
            surveyed = false;
            if (load < Math.min(usualLoad, ROOMY) / 2) {
                host.slowStart.begin(host.id, now, now);
                host.back = true;
            }
        }
        host.away = false;
    }

    /** A host that fails looks idle and would keep a wide interval: it weighs zero for a while. */
    private void judge(Host host, SetupEnd end, boolean stood) {
        switch (end) {
            case ERROR, BROKEN, TIMED_OUT -> {
                if (stood) {
                    // A host that sheds tunnels tells it by its load, one that died by not
                    // answering.
                    host.nextProbe = Math.min(host.nextProbe, now);
                    host.away |= end == SetupEnd.BROKEN;
                    return;
                }
                host.failuresInRow++;
                host.shunnedUntil = now + SHUN * PERIOD * Math.min(4, host.failuresInRow);
            }
            case NO_CONNECTION -> {
                host.silentUntil = now + SHUN * PERIOD;
                host.away = true;
                host.nextProbe = Math.min(host.nextProbe, now);
            }
            case FULL -> host.shunnedUntil = Math.max(host.shunnedUntil, now + PERIOD / 2);
            default -> {}
        }
    }

    @Override
    public void messageDelayNoted(HostId at, double delay) {
        Host host = hosts.get(at);
        if (host != null) {
            host.lateness.note(now, delay, shortestMessage, 2 * longestMessage);
            askSinking(host, false);
            moveOffLate(host, delay);
        }
    }

    /**
     * Guards hosts that sink unasked as no tunnel is to go there; nodes tell each other of them
     * alone.
     */
    private void askSinking(Host host, boolean told) {
        // Hundreds of nodes with a tunnel or two there would cost it more than they could move.
        if (host != null
                && deployment.mayProbe()
                && now >= host.nextNoted
                && now > host.reportedAt + (told ? PERIOD * FEW / host.own.size() : PERIOD)) {
            host.nextNoted = now + MOVE_PAUSE * PERIOD;
            ask(host, true); // in the mean, noted hosts would make the fleet look busy
        }
    }

    @Override
    public void nodeHeard(int node, byte[] content) {
        if (!farewell.heard(node, content, now, decisions)) {
            askSinking(hosts.get(new HostId(new String(content, StandardCharsets.UTF_8))), true);
        }
    }

    // ---- Moves ----

    /** Moves some tunnels off a host that can't serve those it has. */
    private void moveOffSinking(Host host) {
        host.movedInRow = host.load > SINKING ? host.movedInRow : 0;
        if (host.load > SINKING
                && now >= host.nextMove
                && deployment.reportsCapacity()
                && !host.cold()) {
            // Reports lag: what was moved since shows only in later ones.
            host.nextMove = now + MOVE_PAUSE * PERIOD;
            if (deployment.mayTellNodes() && !host.noted && host.own.size() >= FEW) {
                decisions.tellAllNodes(host.id.name().getBytes(StandardCharsets.UTF_8));
            }
            // Every node moves the same part of its own, so together they move what is too much.
            // What comes from elsewhere does not fall with them: who sinks on loses more of them
            // each time.
            double share = Math.min(1, ++host.movedInRow * (host.load - BRIMFUL) / host.load);
            moveSome(host, share, Double.POSITIVE_INFINITY);
        }
    }

    /**
     * Moves tunnels off a host whose messages come late though it reports room, or nothing: its
     * figure is untrue, or the way to it is bad. Also while tunnels are declined: those there earn
     * nothing, but hold room of others that would be in time. Harms where no host would be better:
     * so not while messages come late from all.
     */
    private void moveOffLate(Host host, double delay) {
        if (host.lateness.persists(now)
                && !(host.heard() && host.load > SINKING)
                && now >= host.nextMove) {
            survey();
            if (!noneTimely) {
                host.nextMove = now + MOVE_PAUSE * PERIOD;
                moveSome(host, LATE_SHARE, delay);
            }
        }
    }

    /** Moves part of a host's tunnels, of those that want their messages sooner than they come. */
    private void moveSome(Host host, double share, double delay) {
        List<Tunnel> standing = new ArrayList<>(host.own.values());
        standing.removeIf(
                tunnel -> !tunnel.open || tunnel.moving || tunnel.profile.messageGoal() > delay);
        // The last of a group to leave takes the group's cost along, so tunnels with few of theirs
        // here
        // go first.
        standing.sort(
                Comparator.<Tunnel>comparingInt(tunnel -> holders.held(tunnel.group, host))
                        .thenComparingDouble(tunnel -> tunnel.profile.credit()));
        double part = share * standing.size();
        int many = (int) part + (chance.next() < part - (int) part ? 1 : 0);
        for (Tunnel tunnel : standing.subList(0, Math.min(many, standing.size()))) {
            tunnel.moving = true;
            decisions.move(tunnel.id);
        }
    }

    /**
     * Moved at once, clients would come back here or come as a wave: they go in turn, over all the
     * time.
     */
    @Override
    public void nodeLeaving(boolean replaced) {
        double longest =
                profiles.values().stream().mapToDouble(Profile::clientTimeout).max().orElse(0);
        farewell.begin(table.values(), now, longest, deployment.mayTellNodes(), replaced);
    }

    private void moveDeparting() {
        farewell.ask(now, decisions);
        for (Tunnel tunnel = departures.due(now); tunnel != null; tunnel = departures.due(now)) {
            tunnel.moving = true;
            decisions.move(tunnel.id);
        }
    }

    // ---- Time ----

    private void wake(double asked) {
        double next = Math.min(Math.min(rosterCallAt, asked), departures.next());
        if (!waiting.isEmpty()) {
            next = Math.min(next, now + PERIOD / 10);
        }
        for (Tunnel tunnel : asking) {
            next = Math.min(next, tunnel.askedUntil);
        }
        if (next < wokenAt && next < Double.POSITIVE_INFINITY) {
            wokenAt = next;
            decisions.wakeAfter(Math.max(0, next - now));
        }
    }

    final class Host {
        final HostId id;
        final Map<TunnelId, Tunnel> own = new LinkedHashMap<>();
        boolean listed;

        /** Whether staff have taken it out: no list brings it back, only they do. */
        boolean byHand;

        Listing.State state = Listing.State.GONE;
        ZoneId zone;
        int cell;
        double weight = 1;
        double launchedAt;
        final SlowStart slowStart = new SlowStart(deployment, chance, startedAt);
        final Lateness lateness = new Lateness(PERIOD);

        /**
         * Whether it was here before it last started: what ends in the fleet ended on it as well.
         */
        boolean back;

        double load = Double.NaN;
        double openThere = Double.NaN;
        double reportedAt = Double.NEGATIVE_INFINITY;
        int placedSinceReport;
        int grownAtReport;
        double nextMove = Double.NEGATIVE_INFINITY;
        int failuresInRow;
        int movedInRow;
        double shunnedUntil = Double.NEGATIVE_INFINITY;
        boolean noted;
        double silentUntil = Double.NEGATIVE_INFINITY;
        boolean away;
        double nextNoted = Double.NEGATIVE_INFINITY;
        boolean probing;
        double nextProbe = now;

        Host(HostId id) {
            this.id = id;
        }

        void startsAnew(double at) {
            slowStart.begin(id, at, now);
            load = Double.NaN;
            reportedAt = Double.NEGATIVE_INFINITY;
            shunnedUntil = now;
            lateness.forget();
            failuresInRow = 0;
            nextProbe = now;
        }

        boolean here() {
            return listed && state != Listing.State.GONE;
        }

        boolean takesNew() {
            return listed && state == Listing.State.READY && !byHand;
        }

        boolean leaving() {
            return byHand || state == Listing.State.DRAINING;
        }

        boolean near() {
            return deployment.zone().equals(zone);
        }

        boolean shunned() {
            return now < shunnedUntil;
        }

        boolean silent() {
            return now < silentUntil;
        }

        boolean heard() {
            return !Double.isNaN(load) && now <= reportedAt + KEPT * PERIOD;
        }

        /**
         * One that hangs tells ten times its tunnels' load: in a mean, all look full and one tunnel
         * huge.
         */
        boolean overwhelmed() {
            return deployment.reportsCapacity() && heard() && load > OVERWHELMED;
        }

        boolean fresh() {
            return now <= reportedAt + FRESH * PERIOD;
        }

        boolean cold() {
            return slowStart.lasts(now);
        }

        /**
         * The latest figure, else the mean of the others', with what this node has placed since.
         * Guards against a rush, as when many hosts fall at once: what this node has more on all
         * hosts since then, each other node has as well.
         */
        double expectedLoad() {
            int others = Math.max(0, grown - grownAtReport) * (deployment.nodes() - 1) / counted;
            double known = heard() ? load + others * usualLoadOfOne : cold() ? 0 : usualLoad;
            return known + placedSinceReport * loadOfOne();
        }

        /**
         * What one of this node's tunnels adds to the load figure, and those that other nodes place
         * meanwhile: a node that has few tunnels there can't tell either by them.
         */
        double loadOfOne() {
            int least = Double.isNaN(openThere) ? FEW * deployment.nodes() : 1;
            boolean few = young() || !heard() || tunnelsThere() < least;
            return (few || load < IDLE / 2 ? usualLoadOfOne : load / tunnelsThere())
                    * Math.min(deployment.nodes(), OTHERS);
        }

        double tunnelsThere() {
            return Double.isNaN(openThere)
                    ? Math.max(0, own.size() - placedSinceReport) * deployment.nodes()
                    : openThere;
        }

        void admit(Tunnel tunnel) {
            own.put(tunnel.id, tunnel);
            holders.add(tunnel.group, this);
        }

        void dismiss(Tunnel tunnel) {
            if (own.remove(tunnel.id) != null) {
                holders.remove(tunnel.group, this);
            }
        }
    }
}
