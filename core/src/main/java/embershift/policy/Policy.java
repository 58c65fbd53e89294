package embershift.policy;

import embershift.model.Decisions;
import embershift.model.DeclineReason;
import embershift.model.Deployment;
import embershift.model.Deployment.DedupScope;
import embershift.model.Deployment.Profile;
import embershift.model.Deployment.Repeat;
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
 * Makes every decision of one embershift node. Create one from the node's {@link Deployment}, then
 * call {@link #round} whenever events have arrived or a requested wake-up is due: it takes the
 * events as calls of {@link NodeEvents}, in order, and writes its decisions to {@link Decisions}.
 * Both interfaces are in embershift.model. The mechanism, a weighted draw over the hosts' reported
 * load, and each departure from it are described in docs/design.md.
 *
 * <p>Comments refer to these rules by number:
 *
 * <ol>
 *   <li>Each tunnel gets one final answer, before its client times out.
 *   <li>A setup that may have run is sent again only where that is harmless.
 *   <li>A draining host gets no new tunnels.
 *   <li>A cold host, one that has started recently, is sent no more than it can take.
 *   <li>Setups beyond each tunnel's first stay within the retry budget.
 * </ol>
 */
public final class Policy implements NodeEvents {

    /** Seconds between two probes of a host, where tunnels arrive often enough to be worth it. */
    private static final double PERIOD_SECONDS = 1.0;

    /** Periods for which a host's report can be used for placement without probing it again. */
    private static final double FRESH_PERIODS = 1.2;

    /** Periods after which a host's report is no longer used. */
    private static final double EXPIRY_PERIODS = 4;

    /**
     * Number of reporting hosts, or of tunnels on a host, from which their figures are taken as
     * representative.
     */
    private static final int MIN_SAMPLES = 4;

    /**
     * Periodic probes that a node spends for each tunnel it places. Where these cannot keep all
     * reports fresh, hosts are probed on demand instead.
     */
    private static final double PROBES_PER_TUNNEL = 5;

    /** Maximum number of hosts probed on demand for one tunnel. */
    private static final int MAX_PROBES_PER_TUNNEL = 4;

    private static final double PROBE_WAIT_GOAL_SHARE = 0.25;

    /**
     * Upper bound on the placements, of this node and concurrently of others, that one placement by
     * this node is taken to stand for.
     */
    private static final int MAX_PLACEMENT_MULTIPLIER = 5;

    private static final double DRAW_RANGE = 256;

    /**
     * Load over capacity up to which a host that holds the tunnel's group always counts as active.
     */
    private static final double MODERATE_LOAD = 0.6;

    /** Hosts drawn for a group before its tunnel is placed like any other. */
    private static final int GROUP_DRAWS = 2;

    /**
     * Mean load over capacity below which the cost of spreading a group matters less than that of a
     * tunnel crossing zones.
     */
    private static final double IDLE_LOAD = 0.35;

    /**
     * Mean load over capacity from which a tunnel of a group goes to a host of its group or an idle
     * one, or is declined.
     */
    private static final double BUSY_LOAD = 0.7;

    /** Load over capacity from which a host's messages come too late, so that it loses tunnels. */
    private static final double OVERLOADED_LOAD = 0.9;

    /**
     * Load over capacity from which a host takes no more tunnels: past it, all its tunnels are
     * served badly.
     */
    private static final double FULL_LOAD = 0.8;

    /**
     * Load over capacity past which a report shows trouble of that host alone and says nothing
     * about the fleet.
     */
    private static final double STALLED_LOAD = 2;

    /**
     * How many times the room of one period may be given away: some tunnels end meanwhile, and some
     * hosts' room is not found.
     */
    private static final double ROOM_OVERCOMMIT = 2;

    /** Periods over which the tunnels of a draining host are moved. */
    private static final double DRAIN_PERIODS = 1.5;

    /** Periods between two rounds of moves off a host. */
    private static final double MOVE_INTERVAL_PERIODS = 2;

    /** A host is active while its load is no more than this multiple of the mean. */
    private static final double ACTIVE_LOAD_SLACK = 1.05;

    /** The same for hosts that hold the tunnel's group: placing it elsewhere would cost more. */
    private static final double GROUP_HOST_LOAD_SLACK = 1.15;

    /**
     * Setup timeout as a multiple of the profile's setup goal or the recent mean duration,
     * whichever is longer. The tunnel is then tried on another host.
     */
    private static final double SETUP_TIMEOUT_MULTIPLE = 3;

    /**
     * Share of the setup goal that must be left until the client times out for a setup to be worth
     * sending.
     */
    private static final double MIN_TIME_LEFT_GOAL_SHARE = 0.1;

    /**
     * Periods for which a host gets no tunnels after it has failed or not answered; after failed
     * setups, multiplied by the number of consecutive failures, up to 4.
     */
    private static final double FAILURE_BACKOFF_PERIODS = 4;

    /**
     * Maximum number of hosts that a node which declines tunnels probes per period to find new
     * room.
     */
    private static final double RECHECKS_PER_PERIOD = 5;

    /**
     * Maximum seconds between two calls to the roster: a node has to know what the roster lists
     * within six seconds of the roster's return, and an answer may take two.
     */
    private static final double MAX_ROSTER_CALL_INTERVAL = 3.8;

    /** Share of a late host's tunnels that is moved at a time. */
    private static final double LATE_MOVE_SHARE = 0.5;

    private final Deployment deployment;
    private final Map<ProfileId, Profile> profiles = new HashMap<>();
    private final Map<HostId, Host> hosts = new HashMap<>();

    /** The hosts in order of their names; every loop iterates in this order. */
    private final List<Host> hostsByName = new ArrayList<>();

    private final Map<TunnelId, Tunnel> tunnels = new LinkedHashMap<>();
    private final ParkedTunnels parkedTunnels;
    private final GroupHosts groupHosts = new GroupHosts();

    /** Maps the hash of a group to hosts, in the same way on all nodes. */
    private final HostSlots hostSlots = new HostSlots();

    private final TimeBuckets arrivals = new TimeBuckets(8, PERIOD_SECONDS);
    private final RetryLimiter retryLimiter;
    private double nodeStartedAt;

    /** Whether tunnels that were open before the node started have been reported. */
    private boolean hasResumedTunnels;

    private final TimeBuckets placements = new TimeBuckets(8, PERIOD_SECONDS);

    /** Share of arriving tunnels that the fleet has room for. */
    private double admittedShare = 1;

    /** Tunnels that wait for the report of a host probed for them. */
    private List<Tunnel> awaitingProbe = new ArrayList<>();

    private double nextRecheckAt = Double.NEGATIVE_INFINITY;

    /** Whether the results of {@link #surveyHosts} are up to date in this round. */
    private boolean surveyed;

    /** Mean of the hosts' expected load over capacity, with the placements since their reports. */
    private double meanLoad;

    /** Number of hosts that may be given new tunnels by the roster and the operators. */
    private int acceptingHosts;

    /** Number of hosts that {@link #meanLoad} is taken over. */
    private int hostsInMean;

    /** Whether too few hosts have reported to tell how busy the fleet is. */
    private boolean fewReports;

    private boolean nearHostAvailable;

    /**
     * Whether most reachable hosts look faulty; then the node's view is taken to be wrong, not the
     * hosts.
     */
    private boolean mostHostsFailing;

    private boolean allHostsSilent;
    private boolean allHostsLate;
    private double shortestMessageGoal = Double.POSITIVE_INFINITY;
    private double longestMessageGoal;
    private final TimeBuckets openedSetups = new TimeBuckets(4, PERIOD_SECONDS / 2);
    private final TimeBuckets completions = new TimeBuckets(8, 2 * PERIOD_SECONDS);

    /** Tunnels of this node that a warm host can take per second. */
    private double warmHostRate;

    /** Tunnels held back while as many setups as allowed are in flight. */
    private final Deque<Tunnel> waitingTunnels = new ArrayDeque<>();

    private final SetupConcurrencyLimiter setupLimiter =
            new SetupConcurrencyLimiter(PERIOD_SECONDS);

    /**
     * Load that one tunnel adds to a host's reported load, as the mean over the fleet: an empty
     * host's own report cannot tell.
     */
    private double averageTunnelLoad;

    /** Mean of the load over capacity in the hosts' latest reports. */
    private double averageLoad;

    /** Tunnels placed so far, less those that ended while their host stayed up. */
    private int netPlacements;

    private final HostCapacityEstimate capacityEstimate;
    private final MoveQueue moveQueue = new MoveQueue();
    private final NodeDeparture nodeDeparture = new NodeDeparture(moveQueue, PERIOD_SECONDS);
    private double now = Double.NEGATIVE_INFINITY;
    private Decisions decisions;
    private final SeededRandom random;
    private double nextWakeAt = Double.POSITIVE_INFINITY;
    private boolean watchingRoster;
    private double rosterCallAt = Double.POSITIVE_INFINITY;

    /**
     * Seconds from which the pause before the next roster call is drawn; grows with each failure.
     */
    private double rosterBackoff;

    private double rosterLostAt;

    /** Creates the policy of a node that starts, with an estimate that may be inherited. */
    public Policy(Deployment deployment, HostCapacityEstimate capacityEstimate) {
        this.deployment = deployment;
        this.capacityEstimate = capacityEstimate;
        this.random = new SeededRandom(deployment.seed());
        this.parkedTunnels = new ParkedTunnels(deployment.parkTime());
        this.retryLimiter = new RetryLimiter(deployment.retryBudget());
        this.rosterBackoff = deployment.rosterCallDeadline() / 4;
        for (Profile profile : deployment.profiles()) {
            profiles.put(profile.id(), profile);
            shortestMessageGoal = Math.min(shortestMessageGoal, profile.messageGoal());
            longestMessageGoal = Math.max(longestMessageGoal, profile.messageGoal());
        }
    }

    /**
     * Runs one round: takes in all events, then decides. {@code now} is in seconds and never
     * decreases.
     */
    public void round(double now, Consumer<NodeEvents> events, Decisions decisions) {
        boolean first = this.now == Double.NEGATIVE_INFINITY;
        this.now = now;
        this.decisions = decisions;
        surveyed = false;
        nodeStartedAt = first ? now : nodeStartedAt;
        if (now >= nextWakeAt - PERIOD_SECONDS / 1000) {
            // A clock with a coarse step may wake the node one step early: without a new wake-up,
            // the node would sleep past its tunnels' client timeouts (rule 1).
            nextWakeAt = Double.POSITIVE_INFINITY;
        }
        if (first && deployment.rosterOnRequest()) {
            // Nodes restarted together would call at the same time, and the roster would refuse
            // them all.
            rosterCallAt = now + random.nextDouble() * rosterBackoff / 2;
        }
        events.accept(this);
        placeProbed();
        placeWaiting();
        moveDueTunnels();
        watchRosterIfDue();
        scheduleWakeUp(Math.min(probeDueHosts(), nodeDeparture.nextQuestionAt()));
    }

    // ---- Roster ----

    @Override
    public void rosterReplaced(List<RosterEntry> entries, boolean fromCache) {
        hostsByName.forEach(host -> host.listed = false);
        rosterChanged(entries);
        hostsByName.stream()
                .filter(host -> !host.listed)
                .forEach(host -> host.state = RosterEntry.State.GONE);
    }

    @Override
    public void rosterChanged(List<RosterEntry> entries) {
        for (RosterEntry entry : entries) {
            Host host = findOrAddHost(entry.host());
            if (entry.launchedAt() > host.launchedAt) {
                host.hasRestarted = host.zone != null;
                host.launchedAt = entry.launchedAt();
                host.resetAfterStart(entry.launchedAt());
            }
            host.listed = true;
            host.weight = entry.weight();
            updateHostState(host, entry.state(), host.outOfService);
            host.zone = entry.zone();
            host.cell = entry.cell();
        }
        if (deployment.rosterOnRequest() && watchingRoster) {
            rosterCallAt = Double.POSITIVE_INFINITY;
            rosterBackoff = deployment.rosterCallDeadline() / 4;
        }
    }

    @Override
    public void hostAdminStateChanged(HostId id, boolean outOfService) {
        Host host = findOrAddHost(id);
        if (!outOfService && host.outOfService) {
            // Operators restart a host that they take out of service: it is cold, and its earlier
            // reports and failures no longer apply.
            host.hasRestarted = true;
            host.resetAfterStart(now);
        }
        updateHostState(host, host.state, outOfService);
    }

    private void updateHostState(Host host, RosterEntry.State state, boolean outOfService) {
        boolean wasDraining = host.isDraining();
        host.state = state;
        host.outOfService = outOfService;
        // A leaving node has its own deadline for moving all tunnels: a draining host's schedule
        // would postpone that.
        if (host.isDraining() && !wasDraining && !nodeDeparture.hasBegun()) {
            moveQueue.addOpenTunnels(host.tunnels.values(), now, DRAIN_PERIODS * PERIOD_SECONDS);
        }
    }

    private Host findOrAddHost(HostId id) {
        return hosts.computeIfAbsent(id, name -> hostSlots.addHost(new Host(name), hostsByName));
    }

    @Override
    public void rosterWatchLost() {
        // Calls again after growing, randomized pauses, so that nodes do not call in step; the time
        // that a slow call took counts as part of the pause.
        double callDuration =
                watchingRoster
                        ? Math.max(0, now + deployment.rosterCallDeadline() - rosterCallAt)
                        : 0;
        double draw = random.nextDecorrelatedDouble();
        double pause =
                Math.min(
                        rosterBackoff * (0.25 + 0.5 * draw),
                        MAX_ROSTER_CALL_INTERVAL * (0.8 + 0.2 * draw) - callDuration);
        rosterLostAt = watchingRoster ? now : rosterLostAt;
        watchingRoster = false;
        rosterCallAt = now + Math.max(0, pause);
        rosterBackoff = Math.min(rosterBackoff * 1.5, deployment.rosterCallDeadline() / 2);
    }

    private void watchRosterIfDue() {
        if (now >= rosterCallAt) {
            decisions.watchRoster(true);
            watchingRoster = true;
            // An answer that never comes counts as a failed call.
            rosterCallAt = now + deployment.rosterCallDeadline();
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
            double clientTimeLeft,
            boolean midFlow) {
        Profile knownProfile = profiles.get(profile);
        if (knownProfile == null || tunnels.containsKey(id)) {
            return;
        }
        Tunnel tunnel = new Tunnel(id, knownProfile, subject, group, now + clientTimeLeft);
        tunnels.put(id, tunnel);
        arrivals.add(now, 0, 1);
        retryLimiter.tunnelAccepted(now);
        Host parkedHost = midFlow ? parkedTunnels.recall(subject, now) : null;
        if (parkedHost != null && parkedHost.acceptsNew()) {
            send(tunnel, parkedHost);
        } else {
            place(tunnel);
        }
    }

    @Override
    public void tunnelResumed(
            TunnelId id,
            ProfileId profile,
            ParticipantId participant,
            SubjectId subject,
            GroupId group,
            HostId hostId) {
        Profile knownProfile = profiles.get(profile);
        if (knownProfile == null || tunnels.containsKey(id)) {
            return;
        }
        Host host = findOrAddHost(hostId);
        hasResumedTunnels = true;
        Tunnel tunnel = new Tunnel(id, knownProfile, subject, group, Double.POSITIVE_INFINITY);
        tunnel.setupsSent = 1;
        tunnel.open = true;
        tunnel.host = host;
        host.addTunnel(tunnel);
        tunnels.put(id, tunnel);
        if (nodeDeparture.hasBegun() || host.isDraining()) {
            moveQueue.add(tunnel);
        }
    }

    @Override
    public void tunnelOpened(TunnelId id, int setup, HostId hostId, double duration) {
        Tunnel tunnel = tunnels.get(id);
        if (tunnel != null && setup == tunnel.setupsSent - 1 && tunnel.setupInFlight) {
            tunnel.setupInFlight = false;
            openedSetups.add(now, duration, 1);
            setupLimiter.setupEnded(now, false);
            tunnel.open = true;
            tunnel.host.consecutiveFailures = 0;
            if (nodeDeparture.hasBegun() || tunnel.host.isDraining()) {
                moveQueue.add(tunnel);
            }
        }
    }

    @Override
    public void tunnelAbandoned(TunnelId id) {
        Tunnel tunnel = tunnels.remove(id);
        if (tunnel != null) {
            removeFromHost(tunnel);
            if (tunnel.setupInFlight) {
                setupLimiter.setupAbandoned();
                if (deployment.mayCancel()) {
                    decisions.cancelSetup(id, tunnel.setupsSent - 1);
                }
            }
        }
    }

    @Override
    public void setupEnded(
            TunnelId id,
            int setup,
            HostId hostId,
            SetupOutcome outcome,
            double duration,
            boolean tunnelEnded) {
        Host host = hosts.get(hostId);
        Tunnel tunnel = tunnels.get(id);
        boolean current = tunnel != null && setup == tunnel.setupsSent - 1;
        if (host != null) {
            recordOutcome(host, outcome, current && tunnel.open);
        }
        if (outcome == SetupOutcome.COMPLETED) {
            completions.add(now, 0, 1);
        }
        if (tunnel == null) {
            return;
        }
        if (current) {
            removeFromHost(tunnel);
            netPlacements -= outcome == SetupOutcome.BROKEN ? 0 : 1;
            if (tunnel.setupInFlight) {
                tunnel.setupInFlight = false;
                if (outcome == SetupOutcome.ERROR || outcome == SetupOutcome.TIMED_OUT) {
                    setupLimiter.setupEnded(now, true);
                } else {
                    setupLimiter.setupAbandoned();
                }
            }
        }
        if (tunnelEnded) {
            tunnels.remove(id);
            if (deployment.tunnelsPassThrough()
                    && tunnel.subject != null
                    && host != null
                    && tunnel.open) {
                parkedTunnels.remember(tunnel.subject, host, now);
            }
        } else if (current) {
            if (!outcome.neverRan()) {
                tunnel.mayHaveRunOn = host;
                tunnel.mayHaveRun = true;
            }
            if (host != null) {
                tunnel.triedHosts.add(host);
            }
            place(tunnel);
        }
    }

    /**
     * Sends the tunnel's next setup, or gives its final answer at once where no setup can or may be
     * sent.
     */
    private void place(Tunnel tunnel) {
        double minTimeLeft = MIN_TIME_LEFT_GOAL_SHARE * tunnel.profile.setupGoal();
        tunnel.declineReason =
                nodeDeparture.hasBegun()
                        ? DeclineReason.NODE_LEAVES
                        : tunnel.setupsSent >= deployment.maxSetups()
                                ? DeclineReason.SETUPS_SPENT
                                : tunnel.clientTimeoutAt - now <= minTimeLeft
                                        ? DeclineReason.TIME_SPENT
                                        : tunnel.setupsSent > 0 && retryLimiter.remaining(now) < 1
                                                ? DeclineReason.BUDGET_SPENT // rule 5
                                                : null;
        boolean maySend = tunnel.declineReason == null && mayRunAgain(tunnel);
        tunnel.declineReason =
                maySend && setupLimiter.isFull()
                        ? DeclineReason.SETUPS_HELD_BACK
                        : tunnel.declineReason;
        if (maySend && setupLimiter.isFull() && mayWait(tunnel)) {
            waitingTunnels.add(tunnel);
            return;
        }
        Host host = maySend && !setupLimiter.isFull() ? drawHost(tunnel) : null;
        if (host == null) {
            giveFinalAnswer(tunnel);
            if (maySend) {
                recheckHost();
            }
        } else if (mayProbeFirst(tunnel) && !host.hasFreshReport()) {
            tunnel.hostProbes++;
            tunnel.probedHost = host;
            tunnel.probeWaitUntil = now + PROBE_WAIT_GOAL_SHARE * tunnel.profile.setupGoal();
            awaitingProbe.add(tunnel);
            probeHost(host, false);
        } else {
            send(tunnel, host);
        }
    }

    /**
     * Probes one host without a fresh report after a tunnel found no host, and postpones moves. A
     * node that never probed would not hear of new room.
     */
    private void recheckHost() {
        moveQueue.delayUntil(now + PERIOD_SECONDS);
        if (deployment.mayProbe() && now >= nextRecheckAt) {
            nextRecheckAt = now + PERIOD_SECONDS / RECHECKS_PER_PERIOD;
            List<Host> candidates =
                    hostsByName.stream()
                            .filter(
                                    host ->
                                            isUsable(host)
                                                    && !host.hasFreshReport()
                                                    && !host.probeInFlight
                                                    && !host.isCold())
                            .toList();
            if (!candidates.isEmpty()) {
                probeHost(candidates.get((int) (random.nextDouble() * candidates.size())), false);
            }
        }
    }

    /**
     * Whether a host may be probed before the tunnel is placed there: that is worth the wait while
     * the setup that follows still has time for its goal.
     */
    private boolean mayProbeFirst(Tunnel tunnel) {
        return deployment.mayProbe()
                && tunnel.hostProbes < MAX_PROBES_PER_TUNNEL
                && now + 2 * tunnel.profile.setupGoal() < tunnel.clientTimeoutAt;
    }

    /** Places the tunnels whose probed hosts have answered, or have taken too long to answer. */
    private void placeProbed() {
        List<Tunnel> probed = awaitingProbe;
        awaitingProbe = new ArrayList<>();
        for (Tunnel tunnel : probed) {
            if (tunnel.probedHost.probeInFlight && now < tunnel.probeWaitUntil) {
                awaitingProbe.add(tunnel);
            } else if (tunnels.containsKey(tunnel.id)) {
                if (tunnel.probedHost.probeInFlight) {
                    tunnel.triedHosts.add(tunnel.probedHost);
                    tunnel.hostProbes = fewReports ? MAX_PROBES_PER_TUNNEL : tunnel.hostProbes;
                }
                place(tunnel);
            }
        }
    }

    private void giveFinalAnswer(Tunnel tunnel) {
        tunnels.remove(tunnel.id);
        if (mayDecline(tunnel)) {
            double maxDelay = Math.min(PERIOD_SECONDS, deployment.maxRetryAfter()) / 1.5;
            double retryAfter =
                    deployment.supportsRetryAfter() ? maxDelay * (0.5 + random.nextDouble()) : 0;
            decisions.decline(tunnel.id, retryAfter, tunnel.declineReason);
        } else {
            decisions.closeWithError(tunnel.id);
        }
    }

    /**
     * Whether the tunnel's turn is likely to come while its client still waits and a setup still
     * has time.
     */
    private boolean mayWait(Tunnel tunnel) {
        double expectedWait = (waitingTunnels.size() + 1) / Math.max(1, openedSetups.rate(now));
        return now + expectedWait + tunnel.profile.setupGoal() < tunnel.clientTimeoutAt;
    }

    private void placeWaiting() {
        // Waiting tunnels differ in the time that their clients wait, so any of them may run out of
        // it first (rule 1).
        List<Tunnel> outOfTime = new ArrayList<>(waitingTunnels);
        outOfTime.removeIf(
                tunnel ->
                        !tunnels.containsKey(tunnel.id)
                                || now + tunnel.profile.setupGoal() / 2 < tunnel.clientTimeoutAt);
        outOfTime.forEach(this::giveFinalAnswer);
        waitingTunnels.removeIf(tunnel -> !tunnels.containsKey(tunnel.id));
        while (!setupLimiter.isFull() && !waitingTunnels.isEmpty()) {
            place(waitingTunnels.remove());
        }
    }

    /** Rule 2: a setup that may have run is not sent again unless that is harmless. */
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

    /** Rule 2: a referenced tunnel that may have run goes only to hosts that drop its repeats. */
    private boolean dropsRepeats(Tunnel tunnel, Host host) {
        if (!tunnel.mayHaveRun || tunnel.profile.repeat() != Repeat.REFERENCED) {
            return true;
        }
        Host hostOfFirstRun = tunnel.mayHaveRunOn;
        return hostOfFirstRun != null
                && switch (tunnel.profile.dedupScope()) {
                    case ALL -> true;
                    case ZONE ->
                            hostOfFirstRun.zone != null && hostOfFirstRun.zone.equals(host.zone);
                    case CELL -> hostOfFirstRun.cell == host.cell;
                };
    }

    private void send(Tunnel tunnel, Host host) {
        if (tunnel.setupsSent == 0) {
            tunnel.firstSentAt = now;
        } else {
            retryLimiter.retrySent(now);
        }
        // Where a slow session store, or anything else that all setups share, delays all setups,
        // those cut off at their goal would only be queued again; hence the recent mean.
        double averageDuration = openedSetups.sum(now) / Math.max(1, openedSetups.count(now));
        double maxDuration =
                SETUP_TIMEOUT_MULTIPLE * Math.max(tunnel.profile.setupGoal(), averageDuration);
        // After a timeout, a once-only tunnel, or a referenced one past its dedup window, could
        // neither be sent again nor declined; its setup has no timeout of its own.
        Repeat repeat = tunnel.profile.repeat();
        boolean isLastSetup =
                tunnel.setupsSent + 1 >= deployment.maxSetups()
                        || repeat == Repeat.ONCE_ONLY
                        || (repeat == Repeat.REFERENCED
                                && now + maxDuration >= tunnel.dedupWindowEnd());
        double timeout = isLastSetup ? 0 : Math.min(tunnel.clientTimeoutAt - now, maxDuration);
        tunnel.setupsSent++;
        tunnel.setupInFlight = true;
        setupLimiter.setupSent();
        tunnel.host = host;
        host.addTunnel(tunnel);
        meanLoad += host.loadPerPlacement() / hostsInMean;
        host.placedSinceReport++;
        netPlacements++;
        placements.add(now, 0, 1);
        host.slowStart.tunnelSent(now);
        decisions.sendSetup(tunnel.id, host.id, timeout);
    }

    private void removeFromHost(Tunnel tunnel) {
        if (tunnel.host != null) {
            tunnel.host.removeTunnel(tunnel);
            tunnel.host = null;
        }
    }

    // ---- Weighted draw ----

    /**
     * Draws a number from [0, 256) and returns the host on whose weight interval it falls, or null
     * where no host should take the tunnel.
     */
    private Host drawHost(Tunnel tunnel) {
        surveyHosts();
        // Arrivals in excess of the warm hosts' room may still go to a cold host that is below its
        // limit.
        boolean excess =
                tunnel.hostProbes == 0 && admittedShare < 1 && random.nextDouble() >= admittedShare;
        Host groupHost = excess || tunnel.group == null ? null : drawHostForGroup(tunnel);
        if (groupHost != null) {
            return groupHost;
        }
        List<Host> eligible = new ArrayList<>(hostsByName);
        eligible.removeIf(host -> (excess && !host.isCold()) || !mayAccept(host, tunnel));
        if (!tunnel.triedHosts.containsAll(eligible)) {
            eligible.removeAll(tunnel.triedHosts);
        }
        if (deployment.reportsCapacity()) {
            // A host filled beyond its limit sheds tunnels, whose clients retry at once: a decline
            // costs less. In a busy fleet, spreading a group to one more host costs more than a
            // tunnel earns, except on idle hosts.
            double maxLoad = tunnel.group != null && meanLoad > BUSY_LOAD ? IDLE_LOAD : FULL_LOAD;
            // A cold host is judged by its own load, which falls as it warms up: held to the mean,
            // or to the limit of an idle host, it would stay empty in a busy fleet.
            eligible.removeIf(host -> host.expectedLoad() > (host.isCold() ? FULL_LOAD : maxLoad));
        }
        // Hosts with fresh reports are preferred, unless few hosts have reported: those few that a
        // node knows just after its start would take all arrivals of a rush.
        if (!mayProbeFirst(tunnel)
                && !fewReports
                && eligible.stream().anyMatch(Host::hasFreshReport)) {
            eligible.removeIf(host -> !host.hasFreshReport());
        }
        if (eligible.isEmpty()) {
            tunnel.declineReason =
                    excess && admittedShare > 0
                            ? DeclineReason.EXCESS
                            : DeclineReasons.mostCommon(
                                    hostsByName,
                                    this::isUsable,
                                    host -> isLateFor(host, tunnel),
                                    host -> mayAccept(host, tunnel));
            return null;
        }
        return drawByWeight(preferredHosts(eligible), random.nextDouble() * DRAW_RANGE);
    }

    /** Whether the rules, the host's health and the roster let this host take the tunnel now. */
    private boolean mayAccept(Host host, Tunnel tunnel) {
        return isUsable(host)
                && dropsRepeats(tunnel, host)
                && !isLateFor(host, tunnel)
                && ((!host.isCold() && !isUnexpectedlyEmpty(host))
                        || host.slowStart.maySend(now, warmHostRate));
    }

    private boolean isLateFor(Host host, Tunnel tunnel) {
        return !allHostsLate && host.lateness.isLateFor(now, tunnel.profile.messageGoal());
    }

    /**
     * Whether a host stands out as empty in a busy fleet. Guards against a host that shed its
     * tunnels or died without the roster noticing: all nodes would rush to it together, again and
     * again, so each node keeps to its slow-start limit. A host that is really empty still fills in
     * seconds.
     */
    private boolean isUnexpectedlyEmpty(Host host) {
        return meanLoad > BUSY_LOAD && host.hasReport() && host.reportedLoad < averageLoad / 2;
    }

    private boolean isUsable(Host host) {
        return host.acceptsNew()
                && (allHostsSilent || !host.isSilent())
                && (mostHostsFailing || !host.isAvoided());
    }

    /**
     * Number of hosts on the roster; with {@code onlyUnusable}, of those that get no new tunnels as
     * of the last round.
     */
    public int listedHostCount(boolean onlyUnusable) {
        return (int)
                hostsByName.stream()
                        .filter(host -> host.isPresent() && !(onlyUnusable && isUsable(host)))
                        .count();
    }

    /**
     * Returns a host for a tunnel of a group, or null where the tunnel is to be placed like any
     * other.
     *
     * <p>Each host that holds any tunnel of a group pays the group's cost, and nodes do not know
     * where others have placed the group. So the numbers are derived from the group, not drawn for
     * the tunnel, until they have fallen on hosts' weight intervals: all nodes find the same hosts,
     * and a host that comes or goes shifts only its own groups.
     */
    private Host drawHostForGroup(Tunnel tunnel) {
        boolean nearOnly = meanLoad < IDLE_LOAD && nearHostAvailable;
        double holderLoadLimit = groupLoadLimit(GROUP_HOST_LOAD_SLACK);
        List<Host> holders = new ArrayList<>(groupHosts.hostsOf(tunnel.group));
        holders.removeIf(
                host ->
                        (nearOnly && !host.isNear())
                                || !mayAccept(host, tunnel)
                                || tunnel.triedHosts.contains(host)
                                || drawLoad(host) > holderLoadLimit);
        if (!holders.isEmpty()) {
            return drawByWeight(holders, random.nextDouble() * DRAW_RANGE);
        }
        double maxLoad = groupLoadLimit(ACTIVE_LOAD_SLACK);
        long groupHash = HostSlots.hash(tunnel.group.name());
        int drawsLeft = meanLoad > BUSY_LOAD ? 1 : GROUP_DRAWS;
        for (int k = 0; drawsLeft > 0 && k < 4 * hostSlots.slotCount(); k++) {
            long hash = HostSlots.mix(groupHash + k);
            Host host = hostSlots.hostAt(hash);
            // The last condition accepts a host with the probability (total load - its load) /
            // total
            // load, in proportion to its weight.
            if (host == null
                    || !host.acceptsNew()
                    || (nearOnly && !host.isNear())
                    || (hash & 0xffff) / 65536.0 * meanLoad * acceptingHosts
                            >= meanLoad * acceptingHosts - drawLoad(host)) {
                continue;
            }
            drawsLeft--;
            if (mayAccept(host, tunnel)
                    && !tunnel.triedHosts.contains(host)
                    && (drawLoad(host) <= maxLoad
                            || (!host.hasReport() && mayProbeFirst(tunnel)))) {
                return host;
            }
        }
        return null;
    }

    private double groupLoadLimit(double slack) {
        return meanLoad > BUSY_LOAD ? FULL_LOAD : Math.max(meanLoad * slack, MODERATE_LOAD);
    }

    /**
     * Computes what the hosts' reports say about the fleet as a whole; once in a round that places
     * tunnels, unless a report changes it.
     */
    private void surveyHosts() {
        if (surveyed) {
            return;
        }
        surveyed = true;
        int reachable = 0;
        int warm = 0;
        List<Host> healthy = new ArrayList<>();
        acceptingHosts = 0;
        nearHostAvailable = false;
        capacityEstimate.beginSurvey();
        for (Host host : hostsByName) {
            if (host.acceptsNew()) {
                acceptingHosts++;
                warm += host.isCold() && !host.hasRestarted ? 0 : 1;
                reachable += host.isSilent() ? 0 : 1;
                if (!host.isSilent() && !host.isAvoided()) {
                    healthy.add(host);
                    nearHostAvailable |= host.isNear();
                }
            }
        }
        allHostsSilent = reachable == 0;
        mostHostsFailing = 2 * healthy.size() < reachable;
        healthy.stream().filter(host -> !host.isStalled()).forEach(capacityEstimate::addReport);
        allHostsLate =
                healthy.stream().allMatch(host -> host.lateness.isLateFor(now, longestMessageGoal));
        healthy.removeIf(
                host ->
                        host.isCold()
                                || host.probedForOverload
                                || (!allHostsLate
                                        && host.lateness.isLateFor(now, longestMessageGoal)));
        int reportCount = (int) healthy.stream().filter(Host::hasReport).count();
        List<Host> responsive = healthy.stream().filter(host -> !host.isStalled()).toList();
        responsive = responsive.isEmpty() ? healthy : responsive;
        hostsInMean = Math.max(1, responsive.size());
        List<Host> reporting = responsive.stream().filter(Host::hasReport).toList();
        double totalLoad = reporting.stream().mapToDouble(host -> host.reportedLoad).sum();
        double totalTunnels = reporting.stream().mapToDouble(Host::tunnelEstimate).sum();
        averageLoad = totalLoad / Math.max(1, reporting.size());
        // Placements that count as no load would all go to the nearest host, hundreds at once where
        // a node that has just started takes over the clients of a leaving one.
        boolean averageUnknown = deployment.reportsCapacity() && hasJustStarted();
        averageTunnelLoad =
                averageUnknown || totalTunnels < 1 || totalLoad <= 0
                        ? 1 / DRAW_RANGE
                        : totalLoad / totalTunnels;
        meanLoad = responsive.stream().mapToDouble(Host::expectedLoad).sum() / hostsInMean;
        double totalRoom =
                healthy.stream()
                        .filter(Host::hasReport)
                        .mapToDouble(host -> Math.max(0, FULL_LOAD - host.expectedLoad()))
                        .sum();
        fewReports = reportCount < Math.min(acceptingHosts, MIN_SAMPLES);
        if (fewReports) {
            // A few reports do not show that the fleet is busy: tunnels would be declined without
            // any probe.
            meanLoad = Math.min(meanLoad, MODERATE_LOAD);
        }
        boolean capacityKnown = deployment.reportsCapacity() && reportCount > 0;
        double fleetLoad = capacityKnown ? Math.min(1, Math.max(IDLE_LOAD, averageLoad)) : 1;
        // All nodes see the same small room and would fill it many times over before a report shows
        // it: hosts would be overloaded, shed tunnels and be filled again. So each node keeps to
        // its share of the room.
        double roomForThisNode =
                ROOM_OVERCOMMIT
                        * totalRoom
                        / Math.max(1, reportCount)
                        * acceptingHosts
                        / deployment.nodeCount();
        double arrivingLoad = arrivals.rate(now) * PERIOD_SECONDS * averageTunnelLoad;
        admittedShare =
                !capacityKnown || fewReports || roomForThisNode >= arrivingLoad
                        ? 1
                        : roomForThisNode / arrivingLoad;
        // Where all hosts are new at once, the tunnels that ended did so on as many other hosts.
        // Where tunnels last long, completions say too little: a host can then take over its
        // warm-up what fills it.
        warmHostRate =
                Math.max(
                        completions.rate(now)
                                / Math.max(1, warm > 0 ? warm : acceptingHosts)
                                / fleetLoad,
                        capacityEstimate.placementsPerSecond(hasJustStarted()));
    }

    /**
     * Whether the node has recently joined a running fleet: its own tunnels are then no measure of
     * the total.
     */
    private boolean hasJustStarted() {
        return !hasResumedTunnels && now < nodeStartedAt + 2 * EXPIRY_PERIODS * PERIOD_SECONDS;
    }

    /**
     * The host's load in the draw, count_i in the design; a cold host that reports less than the
     * mean is given the mean.
     */
    private double drawLoad(Host host) {
        return host.isCold() ? Math.max(meanLoad, host.expectedLoad()) : host.expectedLoad();
    }

    /**
     * The hosts that count as active for this tunnel: those no busier than the mean, and of these
     * the near ones if there are any.
     */
    private List<Host> preferredHosts(List<Host> eligible) {
        List<Host> belowMean =
                eligible.stream()
                        .filter(host -> drawLoad(host) <= meanLoad * ACTIVE_LOAD_SLACK)
                        .toList();
        List<Host> near = belowMean.stream().filter(Host::isNear).toList();
        return !near.isEmpty() ? near : !belowMean.isEmpty() ? belowMean : eligible;
    }

    private Host drawByWeight(List<Host> candidates, double number) {
        int hostCount = candidates.size();
        double total = candidates.stream().mapToDouble(this::drawLoad).sum();
        for (Host host : candidates) {
            number -= weight(drawLoad(host), total, hostCount);
            if (number < 0) {
                return host;
            }
        }
        return candidates.get(hostCount - 1);
    }

    /**
     * Weight of a host in the draw: w_i = 256 (total - count_i) / (total (n - 1)) in the design,
     * with n as the number of hosts.
     */
    static double weight(double load, double total, int hostCount) {
        return hostCount == 1
                ? DRAW_RANGE
                : total <= 0
                        ? DRAW_RANGE / hostCount
                        : DRAW_RANGE * (total - load) / (total * (hostCount - 1));
    }

    // ---- Probes, reports and host health ----

    /**
     * Probes all hosts periodically, so that their reports stay fresh, where the tunnels placed are
     * worth that many probes. Where there are many nodes and each has few tunnels, a host is probed
     * only for a tunnel that may go there. Declined tunnels count for nothing, as their clients
     * retry many times. Returns when the next probe is due.
     */
    private double probeDueHosts() {
        double next = Double.POSITIVE_INFINITY;
        double rate =
                placements.count(now)
                        / Math.min(8 * PERIOD_SECONDS, now - nodeStartedAt + PERIOD_SECONDS);
        double interval = Math.max(PERIOD_SECONDS, hostsByName.size() / (PROBES_PER_TUNNEL * rate));
        if (!deployment.mayProbe() || interval > PERIOD_SECONDS * 2) {
            return next;
        }
        for (Host host : hostsByName) {
            if (host.isPresent() && !host.outOfService && !host.probeInFlight) {
                if (now >= host.nextProbeAt) {
                    probeHost(host, false);
                    host.nextProbeAt = now + interval * (0.9 + 0.2 * random.nextDouble());
                } else {
                    next = Math.min(next, host.nextProbeAt);
                }
            }
        }
        return next;
    }

    private void probeHost(Host host, boolean forOverload) {
        host.probedForOverload = forOverload;
        if (!host.probeInFlight) {
            host.probeInFlight = true;
            decisions.probe(host.id);
        }
    }

    @Override
    public void probeEnded(HostId hostId, boolean answered, double duration) {
        Host host = hosts.get(hostId);
        if (host != null) {
            host.probeInFlight = false;
            host.lastReportAt = answered ? now : host.lastReportAt;
            host.silentUntil = answered ? now : now + FAILURE_BACKOFF_PERIODS * PERIOD_SECONDS;
            host.wasUnreachable |= !answered;
        }
    }

    @Override
    public void hostReported(
            HostId hostId, double loadOverCapacity, double openTunnels, double queued) {
        Host host = hosts.get(hostId);
        if (host != null) {
            double load =
                    !Double.isNaN(loadOverCapacity)
                            ? loadOverCapacity
                            : (!Double.isNaN(openTunnels) ? openTunnels : queued) / host.weight;
            // An invalid load is ignored, so that the previous report stays in force.
            if (load >= 0 && load < Double.POSITIVE_INFINITY) {
                checkForRestart(host, load);
                host.reportedLoad = load;
                host.reportedTunnels = openTunnels >= 0 ? openTunnels : Double.NaN;
                host.lastReportAt = now;
                host.netPlacementsAtReport = netPlacements;
                // Setups still in flight are in no report: without them, hosts would look idle
                // during a rush.
                host.placedSinceReport =
                        (int)
                                host.tunnels.values().stream()
                                        .filter(tun -> tun.setupInFlight)
                                        .count();
                moveOffOverloaded(host);
            }
        }
    }

    /**
     * Rule 4: treats a host as cold that was away and reports little load, as a host that restarted
     * looks idle, and a roster that is unreachable or late does not tell of the restart.
     */
    private void checkForRestart(Host host, double load) {
        boolean rosterUnreachable =
                Double.isFinite(rosterCallAt) && host.slowStart.hostStartedBefore(rosterLostAt);
        surveyed = false;
        if ((host.wasUnreachable || rosterUnreachable) && !host.isCold()) {
            // The load reported before the host became unreachable is no measure for the fleet.
            host.reportedLoad = Double.NaN;
            surveyHosts();
            surveyed = false;
            if (load < Math.min(averageLoad, MODERATE_LOAD) / 2) {
                host.slowStart.hostStarted(host.id, now, now);
                host.hasRestarted = true;
            }
        }
        host.wasUnreachable = false;
    }

    /**
     * A failing host looks idle and would keep a wide interval in the draw, so it weighs zero for a
     * while.
     */
    private void recordOutcome(Host host, SetupOutcome outcome, boolean wasOpen) {
        switch (outcome) {
            case ERROR, BROKEN, TIMED_OUT -> {
                if (wasOpen) {
                    // A host that sheds tunnels shows it by its load, one that died by not
                    // answering the probe.
                    host.nextProbeAt = Math.min(host.nextProbeAt, now);
                    host.wasUnreachable |= outcome == SetupOutcome.BROKEN;
                    return;
                }
                host.consecutiveFailures++;
                host.avoidedUntil =
                        now
                                + FAILURE_BACKOFF_PERIODS
                                        * PERIOD_SECONDS
                                        * Math.min(4, host.consecutiveFailures);
            }
            case NO_CONNECTION -> {
                host.silentUntil = now + FAILURE_BACKOFF_PERIODS * PERIOD_SECONDS;
                host.wasUnreachable = true;
                host.nextProbeAt = Math.min(host.nextProbeAt, now);
            }
            case FULL -> host.avoidedUntil = Math.max(host.avoidedUntil, now + PERIOD_SECONDS / 2);
            default -> {}
        }
    }

    @Override
    public void messageDelayMeasured(HostId hostId, double delay) {
        Host host = hosts.get(hostId);
        if (host != null) {
            host.lateness.record(now, delay, shortestMessageGoal, 2 * longestMessageGoal);
            probeForOverload(host, false);
            moveOffLate(host, delay);
        }
    }

    /**
     * Probes a host that may be overloaded though no tunnel is to be placed there, as nothing else
     * would probe it. These are the only hosts that nodes tell each other of.
     */
    private void probeForOverload(Host host, boolean toldByNode) {
        // Hundreds of nodes with a tunnel or two there would burden the host with more probes than
        // their moves could relieve.
        if (host != null
                && deployment.mayProbe()
                && now >= host.nextOverloadProbeAt
                && now
                        > host.lastReportAt
                                + (toldByNode
                                        ? PERIOD_SECONDS * MIN_SAMPLES / host.tunnels.size()
                                        : PERIOD_SECONDS)) {
            host.nextOverloadProbeAt = now + MOVE_INTERVAL_PERIODS * PERIOD_SECONDS;
            // Left out of the mean, where such hosts would make the fleet look busy.
            probeHost(host, true);
        }
    }

    @Override
    public void nodeMessageReceived(int node, byte[] content) {
        if (!nodeDeparture.handleMessage(node, content, now, decisions)) {
            probeForOverload(
                    hosts.get(new HostId(new String(content, StandardCharsets.UTF_8))), true);
        }
    }

    // ---- Moves ----

    /** Moves some tunnels off an overloaded host. */
    private void moveOffOverloaded(Host host) {
        host.consecutiveMoves = host.reportedLoad > OVERLOADED_LOAD ? host.consecutiveMoves : 0;
        if (host.reportedLoad > OVERLOADED_LOAD
                && now >= host.nextMoveAt
                && deployment.reportsCapacity()
                && !host.isCold()) {
            // Reports lag: tunnels moved since then show only in later ones.
            host.nextMoveAt = now + MOVE_INTERVAL_PERIODS * PERIOD_SECONDS;
            if (deployment.mayMessageNodes()
                    && !host.probedForOverload
                    && host.tunnels.size() >= MIN_SAMPLES) {
                decisions.sendToAllNodes(host.id.name().getBytes(StandardCharsets.UTF_8));
            }
            // Every node moves the same share of its own tunnels, so together they move the excess.
            // Load from other sources does not fall with it: a host that stays overloaded loses a
            // larger share each time.
            double share =
                    Math.min(
                            1,
                            ++host.consecutiveMoves
                                    * (host.reportedLoad - FULL_LOAD)
                                    / host.reportedLoad);
            moveShare(host, share, Double.POSITIVE_INFINITY);
        }
    }

    /**
     * Moves tunnels off a host whose messages come late though it reports room, or nothing: its
     * report is wrong, or the network path to it is bad. Also applies while tunnels are declined:
     * tunnels there earn nothing, but hold room of others that would be served in time. Does harm
     * where no host would be better, so not applied while messages come late from all hosts.
     */
    private void moveOffLate(Host host, double delay) {
        if (host.lateness.isSustained(now)
                && !(host.hasReport() && host.reportedLoad > OVERLOADED_LOAD)
                && now >= host.nextMoveAt) {
            surveyHosts();
            if (!allHostsLate) {
                host.nextMoveAt = now + MOVE_INTERVAL_PERIODS * PERIOD_SECONDS;
                moveShare(host, LATE_MOVE_SHARE, delay);
            }
        }
    }

    /**
     * Moves a share of a host's tunnels, of those that need their messages sooner than {@code
     * delay}.
     */
    private void moveShare(Host host, double share, double delay) {
        List<Tunnel> movable = new ArrayList<>(host.tunnels.values());
        movable.removeIf(
                tunnel -> !tunnel.open || tunnel.moving || tunnel.profile.messageGoal() > delay);
        // The last tunnel of a group to leave takes the group's cost along, so tunnels with few
        // others of their group here go first.
        movable.sort(
                Comparator.<Tunnel>comparingInt(
                                tunnel -> groupHosts.tunnelCount(tunnel.group, host))
                        .thenComparingDouble(tunnel -> tunnel.profile.credit()));
        double expectedMoves = share * movable.size();
        int moves =
                (int) expectedMoves
                        + (random.nextDouble() < expectedMoves - (int) expectedMoves ? 1 : 0);
        for (Tunnel tunnel : movable.subList(0, Math.min(moves, movable.size()))) {
            tunnel.moving = true;
            decisions.move(tunnel.id);
        }
    }

    /**
     * Moves this node's tunnels one after the other over all the time left: moved at once, their
     * clients would come back here or arrive elsewhere as a wave.
     */
    @Override
    public void nodeLeaving(boolean replaced) {
        double longestClientTimeout =
                profiles.values().stream().mapToDouble(Profile::clientTimeout).max().orElse(0);
        nodeDeparture.begin(
                tunnels.values(),
                now,
                longestClientTimeout,
                deployment.mayMessageNodes(),
                replaced);
    }

    private void moveDueTunnels() {
        nodeDeparture.askOtherNodes(now, decisions);
        for (Tunnel tunnel = moveQueue.pollDue(now);
                tunnel != null;
                tunnel = moveQueue.pollDue(now)) {
            tunnel.moving = true;
            decisions.move(tunnel.id);
        }
    }

    // ---- Time ----

    private void scheduleWakeUp(double probeAt) {
        double next = Math.min(Math.min(rosterCallAt, probeAt), moveQueue.nextMoveAt());
        if (!waitingTunnels.isEmpty()) {
            next = Math.min(next, now + PERIOD_SECONDS / 10);
        }
        for (Tunnel tunnel : awaitingProbe) {
            next = Math.min(next, tunnel.probeWaitUntil);
        }
        if (next < nextWakeAt && next < Double.POSITIVE_INFINITY) {
            nextWakeAt = next;
            decisions.wakeAfter(Math.max(0, next - now));
        }
    }

    final class Host {
        final HostId id;
        final Map<TunnelId, Tunnel> tunnels = new LinkedHashMap<>();
        boolean listed;

        /**
         * Whether operators have taken it out of service: no roster entry brings it back, only they
         * do.
         */
        boolean outOfService;

        RosterEntry.State state = RosterEntry.State.GONE;
        ZoneId zone;
        int cell;
        double weight = 1;
        double launchedAt;
        final SlowStart slowStart = new SlowStart(deployment, random, nodeStartedAt);
        final LatenessDetector lateness = new LatenessDetector(PERIOD_SECONDS);

        /**
         * Whether it was known before its latest start: it then counts among the hosts on which the
         * fleet's completed tunnels ended.
         */
        boolean hasRestarted;

        double reportedLoad = Double.NaN;
        double reportedTunnels = Double.NaN;
        double lastReportAt = Double.NEGATIVE_INFINITY;
        int placedSinceReport;
        int netPlacementsAtReport;
        double nextMoveAt = Double.NEGATIVE_INFINITY;
        int consecutiveFailures;
        int consecutiveMoves;
        double avoidedUntil = Double.NEGATIVE_INFINITY;
        boolean probedForOverload;
        double silentUntil = Double.NEGATIVE_INFINITY;
        boolean wasUnreachable;
        double nextOverloadProbeAt = Double.NEGATIVE_INFINITY;
        boolean probeInFlight;
        double nextProbeAt = now;

        Host(HostId id) {
            this.id = id;
        }

        void resetAfterStart(double startedAt) {
            slowStart.hostStarted(id, startedAt, now);
            reportedLoad = Double.NaN;
            lastReportAt = Double.NEGATIVE_INFINITY;
            avoidedUntil = now;
            lateness.reset();
            consecutiveFailures = 0;
            nextProbeAt = now;
        }

        boolean isPresent() {
            return listed && state != RosterEntry.State.GONE;
        }

        boolean acceptsNew() {
            return listed && state == RosterEntry.State.READY && !outOfService;
        }

        boolean isDraining() {
            return outOfService || state == RosterEntry.State.DRAINING;
        }

        boolean isNear() {
            return deployment.zone().equals(zone);
        }

        boolean isAvoided() {
            return now < avoidedUntil;
        }

        boolean isSilent() {
            return now < silentUntil;
        }

        boolean hasReport() {
            return !Double.isNaN(reportedLoad)
                    && now <= lastReportAt + EXPIRY_PERIODS * PERIOD_SECONDS;
        }

        /**
         * Whether the host hangs. Such a host reports ten times the load of its tunnels: in a mean,
         * it would make all hosts look full and a single tunnel huge.
         */
        boolean isStalled() {
            return deployment.reportsCapacity() && hasReport() && reportedLoad > STALLED_LOAD;
        }

        boolean hasFreshReport() {
            return now <= lastReportAt + FRESH_PERIODS * PERIOD_SECONDS;
        }

        boolean isCold() {
            return slowStart.isActive(now);
        }

        /**
         * The latest reported load, else the mean of the others', plus what this node has placed
         * since. Guards against a rush, as when many hosts fail at once: for the tunnels that this
         * node has gained on all hosts since the report, each other node is taken to have gained as
         * many.
         */
        double expectedLoad() {
            int placedByOtherNodes =
                    Math.max(0, netPlacements - netPlacementsAtReport)
                            * (deployment.nodeCount() - 1)
                            / hostsInMean;
            double baseLoad =
                    hasReport()
                            ? reportedLoad + placedByOtherNodes * averageTunnelLoad
                            : isCold() ? 0 : averageLoad;
            return baseLoad + placedSinceReport * loadPerPlacement();
        }

        /**
         * Load that one placement by this node adds, with the tunnels that other nodes place
         * meanwhile. Where the node has too few tunnels on the host to tell, the average tunnel
         * load is used.
         */
        double loadPerPlacement() {
            int minTunnels =
                    Double.isNaN(reportedTunnels) ? MIN_SAMPLES * deployment.nodeCount() : 1;
            boolean tooFewTunnels =
                    hasJustStarted() || !hasReport() || tunnelEstimate() < minTunnels;
            return (tooFewTunnels || reportedLoad < IDLE_LOAD / 2
                            ? averageTunnelLoad
                            : reportedLoad / tunnelEstimate())
                    * Math.min(deployment.nodeCount(), MAX_PLACEMENT_MULTIPLIER);
        }

        double tunnelEstimate() {
            return Double.isNaN(reportedTunnels)
                    ? Math.max(0, tunnels.size() - placedSinceReport) * deployment.nodeCount()
                    : reportedTunnels;
        }

        void addTunnel(Tunnel tunnel) {
            tunnels.put(tunnel.id, tunnel);
            groupHosts.add(tunnel.group, this);
        }

        void removeTunnel(Tunnel tunnel) {
            if (tunnels.remove(tunnel.id) != null) {
                groupHosts.remove(tunnel.group, this);
            }
        }
    }
}
