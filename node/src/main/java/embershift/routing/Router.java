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
import embershift.protocol.Opening;
import embershift.protocol.RosterPage;
import embershift.transport.Link;
import embershift.transport.Loop;
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
    private static final double MARGIN = 0.1;

    private static final double MOST_MARGIN = 0.1;

    /**
     * Seconds until a tunnel that stood before is sent to its host again, where that did not take
     * it.
     */
    private static final double RESUME_AGAIN = 0.25;

    /**
     * Seconds after which a line that brought none back is looked into, as its host may have
     * vanished.
     */
    static final double QUIET = 1.5;

    /** Seconds more after which its tunnel is ended in any case. */
    private static final double SILENCE = 2.5;

    private static final double ENDING = 0.8;
    private static final double SWEEP = 0.1;
    private static final double LEAST_WAKE = 0.002;
    private static final int MOST_FAULTS = 20;

    /** Descriptors kept for operators, which neither tunnels nor strangers may take. */
    public static final int OPERATORS = 32;

    /**
     * Part of the connect time-out, and its multiple, that setups given up and probes are waited
     * for.
     */
    private static final double END_PATIENCE = 0.4;

    private static final double PROBE_PATIENCE = 1.6;

    /** Part of it within which a host's answer may come a second time. */
    private static final double DOUBLE = 0.2;

    /** Part of the shortest setup goal from which a message counts as slow. */
    private static final double SLOW_MESSAGE = 1 / 3.0;

    /**
     * Part of the descriptors, and their least number, that are for the connections on which hosts
     * are asked.
     */
    private static final int KEPT_PART = 8;

    private static final int LEAST_KEPT = 8;

    private final Loop loop;
    private final Deployment deployment;
    private final HostCapacityEstimate filling;
    private final Policy module;
    private final Consumer<String> log;
    private final Tally tally;

    /**
     * By the names that the module knows; those that clients gave, of the same passages, beside it.
     */
    private final Map<TunnelId, Passage> passages = new HashMap<>();

    private final Set<TunnelId> idsInUse = new HashSet<>();
    private long named;
    private final Map<HostId, Contact> contacts = new HashMap<>();
    private final List<Passage> unplaced = new ArrayList<>();
    private final Strangers strangers;
    private final KeptConnections<Contact> kept;
    private boolean lineDue;
    private final Ageing<Passage> silences = new Ageing<>(QUIET);
    private final Ageing<Passage> longSilences = new Ageing<>(SILENCE);
    private final Ageing<Passage> endings = new Ageing<>(ENDING);
    private final Roster roster;
    private final Peers peers;
    private Lists lists;
    private final double connectTimeout;
    private final double slowMessage;
    private List<Consumer<NodeEvents>> arrivals = new ArrayList<>();
    private boolean roundDue;

    /** Places in the code whose faults have been told: each is told once. */
    private final Set<String> faultsTold = new HashSet<>();

    private boolean leaving;
    private boolean replaced;
    private Loop.Listening listening;

    /** Whether operators have an address, and so descriptors of their own. */
    private final boolean operators;

    private int descriptors;

    /**
     * Tunnels that wait and have no connection to a host, but will have one: in one wake-up many
     * may be taken in.
     */
    private int unlinked;

    private final DescriptorShare share = new DescriptorShare();
    private int listedHosts;
    private int avoidedHosts;

    public Router(Loop loop, NodeConfiguration configuration, Consumer<String> log)
            throws IOException {
        this.loop = loop;
        this.log = log;
        deployment = configuration.deployment();
        filling = new HostCapacityEstimate(deployment);
        module = new Policy(deployment, filling);
        tally = new Tally(deployment);
        connectTimeout = deployment.connectTimeout() > 0 ? deployment.connectTimeout() : 0.25;
        slowMessage =
                SLOW_MESSAGE
                        * deployment.profiles().stream()
                                .mapToDouble(Deployment.Profile::setupGoal)
                                .min()
                                .orElse(1);
        operators = configuration.operated();
        descriptors = configuration.sockets();
        kept = new KeptConnections<>(this::roomForHost, Contact::hangUp);
        strangers = new Strangers(loop, tally, () -> unlinked + kept.unused());
        limitStrangers();
        roster =
                new Roster(
                        this,
                        configuration.discovery(),
                        !deployment.rosterOnRequest(),
                        deployment.seed());
        peers = new Peers(this, configuration);
        if (configuration.known() != null) {
            RosterPage known = configuration.known();
            roster.known(known.generation());
            addresses(known);
            hear(news -> news.rosterReplaced(known.listings(), true));
        }
        if (!deployment.rosterOnRequest()) {
            roster.watch(true);
        }
        sweep();
    }

    /** Lists of hosts that come from elsewhere than discovery. */
    public interface Lists {

        /** Discovery has said something itself, of this generation. */
        void discoverySaid(long generation);

        /** The whole list, as it was told last. */
        RosterPage whole();
    }

    /** Who may tell lists from now on, once {@link #led} says that they hold. */
    public void lists(Lists others) {
        lists = others;
    }

    /** Whether lists come from elsewhere now, and discovery is not asked. */
    public void led(boolean on) {
        roster.led(on);
    }

    /** The module wants the whole list. */
    void listedElsewhere() {
        // After the round in which it asked.
        loop.execute(() -> listed(lists.whole()));
    }

    void discoverySaid(RosterPage page) {
        if (lists != null) {
            lists.discoverySaid(page.generation());
        }
        listed(page);
    }

    /** Where discovery is asked, and how many descriptors may be held, as this node goes by it. */
    public InetSocketAddress discovery() {
        return roster.address();
    }

    public int descriptors() {
        return descriptors;
    }

    public List<InetSocketAddress> peers() {
        return peers.addresses();
    }

    /** Setups sent to that host since this node's start. */
    public long setUps(HostId host) {
        Contact contact = contacts.get(host);
        return contact == null ? 0 : contact.setUps;
    }

    private void accepted(Link link) {
        tally.count("connections taken in");
        strangers.begin(new Passage(this, link));
    }

    /**
     * Listens for clients; where operators have an address, beside another process that may do so
     * as well.
     */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        listening = loop.listen(address, operators, strangers, this::accepted);
        return listening.address();
    }

    /** Goes by a new configuration, as far as that can change while tunnels stand. */
    public void reconfigure(NodeConfiguration next) {
        roster.moveTo(next.discovery());
        peers.reachedBy(next);
        descriptors = next.sockets();
        limitStrangers();
    }

    /**
     * Tunnels that fill a host, as far as this process has learned: one that follows wants to know.
     */
    public double tunnelsThatFill() {
        return filling.tunnelsPerWarmHost();
    }

    /** What another process at this address has learned of that. */
    public void toldOfFilling(double tunnels) {
        filling.adopt(tunnels);
    }

    /**
     * So many descriptors other processes at this node's address hold or may yet take, and so many
     * they are.
     */
    public void heldElsewhere(int many, int processes) {
        if (share.told(descriptors, loop.descriptors(), many, processes)) {
            limitStrangers();
        }
    }

    /** Descriptors that this process tells others at its address to be its own. */
    public int claimedDescriptors() {
        return share.claimed(descriptors, loop.descriptors(), leaving, OPERATORS);
    }

    private void limitStrangers() {
        kept.reserve(deployment.mayProbe() ? Math.max(LEAST_KEPT, descriptors / KEPT_PART) : 0);
        strangers.limit(mostDescriptors() - (operators ? OPERATORS : 0));
    }

    /** Descriptors that this process may hold now. */
    public int mostDescriptors() {
        return share.most(descriptors);
    }

    KeptConnections<Contact> kept() {
        return kept;
    }

    /**
     * Whether one more host may be reached for a question than there are descriptors for that
     * alone.
     */
    private boolean roomForHost() {
        return strangers.makeRoom();
    }

    /** Has the next in line for a kept connection try again, behind what is under way. */
    void serveLine() {
        if (kept.first() != null && !lineDue) {
            lineDue = true;
            loop.execute(
                    () -> {
                        lineDue = false;
                        if (kept.first() != null) {
                            kept.first().reach();
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
        hear(news -> news.nodeLeaving(replaced));
    }

    /**
     * Whether the node is about to stop: its front must not take it for one that has just started.
     * Where another process serves in its place it still is what the front takes it for.
     */
    boolean stopping() {
        return leaving && !replaced;
    }

    /**
     * Whether no tunnel is left, nor anybody whose first line has begun; where the node is
     * replaced, nobody whose first line may still come: its front sends it nothing more.
     */
    public boolean empty() {
        return passages.isEmpty()
                && !(replaced ? strangers.any() || listening.waiting() > 0 : strangers.anyBegun());
    }

    /** Whether a list or a ban has named this host. */
    public boolean knows(HostId host) {
        return contacts.containsKey(host);
    }

    /** Staff take a host out, or back; {@code done} runs once that holds. */
    public void byHand(HostId host, boolean out, Runnable done) {
        contact(host).byHand = out;
        hear(news -> news.hostAdminStateChanged(host, out));
        log.accept("by hand: " + host.name() + (out ? " out" : " back"));
        // Behind the round that takes it.
        loop.execute(done);
    }

    /** Tunnels taken and not ended. */
    public int openTunnels() {
        return passages.size();
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
        new ArrayList<>(passages.values()).forEach(Passage::stop);
        strangers.turnAway();
    }

    /** Where datagrams of other nodes come in; null where there are none. */
    InetSocketAddress peerAddress() {
        return peers.address();
    }

    public Tally tally() {
        return tally;
    }

    Loop loop() {
        return loop;
    }

    double now() {
        return loop.now();
    }

    double connectTimeout() {
        return connectTimeout;
    }

    double probePatience() {
        return connectTimeout * PROBE_PATIENCE;
    }

    double endPatience() {
        return connectTimeout * END_PATIENCE;
    }

    /** Seconds for which an answer may be followed by its own double. */
    double doubleMayFollow() {
        return connectTimeout * DOUBLE;
    }

    double slowMessage() {
        return slowMessage;
    }

    Strangers strangers() {
        return strangers;
    }

    Ageing<Passage> silences() {
        return silences;
    }

    Ageing<Passage> longSilences() {
        return longSilences;
    }

    Ageing<Passage> endings() {
        return endings;
    }

    private void sweep() {
        double now = now();
        strangers.expire(now);
        silences.expire(now, Passage::quiet);
        longSilences.expire(now, Passage::silent);
        endings.expire(now, Passage::endingTooLong);
        listedHosts = module.listedHostCount(false);
        avoidedHosts = module.listedHostCount(true);
        serveLine();
        loop.after(SWEEP, this::sweep);
    }

    // ---- News ----

    /** Keeps a piece of news for the round that follows this wake-up. */
    void hear(Consumer<NodeEvents> arrival) {
        arrivals.add(arrival);
        if (!roundDue) {
            roundDue = true;
            loop.execute(this::round);
        }
    }

    private void round() {
        roundDue = false;
        List<Consumer<NodeEvents>> news = arrivals;
        arrivals = new ArrayList<>();
        try {
            module.round(now(), heard -> news.forEach(arrival -> tell(heard, arrival)), this);
        } catch (RuntimeException e) {
            fault(e);
        }
    }

    /** Guards the rest of a round's news from a piece that the module stumbles over. */
    private void tell(NodeEvents heard, Consumer<NodeEvents> arrival) {
        try {
            arrival.accept(heard);
        } catch (RuntimeException e) {
            fault(e);
        }
    }

    private void fault(RuntimeException e) {
        tally.count("faults");
        StackTraceElement[] trace = e.getStackTrace();
        if (faultsTold.size() < MOST_FAULTS
                && faultsTold.add(trace.length == 0 ? "" : trace[0].toString())) {
            log.accept("fault: " + e);
            for (StackTraceElement at : trace) {
                log.accept("    at " + at);
            }
        }
    }

    /**
     * A host has left a question unanswered: tunnels there that bring no line back have lost it.
     */
    void hostUnheard(Contact contact) {
        for (Passage passage : longSilences.all()) {
            if (passage.isAt(contact)) {
                passage.silent();
            }
        }
    }

    /** A tunnel has come to want a connection to a host, or wants it no more. */
    void wantsLink(boolean does) {
        unlinked += does ? 1 : -1;
    }

    boolean knows(TunnelId id) {
        return idsInUse.contains(id);
    }

    /**
     * A name for a tunnel that no other has had here: what is still told of one that is over
     * reaches none of the same id.
     */
    TunnelId named(TunnelId id) {
        return new TunnelId(id.name() + "." + ++named);
    }

    /**
     * A client has opened: its tunnel is the module's to place, or stood at a host before this
     * start.
     */
    void taken(Passage passage) {
        Opening opening = passage.opening();
        passages.put(passage.id(), passage);
        idsInUse.add(opening.id());
        tally.count("tunnels taken");
        if (!(opening.standingAt() == null
                ? strangers.makeRoom()
                : strangers.makeRoomAsPromised())) {
            // Guards the descriptors: with none left, nothing could be taken in or answered at all.
            tally.count(Tally.NO_DESCRIPTORS);
            passage.answer("BUSY", Tally.Outcome.DECLINED);
            return;
        }
        if (opening.standingAt() != null) {
            if (!resume(passage)) {
                unplaced.add(passage);
            }
            return;
        }
        if (profile(opening.profile()).isEmpty()) {
            forget(passage);
            passage.refuse("unknown profile " + opening.profile().name());
            return;
        }
        hear(
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
    double repeatableFor(ProfileId id) {
        return profile(id)
                .filter(profile -> profile.repeat() == Deployment.Repeat.REFERENCED)
                .map(Deployment.Profile::dedupWindow)
                .orElse(Double.POSITIVE_INFINITY);
    }

    static double margin(double clientTimeout) {
        return Math.min(MOST_MARGIN, MARGIN * clientTimeout);
    }

    /**
     * Guards standing tunnels against a list that is old: their host may be at another address by
     * now.
     */
    void resumeLater(Passage passage) {
        loop.after(RESUME_AGAIN, () -> resume(passage));
    }

    /** Sends a tunnel that stood before back to its host, if that is known by now. */
    private boolean resume(Passage passage) {
        Contact contact = contacts.get(passage.opening().standingAt());
        if (contact == null) {
            return false;
        }
        passage.setUp(contact, 0);
        return true;
    }

    void opened(Passage passage, Contact contact, int setup, double took) {
        Opening opening = passage.opening();
        if (opening.standingAt() != null) {
            hear(
                    news ->
                            news.tunnelResumed(
                                    passage.id(),
                                    opening.profile(),
                                    opening.participant(),
                                    opening.subject(),
                                    opening.group(),
                                    contact.host));
        } else {
            hear(news -> news.tunnelOpened(passage.id(), setup, contact.host, took));
        }
    }

    void forget(Passage passage) {
        if (passages.remove(passage.id()) != null) {
            idsInUse.remove(passage.opening().id());
            unplaced.remove(passage);
        }
    }

    /** A list of hosts, or what is new in one. */
    public void listed(RosterPage page) {
        tally.add("roster entries unreadable", page.unreadable());
        addresses(page);
        hear(
                page.whole()
                        ? news -> news.rosterReplaced(page.listings(), false)
                        : news -> news.rosterChanged(page.listings()));
        // Over a copy: a client that is found to have left takes its tunnel off the list by itself.
        for (Passage passage : List.copyOf(unplaced)) {
            if (resume(passage)) {
                unplaced.remove(passage);
            }
        }
    }

    private Contact contact(HostId host) {
        return contacts.computeIfAbsent(host, id -> new Contact(this, id));
    }

    private void addresses(RosterPage page) {
        if (page.whole()) {
            contacts.forEach(
                    (host, contact) -> {
                        contact.listedReady = false;
                        if (!page.addresses().containsKey(host)) {
                            contact.hangUp();
                        }
                    });
        }
        page.addresses().forEach((host, address) -> contact(host).reachedAt(address));
        for (RosterEntry listing : page.listings()) {
            Contact contact = contact(listing.host());
            contact.listedReady = listing.state() == RosterEntry.State.READY;
            if (listing.state() == RosterEntry.State.GONE) {
                contact.hangUp();
            }
        }
    }

    // ---- Decisions ----

    @Override
    public void sendSetup(TunnelId id, HostId host, double timeOut) {
        Passage passage = passages.get(id);
        if (passage != null && passage.setUp(contact(host), timeOut)) {
            contact(host).setUps++;
        }
    }

    @Override
    public void cancelSetup(TunnelId id, int setup) {
        Passage passage = passages.get(id);
        if (passage != null) {
            passage.cancel(setup);
        }
    }

    @Override
    public void decline(TunnelId id, double returnAfter, DeclineReason reason) {
        Passage passage = passages.get(id);
        if (passage != null) {
            long millis = (long) Math.ceil(returnAfter * 1000);
            passage.decline(millis > 0 ? "BUSY " + millis : "BUSY", reason);
        }
    }

    @Override
    public void closeWithError(TunnelId id) {
        Passage passage = passages.get(id);
        if (passage != null) {
            passage.answer("ERR no host took it", Tally.Outcome.CLOSED_WITH_ERROR);
        }
    }

    @Override
    public void move(TunnelId id) {
        Passage passage = passages.get(id);
        if (passage != null) {
            passage.move();
        }
    }

    @Override
    public void probe(HostId host) {
        contact(host).probe();
    }

    @Override
    public void closeIdle(HostId host) {
        Contact contact = contacts.get(host);
        if (contact != null) {
            contact.hangUp();
        }
    }

    @Override
    public void watchRoster(boolean on) {
        roster.watch(on);
    }

    @Override
    public void requestRoster() {
        roster.ask();
    }

    @Override
    public void sendToNode(int node, byte[] content) {
        peers.tell(node, content);
    }

    @Override
    public void sendToAllNodes(byte[] content) {
        peers.tellAll(content);
    }

    @Override
    public void wakeAfter(double delay) {
        // Guards the sockets: a module that asks for rounds without a pause would let none be read.
        loop.after(Math.max(delay, LEAST_WAKE), () -> hear(news -> {}));
    }

    @Override
    public void logForOperators(String line) {
        log.accept(line);
    }
}
