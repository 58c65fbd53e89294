package embershift.rig.world;

import embershift.fleet.audit.AuditEntry;
import embershift.fleet.audit.AuditLog;
import embershift.fleet.audit.AuditReport;
import embershift.fleet.audit.AuditRetention;
import embershift.fleet.audit.AuditSegment;
import embershift.fleet.audit.HybridLogicalClock;
import embershift.fleet.audit.RevisionPeriod;
import embershift.fleet.endpoints.AppliedEndpoints;
import embershift.fleet.endpoints.EndpointUpdate;
import embershift.fleet.endpoints.PublishedEndpoints;
import embershift.fleet.lease.FencingGuard;
import embershift.fleet.lease.FencingToken;
import embershift.fleet.lease.OrderAdmission;
import embershift.fleet.lease.TaskId;
import embershift.fleet.rollout.AppliedRevision;
import embershift.fleet.rollout.ConfigRevision;
import embershift.fleet.rollout.ConfigRollout;
import embershift.fleet.rollout.NodeReport;
import embershift.fleet.rollout.RolloutSettings;
import embershift.fleet.rollout.RolloutStage;
import embershift.fleet.store.KeyValue;
import embershift.fleet.store.Mutation;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Owners of the rollout and of the lists, one after the other and for a while two at once, and
 * nodes that are stopped, cut off, started anew and late, in virtual time. Judged by what nodes
 * acted on, never by what an owner believes.
 */
public final class FleetWorld extends SeededWorld {

    private static final TaskId ROLLOUT = new TaskId("rollout");
    private static final TaskId LISTS = new TaskId("lists");
    private static final double FAULTS = 40;
    private static final double END = 100;
    private static final double OLDEST = 2;
    private static final double SILENT = 1.5;
    private static final double REPORT = 0.2;
    private static final long MOST_TRAILS = 20_000;
    private static final String POISON = "poison";
    private static final String CRASH = "crash";
    private static final RolloutSettings TERMS =
            new RolloutSettings(1, 4, 0.3, 3, 3, SILENT, 0.2, 0.8);

    // What the record has.
    private long revisionOfRecord = 1;
    private final Map<TaskId, FencingToken> fences = new HashMap<>();
    private final TreeMap<Long, ConfigRevision> revisions = new TreeMap<>();
    private final Set<Long> hurried = new HashSet<>();
    private final List<String> stages = new ArrayList<>();
    private final TreeMap<String, Long> registered = new TreeMap<>();
    private final TreeMap<String, Long> out = new TreeMap<>();
    private final TreeMap<String, String> trails = new TreeMap<>();
    private final TreeMap<String, Long> created = new TreeMap<>();
    private final TreeMap<String, String> begins = new TreeMap<>();
    private long floor;
    private double trailsAwayUntil;

    // What discovery says, by generation.
    private final TreeMap<Long, Map<String, String>> discovery = new TreeMap<>();
    private final List<Node> nodes = new ArrayList<>();
    private final List<Station> stations = new ArrayList<>();

    private FleetWorld(long seed) {
        super(seed, FAULTS);
    }

    public static Report play(long seed) {
        return new FleetWorld(seed).play();
    }

    /** The first broken world among the seeds, or null. */
    public static String firstBroken(long first, long many) {
        return firstBroken(FleetWorld::play, first, many);
    }

    /** Mostly soon; now and then long after. */
    private double late() {
        return faults() && chance.nextInt(25) == 0
                ? 5 * chance.nextDouble()
                : 0.002 + 0.02 * chance.nextDouble();
    }

    private FencingToken grant(TaskId duty) {
        FencingToken fence = new FencingToken(++revisionOfRecord);
        fences.put(duty, fence);
        return fence;
    }

    /** A write under a fence, some time later, unless another was granted the duty by then. */
    private double write(TaskId duty, FencingToken by, double after, Runnable what) {
        double at = Math.max(after, time.now() + late());
        time.at(
                at,
                () -> {
                    if (fences.get(duty).equals(by)) {
                        revisionOfRecord++;
                        what.run();
                    } else {
                        count("writes of an old owner refused");
                    }
                });
        return at;
    }

    // Connections: in order, silent while cut, ended with a node's incarnation.

    private final class Line {
        private double last;
        private double openAt;

        void send(Node node, long incarnation, Runnable what) {
            double at = Math.max(Math.max(last, openAt), time.now() + late());
            last = at;
            time.at(at, () -> deliver(node, incarnation, what));
        }

        private void deliver(Node node, long incarnation, Runnable what) {
            if (time.now() < openAt) {
                time.at(openAt, () -> deliver(node, incarnation, what));
            } else if (node.incarnation == incarnation) {
                what.run();
            }
        }
    }

    // A node.

    private final class Node {
        private final String name;
        private long incarnation;
        private double clockAhead;
        private long wallAhead;
        private FencingGuard gate;
        private OrderAdmission admission;
        private AppliedRevision held;
        private AppliedEndpoints hosts;
        private AuditLog diary;
        private double bornAt;
        private double stoppedUntil;
        private double deafUntil;
        private SortedMap<String, String> acting;
        private long generation;
        private final Map<TaskId, FencingToken> taken = new HashMap<>();
        private final Map<Long, TreeMap<Long, Long>> truth = new HashMap<>();
        private long opened;
        private final Set<Long> dropping = new HashSet<>();
        private final Map<Long, Integer> ended = new HashMap<>();

        Node(String name) {
            this.name = name;
            start();
        }

        private void start() {
            incarnation = ++revisionOfRecord;
            registered.put(name, incarnation);
            bornAt = time.now();
            clockAhead = 1000 * chance.nextDouble();
            wallAhead = chance.nextInt(4) == 0 ? 3_600_000L * (chance.nextInt(3) - 1) : 0;
            gate = new FencingGuard();
            admission = new OrderAdmission(gate, OLDEST);
            held = new AppliedRevision();
            hosts = new AppliedEndpoints();
            diary = new AuditLog(6);
            acting = new TreeMap<>();
            generation = 0;
            taken.clear();
            enter(AuditEntry.Kind.STARTED, 0);
            long mine = incarnation;
            for (TaskId duty : List.of(ROLLOUT, LISTS)) {
                time.in(
                        late(),
                        () -> {
                            // A read that began after the start, answered later.
                            FencingToken told = fences.getOrDefault(duty, FencingToken.NONE);
                            time.in(
                                    late(),
                                    () -> {
                                        if (incarnation == mine) {
                                            whenOn(() -> gate.learnLatest(duty, told));
                                        }
                                    });
                        });
            }
        }

        private long wall() {
            return (long) (1000 * (1_700_000_000.0 + time.now())) + wallAhead;
        }

        private void enter(AuditEntry.Kind kind, long revision) {
            diary.append(wall(), kind, Map.of("revision", String.valueOf(revision)), "");
            truth.computeIfAbsent(incarnation, none -> new TreeMap<>())
                    .put(diary.clock().millis() * 1000 + diary.clock().counter(), revision);
        }

        void restart() {
            count("nodes started anew");
            stoppedUntil = 0;
            start();
        }

        boolean on() {
            return time.now() >= stoppedUntil;
        }

        private void whenOn(Runnable what) {
            long mine = incarnation;
            if (on()) {
                what.run();
            } else {
                time.at(
                        stoppedUntil,
                        () -> {
                            if (incarnation == mine) {
                                whenOn(what);
                            }
                        });
            }
        }

        private double clock() {
            return time.now() + clockAhead;
        }

        private NodeReport report() {
            return new NodeReport(
                    name,
                    incarnation,
                    held.number(),
                    held.chainDigest(),
                    ConfigRevision.contentDigest(acting),
                    true,
                    held.rejectedNumber(),
                    held.rejectionReason(),
                    ++opened,
                    0);
        }

        private boolean lets(TaskId duty, FencingToken fence, double seen, double sentAt) {
            OrderAdmission.Verdict verdict = admission.decide(clock(), duty, fence, seen).verdict();
            count("orders " + verdict.wireName());
            if (verdict != OrderAdmission.Verdict.ADMITTED) {
                return false;
            }
            if (fence.compareTo(taken.getOrDefault(duty, FencingToken.NONE)) < 0) {
                broken(name + " takes an order by " + fence + " after one by " + taken.get(duty));
            }
            if (time.now() - sentAt > OLDEST + 0.001) {
                broken(name + " takes an order " + (time.now() - sentAt) + " s after it was given");
            }
            taken.put(duty, fence);
            return true;
        }

        private AppliedRevision.Outcome revision(
                long number,
                long base,
                String chain,
                String content,
                Map<String, Optional<String>> fields) {
            long before = held.number();
            AppliedRevision.Outcome end =
                    held.apply(
                                    new AppliedRevision.Order(number, base, chain, content, fields),
                                    wanted -> {
                                        if (wanted.containsKey(POISON)) {
                                            return Optional.of("poison is not known");
                                        }
                                        acting = new TreeMap<>(wanted);
                                        return Optional.empty();
                                    })
                            .outcome();
            count("revisions " + end.wireName() + (base == 0 ? " whole" : ""));
            if (held.number() < before) {
                broken(name + " goes back from revision " + before + " to " + held.number());
            }
            if (end != AppliedRevision.Outcome.APPLIED) {
                return end;
            }
            ConfigRevision meant = revisions.get(held.number());
            if (meant == null || !meant.fields().equals(acting)) {
                broken(name + " acts on a mixture: " + acting + " by " + held.number());
            }
            if (held.number() != before) {
                enter(AuditEntry.Kind.TOOK, held.number());
                if (!hurried.contains(number)
                        && stages.stream()
                                .noneMatch(
                                        stage ->
                                                stage.startsWith(number + " ALL")
                                                        || (stage.startsWith(number + " FIRST")
                                                                && List.of(
                                                                                stage.split(" ")[3]
                                                                                        .split(","))
                                                                        .contains(name)))) {
                    broken(name + " acts on " + number + ", which is not for it yet: " + stages);
                }
            }
            if (acting.containsKey(CRASH)) {
                count("nodes that a revision ends");
                if (ended.merge(number, 1, Integer::sum) > 4) {
                    broken(name + " is ended again and again by revision " + number);
                }
                restart();
            }
            return end;
        }

        private AppliedEndpoints.Outcome list(FencingToken fence, EndpointUpdate change) {
            FencingToken fenceBefore = hosts.token();
            long numberBefore = hosts.number();
            AppliedEndpoints.Outcome end = hosts.apply(fence, change);
            count("lists " + end.wireName());
            if (hosts.token().compareTo(fenceBefore) < 0
                    || (hosts.token().equals(fenceBefore) && hosts.number() < numberBefore)) {
                broken(name + " goes back in its list");
            }
            if (end == AppliedEndpoints.Outcome.APPLIED
                    || end == AppliedEndpoints.Outcome.UNCHANGED) {
                if (change.generation() < generation) {
                    broken(
                            name
                                    + " goes back from discovery's word "
                                    + generation
                                    + " to "
                                    + change.generation());
                }
                generation = change.generation();
                if (!hosts.entries().equals(discovery.get(generation))) {
                    broken(
                            name
                                    + " has a list that discovery never said: "
                                    + hosts.entries()
                                    + " for "
                                    + discovery.get(generation));
                }
            }
            return end;
        }

        /** It asks discovery itself, as one does that hears no list. */
        private void ask() {
            generation = discovery.lastKey();
            hosts.discoveryReported(generation);
        }

        private void tellTrail() {
            long mine = incarnation;
            if (diary.droppedEntries() > 0) {
                dropping.add(incarnation);
            }
            AuditSegment segment = diary.nextSegment(name, incarnation).orElse(null);
            if (segment == null
                    || time.now() < trailsAwayUntil
                    || (faults() && chance.nextInt(4) == 0)) {
                return;
            }
            time.in(
                    late(),
                    () -> {
                        String before =
                                created.containsKey(segment.key())
                                                && !trails.containsKey(segment.key())
                                        ? segment.encode()
                                        : trails.putIfAbsent(segment.key(), segment.encode());
                        created.putIfAbsent(segment.key(), ++revisionOfRecord);
                        if (before != null && !before.equals(segment.encode())) {
                            broken(segment.key() + " is told otherwise");
                        }
                        if (!faults() || chance.nextInt(4) != 0) {
                            time.in(
                                    late(),
                                    () -> {
                                        if (incarnation == mine) {
                                            whenOn(() -> diary.acknowledged(segment.number()));
                                        }
                                    });
                        }
                    });
        }
    }

    // An owner of both duties.

    private final class Station implements ConfigRollout.Environment {
        private final FencingToken rolloutFence = grant(ROLLOUT);
        private final FencingToken listsFence = grant(LISTS);
        private final ConfigRollout rollout = new ConfigRollout(TERMS, this);
        private final PublishedEndpoints told = new PublishedEndpoints();
        private final Map<Node, Line> to = new HashMap<>();
        private final Map<Node, Line> from = new HashMap<>();
        private final Map<Node, Double> seen = new HashMap<>();
        private final Map<Node, Long> has = new HashMap<>();
        private final Map<Node, Long> incarnations = new HashMap<>();

        /** It acts until then, although another may have the duties since. */
        private double actsUntil = Double.POSITIVE_INFINITY;

        private double stoppedUntil;

        /** Its writes come in their order. */
        private double written;

        Station() {
            nodes.forEach(
                    node -> {
                        to.put(node, new Line());
                        from.put(node, new Line());
                    });
            rollout.restore(
                    time.now(),
                    stages.isEmpty()
                            ? Optional.empty()
                            : Optional.of(stages.get(stages.size() - 1)));
            follow();
        }

        private boolean acts() {
            return time.now() < actsUntil && time.now() >= stoppedUntil;
        }

        private void follow() {
            revisions.values().forEach(rollout::addRevision);
            hurried.forEach(rollout::markImmediate);
            rollout.raiseFloorTo(floor);
            registered.keySet().forEach(rollout::addNode);
            out.forEach((name, incarnation) -> rollout.setShutOut(name, incarnation, true));
        }

        void tick() {
            if (!acts()) {
                return;
            }
            follow();
            rollout.tick(time.now());
            for (Node node : nodes) {
                if (seen.containsKey(node) && told.number() > 0 && chance.nextInt(4) == 0) {
                    tellList(node);
                }
            }
        }

        private void tellList(Node node) {
            EndpointUpdate change = told.updateSince(has.getOrDefault(node, 0L));
            if (chance.nextInt(50) == 0) {
                // Once more, and past what was sent meanwhile.
                double clock = seen.get(node);
                double sentAt = time.now();
                long incarnation = incarnations.get(node);
                time.in(
                        0.3 * chance.nextDouble(),
                        () -> {
                            if (node.incarnation == incarnation
                                    && node.on()
                                    && node.lets(LISTS, listsFence, clock, sentAt)) {
                                node.list(listsFence, change);
                            }
                        });
            }
            send(
                    node,
                    LISTS,
                    listsFence,
                    () -> {
                        AppliedEndpoints.Outcome end = node.list(listsFence, change);
                        back(
                                node,
                                () -> {
                                    if (end == AppliedEndpoints.Outcome.APPLIED
                                            || end == AppliedEndpoints.Outcome.UNCHANGED) {
                                        has.put(node, change.number());
                                    } else if (end == AppliedEndpoints.Outcome.FULL_LIST_NEEDED) {
                                        has.remove(node);
                                    }
                                });
                    });
        }

        private void send(Node node, TaskId duty, FencingToken fence, Runnable what) {
            double clock = seen.get(node);
            double sentAt = time.now();
            long incarnation = incarnations.get(node);
            to.get(node)
                    .send(
                            node,
                            incarnation,
                            () ->
                                    node.whenOn(
                                            () -> {
                                                if (time.now() >= node.deafUntil
                                                        && node.lets(duty, fence, clock, sentAt)) {
                                                    what.run();
                                                }
                                            }));
        }

        private void back(Node node, Runnable what) {
            from.get(node).send(node, node.incarnation, what);
        }

        /** A node's word has come. */
        void heard(Node node, NodeReport report, double clock) {
            if (incarnations.getOrDefault(node, 0L) != report.incarnation()) {
                incarnations.put(node, report.incarnation());
                has.remove(node);
            }
            seen.put(node, clock);
            rollout.reportReceived(time.now(), report);
        }

        void discoverySaid(long generation) {
            told.update(generation, discovery.get(generation));
        }

        @Override
        public void order(String name, ConfigRevision revision, long base) {
            Node node =
                    nodes.stream().filter(each -> each.name.equals(name)).findFirst().orElseThrow();
            // Now and then an owner takes another revision for the one that the node holds.
            long against = base > 1 && chance.nextInt(15) == 0 ? base - 1 : base;
            ConfigRevision from = base == 0 ? ConfigRevision.NONE : revisions.get(against);
            Map<String, Optional<String>> fields = revision.differenceFrom(from);
            send(
                    node,
                    ROLLOUT,
                    rolloutFence,
                    () -> {
                        AppliedRevision.Outcome end =
                                node.revision(
                                        revision.number(),
                                        base,
                                        revision.chainDigest(),
                                        revision.contentDigest(),
                                        fields);
                        back(node, () -> rollout.orderCompleted(time.now(), name, answer(end)));
                    });
        }

        private static ConfigRollout.OrderAnswer answer(AppliedRevision.Outcome outcome) {
            return switch (outcome) {
                case APPLIED -> ConfigRollout.OrderAnswer.APPLIED;
                case FULL_REVISION_NEEDED -> ConfigRollout.OrderAnswer.FULL_REVISION_NEEDED;
                default -> ConfigRollout.OrderAnswer.NOT_APPLIED;
            };
        }

        @Override
        public void recordProgress(String text) {
            count("stage " + text.split(" ")[1]);
            written =
                    write(
                            ROLLOUT,
                            rolloutFence,
                            written,
                            () -> {
                                stages.add(text);
                                time.in(0.005, rollout::progressRecorded);
                            });
        }

        @Override
        public void raiseFloor(long revision) {
            written =
                    write(
                            ROLLOUT,
                            rolloutFence,
                            written,
                            () -> {
                                floor = Math.max(floor, revision);
                                count("floors raised");
                                for (Node node : nodes) {
                                    // What was started anew since the owner heard of it may have to
                                    // come back.
                                    boolean since = time.now() - node.bornAt < SILENT + 6;
                                    if (out.getOrDefault(node.name, 0L) < node.incarnation
                                            && !since
                                            && node.held.number() < revision) {
                                        broken(
                                                "the floor goes to "
                                                        + revision
                                                        + " over "
                                                        + node.name
                                                        + ", which goes by "
                                                        + node.held.number());
                                    }
                                }
                                if (revisions.get(revision).fields().containsKey(POISON)) {
                                    broken("the floor goes to a revision that nobody can act on");
                                }
                            });
        }

        @Override
        public void shutOut(String name, long incarnation, String why) {
            count("shut out");
            written =
                    write(
                            ROLLOUT,
                            rolloutFence,
                            written,
                            () -> {
                                out.put(name, incarnation);
                                long now =
                                        out.entrySet().stream()
                                                .filter(
                                                        each ->
                                                                registered.get(each.getKey())
                                                                        <= each.getValue())
                                                .count();
                                if (now > Math.max(1, (int) (TERMS.canaryShare() * nodes.size()))) {
                                    broken(now + " of " + nodes.size() + " are shut out");
                                }
                            });
        }

        @Override
        public void requestRestart(String name, String why) {
            count("to be replaced");
            if (chance.nextBoolean()) {
                time.in(
                        1 + chance.nextDouble(),
                        () ->
                                nodes.stream()
                                        .filter(each -> each.name.equals(name))
                                        .forEach(Node::restart));
            }
        }

        @Override
        public void notifyOperator(String what) {
            // For operators.
        }
    }

    // The world.

    private Report play() {
        int many = 3 + chance.nextInt(6);
        fences.put(ROLLOUT, FencingToken.NONE);
        fences.put(LISTS, FencingToken.NONE);
        discovery.put(1L, hosts(1));
        for (int i = 0; i < many; i++) {
            nodes.add(new Node("n" + i));
        }
        stations.add(new Station());
        for (Node node : nodes) {
            time.every(
                    REPORT,
                    () -> {
                        if (node.on()) {
                            NodeReport report = node.report();
                            double clock = node.clock();
                            stations.forEach(
                                    station ->
                                            station.from
                                                    .get(node)
                                                    .send(
                                                            node,
                                                            node.incarnation,
                                                            () ->
                                                                    station.heard(
                                                                            node, report, clock)));
                            node.tellTrail();
                        }
                    });
            time.every(
                    1.5,
                    () -> {
                        if (node.on()) {
                            node.diary.append(
                                    node.wall(),
                                    AuditEntry.Kind.TUNNELS,
                                    Map.of(
                                            "revision",
                                            String.valueOf(node.held.number()),
                                            "opened",
                                            "1"),
                                    "");
                        }
                    });
        }
        time.every(0.05, () -> List.copyOf(stations).forEach(Station::tick));
        time.every(1.1, this::discoveryChanges);
        time.every(7, this::fold);
        time.every(2.3, this::revise);
        time.at(FAULTS + 14, this::reviseAtOnceWhileOwnerChanges);
        // After a halt it is for a person to go on.
        time.at(FAULTS + 38, this::reviseNow);
        time.every(0.7, this::fault);
        time.run(END);
        judge();
        return report();
    }

    private Map<String, String> hosts(long generation) {
        Map<String, String> hosts = new TreeMap<>();
        for (int i = 0; i < 5; i++) {
            if (chance.nextInt(5) != 0) {
                hosts.put("h" + i, chance.nextInt(3) == 0 ? "drains " + generation : "in service");
            }
        }
        return hosts;
    }

    private void discoveryChanges() {
        long generation = discovery.lastKey() + 1;
        discovery.put(generation, hosts(generation));
        for (Station station : stations) {
            time.in(
                    late(),
                    () -> {
                        if (station.acts()) {
                            // One that is asked elsewhere may hear what was so before.
                            station.discoverySaid(
                                    chance.nextInt(6) == 0
                                            ? Math.max(1, generation - 1 - chance.nextInt(3))
                                            : generation);
                        }
                    });
        }
        if (faults() && chance.nextInt(3) == 0) {
            Node node = nodes.get(chance.nextInt(nodes.size()));
            if (node.on()) {
                node.ask();
            }
        }
    }

    private void revise() {
        if (time.now() <= FAULTS + 10) {
            reviseNow();
        }
    }

    private void reviseNow() {
        ConfigRevision last =
                revisions.isEmpty() ? ConfigRevision.NONE : revisions.lastEntry().getValue();
        Map<String, String> changes = new TreeMap<>();
        changes.put(POISON, null);
        changes.put(CRASH, null);
        boolean good = !faults();
        int kind = chance.nextInt(10);
        if (!good && kind == 0) {
            changes.put(POISON, "1");
            if (chance.nextBoolean()) {
                hurried.add(last.number() + 1);
            }
        } else if (!good && kind == 1) {
            changes.put(CRASH, "1");
        } else if (kind < 4) {
            hurried.add(last.number() + 1);
        }
        changes.put("out/h" + chance.nextInt(5), chance.nextBoolean() ? null : "x" + last.number());
        changes.put("sockets", String.valueOf(900 + last.number()));
        Map<String, Optional<String>> wanted = new TreeMap<>();
        changes.forEach((field, value) -> wanted.put(field, Optional.ofNullable(value)));
        addRevision(wanted);
    }

    /**
     * No station has the duties as a revision for all at once is made, and one that nodes refuse
     * behind it: the first reaches all nodes whatever becomes of the second.
     */
    private void reviseAtOnceWhileOwnerChanges() {
        stations.get(stations.size() - 1).actsUntil = time.now();
        hurried.add(addRevision(Map.of("out/h1", Optional.of("worn"))));
        long immediate = revisions.lastKey();
        addRevision(Map.of(POISON, Optional.of("1")));
        time.in(
                1,
                () -> {
                    Station next = new Station();
                    stations.add(next);
                    next.discoverySaid(discovery.lastKey());
                    count("revisions at once without an owner");
                });
        time.in(
                20,
                () ->
                        nodes.stream()
                                .filter(node -> out.getOrDefault(node.name, 0L) < node.incarnation)
                                .filter(node -> node.held.number() < immediate)
                                .forEach(
                                        node ->
                                                broken(
                                                        node.name
                                                                + " goes by "
                                                                + node.held.number()
                                                                + ", not by the immediate "
                                                                + immediate)));
    }

    private long addRevision(Map<String, Optional<String>> changes) {
        ConfigRevision last =
                revisions.isEmpty() ? ConfigRevision.NONE : revisions.lastEntry().getValue();
        ConfigRevision next = last.next(changes);
        revisions.put(next.number(), next);
        revisionOfRecord++;
        return next.number();
    }

    private void fault() {
        if (!faults()) {
            return;
        }
        Node node = nodes.get(chance.nextInt(nodes.size()));
        Station station = stations.get(stations.size() - 1);
        switch (chance.nextInt(13)) {
            case 0 -> node.stoppedUntil = time.now() + 6 * chance.nextDouble();
            case 1 -> node.restart();
            case 2 -> station.to.get(node).openAt = time.now() + 5 * chance.nextDouble();
            case 3 -> station.from.get(node).openAt = time.now() + 5 * chance.nextDouble();
            case 4 -> {
                double until = time.now() + 5 * chance.nextDouble();
                nodes.forEach(each -> station.from.get(each).openAt = until);
                count("owners that hear nobody");
            }
            case 5, 6 -> {
                // Another gets the duties; the one before goes on for a while, or stands still and
                // goes on then.
                double overlap = 6 * chance.nextDouble();
                station.actsUntil = time.now() + overlap;
                station.stoppedUntil = chance.nextBoolean() ? time.now() + overlap / 2 : 0;
                Station next = new Station();
                stations.add(next);
                time.in(
                        late(),
                        () ->
                                next.discoverySaid(
                                        Math.max(1, discovery.lastKey() - chance.nextInt(3))));
                count("changes of owner");
            }
            case 7 -> {
                node.stoppedUntil = Math.max(node.stoppedUntil, time.now() + 2.5);
                count("nodes stopped for long");
            }
            case 8 -> {
                trailsAwayUntil = time.now() + 15 * chance.nextDouble();
                count("records away from trails");
            }
            case 9 -> {
                if (chance.nextInt(3) == 0) {
                    node.deafUntil = time.now() + 30;
                    count("nodes that carry nothing out");
                }
            }
            case 10 -> {
                // Something in it goes by something else than it should.
                node.acting.put("sockets", "1");
                count("nodes that go astray");
            }
            default -> {}
        }
    }

    private void judge() {
        Station owner = stations.get(stations.size() - 1);
        long latest = revisions.lastKey();
        if (owner.rollout.revision() != latest || owner.rollout.stage() != RolloutStage.ALL) {
            broken(
                    "revision "
                            + latest
                            + " is not for all at the end: "
                            + stages.get(stages.size() - 1)
                            + ", "
                            + owner.rollout.summary());
        }
        for (Node node : nodes) {
            if (out.getOrDefault(node.name, 0L) < node.incarnation
                    && node.held.number() != latest) {
                broken(
                        node.name
                                + " goes by "
                                + node.held.number()
                                + " at the end, not by "
                                + latest);
            }
            if (out.getOrDefault(node.name, 0L) < node.incarnation
                    && !node.acting.equals(
                            revisions
                                    .getOrDefault(node.held.number(), ConfigRevision.NONE)
                                    .fields())) {
                broken(node.name + " acts on " + node.acting + " at the end");
            }
            if (!hosts(node)) {
                broken(node.name + " has not the list that discovery says");
            }
        }
        fold();
        AuditReport audit = new AuditReport(trails.values(), registered, begins);
        long dropped = nodes.stream().mapToLong(node -> node.dropping.size()).sum();
        for (String problem : audit.problems()) {
            String incarnation = problem.replaceAll("(?s).*incarnation (\\d+):.*", "$1");
            boolean drops =
                    incarnation.matches("\\d+")
                            && nodes.stream()
                                    .anyMatch(
                                            node ->
                                                    node.dropping.contains(
                                                            Long.parseLong(incarnation)));
            if (!drops || !problem.contains("missing")) {
                broken("a trail does not fit: " + problem);
            }
            count("gaps told");
        }
        count(dropped > 0 ? "worlds with entries dropped" : "worlds with whole trails");
        for (RevisionPeriod spell : audit.periods()) {
            Node node =
                    nodes.stream()
                            .filter(each -> each.name.equals(spell.node()))
                            .findFirst()
                            .orElseThrow();
            TreeMap<Long, Long> truth = node.truth.get(spell.incarnation());
            for (HybridLogicalClock at : List.of(spell.from(), spell.lastKnown())) {
                // At the moment at which it ended the next revision holds.
                long key =
                        at.millis() * 1000
                                + at.counter()
                                - (Optional.of(at).equals(spell.to()) ? 1 : 0);
                if (spell.isComplete() && truth.floorEntry(key).getValue() != spell.revision()) {
                    broken("the audit says that " + spell + ", in truth " + truth);
                }
            }
            count("spells told");
        }
    }

    /**
     * As the owner of the rollout does from time to time: the audit tells the same of what is left.
     */
    private void fold() {
        if (seed % 3 != 0) {
            return;
        }
        List<KeyValue> items = new ArrayList<>();
        trails.forEach(
                (key, text) ->
                        items.add(
                                new KeyValue(key, text, created.get(key), created.get(key), null)));
        for (Mutation write :
                AuditRetention.deleteExcess(items, begins, MOST_TRAILS, MOST_TRAILS / 4)) {
            count(write.value().isEmpty() ? "segments folded" : "begins noted");
            write.value()
                    .ifPresentOrElse(
                            value -> begins.put(write.key(), value),
                            () -> trails.remove(write.key()));
        }
    }

    private boolean hosts(Node node) {
        long behind = discovery.lastKey() - node.generation;
        return behind <= 3;
    }
}
