package embershift.rig.world;

import embershift.fleet.DutyId;
import embershift.fleet.Fence;
import embershift.fleet.Gate;
import embershift.fleet.Release;
import embershift.fleet.ReleasePlan;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A release by owners that overlap, over nodes that are cut off and a manager that knows no fence,
 * whose calls are lost and late, in virtual time. Judged by what the manager did, and by what nodes
 * knew then.
 */
public final class ReleaseWorld extends SeededWorld {

    private static final DutyId DUTY = new DutyId("release");
    private static final double FAULTS = 60;
    private static final double END = 300;
    private static final double SILENT = 1;

    /** Seconds after which what is so must be known: an owner's call may be late on its way. */
    private static final double KNOWN = 11;

    private final ReleasePlan plan;
    private final TreeMap<String, Node> nodes = new TreeMap<>();
    private final TreeMap<String, Boolean> serving = new TreeMap<>();
    // What the record has.
    private Fence latest = Fence.NONE;
    private int step;
    private boolean done;
    private String wish = "go";
    // The manager.
    private final Map<String, String> states = new HashMap<>();
    private final Map<String, ReleasePlan.Part> byId = new HashMap<>();
    private final Map<String, Integer> stepOf = new HashMap<>();
    private final Set<String> away = new HashSet<>();

    private final class Node {
        private final Gate gate = new Gate();
        private Set<String> out = Set.of();
        private double cutUntil;
        private double cutSince = Double.NEGATIVE_INFINITY;
        private double upSince;
        private boolean up = true;

        boolean cut() {
            return time.now() < cutUntil;
        }
    }

    private ReleaseWorld(long seed) {
        super(seed, FAULTS);
        List<ReleasePlan.Part> parts = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            nodes.put("n" + i, new Node());
            serving.put("h" + i, true);
            if (chance.nextInt(4) != 0) {
                parts.add(new ReleasePlan.Part(true, "n" + i));
            }
            parts.add(chance.nextInt(parts.size() + 1), new ReleasePlan.Part(false, "h" + i));
        }
        nodes.values().forEach(node -> node.gate.told(DUTY, Fence.NONE));
        plan = new ReleasePlan("r", 1 + chance.nextInt(2), 0, 0.5, 8, parts);
        for (int i = 0; i < plan.steps(); i++) {
            for (ReleasePlan.Part part : plan.step(i)) {
                byId.put(plan.id(i, part), part);
                stepOf.put(plan.id(i, part), i);
            }
        }
    }

    public static Report play(long seed) {
        return new ReleaseWorld(seed).play();
    }

    /** The first broken world among the seeds, or null. */
    public static String firstBroken(long first, long many) {
        return firstBroken(ReleaseWorld::play, first, many);
    }

    private double late() {
        return faults() && chance.nextInt(15) == 0
                ? 8 * chance.nextDouble()
                : 0.002 + 0.02 * chance.nextDouble();
    }

    private boolean lost() {
        return faults() && chance.nextInt(10) == 0;
    }

    // The manager: knows ids, no fences.

    private String manage(String id, boolean restart) {
        String state = states.get(id);
        if (state != null) {
            count("manager's ids called again");
            return state;
        }
        if (!restart) {
            states.put(id, "VOID");
            count("ids made void");
            return "VOID";
        }
        states.put(id, "GOING");
        begins(id, byId.get(id));
        return "GOING";
    }

    private void begins(String id, ReleasePlan.Part part) {
        count("parts started anew");
        away.add(part.toString());
        Set<String> all = new HashSet<>(away);
        nodes.forEach(
                (name, node) -> {
                    // Cut off for so long that each owner knows.
                    if (node.cut()
                            && time.now() - node.cutSince > KNOWN
                            && !away.contains("node " + name)) {
                        all.add("node " + name);
                    }
                });
        if (all.size() > plan.size()) {
            broken("away at once, with " + id + ": " + all);
        }
        states.forEach(
                (other, state) -> {
                    if (stepOf.get(other) > stepOf.get(id)) {
                        broken(id + " is begun after " + other);
                    }
                });
        for (int i = 0; i < stepOf.get(id); i++) {
            for (ReleasePlan.Part before : plan.step(i)) {
                String state = states.getOrDefault(plan.id(i, before), "");
                if (!state.equals("DONE") && !state.equals("VOID")) {
                    broken(id + " is begun before " + plan.id(i, before) + " is done");
                }
            }
        }
        if (done) {
            broken(id + " is begun after the end");
        }
        if (part.node()) {
            nodes.get(part.name()).up = false;
        } else {
            List<String> using = new ArrayList<>();
            nodes.forEach(
                    (name, node) -> {
                        boolean known =
                                node.up
                                        && time.now() - node.upSince > KNOWN
                                        && !node.cut()
                                        && time.now() - node.cutUntil > KNOWN;
                        if (known && !node.out.contains(part.name())) {
                            using.add(name);
                        }
                    });
            // One that an owner has not heard lately counts as away to it, and may use the host
            // still.
            if (!using.isEmpty() && using.size() + away.size() > plan.size()) {
                broken(part + " goes away while " + using + " use it");
            }
            serving.put(part.name(), false);
        }
        time.in(
                0.5 + 4 * chance.nextDouble(),
                () -> {
                    states.put(id, "DONE");
                    away.remove(part.toString());
                    if (part.node()) {
                        Node node = nodes.get(part.name());
                        node.up = true;
                        node.upSince = time.now();
                        node.out = Set.of();
                    } else {
                        // Discovery says so a little later.
                        time.in(0.2, () -> serving.put(part.name(), true));
                    }
                });
    }

    // An owner.

    private final class Station implements Release.View, Release.Hands {
        private final Fence fence;
        private Release release;
        private int at;
        private double actsUntil = Double.POSITIVE_INFINITY;
        private double stoppedUntil;
        private boolean over;

        /** Nobody can have begun this step before. */
        private boolean mine;

        private Set<String> out = Set.of();
        private final Map<String, Release.NodeView> known = new TreeMap<>();
        private final Map<String, Double> heardAt = new HashMap<>();
        private final Map<String, Double> sent = new HashMap<>();

        Station() {
            fence = new Fence(latest.number() + 1);
            latest = fence;
            at = step;
            nodes.forEach(
                    (name, node) -> {
                        known.put(name, new Release.NodeView(false, false, Set.of()));
                        heardAt.put(name, Double.NEGATIVE_INFINITY);
                    });
            time.in(0.5, this::begin);
        }

        private void begin() {
            if (done) {
                over = true;
            } else {
                release = new Release(time.now(), plan, at, !mine, this, this);
            }
        }

        private boolean acts() {
            return !over && time.now() < actsUntil && time.now() >= stoppedUntil;
        }

        void tick() {
            if (!acts()) {
                return;
            }
            if (release != null) {
                release.wish(time.now(), wish);
                release.tick(time.now());
            }
            nodes.forEach(
                    (name, node) -> {
                        if (node.up && !node.cut()) {
                            Set<String> told = node.out;
                            double at = time.now();
                            time.in(
                                    late(),
                                    () -> {
                                        // A word counts from when it was sent: the owner's own
                                        // clock comes back in it.
                                        if (at > heardAt.get(name)) {
                                            heardAt.put(name, at);
                                            known.put(name, new Release.NodeView(true, true, told));
                                        }
                                    });
                            if (release != null && !told.equals(out) && !lost()) {
                                Set<String> wanted = out;
                                // One connection: in order.
                                double arrives =
                                        Math.max(sent.getOrDefault(name, 0.0), time.now() + late());
                                sent.put(name, arrives);
                                time.at(
                                        arrives,
                                        () -> {
                                            if (node.up
                                                    && !node.cut()
                                                    && node.gate.take(DUTY, fence)
                                                            == Gate.Verdict.TAKEN) {
                                                node.out = wanted;
                                            } else {
                                                count("orders refused");
                                            }
                                        });
                            }
                        }
                    });
        }

        @Override
        public Map<String, Release.NodeView> nodes() {
            Map<String, Release.NodeView> views = new TreeMap<>();
            known.forEach(
                    (name, view) ->
                            views.put(
                                    name,
                                    time.now() - heardAt.get(name) < SILENT
                                            ? view
                                            : new Release.NodeView(false, false, Set.of())));
            return views;
        }

        @Override
        public boolean inService(String host) {
            return serving.get(host);
        }

        @Override
        public double service() {
            return Double.NaN;
        }

        @Override
        public void out(Set<String> hosts) {
            out = hosts;
        }

        @Override
        public void startAnew(ReleasePlan.Part part, String id) {
            call(id, true);
        }

        @Override
        public void makeVoid(String id) {
            call(id, false);
        }

        private void call(String id, boolean restart) {
            if (lost()) {
                return;
            }
            Release mine = release;
            time.in(
                    late(),
                    () -> {
                        String state = manage(id, restart);
                        if (!lost()) {
                            time.in(
                                    late(),
                                    () ->
                                            mine.managed(
                                                    time.now(),
                                                    id,
                                                    Release.Managed.valueOf(state)));
                        }
                    });
        }

        @Override
        public void ended(boolean abort) {
            release = null;
            int ended = at;
            time.in(
                    late(),
                    () -> {
                        if (!latest.equals(fence)) {
                            count("notes of an old owner refused");
                            over = true;
                            return;
                        }
                        step = ended + 1;
                        if (step == plan.steps()) {
                            done = true;
                            over = true;
                        } else {
                            at = step;
                            mine = true;
                            time.in(0.05, this::begin);
                        }
                    });
        }

        @Override
        public void halted(String why) {
            count("halts");
            if (latest.equals(fence) && !wish.equals("abort")) {
                wish = "pause";
                time.in(
                        5,
                        () -> {
                            if (wish.equals("pause")) {
                                wish = "go";
                            }
                        });
            }
        }
    }

    private Report play() {
        List<Station> stations = new ArrayList<>(List.of(new Station()));
        time.every(0.05, () -> List.copyOf(stations).forEach(Station::tick));
        time.every(
                2,
                () -> {
                    if (!faults()) {
                        return;
                    }
                    switch (chance.nextInt(7)) {
                        case 0, 1 -> {
                            Station old = stations.get(stations.size() - 1);
                            double overlap = 8 * chance.nextDouble();
                            old.actsUntil = time.now() + overlap;
                            old.stoppedUntil = chance.nextBoolean() ? time.now() + overlap / 2 : 0;
                            stations.add(new Station());
                            count("changes of owner");
                        }
                        case 2, 3 -> {
                            Node node = nodes.get("n" + chance.nextInt(nodes.size()));
                            if (!node.cut()) {
                                node.cutSince = time.now();
                                node.cutUntil = time.now() + 40 * chance.nextDouble();
                                count("nodes cut off");
                            }
                        }
                        case 4 -> {
                            if (chance.nextInt(6) == 0) {
                                wish = "abort";
                            } else if (!wish.equals("abort")) {
                                wish = "pause";
                                time.in(
                                        3 * chance.nextDouble(),
                                        () -> wish = wish.equals("abort") ? wish : "go");
                            }
                        }
                        default -> {}
                    }
                });
        time.run(END);
        if (!done) {
            Station last = stations.get(stations.size() - 1);
            broken(
                    "it is not done: step "
                            + step
                            + ", "
                            + (last.release == null ? "" : last.release.waitsFor()));
        }
        byId.forEach(
                (id, part) -> {
                    String state = states.getOrDefault(id, "never called");
                    if (!state.equals("DONE") && !(wish.equals("abort") && state.equals("VOID"))) {
                        broken(id + " is " + state + " at the end");
                    }
                });
        count(wish.equals("abort") ? "aborted" : "done");
        return report();
    }
}
