package embershift.door;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.fleet.audit.AuditEntry;
import embershift.fleet.audit.AuditLog;
import embershift.fleet.audit.AuditSegment;
import embershift.fleet.audit.HybridLogicalClock;
import embershift.fleet.endpoints.AppliedEndpoints;
import embershift.fleet.endpoints.EndpointUpdate;
import embershift.fleet.lease.FencingGuard;
import embershift.fleet.lease.FencingToken;
import embershift.fleet.lease.OrderAdmission;
import embershift.fleet.lease.TaskId;
import embershift.fleet.rollout.AppliedRevision;
import embershift.fleet.rollout.ConfigRevision;
import embershift.model.HostId;
import embershift.model.Listing;
import embershift.operations.Bans;
import embershift.program.Companion;
import embershift.protocol.Addresses;
import embershift.protocol.NodeConfiguration;
import embershift.protocol.RosterPage;
import embershift.protocol.Unreadable;
import embershift.routing.Router;
import embershift.transport.Link;
import embershift.transport.Loop;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A node's side of the fleet: a connection to each instance, on which it says what it does and
 * takes orders. What is taken is decided in {@code fleet}; here it is carried out. All on the
 * node's loop. A node that hears no instance goes on by what it has.
 */
public final class Door implements Companion, Router.Lists {

    /** How a node ends that was shut out, or left as it heard no instance any more. */
    public static final int SHUT_OUT = 5;

    public static final int STALE = 6;
    private static final String REVISION = "revision";
    private static final String RELEASE = "release";

    /** Seconds for which hosts are out for a release that nobody confirms any more. */
    private static final double RELEASE_LASTS = 30;

    private static final double AGAIN = 0.2;
    private static final double TRAIL_AGAIN = 2;

    /**
     * Seconds between two counts of tunnels in the trail, where there were any, and in any case.
     */
    private static final double COUNTS = 15;

    private static final double COUNTS_IDLE = 60;
    private static final TaskId LISTS = new TaskId("lists");
    private static final TaskId ROLLOUT = new TaskId("rollout");
    private static final TaskId RELEASE_DUTY = new TaskId(RELEASE);
    private static final List<String> TUNNELS =
            List.of("tunnels opened", "tunnels declined", "tunnels closed with error");
    private static final List<String> SHORT = List.of("opened", "declined", "failed");

    private final DoorFile file;
    private final String boot = Long.toHexString(new SecureRandom().nextLong());
    private final FencingGuard gate = new FencingGuard();
    private final OrderAdmission admission;
    private final AppliedEndpoints hosts = new AppliedEndpoints();
    private final AppliedRevision revision = new AppliedRevision();
    private final AuditLog diary;
    private final List<InstanceLink> links = new ArrayList<>();
    private final Map<TaskId, Double> unsure = new HashMap<>();
    private Node node;
    private Loop loop;
    private Router router;
    private Bans bans;
    private String name = "";
    private long incarnation;

    /** The way on which an incarnation was asked for, until it is known. */
    private InstanceLink registering;

    /** The last revision that a round went by. */
    private long actedOnNumber;

    private SortedMap<String, String> actedOnFields = new TreeMap<>();
    private long floor;
    private boolean welcomed;
    private double startedAt;
    private double heardAt;
    private double ledAt = Double.NEGATIVE_INFINITY;
    private boolean led;
    private boolean aloneDue;
    private double releaseUntil = Double.NEGATIVE_INFINITY;
    private boolean leaving;
    private boolean readyTold;
    private Integer sockets;
    private InetSocketAddress discovery;
    private List<InetSocketAddress> peers;
    private final long[] counted = new long[TUNNELS.size()];
    private final Map<HostId, Long> setUpsCounted = new HashMap<>();
    private double countedAt;
    private int asking;
    private int telling;
    private double toldTrailAt = Double.NEGATIVE_INFINITY;
    private Random chance;

    public Door(DoorFile file) {
        this.file = file;
        admission = new OrderAdmission(gate, file.oldest());
        diary = new AuditLog(file.trail());
    }

    @Override
    public void begin(Node itself) {
        node = itself;
        loop = node.loop();
        router = node.router();
        bans = node.bans();
        name = node.configuration().name();
        chance = new Random(boot.hashCode());
        startedAt = loop.now();
        heardAt = startedAt;
        countedAt = startedAt;
        router.lists(this);
        enter(AuditEntry.Kind.STARTED, Map.of(REVISION, "0", "boot", boot), "");
        for (String instance : file.instances()) {
            links.add(new InstanceLink(Toml.socket(instance)));
        }
        node.log("takes the fleet's orders of " + String.join(", ", file.instances()));
        report();
        look();
    }

    private void enter(AuditEntry.Kind kind, Map<String, String> fields, String words) {
        diary.append(System.currentTimeMillis(), kind, fields, words);
    }

    @Override
    public boolean ready() {
        if (admission.shutOutReason().isPresent() || leaving) {
            return false;
        }
        if (welcomed) {
            return revision.number() >= floor;
        }
        // Without the instances a node serves by what it has, unless its operator wants otherwise.
        return file.stale() == DoorFile.Stale.SERVE && loop.now() - startedAt >= file.start();
    }

    @Override
    public void leaves() {
        leaving = true;
        countTunnels(true);
        enter(AuditEntry.Kind.ENDS, Map.of(), "");
        reportNow();
        tellTrail(true);
    }

    // Time.

    private void look() {
        double now = loop.now();
        links.forEach(link -> link.look(now));
        askFences(now);
        if (led && now - ledAt > file.alone()) {
            led = false;
            aloneDue = true;
            // Not all at once: the owner of the lists may have ended for everybody.
            loop.after(
                    file.spread() * chance.nextDouble(),
                    () -> {
                        if (aloneDue && !led) {
                            aloneDue = false;
                            router.tally().count("lists missed, discovery asked");
                            enter(
                                    AuditEntry.Kind.LED,
                                    Map.of("by", "discovery"),
                                    "no list for " + file.alone() + " s");
                            router.led(false);
                        }
                    });
        }
        if (now > releaseUntil) {
            releaseUntil = Double.POSITIVE_INFINITY;
            bans.by(RELEASE, Set.of());
        }
        if (ready() != readyTold) {
            readyTold = ready();
            enter(AuditEntry.Kind.READY, Map.of("ready", String.valueOf(readyTold)), "");
            reportNow();
        }
        if (now - countedAt >= COUNTS) {
            countTunnels(now - countedAt >= COUNTS_IDLE);
        }
        if (now - toldTrailAt >= TRAIL_AGAIN) {
            tellTrail(true);
        }
        if (file.stale() == DoorFile.Stale.LEAVE && now - heardAt > file.staleAfter() && !leaving) {
            node.log("no instance is heard for " + file.staleAfter() + " s: leaves");
            leaving = true;
            node.end(STALE);
        }
        loop.after(AGAIN, this::look);
    }

    private void report() {
        reportNow();
        if (!leaving) {
            loop.after(file.report(), this::report);
        }
    }

    private ObjectNode report(double now) {
        ObjectNode report =
                Words.node("report")
                        .put("clock", now)
                        .put("incarnation", incarnation)
                        .put(REVISION, revision.number())
                        .put("chain", revision.chainDigest())
                        .put("content", ConfigRevision.contentDigest(actedOn()))
                        .put("ready", node.serving() && ready())
                        .put("refused", revision.rejectedNumber())
                        .put("why", revision.rejectionReason())
                        .put("list-fence", hosts.token().number())
                        .put("list", hosts.number())
                        .put("led", led)
                        .put("open", router.openTunnels())
                        .put("time", diary.clock().toString());
        for (int i = 0; i < TUNNELS.size(); i++) {
            report.put(SHORT.get(i), router.tally().of(TUNNELS.get(i)));
        }
        Words.list(report.putArray("out"), bans.of(RELEASE).stream().map(HostId::name).toList());
        return report;
    }

    private void reportNow() {
        ObjectNode report = report(loop.now());
        links.forEach(link -> link.say(report));
    }

    /** Which orders of the fleet its parts go by, read back from them. */
    private SortedMap<String, String> actedOn() {
        SortedMap<String, String> acted = new TreeMap<>();
        bans.of(REVISION)
                .forEach(
                        host ->
                                acted.put(
                                        ConfigRevision.EJECTED_PREFIX + host.name(),
                                        revision.fields()
                                                .getOrDefault(
                                                        ConfigRevision.EJECTED_PREFIX + host.name(),
                                                        "")));
        revision.fields()
                .forEach(
                        (field, value) -> {
                            switch (field) {
                                case ConfigRevision.DISCOVERY ->
                                        acted.put(field, Addresses.written(router.discovery()));
                                case ConfigRevision.SOCKETS ->
                                        acted.put(field, String.valueOf(router.descriptors()));
                                case ConfigRevision.PEERS ->
                                        acted.put(
                                                field,
                                                String.join(
                                                        ",",
                                                        router.peers().stream()
                                                                .map(Addresses::written)
                                                                .toList()));
                                default -> {}
                            }
                        });
        return acted;
    }

    // The trail.

    private void countTunnels(boolean always) {
        Map<String, String> fields = new TreeMap<>();
        for (int i = 0; i < TUNNELS.size(); i++) {
            long now = router.tally().of(TUNNELS.get(i));
            if (now > counted[i]) {
                fields.put(SHORT.get(i), String.valueOf(now - counted[i]));
                counted[i] = now;
            }
        }
        for (Map.Entry<HostId, Long> each : setUpsCounted.entrySet()) {
            long now = router.setUps(each.getKey());
            if (now > each.getValue()) {
                fields.put("to." + each.getKey().name(), String.valueOf(now - each.getValue()));
                each.setValue(now);
            }
        }
        if (!fields.isEmpty() || always) {
            countedAt = loop.now();
            fields.put(REVISION, String.valueOf(revision.number()));
            enter(AuditEntry.Kind.TUNNELS, fields, "");
        }
    }

    private void tellTrail(boolean again) {
        if (incarnation == 0 || admission.shutOutReason().isPresent()) {
            return;
        }
        Optional<AuditSegment> next = diary.nextSegment(name, incarnation);
        if (next.isEmpty()) {
            return;
        }
        AuditSegment segment = next.get();
        toldTrailAt = loop.now();
        for (int i = 0; i < links.size(); i++) {
            // Another than last time, where that one did not keep it.
            InstanceLink link = links.get((telling + (again ? 1 : 0) + i) % links.size());
            if (link.welcome) {
                telling = links.indexOf(link);
                link.say(
                        Words.node("trail")
                                .put("number", segment.number())
                                .put("text", segment.encode()));
                return;
            }
        }
    }

    // Fences that were forgotten.

    private void askFences(double now) {
        unsure.forEach(
                (duty, asked) -> {
                    if (gate.highestKnown(duty).isEmpty()
                            && now - asked >= AGAIN
                            && !links.isEmpty()) {
                        unsure.put(duty, now);
                        links.get(asking++ % links.size()).ask(duty);
                    }
                });
    }

    // Orders.

    private void order(InstanceLink from, ObjectNode order) {
        double now = loop.now();
        TaskId duty = new TaskId(order.path("duty").asText());
        FencingToken fence = new FencingToken(order.path("fence").asLong());
        OrderAdmission.Decision word =
                admission.decide(now, duty, fence, order.path("seen").asDouble());
        ObjectNode verdict =
                Words.node("verdict")
                        .put("id", order.path("id").asLong())
                        .put("duty", duty.name())
                        .put("verdict", word.verdict().wireName())
                        .put("why", word.reason())
                        .put("known", word.knownToken().map(FencingToken::number).orElse(0L));
        router.tally().count("orders " + word.verdict().wireName().toLowerCase(Locale.ROOT));
        if (word.verdict() == OrderAdmission.Verdict.ADMITTED) {
            carryOut(duty, fence, order, verdict, () -> from.say(verdict));
            return;
        }
        if (word.verdict() == OrderAdmission.Verdict.TOKEN_UNKNOWN) {
            unsure.putIfAbsent(duty, Double.NEGATIVE_INFINITY);
        } else {
            enter(
                    AuditEntry.Kind.ORDER,
                    Map.of(
                            "duty",
                            duty.name(),
                            "fence",
                            String.valueOf(fence.number()),
                            "verdict",
                            word.verdict().wireName(),
                            "id",
                            order.path("id").asText()),
                    word.reason());
        }
        from.say(verdict);
    }

    private void carryOut(
            TaskId duty,
            FencingToken fence,
            ObjectNode order,
            ObjectNode verdict,
            Runnable answer) {
        String what = order.path("what").asText();
        if (what.equals("hosts") && duty.equals(LISTS)) {
            verdict.put("end", hosts(fence, order).wireName());
            answer.run();
        } else if (what.equals(REVISION) && duty.equals(ROLLOUT)) {
            revision(fence, order, verdict, answer);
        } else if (what.equals("out") && duty.equals(RELEASE_DUTY)) {
            releaseUntil = loop.now() + RELEASE_LASTS;
            Set<HostId> out = new LinkedHashSet<>();
            Words.list(order.path("hosts")).forEach(host -> out.add(new HostId(host)));
            Set<HostId> before = bans.of(RELEASE);
            bans.by(RELEASE, out);
            if (!before.equals(out)) {
                enter(AuditEntry.Kind.ORDER, traceOfOut(duty, fence, before, out), "");
            }
            // Behind the round that takes it.
            loop.execute(
                    () -> {
                        answer.run();
                        reportNow();
                    });
        } else {
            // Of a later version than this program: nothing of it is done.
            verdict.put("verdict", "REFUSED")
                    .put("why", "no such order: " + duty.name() + " " + what);
            answer.run();
        }
    }

    private static Map<String, String> traceOfOut(
            TaskId duty, FencingToken fence, Set<HostId> before, Set<HostId> out) {
        Map<String, String> fields =
                new TreeMap<>(Map.of("duty", duty.name(), "fence", String.valueOf(fence.number())));
        out.stream()
                .filter(host -> !before.contains(host))
                .forEach(host -> fields.put("out." + host.name(), "1"));
        before.stream()
                .filter(host -> !out.contains(host))
                .forEach(host -> fields.put("back." + host.name(), "1"));
        return fields;
    }

    private AppliedEndpoints.Outcome hosts(FencingToken fence, ObjectNode order) {
        EndpointUpdate change =
                new EndpointUpdate(
                        order.path("number").asLong(),
                        order.path("base").asLong(),
                        order.path("generation").asLong(),
                        Words.texts(order.path("changed")),
                        Words.list(order.path("gone")));
        AppliedEndpoints.Outcome end = hosts.apply(fence, change);
        if (end != AppliedEndpoints.Outcome.APPLIED && end != AppliedEndpoints.Outcome.UNCHANGED) {
            return end;
        }
        ledAt = loop.now();
        aloneDue = false;
        if (!led) {
            led = true;
            enter(
                    AuditEntry.Kind.LED,
                    Map.of(
                            "by",
                            "list",
                            "fence",
                            String.valueOf(fence.number()),
                            "number",
                            String.valueOf(change.number())),
                    "");
            router.led(true);
            router.listed(whole());
        } else if (end == AppliedEndpoints.Outcome.APPLIED) {
            router.tally().count("lists taken");
            router.listed(
                    change.baseNumber() == 0
                            ? whole()
                            : page(false, change.changed(), change.removed()));
        }
        return end;
    }

    @Override
    public void discoverySaid(long generation) {
        hosts.discoveryReported(generation);
    }

    @Override
    public RosterPage whole() {
        return page(true, hosts.entries(), Set.of());
    }

    private RosterPage page(boolean whole, Map<String, String> entries, Set<String> gone) {
        StringBuilder text =
                new StringBuilder(
                        "{\"generation\":"
                                + hosts.number()
                                + ",\"reset\":"
                                + whole
                                + ",\"instances\":[");
        text.append(String.join(",", entries.values())).append("]}");
        RosterPage page;
        try {
            page = RosterPage.read(text.toString());
        } catch (Unreadable e) {
            // Entries are objects, or they would not have been told; an empty list is no word at
            // all.
            node.log("a list that can't be read: " + e.getMessage());
            page = new RosterPage(0, false, List.of(), Map.of(), 1);
        }
        if (gone.isEmpty()) {
            return page;
        }
        List<Listing> listings = new ArrayList<>(page.listings());
        gone.forEach(
                host ->
                        listings.add(
                                new Listing(new HostId(host), Listing.State.GONE, null, 1, 0, 0)));
        return new RosterPage(
                page.generation(), false, listings, page.addresses(), page.unreadable());
    }

    private void revision(
            FencingToken fence, ObjectNode order, ObjectNode verdict, Runnable answer) {
        long number = order.path("number").asLong();
        // Whatever has been answered until now was answered by the revision before.
        countTunnels(false);
        AppliedRevision.Result taken =
                revision.apply(
                        new AppliedRevision.Order(
                                number,
                                order.path("base").asLong(),
                                order.path("chain").asText(),
                                order.path("content").asText(),
                                Words.changes(order.path("fields"))),
                        fields -> Optional.ofNullable(act(fields)));
        verdict.put("end", taken.outcome().wireName()).put("why", taken.reason());
        Map<String, String> fields =
                new TreeMap<>(
                        Map.of(
                                REVISION,
                                String.valueOf(number),
                                "fence",
                                String.valueOf(fence.number())));
        if (taken.outcome() == AppliedRevision.Outcome.REJECTED) {
            node.log(
                    "revision "
                            + number
                            + " is refused, "
                            + revision.number()
                            + " stays: "
                            + taken.reason());
            enter(AuditEntry.Kind.REFUSED, fields, taken.reason());
        }
        if (taken.outcome() != AppliedRevision.Outcome.APPLIED) {
            answer.run();
            reportNow();
            return;
        }
        // Behind the round that takes it: from then on it is acted on.
        loop.execute(
                () -> {
                    if (revision.number() != number) {
                        // The next one came in the same turn, as they do to one that stood still:
                        // no round ever went by this one.
                        answer.run();
                        return;
                    }
                    fields.put("from", String.valueOf(actedOnNumber));
                    fields.put("content", ConfigRevision.contentDigest(actedOn()));
                    Set<HostId> was = outOf(actedOnFields);
                    actedOnNumber = number;
                    actedOnFields = revision.fields();
                    Set<HostId> is = outOf(revision.fields());
                    fields.putAll(traceOfOut(ROLLOUT, fence, was, is));
                    enter(AuditEntry.Kind.TOOK, fields, "");
                    setUpsCounted.keySet().retainAll(is);
                    is.forEach(host -> setUpsCounted.putIfAbsent(host, router.setUps(host)));
                    node.log("goes by revision " + number);
                    answer.run();
                    reportNow();
                });
    }

    private static Set<HostId> outOf(SortedMap<String, String> fields) {
        Set<HostId> out = new LinkedHashSet<>();
        fields.keySet().stream()
                .filter(field -> field.startsWith(ConfigRevision.EJECTED_PREFIX))
                .forEach(
                        field ->
                                out.add(
                                        new HostId(
                                                field.substring(
                                                        ConfigRevision.EJECTED_PREFIX.length()))));
        return out;
    }

    /**
     * Has a revision acted on, all of it between two rounds of the module; the reason where it
     * can't be, and then nothing is.
     */
    private String act(SortedMap<String, String> fields) {
        InetSocketAddress toDiscovery = null;
        Integer toSockets = null;
        List<InetSocketAddress> toPeers = null;
        for (Map.Entry<String, String> field : fields.entrySet()) {
            String value = field.getValue();
            try {
                switch (field.getKey()) {
                    case ConfigRevision.DISCOVERY -> toDiscovery = Addresses.read(value);
                    case ConfigRevision.SOCKETS -> {
                        if (!value.matches("\\d{1,6}")
                                || Integer.parseInt(value) < 2 * Router.OPERATORS) {
                            return "sockets: "
                                    + value
                                    + " is no number of at least "
                                    + 2 * Router.OPERATORS;
                        }
                        toSockets = Integer.parseInt(value);
                    }
                    case ConfigRevision.PEERS -> {
                        toPeers = new ArrayList<>();
                        for (String peer :
                                value.isEmpty()
                                        ? List.<String>of()
                                        : Arrays.asList(value.split(","))) {
                            toPeers.add(Addresses.read(peer));
                        }
                    }
                    default -> {
                        if (!field.getKey().startsWith(ConfigRevision.EJECTED_PREFIX)
                                || field.getKey().length()
                                        == ConfigRevision.EJECTED_PREFIX.length()) {
                            return field.getKey() + " is not known here";
                        }
                    }
                }
            } catch (Unreadable e) {
                return field.getKey() + ": " + e.getMessage();
            }
        }
        InetSocketAddress discoveryBefore = router.discovery();
        discovery = toDiscovery;
        sockets = toSockets;
        peers = toPeers;
        router.reconfigure(adapt(node.configuration()));
        if (!discoveryBefore.equals(router.discovery())) {
            hosts.discoveryReported(Long.MIN_VALUE);
        }
        bans.by(REVISION, outOf(fields));
        return null;
    }

    @Override
    public NodeConfiguration adapt(NodeConfiguration read) {
        return read.with(discovery, sockets, peers);
    }

    private void out(String why) {
        if (admission.shutOutReason().isEmpty()) {
            admission.shutOut(why);
            node.log("shut out: " + why);
            enter(AuditEntry.Kind.OUT, Map.of(), why);
            node.end(SHUT_OUT);
        }
    }

    /** The way to one instance, dialled again when it is lost. */
    private final class InstanceLink implements Link.Events {
        private static final double FIRST_GAP = 0.1;
        private static final double LONGEST_GAP = 2;
        private static final double STUCK = 3;

        private final InetSocketAddress address;
        private Link link;
        private Frames frames;
        private boolean connected;
        private boolean greeted;
        private boolean welcome;
        private double gap = FIRST_GAP;
        private double notBefore;
        private double dialledAt;
        private double heard;

        /** The instance's clock, in the latest of its words. */
        private double instanceAt;

        private final Map<Long, TaskId> asked = new LinkedHashMap<>();
        private long calls;

        InstanceLink(InetSocketAddress address) {
            this.address = address;
        }

        void look(double now) {
            if (link == null) {
                if (now >= notBefore) {
                    dial(now);
                }
            } else if ((!welcome && (greeted || !connected) && now - dialledAt > STUCK)
                    || (link.backedUp() && now - heard > STUCK)) {
                drop(now);
            }
        }

        private void dial(double now) {
            frames = new Frames();
            connected = false;
            greeted = false;
            welcome = false;
            instanceAt = 0;
            asked.clear();
            dialledAt = now;
            heard = now;
            link = loop.connect(address, this);
        }

        private void drop(double now) {
            if (link != null) {
                link.close();
                link = null;
            }
            welcome = false;
            if (registering == this) {
                registering = null;
                links.forEach(InstanceLink::greet);
            }
            // Others lost theirs at the same time.
            gap = Math.min(LONGEST_GAP, 2 * gap);
            notBefore = now + gap * (0.5 + chance.nextDouble());
        }

        @Override
        public void connected() {
            connected = true;
            greet();
        }

        /** Only one instance is asked for an incarnation: two would give two. */
        private void greet() {
            if (greeted
                    || !connected
                    || link == null
                    || (incarnation == 0 && registering != null && registering != this)) {
                return;
            }
            greeted = true;
            dialledAt = loop.now();
            if (incarnation == 0) {
                registering = this;
            }
            link.write(
                    Words.piece(
                            Frames.NODE,
                            Words.node("here")
                                    .put("version", 1)
                                    .put("name", name)
                                    .put("boot", boot)
                                    .put("incarnation", incarnation)
                                    .put("clock", loop.now())));
        }

        void say(ObjectNode words) {
            // By that its owner tells how old this word is, by its own clock alone.
            words.put("echo", instanceAt);
            if (welcome
                    && link != null
                    && !link.backedUp()
                    && !link.write(Words.piece(Frames.NODE, words))) {
                drop(loop.now());
            }
        }

        void ask(TaskId duty) {
            if (link != null && connected) {
                asked.put(++calls, duty);
                link.write(
                        Words.piece(
                                Frames.CALL,
                                Words.node()
                                        .put("call", "get")
                                        .put("key", duty.tokenKey())
                                        .put("id", calls)
                                        .put("version", 1)));
            }
        }

        @Override
        public void notConnected() {
            link = null;
            drop(loop.now());
        }

        @Override
        public void received(ByteBuffer bytes) {
            heard = loop.now();
            try {
                frames.take(
                        bytes,
                        piece -> {
                            try {
                                if (piece[0] == Frames.ORDER) {
                                    taken(Words.read(piece));
                                } else if (piece[0] == Frames.ANSWER) {
                                    answered(Words.read(piece));
                                }
                            } catch (Frames.Unreadable e) {
                                drop(loop.now());
                            }
                        });
            } catch (Frames.Unreadable e) {
                drop(loop.now());
            }
        }

        private void answered(JsonNode answer) {
            TaskId duty = asked.remove(answer.path("id").asLong());
            if (duty != null && answer.path("end").asText().equals("done")) {
                gate.learnLatest(
                        duty,
                        new FencingToken(answer.path("items").path(0).path("revision").asLong()));
            }
        }

        private void taken(ObjectNode words) {
            HybridLogicalClock.decode(words.path("time").asText(""))
                    .ifPresent(time -> diary.observe(time, System.currentTimeMillis()));
            floor = Math.max(floor, words.path("floor").asLong());
            instanceAt = Math.max(instanceAt, words.path("at").asDouble());
            switch (words.path("kind").asText()) {
                case "welcome" -> {
                    heardAt = loop.now();
                    if (incarnation == 0) {
                        incarnation = words.path("incarnation").asLong();
                        registering = null;
                    }
                    welcomed = true;
                    welcome = true;
                    gap = FIRST_GAP;
                    say(report(loop.now()));
                    links.forEach(InstanceLink::greet);
                }
                case "heard" -> heardAt = loop.now();
                case "order" -> order(this, words);
                case "kept" -> {
                    diary.acknowledged(words.path("number").asLong());
                    tellTrail(false);
                }
                case "out" -> out(words.path("why").asText());
                default -> {}
            }
        }

        @Override
        public void ended() {
            drop(loop.now());
        }

        @Override
        public void broken() {
            drop(loop.now());
        }
    }
}
