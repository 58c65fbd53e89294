package embershift.routing;

import embershift.model.Decisions;
import embershift.model.DeclineReason;
import embershift.model.Deployment;
import embershift.model.HostId;
import embershift.model.NodeEvents;
import embershift.model.ProfileId;
import embershift.model.RosterEntry;
import embershift.model.TunnelId;
import embershift.policy.HostCapacityEstimate;
import embershift.policy.Policy;
import embershift.protocol.NodeConfiguration;
import embershift.protocol.OpenRequest;
import embershift.protocol.RosterUpdate;
import embershift.transport.EventLoop;
import embershift.transport.TcpConnection;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Connects the placement policy to the node's sockets: turns what happens on them into events for
 * the policy and carries out its decisions. All events of one wake-up of the loop are processed in
 * one policy round.
 */
public final class Router implements Decisions {

    /**
     * Safety margin subtracted from a client's timeout, as a fraction of it and at most {@link
     * #MAX_MARGIN_SECONDS}: the OPEN line has spent time on the network, and a node that is
     * starting or shares its core may be late by that much.
     */
    private static final double MARGIN_FRACTION = 0.1;

    private static final double MAX_MARGIN_SECONDS = 0.1;

    /**
     * Seconds until the setup of a tunnel that was open before this node started is sent to its
     * host again, if the previous one certainly did not run there.
     */
    private static final double RESUME_RETRY_SECONDS = 0.25;

    /**
     * Seconds without a line from the host after a client's line, after which the host is checked,
     * as it may have vanished.
     */
    static final double QUIET_SECONDS = 1.5;

    /** Further seconds without a line from the host after which the tunnel is ended in any case. */
    private static final double SILENCE_SECONDS = 2.5;

    /**
     * Seconds for which a host may be silent on a tunnel whose client has ended its sending: as
     * long as it may be before it answers the line of any other client.
     */
    private static final double CLOSING_SECONDS = QUIET_SECONDS + SILENCE_SECONDS;

    private static final double SWEEP_SECONDS = 0.1;
    private static final double MIN_WAKE_SECONDS = 0.002;
    private static final int MAX_LOGGED_FAULTS = 20;

    /**
     * Descriptors reserved for operators' connections, which neither tunnels nor client connections
     * without a tunnel may take.
     */
    public static final int OPERATOR_DESCRIPTORS = 32;

    /**
     * Time allowed for a host to end a setup that this node has given up, as a fraction of the
     * connect timeout; {@link #PROBE_TIMEOUT_FACTOR} is the same for the answer to a probe.
     */
    private static final double GIVE_UP_FRACTION = 0.4;

    private static final double PROBE_TIMEOUT_FACTOR = 1.6;

    /**
     * Time within which a host's answer may arrive a second time, as a fraction of the connect
     * timeout.
     */
    private static final double DUPLICATE_ANSWER_FRACTION = 0.2;

    /** Delay from which a message counts as slow, as a fraction of the shortest setup goal. */
    private static final double SLOW_MESSAGE_FRACTION = 1 / 3.0;

    /**
     * One in this many descriptors is reserved for probe connections, but at least {@link
     * #MIN_PROBE_DESCRIPTORS}.
     */
    private static final int PROBE_DESCRIPTORS_DIVISOR = 8;

    private static final int MIN_PROBE_DESCRIPTORS = 8;

    private final EventLoop loop;
    private final Deployment deployment;
    private final HostCapacityEstimate capacityEstimate;
    private final Policy policy;
    private final Consumer<String> log;
    private final Tally tally;

    /**
     * Relays by the unique ids under which the policy knows their tunnels; the ids that clients
     * gave to the same tunnels are in {@link #idsInUse}.
     */
    private final Map<TunnelId, TunnelRelay> relays = new HashMap<>();

    private final Set<TunnelId> idsInUse = new HashSet<>();

    /** Ids of tunnels that are not to be set up twice, also by other processes at this address. */
    private UsedTunnelIds usedIds = UsedTunnelIds.ofThisProcess();

    private long relayCount;
    private final Map<HostId, HostEndpoint> endpoints = new HashMap<>();

    /** Tunnels that were open before this node started and whose host is not known yet. */
    private final List<TunnelRelay> unresumed = new ArrayList<>();

    private final UnopenedConnections unopenedConnections;
    private final ProbeConnectionPool<HostEndpoint> probeConnections;
    private boolean probeRetryDue;

    /** Tunnels with a client's line to which the host has not sent a line yet. */
    private final TimeoutQueue<TunnelRelay> awaitingReply = new TimeoutQueue<>(QUIET_SECONDS);

    /** Those of them that have waited for more than {@link #QUIET_SECONDS}. */
    private final TimeoutQueue<TunnelRelay> quietTunnels = new TimeoutQueue<>(SILENCE_SECONDS);

    /** Tunnels whose client has ended its sending, while the host has not. */
    private final TimeoutQueue<TunnelRelay> closingTunnels = new TimeoutQueue<>(CLOSING_SECONDS);

    private final RosterClient rosterClient;
    private final InitialRosterWait initialRosterWait;
    private final Peers peers;
    private ExternalRoster externalRoster;
    private final double connectTimeout;
    private final double slowMessageDelay;
    private List<Consumer<NodeEvents>> pendingEvents = new ArrayList<>();
    private boolean roundDue;

    /** Code locations whose faults have been logged; each is logged once. */
    private final Set<String> loggedFaults = new HashSet<>();

    private boolean leaving;
    private boolean replaced;
    private EventLoop.Acceptor acceptor;

    /** Whether operators have an address to connect to, and therefore reserved descriptors. */
    private final boolean hasOperators;

    private int descriptorLimit;

    /**
     * Pending tunnels that will need a connection to a host but have none yet; many may be accepted
     * in one wake-up, before any of them connects.
     */
    private int neededHostConnections;

    private final DescriptorShare descriptorShare = new DescriptorShare();
    private int listedHosts;
    private int avoidedHosts;

    /** Creates the router of a node that does not listen for clients yet. */
    public Router(EventLoop loop, NodeConfiguration configuration, Consumer<String> log)
            throws IOException {
        this.loop = loop;
        this.log = log;
        deployment = configuration.deployment();
        capacityEstimate = new HostCapacityEstimate(deployment);
        policy = new Policy(deployment, capacityEstimate);
        tally = new Tally(deployment);
        connectTimeout = deployment.connectTimeout() > 0 ? deployment.connectTimeout() : 0.25;
        slowMessageDelay =
                SLOW_MESSAGE_FRACTION
                        * deployment.profiles().stream()
                                .mapToDouble(Deployment.Profile::setupGoal)
                                .min()
                                .orElse(1);
        hasOperators = configuration.hasManagement();
        descriptorLimit = configuration.sockets();
        probeConnections =
                new ProbeConnectionPool<>(this::hasRoomForProbe, HostEndpoint::disconnect);
        unopenedConnections =
                new UnopenedConnections(
                        loop,
                        tally,
                        () -> neededHostConnections + probeConnections.unusedReserve());
        applyDescriptorLimits();
        rosterClient =
                new RosterClient(
                        this,
                        configuration.discovery(),
                        !deployment.rosterOnRequest(),
                        deployment.seed());
        initialRosterWait = new InitialRosterWait(loop, log);
        peers = new Peers(this, configuration);
        if (configuration.initialRoster() != null) {
            RosterUpdate known = configuration.initialRoster();
            rosterClient.setGeneration(known.generation());
            updateEndpoints(known);
            enqueueEvent(events -> events.rosterReplaced(known.entries(), true));
        }
        if (!deployment.rosterOnRequest()) {
            rosterClient.startWatch();
        }
        sweep();
    }

    /** A source of host lists other than discovery. */
    public interface ExternalRoster {

        /** Discovery itself has answered, with a list of this generation. */
        void discoveryAnswered(long generation);

        /** Discovery has another address from now on; what was received was listed by the last. */
        void discoveryMoved();

        /** The full list as last received. */
        RosterUpdate fullList();
    }

    /**
     * Sets the source that may provide lists; they apply once {@link #useExternalRoster} is called.
     */
    public void setExternalRoster(ExternalRoster source) {
        externalRoster = source;
    }

    /**
     * Switches between lists from the external source, with discovery not being called, and
     * discovery.
     */
    public void useExternalRoster(boolean enabled) {
        rosterClient.useExternalRoster(enabled);
    }

    /** Applies the external source's full list again, as the policy has asked for it. */
    void applyExternalRoster() {
        // After the policy's round that asked for it.
        loop.execute(() -> applyRoster(externalRoster.fullList()));
    }

    /** Applies an answer of discovery; the list is complete if no further call is needed. */
    void discoveryAnswered(RosterUpdate update, boolean isComplete) {
        if (externalRoster != null) {
            externalRoster.discoveryAnswered(update.generation());
        }
        applyRoster(update);
        if (isComplete) {
            rosterConfirmed();
        }
    }

    /**
     * Runs an action once the node has a list of hosts that was confirmed since its start, but
     * after {@code maxWaitSeconds} at the latest. Where changes of the list count as known without
     * a request, a list that the node remembers from earlier must not be used for new tunnels
     * before that; elsewhere the action is run at once.
     */
    public void whenRosterIsCurrent(double maxWaitSeconds, Runnable action) {
        if (deployment.rosterOnRequest()) {
            action.run();
            return;
        }
        initialRosterWait.begin(maxWaitSeconds, action);
    }

    /** The applied list of hosts is what discovery listed at some time since this node started. */
    public void rosterConfirmed() {
        initialRosterWait.rosterConfirmed();
    }

    /** The address of discovery that is in use. */
    public InetSocketAddress discoveryAddress() {
        return rosterClient.address();
    }

    /** The limit on descriptors that is in use, before it is shared with other processes. */
    public int descriptorLimit() {
        return descriptorLimit;
    }

    /** Addresses of the other nodes, in the order of the configuration. */
    public List<InetSocketAddress> peerAddresses() {
        return peers.addresses();
    }

    /** Number of setups sent to the host since this node started. */
    public long setupsSent(HostId host) {
        HostEndpoint endpoint = endpoints.get(host);
        return endpoint == null ? 0 : endpoint.setupsSent;
    }

    private void connectionAccepted(TcpConnection connection) {
        tally.count("connections taken in");
        unopenedConnections.add(new TunnelRelay(this, connection));
    }

    /**
     * Listens for clients; where operators have an address, another process may listen at the same
     * address too.
     */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        acceptor =
                loop.listen(address, hasOperators, unopenedConnections, this::connectionAccepted);
        return acceptor.localAddress();
    }

    /** Applies those parts of a new configuration that can change while tunnels are open. */
    public void reconfigure(NodeConfiguration next) {
        if (rosterClient.moveTo(next.discovery()) && externalRoster != null) {
            externalRoster.discoveryMoved();
        }
        peers.setAddresses(next);
        descriptorLimit = next.sockets();
        applyDescriptorLimits();
    }

    /**
     * Number of tunnels that fill a host, as learned by this process; passed on to the process that
     * replaces it.
     */
    public double tunnelsPerWarmHost() {
        return capacityEstimate.tunnelsPerWarmHost();
    }

    /**
     * Takes the number of tunnels that fill a host, as learned by another process at this address.
     */
    public void adoptTunnelsPerWarmHost(double tunnels) {
        capacityEstimate.adopt(tunnels);
    }

    /**
     * Reports how many other processes share this node's address, and the number of descriptors
     * that they hold or may still take together.
     */
    public void setDescriptorsHeldElsewhere(int descriptors, int processes) {
        if (descriptorShare.update(
                descriptorLimit, loop.openDescriptors(), descriptors, processes)) {
            applyDescriptorLimits();
        }
    }

    /** Descriptors that this process claims for itself towards others at its address. */
    public int claimedDescriptors() {
        return descriptorShare.claimed(
                descriptorLimit, loop.openDescriptors(), leaving, OPERATOR_DESCRIPTORS);
    }

    private void applyDescriptorLimits() {
        probeConnections.reserve(
                deployment.mayProbe()
                        ? Math.max(
                                MIN_PROBE_DESCRIPTORS, descriptorLimit / PROBE_DESCRIPTORS_DIVISOR)
                        : 0);
        unopenedConnections.setDescriptorLimit(
                allowedDescriptors() - (hasOperators ? OPERATOR_DESCRIPTORS : 0));
    }

    /** Number of descriptors that this process may hold now. */
    public int allowedDescriptors() {
        return descriptorShare.allowed(descriptorLimit);
    }

    ProbeConnectionPool<HostEndpoint> probeConnections() {
        return probeConnections;
    }

    /** Whether a probe connection may be opened beyond the reserved descriptors. */
    private boolean hasRoomForProbe() {
        return unopenedConnections.makeRoom();
    }

    /**
     * Schedules another attempt for the first host that waits for a probe connection, after the
     * work in progress.
     */
    void retryWaitingProbe() {
        if (probeConnections.firstWaiting() != null && !probeRetryDue) {
            probeRetryDue = true;
            loop.execute(
                    () -> {
                        probeRetryDue = false;
                        if (probeConnections.firstWaiting() != null) {
                            probeConnections.firstWaiting().connectForProbe();
                        }
                    });
        }
    }

    /**
     * Prepares to stop the node: the policy moves its tunnels away. If another process replaces it,
     * this one stops listening: accepted connections are still read and answered, later ones reach
     * the other process.
     */
    public void leave(boolean replaced) {
        leaving = true;
        this.replaced = replaced;
        if (replaced) {
            acceptor.close();
            peers.close();
        }
        enqueueEvent(events -> events.nodeLeaving(replaced));
    }

    /**
     * Whether the node is about to stop, so that the front, which distributes clients over the
     * nodes, must not take it for one that has just started. False if another process serves in its
     * place, as the node stays in service for the front then.
     */
    boolean isStopping() {
        return leaving && !replaced;
    }

    /**
     * Whether no tunnel is left, and no connection whose first line has partly arrived. If the node
     * is replaced, no connection may be left on which a first line may still arrive either, as the
     * front sends this process nothing new.
     */
    public boolean isDrained() {
        return relays.isEmpty()
                && !(replaced
                        ? unopenedConnections.hasAny() || acceptor.queuedConnections() > 0
                        : unopenedConnections.hasPartialFirstLine());
    }

    /** Whether a roster or an ejection has named this host. */
    public boolean knows(HostId host) {
        return endpoints.containsKey(host);
    }

    /**
     * Takes a host out of service by an operator's order, or back; {@code done} runs once that is
     * in effect.
     */
    public void setOutOfService(HostId host, boolean outOfService, Runnable done) {
        endpoint(host).outOfService = outOfService;
        enqueueEvent(events -> events.hostAdminStateChanged(host, outOfService));
        log.accept("by hand: " + host.name() + (outOfService ? " out" : " back"));
        // After the round that processes this event.
        loop.execute(done);
    }

    /** Number of tunnels accepted and not ended, those without a final answer included. */
    public int openTunnels() {
        return relays.size();
    }

    /** Number of hosts on the latest list, as of the last sweep. */
    public int listedHosts() {
        return listedHosts;
    }

    /**
     * Number of listed hosts to which the policy sends no new tunnels, by an operator's order or
     * its own decision; at most {@link #SWEEP_SECONDS} old.
     */
    public int avoidedHosts() {
        return avoidedHosts;
    }

    /** Ends all remaining tunnels and connections. */
    public void stop() {
        if (acceptor != null) {
            acceptor.handOverAll();
        }
        new ArrayList<>(relays.values()).forEach(TunnelRelay::stop);
        unopenedConnections.closeAll();
    }

    /**
     * The address at which datagrams from other nodes are received, or null where there is none.
     */
    InetSocketAddress peerListenAddress() {
        return peers.address();
    }

    /** The counters of this node. */
    public Tally tally() {
        return tally;
    }

    EventLoop loop() {
        return loop;
    }

    double now() {
        return loop.now();
    }

    double connectTimeout() {
        return connectTimeout;
    }

    double probeTimeout() {
        return connectTimeout * PROBE_TIMEOUT_FACTOR;
    }

    double giveUpTimeout() {
        return connectTimeout * GIVE_UP_FRACTION;
    }

    /** Seconds after an answer within which a duplicate of it may arrive. */
    double duplicateAnswerWindow() {
        return connectTimeout * DUPLICATE_ANSWER_FRACTION;
    }

    double slowMessageDelay() {
        return slowMessageDelay;
    }

    UnopenedConnections unopenedConnections() {
        return unopenedConnections;
    }

    TimeoutQueue<TunnelRelay> awaitingReply() {
        return awaitingReply;
    }

    TimeoutQueue<TunnelRelay> quietTunnels() {
        return quietTunnels;
    }

    TimeoutQueue<TunnelRelay> closingTunnels() {
        return closingTunnels;
    }

    private void sweep() {
        double now = now();
        unopenedConnections.expire(now);
        awaitingReply.expire(now, TunnelRelay::onHostQuiet);
        quietTunnels.expire(now, TunnelRelay::onHostSilent);
        closingTunnels.expire(now, TunnelRelay::onClosingTimeout);
        listedHosts = policy.listedHostCount(false);
        avoidedHosts = policy.listedHostCount(true);
        retryWaitingProbe();
        loop.schedule(SWEEP_SECONDS, this::sweep);
    }

    // ---- Events for the policy ----

    /** Queues an event for the policy round after this wake-up. */
    void enqueueEvent(Consumer<NodeEvents> event) {
        pendingEvents.add(event);
        if (!roundDue) {
            roundDue = true;
            loop.execute(this::runRound);
        }
    }

    private void runRound() {
        roundDue = false;
        List<Consumer<NodeEvents>> batch = pendingEvents;
        pendingEvents = new ArrayList<>();
        try {
            policy.round(now(), receiver -> batch.forEach(event -> deliver(receiver, event)), this);
        } catch (RuntimeException e) {
            logFault(e);
        }
    }

    /**
     * Delivers one event; if the policy throws, the rest of the round's events are still delivered.
     */
    private void deliver(NodeEvents receiver, Consumer<NodeEvents> event) {
        try {
            event.accept(receiver);
        } catch (RuntimeException e) {
            logFault(e);
        }
    }

    private void logFault(RuntimeException fault) {
        tally.count("faults");
        StackTraceElement[] trace = fault.getStackTrace();
        if (loggedFaults.size() < MAX_LOGGED_FAULTS
                && loggedFaults.add(trace.length == 0 ? "" : trace[0].toString())) {
            log.accept("fault: " + fault);
            for (StackTraceElement frame : trace) {
                log.accept("    at " + frame);
            }
        }
    }

    /**
     * Ends the tunnels to this host that have waited long for a line: as the host has not answered
     * a probe either, it counts as vanished.
     */
    void hostUnresponsive(HostEndpoint endpoint) {
        for (TunnelRelay relay : quietTunnels.snapshot()) {
            if (relay.isAt(endpoint)) {
                relay.onHostSilent();
            }
        }
    }

    /** Counts a tunnel that has come to need a connection to a host, or needs it no longer. */
    void hostConnectionNeeded(boolean needed) {
        neededHostConnections += needed ? 1 : -1;
    }

    /** Sets the table of used ids that this process shares with others at its address. */
    public void shareUsedIds(UsedTunnelIds shared) {
        usedIds = shared;
    }

    /**
     * Claims the id of a request; returns false if a tunnel here has it, or one that may not be set
     * up twice has or had it, here or at another process, unless it provably never ran (rule 2).
     */
    boolean claimId(OpenRequest request) {
        return !idsInUse.contains(request.id())
                && (!mustRunOnce(request) || usedIds.claim(request.id().name(), now()));
    }

    /** One that was open before this node started is only resumed. */
    private boolean mustRunOnce(OpenRequest request) {
        return request.resumeHost() == null
                && profile(request.profile())
                        .filter(profile -> profile.repeat() != Deployment.Repeat.REPEATABLE)
                        .isPresent();
    }

    /**
     * Makes an id that no other tunnel has had in this process, so that a late event of an ended
     * tunnel does not reach a later one that the client gave the same id.
     */
    TunnelId uniqueId(TunnelId id) {
        return new TunnelId(id.name() + "." + ++relayCount);
    }

    /**
     * Accepts a tunnel: the policy places it, or it is resumed at its host if it was open before
     * this node started.
     */
    void tunnelAccepted(TunnelRelay relay) {
        OpenRequest openRequest = relay.openRequest();
        relays.put(relay.id(), relay);
        idsInUse.add(openRequest.id());
        tally.count("tunnels taken");
        if (!(openRequest.resumeHost() == null
                ? unopenedConnections.makeRoom()
                : unopenedConnections.makeRoomForResumed())) {
            // With no descriptors left, no connection could be accepted or answered at all.
            tally.count(Tally.DECLINED_FOR_DESCRIPTORS);
            relay.sendFinalAnswer("BUSY", Tally.Outcome.DECLINED);
            return;
        }
        if (openRequest.resumeHost() != null) {
            if (!resume(relay)) {
                unresumed.add(relay);
            }
            return;
        }
        if (profile(openRequest.profile()).isEmpty()) {
            remove(relay);
            relay.rejectFirstLine("unknown profile " + openRequest.profile().name());
            return;
        }
        enqueueEvent(
                events ->
                        events.tunnelArrived(
                                relay.id(),
                                openRequest.profile(),
                                openRequest.participant(),
                                openRequest.subject(),
                                openRequest.group(),
                                relay.timeLeft(now()),
                                false));
    }

    private Optional<Deployment.Profile> profile(ProfileId id) {
        return deployment.profiles().stream()
                .filter(profile -> profile.id().equals(id))
                .findFirst();
    }

    /**
     * Seconds from a tunnel's first setup within which a setup that may have run may be repeated
     * (rule 2: no effect may take place twice).
     */
    double repeatWindow(ProfileId id) {
        return profile(id)
                .filter(profile -> profile.repeat() == Deployment.Repeat.REFERENCED)
                .map(Deployment.Profile::dedupWindow)
                .orElse(Double.POSITIVE_INFINITY);
    }

    /** Seconds before the client's timeout by which a tunnel should have its final answer. */
    static double answerMargin(double clientTimeout) {
        return Math.min(MAX_MARGIN_SECONDS, MARGIN_FRACTION * clientTimeout);
    }

    /**
     * Resumes a tunnel again after a delay: its host may have moved to an address that is not on
     * the current, outdated list.
     */
    void resumeLater(TunnelRelay relay) {
        loop.schedule(RESUME_RETRY_SECONDS, () -> resume(relay));
    }

    /**
     * Resumes a tunnel that was open before this node started at its host; returns false if the
     * host is not known yet.
     */
    private boolean resume(TunnelRelay relay) {
        HostEndpoint endpoint = endpoints.get(relay.openRequest().resumeHost());
        if (endpoint == null) {
            return false;
        }
        relay.sendSetup(endpoint, 0);
        return true;
    }

    void tunnelOpened(TunnelRelay relay, HostEndpoint endpoint, int setup, double duration) {
        OpenRequest openRequest = relay.openRequest();
        if (openRequest.resumeHost() != null) {
            enqueueEvent(
                    events ->
                            events.tunnelResumed(
                                    relay.id(),
                                    openRequest.profile(),
                                    openRequest.participant(),
                                    openRequest.subject(),
                                    openRequest.group(),
                                    endpoint.host));
        } else {
            enqueueEvent(events -> events.tunnelOpened(relay.id(), setup, endpoint.host, duration));
        }
    }

    void remove(TunnelRelay relay) {
        if (relays.remove(relay.id()) != null) {
            idsInUse.remove(relay.openRequest().id());
            unresumed.remove(relay);
            if (mustRunOnce(relay.openRequest()) && !relay.mayHaveRun()) {
                usedIds.release(relay.openRequest().id().name());
            }
        }
    }

    /** Applies a full list of hosts or changes to it. */
    public void applyRoster(RosterUpdate update) {
        tally.add("roster entries unreadable", update.malformedEntries());
        updateEndpoints(update);
        enqueueEvent(
                update.full()
                        ? events -> events.rosterReplaced(update.entries(), false)
                        : events -> events.rosterChanged(update.entries()));
        // Over a copy: resuming may remove a tunnel from the list, if its client has left.
        for (TunnelRelay relay : List.copyOf(unresumed)) {
            if (resume(relay)) {
                unresumed.remove(relay);
            }
        }
    }

    private HostEndpoint endpoint(HostId host) {
        return endpoints.computeIfAbsent(host, id -> new HostEndpoint(this, id));
    }

    private void updateEndpoints(RosterUpdate update) {
        if (update.full()) {
            endpoints.forEach(
                    (host, endpoint) -> {
                        endpoint.listedReady = false;
                        if (!update.addresses().containsKey(host)) {
                            endpoint.disconnect();
                        }
                    });
        }
        update.addresses().forEach((host, address) -> endpoint(host).setAddress(address));
        for (RosterEntry entry : update.entries()) {
            HostEndpoint endpoint = endpoint(entry.host());
            endpoint.listedReady = entry.state() == RosterEntry.State.READY;
            if (entry.state() == RosterEntry.State.GONE) {
                endpoint.disconnect();
            }
        }
    }

    // ---- Decisions of the policy ----

    @Override
    public void sendSetup(TunnelId id, HostId host, double timeout) {
        TunnelRelay relay = relays.get(id);
        if (relay != null && relay.sendSetup(endpoint(host), timeout)) {
            endpoint(host).setupsSent++;
        }
    }

    @Override
    public void cancelSetup(TunnelId id, int setup) {
        TunnelRelay relay = relays.get(id);
        if (relay != null) {
            relay.cancelSetup(setup);
        }
    }

    @Override
    public void decline(TunnelId id, double retryAfter, DeclineReason reason) {
        TunnelRelay relay = relays.get(id);
        if (relay != null) {
            long millis = (long) Math.ceil(retryAfter * 1000);
            relay.decline(millis > 0 ? "BUSY " + millis : "BUSY", reason);
        }
    }

    @Override
    public void closeWithError(TunnelId id) {
        TunnelRelay relay = relays.get(id);
        if (relay != null) {
            relay.sendFinalAnswer("ERR no host took it", Tally.Outcome.CLOSED_WITH_ERROR);
        }
    }

    @Override
    public void move(TunnelId id) {
        TunnelRelay relay = relays.get(id);
        if (relay != null) {
            relay.move();
        }
    }

    @Override
    public void probe(HostId host) {
        endpoint(host).probe();
    }

    @Override
    public void closeIdle(HostId host) {
        HostEndpoint endpoint = endpoints.get(host);
        if (endpoint != null) {
            endpoint.disconnect();
        }
    }

    @Override
    public void watchRoster(boolean enabled) {
        rosterClient.watch(enabled);
    }

    @Override
    public void requestRoster() {
        rosterClient.requestFullList();
    }

    @Override
    public void sendToNode(int node, byte[] content) {
        peers.sendTo(node, content);
    }

    @Override
    public void sendToAllNodes(byte[] content) {
        peers.sendToAll(content);
    }

    @Override
    public void wakeAfter(double delay) {
        // A policy that asks for rounds without a pause would keep the sockets from being read.
        loop.schedule(Math.max(delay, MIN_WAKE_SECONDS), () -> enqueueEvent(events -> {}));
    }

    @Override
    public void logForOperators(String line) {
        log.accept(line);
    }
}
