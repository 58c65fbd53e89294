package embershift.rig.world;

import embershift.fleet.lease.FencingGuard;
import embershift.fleet.lease.FencingToken;
import embershift.fleet.lease.TaskId;
import embershift.fleet.restart.OperatorIntent;
import embershift.fleet.restart.RollingRestart;
import embershift.fleet.restart.RollingRestart.RestartState;
import embershift.fleet.restart.RollingRestartPlan;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;

/**
 * A release by owners that overlap, over nodes that are cut off and a manager that knows no fence,
 * whose calls are lost and late, in virtual time. Judged by what the manager did, and by what nodes
 * knew then.
 */
public final class ReleaseWorld extends SeededWorld {

    private static final TaskId DUTY = new TaskId("release");
    private static final double FAULTS = 60;
    private static final double END = 300;
    private static final double SILENT = 1;

    /** Seconds after which what is so must be known: an owner's call may be late on its way. */
    private static final double KNOWN = 11;

    private final RollingRestartPlan plan;
    private final TreeMap<String, Node> nodes = new TreeMap<>();
    private final TreeMap<String, Boolean> serving = new TreeMap<>();
    // What the record has.
    private FencingToken latest = FencingToken.NONE;
    private int step;
    private boolean done;
    private OperatorIntent wish = OperatorIntent.GO;
    // The manager.
    private final Map<String, RestartState> states = new HashMap<>();
    private final Map<String, RollingRestartPlan.Target> byId = new HashMap<>();
    private final Map<String, Integer> stepOf = new HashMap<>();
    private final Set<String> away = new HashSet<>();

    private final class Node {
        private final FencingGuard gate = new FencingGuard();
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
        List<RollingRestartPlan.Target> parts = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            nodes.put("n" + i, new Node());
            serving.put("h" + i, true);
            if (chance.nextInt(4) != 0) {
                parts.add(new RollingRestartPlan.Target(true, "n" + i));
            }
            parts.add(
                    chance.nextInt(parts.size() + 1),
                    new RollingRestartPlan.Target(false, "h" + i));
        }
        nodes.values().forEach(node -> node.gate.learnLatest(DUTY, FencingToken.NONE));
        plan = new RollingRestartPlan("r", 1 + chance.nextInt(2), 0, 0.5, 8, parts);
        for (int i = 0; i < plan.steps(); i++) {
            for (RollingRestartPlan.Target part : plan.targetsOf(i)) {
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

    private RestartState manage(String id, boolean restart) {
        RestartState state = states.get(id);
        if (state != null) {
            count("manager's ids called again");
            return state;
        }
        if (!restart) {
            states.put(id, RestartState.CANCELLED);
            count("ids made void");
            return RestartState.CANCELLED;
        }
        states.put(id, RestartState.IN_PROGRESS);
        begins(id, byId.get(id));
        return RestartState.IN_PROGRESS;
    }

    private void begins(String id, RollingRestartPlan.Target part) {
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
        if (all.size() > plan.batchSize()) {
            broken("away at once, with " + id + ": " + all);
        }
        states.forEach(
                (other, state) -> {
                    if (stepOf.get(other) > stepOf.get(id)) {
                        broken(id + " is begun after " + other);
                    }
                });
        for (int i = 0; i < stepOf.get(id); i++) {
            for (RollingRestartPlan.Target before : plan.targetsOf(i)) {
                RestartState state = states.get(plan.id(i, before));
                if (state != RestartState.DONE && state != RestartState.CANCELLED) {
                    broken(id + " is begun before " + plan.id(i, before) + " is done");
                }
            }
        }
        if (done) {
            broken(id + " is begun after the end");
        }
        if (part.isNode()) {
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
            if (!using.isEmpty() && using.size() + away.size() > plan.batchSize()) {
                broken(part + " goes away while " + using + " use it");
            }
            serving.put(part.name(), false);
        }
        time.in(
                0.5 + 4 * chance.nextDouble(),
                () -> {
                    states.put(id, RestartState.DONE);
                    away.remove(part.toString());
                    if (part.isNode()) {
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

    private final class Station implements RollingRestart.FleetView, RollingRestart.Environment {
        private final FencingToken fence;
        private RollingRestart release;
        private int at;
        private double actsUntil = Double.POSITIVE_INFINITY;
        private double stoppedUntil;
        private boolean over;

        /** Nobody can have begun this step before. */
        private boolean mine;

        private Set<String> out = Set.of();
        private final Map<String, RollingRestart.NodeView> known = new TreeMap<>();
        private final Map<String, Double> heardAt = new HashMap<>();
        private final Map<String, Double> sent = new HashMap<>();

        Station() {
            fence = new FencingToken(latest.number() + 1);
            latest = fence;
            at = step;
            nodes.forEach(
                    (name, node) -> {
                        known.put(name, new RollingRestart.NodeView(false, false, Set.of()));
                        heardAt.put(name, Double.NEGATIVE_INFINITY);
                    });
            time.in(0.5, this::begin);
        }

        private void begin() {
            if (done) {
                over = true;
            } else {
                release = new RollingRestart(time.now(), plan, at, !mine, this, this);
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
                release.setOperatorIntent(time.now(), wish);
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
                                            known.put(
                                                    name,
                                                    new RollingRestart.NodeView(true, true, told));
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
                                                    && node.gate.admit(DUTY, fence)
                                                            == FencingGuard.Verdict.ADMITTED) {
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
        public Map<String, RollingRestart.NodeView> nodes() {
            Map<String, RollingRestart.NodeView> views = new TreeMap<>();
            known.forEach(
                    (name, view) ->
                            views.put(
                                    name,
                                    time.now() - heardAt.get(name) < SILENT
                                            ? view
                                            : new RollingRestart.NodeView(false, false, Set.of())));
            return views;
        }

        @Override
        public boolean isInService(String host) {
            return serving.get(host);
        }

        @Override
        public OptionalDouble serviceRate() {
            return OptionalDouble.empty();
        }

        @Override
        public void ejectHosts(Set<String> hosts) {
            out = hosts;
        }

        @Override
        public void restart(RollingRestartPlan.Target part, String id) {
            call(id, true);
        }

        @Override
        public void cancel(String id) {
            call(id, false);
        }

        private void call(String id, boolean restart) {
            if (lost()) {
                return;
            }
            RollingRestart mine = release;
            time.in(
                    late(),
                    () -> {
                        RestartState state = manage(id, restart);
                        if (!lost()) {
                            time.in(late(), () -> mine.restartReported(time.now(), id, state));
                        }
                    });
        }

        @Override
        public void completed(boolean abort) {
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
            if (latest.equals(fence) && wish != OperatorIntent.ABORT) {
                wish = OperatorIntent.PAUSE;
                time.in(
                        5,
                        () -> {
                            if (wish == OperatorIntent.PAUSE) {
                                wish = OperatorIntent.GO;
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
                                wish = OperatorIntent.ABORT;
                            } else if (wish != OperatorIntent.ABORT) {
                                wish = OperatorIntent.PAUSE;
                                time.in(
                                        3 * chance.nextDouble(),
                                        () ->
                                                wish =
                                                        wish == OperatorIntent.ABORT
                                                                ? wish
                                                                : OperatorIntent.GO);
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
                            + (last.release == null ? "" : last.release.waitReason()));
        }
        byId.forEach(
                (id, part) -> {
                    RestartState state = states.get(id);
                    if (state != RestartState.DONE
                            && !(wish == OperatorIntent.ABORT && state == RestartState.CANCELLED)) {
                        broken(id + " is " + state + " at the end");
                    }
                });
        count(wish == OperatorIntent.ABORT ? "aborted" : "done");
        return report();
    }
}
