package embershift.rig.world;

import embershift.fleet.Admission;
import embershift.fleet.Audit;
import embershift.fleet.Diary;
import embershift.fleet.DutyId;
import embershift.fleet.Fence;
import embershift.fleet.Folding;
import embershift.fleet.Gate;
import embershift.fleet.HostsChange;
import embershift.fleet.HostsHeld;
import embershift.fleet.HostsTold;
import embershift.fleet.Hybrid;
import embershift.fleet.Item;
import embershift.fleet.Revision;
import embershift.fleet.RevisionHeld;
import embershift.fleet.Rollout;
import embershift.fleet.Segment;
import embershift.fleet.Trace;
import embershift.fleet.Write;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Owners of the rollout and of the lists, one after the other and for a while two at once, and
 * nodes that are stopped, cut off, started anew and late, in virtual time. Judged by what nodes
 * acted on, never by what an owner believes.
 */
public final class FleetWorld extends SeededWorld {

    private static final DutyId ROLLOUT = new DutyId("rollout");
    private static final DutyId LISTS = new DutyId("lists");
    private static final double FAULTS = 40;
    private static final double END = 100;
    private static final double OLDEST = 2;
    private static final double SILENT = 1.5;
    private static final double REPORT = 0.2;
    private static final long MOST_TRAILS = 20_000;
    private static final String POISON = "poison";
    private static final String CRASH = "crash";
    private static final Rollout.Terms TERMS = new Rollout.Terms(1, 4, 0.3, 3, 3, SILENT, 0.2, 0.8);

    // What the record has.
    private long revisionOfRecord = 1;
    private final Map<DutyId, Fence> fences = new HashMap<>();
    private final TreeMap<Long, Revision> revisions = new TreeMap<>();
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

    private Fence grant(DutyId duty) {
        Fence fence = new Fence(++revisionOfRecord);
        fences.put(duty, fence);
        return fence;
    }

    /** A write under a fence, some time later, unless another was granted the duty by then. */
    private double write(DutyId duty, Fence by, double after, Runnable what) {
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
        private Gate gate;
        private Admission admission;
        private RevisionHeld held;
        private HostsHeld hosts;
        private Diary diary;
        private double bornAt;
        private double stoppedUntil;
        private double deafUntil;
        private SortedMap<String, String> acting;
        private long generation;
        private final Map<DutyId, Fence> taken = new HashMap<>();
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
            gate = new Gate();
            admission = new Admission(gate, OLDEST);
            held = new RevisionHeld();
            hosts = new HostsHeld();
            diary = new Diary(6);
            acting = new TreeMap<>();
            generation = 0;
            taken.clear();
            enter(Trace.Kind.STARTED, 0);
            long mine = incarnation;
            for (DutyId duty : List.of(ROLLOUT, LISTS)) {
                time.in(
                        late(),
                        () -> {
                            // A read that began after the start, answered later.
                            Fence told = fences.getOrDefault(duty, Fence.NONE);
                            time.in(
                                    late(),
                                    () -> {
                                        if (incarnation == mine) {
                                            whenOn(() -> gate.told(duty, told));
                                        }
                                    });
                        });
            }
        }

        private long wall() {
            return (long) (1000 * (1_700_000_000.0 + time.now())) + wallAhead;
        }

        private void enter(Trace.Kind kind, long revision) {
            diary.enter(wall(), kind, Map.of("revision", String.valueOf(revision)), "");
            truth.computeIfAbsent(incarnation, none -> new TreeMap<>())
                    .put(diary.clock().millis() * 1000 + diary.clock().count(), revision);
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

        private Rollout.Report report() {
            return new Rollout.Report(
                    name,
                    incarnation,
                    held.number(),
                    held.chain(),
                    Revision.content(acting),
                    true,
                    held.refused(),
                    held.why(),
                    ++opened,
                    0);
        }

        private boolean lets(DutyId duty, Fence fence, double seen, double sentAt) {
            Admission.Verdict verdict = admission.take(clock(), duty, fence, seen).verdict();
            count("orders " + verdict);
            if (verdict != Admission.Verdict.TAKEN) {
                return false;
            }
            if (fence.compareTo(taken.getOrDefault(duty, Fence.NONE)) < 0) {
                broken(name + " takes an order by " + fence + " after one by " + taken.get(duty));
            }
            if (time.now() - sentAt > OLDEST + 0.001) {
                broken(name + " takes an order " + (time.now() - sentAt) + " s after it was given");
            }
            taken.put(duty, fence);
            return true;
        }

        private RevisionHeld.End revision(
                long number,
                long base,
                String chain,
                String content,
                SortedMap<String, String> fields) {
            long before = held.number();
            RevisionHeld.End end =
                    held.take(
                                    number,
                                    base,
                                    chain,
                                    content,
                                    fields,
                                    wanted -> {
                                        if (wanted.containsKey(POISON)) {
                                            return "poison is not known";
                                        }
                                        acting = new TreeMap<>(wanted);
                                        return null;
                                    })
                            .end();
            count("revisions " + end + (base == 0 ? " whole" : ""));
            if (held.number() < before) {
                broken(name + " goes back from revision " + before + " to " + held.number());
            }
            if (end != RevisionHeld.End.TAKEN) {
                return end;
            }
            Revision meant = revisions.get(held.number());
            if (meant == null || !meant.fields().equals(acting)) {
                broken(name + " acts on a mixture: " + acting + " by " + held.number());
            }
            if (held.number() != before) {
                enter(Trace.Kind.TOOK, held.number());
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

        private HostsHeld.End list(Fence fence, HostsChange change) {
            Fence fenceBefore = hosts.fence();
            long numberBefore = hosts.number();
            HostsHeld.End end = hosts.take(fence, change);
            count("lists " + end);
            if (hosts.fence().compareTo(fenceBefore) < 0
                    || (hosts.fence().equals(fenceBefore) && hosts.number() < numberBefore)) {
                broken(name + " goes back in its list");
            }
            if (end == HostsHeld.End.TAKEN || end == HostsHeld.End.SAME) {
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
            hosts.discoverySaid(generation);
        }

        private void tellTrail() {
            long mine = incarnation;
            if (diary.dropped() > 0) {
                dropping.add(incarnation);
            }
            Segment segment = diary.next(name, incarnation);
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
                                        ? segment.text()
                                        : trails.putIfAbsent(segment.key(), segment.text());
                        created.putIfAbsent(segment.key(), ++revisionOfRecord);
                        if (before != null && !before.equals(segment.text())) {
                            broken(segment.key() + " is told otherwise");
                        }
                        if (!faults() || chance.nextInt(4) != 0) {
                            time.in(
                                    late(),
                                    () -> {
                                        if (incarnation == mine) {
                                            whenOn(() -> diary.kept(segment.number()));
                                        }
                                    });
                        }
                    });
        }
    }

    // An owner of both duties.

    private final class Station implements Rollout.Hands {
        private final Fence rolloutFence = grant(ROLLOUT);
        private final Fence listsFence = grant(LISTS);
        private final Rollout rollout = new Rollout(TERMS, this);
        private final HostsTold told = new HostsTold();
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
            rollout.found(time.now(), stages.isEmpty() ? null : stages.get(stages.size() - 1));
            follow();
        }

        private boolean acts() {
            return time.now() < actsUntil && time.now() >= stoppedUntil;
        }

        private void follow() {
            revisions
                    .values()
                    .forEach(
                            revision ->
                                    rollout.known(revision, hurried.contains(revision.number())));
            rollout.floorIs(floor);
            registered.keySet().forEach(rollout::named);
            out.forEach((name, incarnation) -> rollout.outIs(name, incarnation, true));
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
            HostsChange change = told.since(has.getOrDefault(node, 0L));
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
                        HostsHeld.End end = node.list(listsFence, change);
                        back(
                                node,
                                () -> {
                                    if (end == HostsHeld.End.TAKEN || end == HostsHeld.End.SAME) {
                                        has.put(node, change.number());
                                    } else if (end == HostsHeld.End.WHOLE) {
                                        has.remove(node);
                                    }
                                });
                    });
        }

        private void send(Node node, DutyId duty, Fence fence, Runnable what) {
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
        void heard(Node node, Rollout.Report report, double clock) {
            if (incarnations.getOrDefault(node, 0L) != report.incarnation()) {
                incarnations.put(node, report.incarnation());
                has.remove(node);
            }
            seen.put(node, clock);
            rollout.heard(time.now(), report);
        }

        void discoverySaid(long generation) {
            told.heard(generation, discovery.get(generation));
        }

        @Override
        public void order(String name, Revision revision, long base) {
            Node node =
                    nodes.stream().filter(each -> each.name.equals(name)).findFirst().orElseThrow();
            // Now and then an owner takes another revision for the one that the node holds.
            long against = base > 1 && chance.nextInt(15) == 0 ? base - 1 : base;
            SortedMap<String, String> fields =
                    base == 0 ? revision.fields() : revision.differenceFrom(revisions.get(against));
            send(
                    node,
                    ROLLOUT,
                    rolloutFence,
                    () -> {
                        RevisionHeld.End end =
                                node.revision(
                                        revision.number(),
                                        base,
                                        revision.chain(),
                                        revision.content(),
                                        fields);
                        back(
                                node,
                                () ->
                                        rollout.answered(
                                                time.now(),
                                                name,
                                                end == RevisionHeld.End.TAKEN,
                                                end == RevisionHeld.End.WHOLE));
                    });
        }

        @Override
        public void note(String text) {
            count("stage " + text.split(" ")[1]);
            written =
                    write(
                            ROLLOUT,
                            rolloutFence,
                            written,
                            () -> {
                                stages.add(text);
                                time.in(0.005, rollout::noted);
                            });
        }

        @Override
        public void floor(long revision) {
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
                                if (now > Math.max(1, (int) (TERMS.share() * nodes.size()))) {
                                    broken(now + " of " + nodes.size() + " are shut out");
                                }
                            });
        }

        @Override
        public void replace(String name, String why) {
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
        public void told(String what) {
            // For operators.
        }
    }

    // The world.

    private Report play() {
        int many = 3 + chance.nextInt(6);
        fences.put(ROLLOUT, Fence.NONE);
        fences.put(LISTS, Fence.NONE);
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
                            Rollout.Report report = node.report();
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
                            node.diary.enter(
                                    node.wall(),
                                    Trace.Kind.TUNNELS,
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
        Revision last = revisions.isEmpty() ? Revision.NONE : revisions.lastEntry().getValue();
        Map<String, String> changes = new TreeMap<>();
        changes.put(POISON, null);
        changes.put(CRASH, null);
        boolean good = !faults();
        int kind = chance.nextInt(10);
        if (!good && kind == 0) {
            changes.put(POISON, "1");
        } else if (!good && kind == 1) {
            changes.put(CRASH, "1");
        } else if (kind < 4) {
            hurried.add(last.number() + 1);
        }
        changes.put("out/h" + chance.nextInt(5), chance.nextBoolean() ? null : "x" + last.number());
        changes.put("sockets", String.valueOf(900 + last.number()));
        Revision next = last.next(changes);
        revisions.put(next.number(), next);
        revisionOfRecord++;
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
        if (owner.rollout.number() != latest || owner.rollout.stage() != Rollout.Stage.ALL) {
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
                            revisions.getOrDefault(node.held.number(), Revision.NONE).fields())) {
                broken(node.name + " acts on " + node.acting + " at the end");
            }
            if (!hosts(node)) {
                broken(node.name + " has not the list that discovery says");
            }
        }
        fold();
        Audit audit = new Audit(trails.values(), registered, begins);
        long dropped = nodes.stream().mapToLong(node -> node.dropping.size()).sum();
        for (String problem : audit.verify()) {
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
        for (Audit.Spell spell : audit.spells()) {
            Node node =
                    nodes.stream()
                            .filter(each -> each.name.equals(spell.node()))
                            .findFirst()
                            .orElseThrow();
            TreeMap<Long, Long> truth = node.truth.get(spell.incarnation());
            for (Hybrid at : List.of(spell.from(), spell.known())) {
                // At the moment at which it ended the next revision holds.
                long key = at.millis() * 1000 + at.count() - (at.equals(spell.to()) ? 1 : 0);
                if (spell.surely() && truth.floorEntry(key).getValue() != spell.revision()) {
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
        List<Item> items = new ArrayList<>();
        trails.forEach(
                (key, text) ->
                        items.add(new Item(key, text, created.get(key), created.get(key), null)));
        for (Write write : Folding.fold(items, begins, MOST_TRAILS, MOST_TRAILS / 4)) {
            count(write.value() == null ? "segments folded" : "begins noted");
            if (write.value() == null) {
                trails.remove(write.key());
            } else {
                begins.put(write.key(), write.value());
            }
        }
    }

    private boolean hosts(Node node) {
        long behind = discovery.lastKey() - node.generation;
        return behind <= 3;
    }
}
