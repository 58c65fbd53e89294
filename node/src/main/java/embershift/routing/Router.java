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
 * The module on sockets: what happens on them becomes its news, and its decisions are carried out
 * on them directly. All news of one wake-up of the loop goes into one round.
 */
public final class Router implements Decisions {

    /**
     * By how much a client's wait is taken shorter, as a part of it, and in seconds at the most:
     * its line was under way, and a node that starts or shares its core may be late by that much.
     */
    private static final double MARGIN_FRACTION = 0.1;

    private static final double MAX_MARGIN_SECONDS = 0.1;

    /**
     * Seconds until a tunnel that stood before is sent to its host again, where that did not take
     * it.
     */
    private static final double RESUME_RETRY_SECONDS = 0.25;

    /**
     * Seconds after which a line that brought none back is looked into, as its host may have
     * vanished.
     */
    static final double QUIET_SECONDS = 1.5;

    /** Seconds more after which its tunnel is ended in any case. */
    private static final double SILENCE_SECONDS = 2.5;

    private static final double CLOSING_SECONDS = 0.8;
    private static final double SWEEP_SECONDS = 0.1;
    private static final double MIN_WAKE_SECONDS = 0.002;
    private static final int MAX_LOGGED_FAULTS = 20;

    /** Descriptors kept for operators, which neither tunnels nor strangers may take. */
    public static final int OPERATOR_DESCRIPTORS = 32;

    /**
     * Part of the connect time-out, and its multiple, that setups given up and probes are waited
     * for.
     */
    private static final double GIVE_UP_FRACTION = 0.4;

    private static final double PROBE_TIMEOUT_FACTOR = 1.6;

    /** Part of it within which a host's answer may come a second time. */
    private static final double DUPLICATE_ANSWER_FRACTION = 0.2;

    /** Part of the shortest setup goal from which a message counts as slow. */
    private static final double SLOW_MESSAGE_FRACTION = 1 / 3.0;

    /**
     * Part of the descriptors, and their least number, that are for the connections on which hosts
     * are asked.
     */
    private static final int PROBE_DESCRIPTORS_DIVISOR = 8;

    private static final int MIN_PROBE_DESCRIPTORS = 8;

    private final EventLoop loop;
    private final Deployment deployment;
    private final HostCapacityEstimate filling;
    private final Policy policy;
    private final Consumer<String> log;
    private final Tally tally;

    /**
     * By the names that the module knows; those that clients gave, of the same passages, beside it.
     */
    private final Map<TunnelId, TunnelRelay> relays = new HashMap<>();

    private final Set<TunnelId> idsInUse = new HashSet<>();
    private long relayCount;
    private final Map<HostId, HostEndpoint> endpoints = new HashMap<>();
    private final List<TunnelRelay> unresumed = new ArrayList<>();
    private final UnopenedConnections unopenedConnections;
    private final ProbeConnectionPool<HostEndpoint> probeConnections;
    private boolean probeRetryDue;
    private final TimeoutQueue<TunnelRelay> awaitingReply = new TimeoutQueue<>(QUIET_SECONDS);
    private final TimeoutQueue<TunnelRelay> quietTunnels = new TimeoutQueue<>(SILENCE_SECONDS);
    private final TimeoutQueue<TunnelRelay> closingTunnels = new TimeoutQueue<>(CLOSING_SECONDS);
    private final RosterClient roster;
    private final Peers peers;
    private ExternalRoster externalRoster;
    private final double connectTimeout;
    private final double slowMessageDelay;
    private List<Consumer<NodeEvents>> pendingNews = new ArrayList<>();
    private boolean roundDue;

    /** Places in the code whose faults have been told: each is told once. */
    private final Set<String> loggedFaults = new HashSet<>();

    private boolean leaving;
    private boolean replaced;
    private EventLoop.Acceptor listening;

    /** Whether operators have an address, and so descriptors of their own. */
    private final boolean hasOperators;

    private int descriptorLimit;

    /**
     * Tunnels that wait and have no connection to a host, but will have one: in one wake-up many
     * may be taken in.
     */
    private int neededHostConnections;

    private final DescriptorShare descriptorShare = new DescriptorShare();
    private int listedHosts;
    private int avoidedHosts;

    public Router(EventLoop loop, NodeConfiguration configuration, Consumer<String> log)
            throws IOException {
        this.loop = loop;
        this.log = log;
        deployment = configuration.deployment();
        filling = new HostCapacityEstimate(deployment);
        policy = new Policy(deployment, filling);
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
        roster =
                new RosterClient(
                        this,
                        configuration.discovery(),
                        !deployment.rosterOnRequest(),
                        deployment.seed());
        peers = new Peers(this, configuration);
        if (configuration.initialRoster() != null) {
            RosterUpdate known = configuration.initialRoster();
            roster.setGeneration(known.generation());
            updateEndpoints(known);
            enqueueNews(news -> news.rosterReplaced(known.listings(), true));
        }
        if (!deployment.rosterOnRequest()) {
            roster.watch(true);
        }
        sweep();
    }

    /** Lists of hosts that come from elsewhere than discovery. */
    public interface ExternalRoster {

        /** Discovery has said something itself, of this generation. */
        void discoveryAnswered(long generation);

        /** The whole list, as it was told last. */
        RosterUpdate fullList();
    }

    /** Who may tell lists from now on, once {@link #useExternalRoster} says that they hold. */
    public void setExternalRoster(ExternalRoster others) {
        externalRoster = others;
    }

    /** Whether lists come from elsewhere now, and discovery is not asked. */
    public void useExternalRoster(boolean on) {
        roster.useExternalRoster(on);
    }

    /** The module wants the whole list. */
    void applyExternalRoster() {
        // After the round in which it asked.
        loop.execute(() -> applyRoster(externalRoster.fullList()));
    }

    void discoveryAnswered(RosterUpdate page) {
        if (externalRoster != null) {
            externalRoster.discoveryAnswered(page.generation());
        }
        applyRoster(page);
    }

    /** Where discovery is asked, and how many descriptors may be held, as this node goes by it. */
    public InetSocketAddress discoveryAddress() {
        return roster.address();
    }

    public int descriptorLimit() {
        return descriptorLimit;
    }

    public List<InetSocketAddress> peerAddresses() {
        return peers.addresses();
    }

    /** Setups sent to that host since this node's start. */
    public long setupsSent(HostId host) {
        HostEndpoint contact = endpoints.get(host);
        return contact == null ? 0 : contact.setupsSent;
    }

    private void connectionAccepted(TcpConnection link) {
        tally.count("connections taken in");
        unopenedConnections.add(new TunnelRelay(this, link));
    }

    /**
     * Listens for clients; where operators have an address, beside another process that may do so
     * as well.
     */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        listening =
                loop.listen(address, hasOperators, unopenedConnections, this::connectionAccepted);
        return listening.localAddress();
    }

    /** Goes by a new configuration, as far as that can change while tunnels stand. */
    public void reconfigure(NodeConfiguration next) {
        roster.moveTo(next.discovery());
        peers.setAddresses(next);
        descriptorLimit = next.sockets();
        applyDescriptorLimits();
    }

    /**
     * Tunnels that fill a host, as far as this process has learned: one that follows wants to know.
     */
    public double tunnelsPerFullHost() {
        return filling.tunnelsPerWarmHost();
    }

    /** What another process at this address has learned of that. */
    public void learnTunnelsPerFullHost(double tunnels) {
        filling.adopt(tunnels);
    }

    /**
     * So many descriptors other processes at this node's address hold or may yet take, and so many
     * they are.
     */
    public void setDescriptorsHeldElsewhere(int many, int processes) {
        if (descriptorShare.update(descriptorLimit, loop.openDescriptors(), many, processes)) {
            applyDescriptorLimits();
        }
    }

    /** Descriptors that this process tells others at its address to be its own. */
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

    /** Descriptors that this process may hold now. */
    public int allowedDescriptors() {
        return descriptorShare.allowed(descriptorLimit);
    }

    ProbeConnectionPool<HostEndpoint> probeConnections() {
        return probeConnections;
    }

    /**
     * Whether one more host may be reached for a question than there are descriptors for that
     * alone.
     */
    private boolean hasRoomForProbe() {
        return unopenedConnections.makeRoom();
    }

    /** Has the next in line for a kept connection try again, behind what is under way. */
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
     * The node is to stop: the module moves what is here. Where it is replaced nothing more comes
     * in here: what has been accepted is still read and answered, the rest finds the other process.
     */
    public void leave(boolean replaced) {
        leaving = true;
        this.replaced = replaced;
        if (replaced) {
            listening.close();
            peers.close();
        }
        enqueueNews(news -> news.nodeLeaving(replaced));
    }

    /**
     * Whether the node is about to stop: its front must not take it for one that has just started.
     * Where another process serves in its place it still is what the front takes it for.
     */
    boolean isStopping() {
        return leaving && !replaced;
    }

    /**
     * Whether no tunnel is left, nor anybody whose first line has begun; where the node is
     * replaced, nobody whose first line may still come: its front sends it nothing more.
     */
    public boolean isDrained() {
        return relays.isEmpty()
                && !(replaced
                        ? unopenedConnections.hasAny() || listening.queuedConnections() > 0
                        : unopenedConnections.hasPartialFirstLine());
    }

    /** Whether a list or a ban has named this host. */
    public boolean knows(HostId host) {
        return endpoints.containsKey(host);
    }

    /** Staff take a host out, or back; {@code done} runs once that holds. */
    public void setOutOfService(HostId host, boolean out, Runnable done) {
        endpoint(host).outOfService = out;
        enqueueNews(news -> news.hostAdminStateChanged(host, out));
        log.accept("by hand: " + host.name() + (out ? " out" : " back"));
        // Behind the round that takes it.
        loop.execute(done);
    }

    /** Tunnels taken and not ended. */
    public int openTunnels() {
        return relays.size();
    }

    /** Hosts on the list as last told. */
    public int listedHosts() {
        return listedHosts;
    }

    /**
     * Listed hosts that the module gives nothing new now, by hand or by its choice; up to SWEEP
     * old.
     */
    public int avoidedHosts() {
        return avoidedHosts;
    }

    /** Ends what is still here. */
    public void stop() {
        if (listening != null) {
            listening.handOverAll();
        }
        new ArrayList<>(relays.values()).forEach(TunnelRelay::stop);
        unopenedConnections.closeAll();
    }

    /** Where datagrams of other nodes come in; null where there are none. */
    InetSocketAddress peerListenAddress() {
        return peers.address();
    }

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

    /** Seconds for which an answer may be followed by its own double. */
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

    // ---- News ----

    /** Keeps a piece of news for the round that follows this wake-up. */
    void enqueueNews(Consumer<NodeEvents> arrival) {
        pendingNews.add(arrival);
        if (!roundDue) {
            roundDue = true;
            loop.execute(this::runRound);
        }
    }

    private void runRound() {
        roundDue = false;
        List<Consumer<NodeEvents>> news = pendingNews;
        pendingNews = new ArrayList<>();
        try {
            policy.round(now(), heard -> news.forEach(arrival -> deliver(heard, arrival)), this);
        } catch (RuntimeException e) {
            logFault(e);
        }
    }

    /** Guards the rest of a round's news from a piece that the module stumbles over. */
    private void deliver(NodeEvents heard, Consumer<NodeEvents> arrival) {
        try {
            arrival.accept(heard);
        } catch (RuntimeException e) {
            logFault(e);
        }
    }

    private void logFault(RuntimeException e) {
        tally.count("faults");
        StackTraceElement[] trace = e.getStackTrace();
        if (loggedFaults.size() < MAX_LOGGED_FAULTS
                && loggedFaults.add(trace.length == 0 ? "" : trace[0].toString())) {
            log.accept("fault: " + e);
            for (StackTraceElement at : trace) {
                log.accept("    at " + at);
            }
        }
    }

    /**
     * A host has left a question unanswered: tunnels there that bring no line back have lost it.
     */
    void hostUnresponsive(HostEndpoint contact) {
        for (TunnelRelay passage : quietTunnels.snapshot()) {
            if (passage.isAt(contact)) {
                passage.onHostSilent();
            }
        }
    }

    /** A tunnel has come to want a connection to a host, or wants it no more. */
    void hostConnectionNeeded(boolean does) {
        neededHostConnections += does ? 1 : -1;
    }

    boolean knows(TunnelId id) {
        return idsInUse.contains(id);
    }

    /**
     * A name for a tunnel that no other has had here: what is still told of one that is over
     * reaches none of the same id.
     */
    TunnelId uniqueId(TunnelId id) {
        return new TunnelId(id.name() + "." + ++relayCount);
    }

    /**
     * A client has opened: its tunnel is the module's to place, or stood at a host before this
     * start.
     */
    void tunnelAccepted(TunnelRelay passage) {
        OpenRequest opening = passage.opening();
        relays.put(passage.id(), passage);
        idsInUse.add(opening.id());
        tally.count("tunnels taken");
        if (!(opening.resumeHost() == null
                ? unopenedConnections.makeRoom()
                : unopenedConnections.makeRoomForStanding())) {
            // Guards the descriptors: with none left, nothing could be taken in or answered at all.
            tally.count(Tally.DECLINED_FOR_DESCRIPTORS);
            passage.sendFinalAnswer("BUSY", Tally.Outcome.DECLINED);
            return;
        }
        if (opening.resumeHost() != null) {
            if (!resume(passage)) {
                unresumed.add(passage);
            }
            return;
        }
        if (profile(opening.profile()).isEmpty()) {
            remove(passage);
            passage.rejectFirstLine("unknown profile " + opening.profile().name());
            return;
        }
        enqueueNews(
                news ->
                        news.tunnelArrived(
                                passage.id(),
                                opening.profile(),
                                opening.participant(),
                                opening.subject(),
                                opening.group(),
                                passage.timeLeft(now()),
                                false));
    }

    private Optional<Deployment.Profile> profile(ProfileId id) {
        return deployment.profiles().stream()
                .filter(profile -> profile.id().equals(id))
                .findFirst();
    }

    /**
     * Seconds from its first setup for which a tunnel that may have run may be sent again (rule 2).
     */
    double repeatWindow(ProfileId id) {
        return profile(id)
                .filter(profile -> profile.repeat() == Deployment.Repeat.REFERENCED)
                .map(Deployment.Profile::dedupWindow)
                .orElse(Double.POSITIVE_INFINITY);
    }

    static double answerMargin(double clientTimeout) {
        return Math.min(MAX_MARGIN_SECONDS, MARGIN_FRACTION * clientTimeout);
    }

    /**
     * Guards standing tunnels against a list that is old: their host may be at another address by
     * now.
     */
    void resumeLater(TunnelRelay passage) {
        loop.schedule(RESUME_RETRY_SECONDS, () -> resume(passage));
    }

    /** Sends a tunnel that stood before back to its host, if that is known by now. */
    private boolean resume(TunnelRelay passage) {
        HostEndpoint contact = endpoints.get(passage.opening().resumeHost());
        if (contact == null) {
            return false;
        }
        passage.sendSetup(contact, 0);
        return true;
    }

    void tunnelOpened(TunnelRelay passage, HostEndpoint contact, int setup, double took) {
        OpenRequest opening = passage.opening();
        if (opening.resumeHost() != null) {
            enqueueNews(
                    news ->
                            news.tunnelResumed(
                                    passage.id(),
                                    opening.profile(),
                                    opening.participant(),
                                    opening.subject(),
                                    opening.group(),
                                    contact.host));
        } else {
            enqueueNews(news -> news.tunnelOpened(passage.id(), setup, contact.host, took));
        }
    }

    void remove(TunnelRelay passage) {
        if (relays.remove(passage.id()) != null) {
            idsInUse.remove(passage.opening().id());
            unresumed.remove(passage);
        }
    }

    /** A list of hosts, or what is new in one. */
    public void applyRoster(RosterUpdate page) {
        tally.add("roster entries unreadable", page.malformedEntries());
        updateEndpoints(page);
        enqueueNews(
                page.full()
                        ? news -> news.rosterReplaced(page.listings(), false)
                        : news -> news.rosterChanged(page.listings()));
        // Over a copy: a client that is found to have left takes its tunnel off the list by itself.
        for (TunnelRelay passage : List.copyOf(unresumed)) {
            if (resume(passage)) {
                unresumed.remove(passage);
            }
        }
    }

    private HostEndpoint endpoint(HostId host) {
        return endpoints.computeIfAbsent(host, id -> new HostEndpoint(this, id));
    }

    private void updateEndpoints(RosterUpdate page) {
        if (page.full()) {
            endpoints.forEach(
                    (host, contact) -> {
                        contact.listedReady = false;
                        if (!page.addresses().containsKey(host)) {
                            contact.disconnect();
                        }
                    });
        }
        page.addresses().forEach((host, address) -> endpoint(host).setAddress(address));
        for (RosterEntry listing : page.listings()) {
            HostEndpoint contact = endpoint(listing.host());
            contact.listedReady = listing.state() == RosterEntry.State.READY;
            if (listing.state() == RosterEntry.State.GONE) {
                contact.disconnect();
            }
        }
    }

    // ---- Decisions ----

    @Override
    public void sendSetup(TunnelId id, HostId host, double timeOut) {
        TunnelRelay passage = relays.get(id);
        if (passage != null && passage.sendSetup(endpoint(host), timeOut)) {
            endpoint(host).setupsSent++;
        }
    }

    @Override
    public void cancelSetup(TunnelId id, int setup) {
        TunnelRelay passage = relays.get(id);
        if (passage != null) {
            passage.cancel(setup);
        }
    }

    @Override
    public void decline(TunnelId id, double returnAfter, DeclineReason reason) {
        TunnelRelay passage = relays.get(id);
        if (passage != null) {
            long millis = (long) Math.ceil(returnAfter * 1000);
            passage.decline(millis > 0 ? "BUSY " + millis : "BUSY", reason);
        }
    }

    @Override
    public void closeWithError(TunnelId id) {
        TunnelRelay passage = relays.get(id);
        if (passage != null) {
            passage.sendFinalAnswer("ERR no host took it", Tally.Outcome.CLOSED_WITH_ERROR);
        }
    }

    @Override
    public void move(TunnelId id) {
        TunnelRelay passage = relays.get(id);
        if (passage != null) {
            passage.move();
        }
    }

    @Override
    public void probe(HostId host) {
        endpoint(host).probe();
    }

    @Override
    public void closeIdle(HostId host) {
        HostEndpoint contact = endpoints.get(host);
        if (contact != null) {
            contact.disconnect();
        }
    }

    @Override
    public void watchRoster(boolean on) {
        roster.watch(on);
    }

    @Override
    public void requestRoster() {
        roster.requestFullList();
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
        // Guards the sockets: a module that asks for rounds without a pause would let none be read.
        loop.schedule(Math.max(delay, MIN_WAKE_SECONDS), () -> enqueueNews(news -> {}));
    }

    @Override
    public void logForOperators(String line) {
        log.accept(line);
    }
}
