package embershift.hosted;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.Toml;
import embershift.door.Words;
import embershift.fleet.DutyId;
import embershift.fleet.Fence;
import embershift.fleet.Item;
import embershift.fleet.Owner;
import embershift.fleet.Plan;
import embershift.fleet.Release;
import embershift.fleet.ReleasePlan;
import embershift.fleet.Write;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Starts hosts and nodes anew, step by step, as {@link Release} decides, while the record holds a
 * plan.
 */
final class ReleaseDuty extends Duty implements Nodes.Listener, Release.View, Release.Hands {

    private static final double SILENT = 2;
    private static final double TELL = 1;
    private static final double WINDOW = 5;

    /** Seconds that any one call may take. */
    private static final double LONGEST = 1;

    private static final int OWNERS = 6;

    private record Count(double at, long opened, long failed) {}

    private Discovery discovery;
    private Manager manager;
    private ReleasePlan plan;
    private long planRevision = -1;
    private Release step;
    private int stepNumber;
    private Set<String> out = Set.of();
    private final Map<String, Double> toldAt = new HashMap<>();
    private final Map<String, Deque<Count>> counts = new HashMap<>();
    private String state = "";

    /**
     * The step before was ended by this owner, under this fence: nobody can have begun the next.
     */
    private boolean endedHere;

    ReleaseDuty(Duties all) {
        super(all, "release");
    }

    /** A plan that the record has, and that is not at its end, is this instance's to claim. */
    @Override
    void prepare() {
        Item item = all.record().get(ReleasePlan.KEY);
        long revision = item == null ? 0 : item.revision();
        if (revision != planRevision && (owner() == null || !owner().has())) {
            planRevision = revision;
            plan = item == null ? null : ReleasePlan.read(item.value());
            if (plan != null) {
                own(
                        new Plan(plan.name() + "-" + revision, plan.steps(), LONGEST),
                        all.fleet().terms(3600, OWNERS));
            }
        }
    }

    @Override
    void begin() {
        manager = new Manager(all.loop(), Toml.socket(all.fleet().manager()));
        discovery =
                new Discovery(
                        all.loop(),
                        Toml.socket(all.fleet().discovery()),
                        (generation, whole, anew) -> {});
        counts.clear();
        toldAt.clear();
        out = Set.of();
        state = "";
    }

    @Override
    void end() {
        discovery.close();
        out = Set.of();
        endedHere = false;
        if (step != null) {
            step = null;
            // Its time may only have lapsed: should it come back under the same grant, the step is
            // begun again.
            owner().acted(now(), stepNumber, owner().fence(), Owner.Effect.UNKNOWN);
        }
    }

    @Override
    public void act(DutyId duty, Plan whole, int number, Fence fence) {
        stepNumber = number;
        step = new Release(now(), plan, number, !endedHere, this, this);
    }

    @Override
    void work() {
        double now = now();
        if (step != null) {
            Item wish = all.record().get(ReleasePlan.WISH);
            // Of a wish for an earlier release nothing holds.
            step.wish(
                    now,
                    wish == null || wish.revision() < planRevision
                            ? "go"
                            : wish.value().split(" ", 2)[0]);
            step.tick(now);
        }
        if (step != null) {
            tellOut(now);
            String waits = step.waitsFor();
            state(
                    "step "
                            + (stepNumber + 1)
                            + " of "
                            + plan.steps()
                            + (waits.isEmpty() ? "" : ": " + waits));
        }
    }

    private void state(String text) {
        if (!text.equals(state)) {
            state = text;
            write(List.of(new Write(ReleasePlan.STATE, plan.name() + " " + text, false)));
        }
    }

    /**
     * Which hosts are out: told anew to whoever may not know it, and to all from time to time, as
     * nodes let go of it by themselves.
     */
    private void tellOut(double now) {
        for (Nodes.NodeLink link : all.nodes().linked()) {
            boolean knows = Words.list(link.report().path("out")).equals(out);
            double last = toldAt.getOrDefault(link.name, Double.NEGATIVE_INFINITY);
            if (link.report().has("clock") && now - last >= (knows ? 5 * TELL : TELL)) {
                toldAt.put(link.name, now);
                ObjectNode order = Words.node();
                Words.list(order.putArray("hosts"), out);
                order(
                        link,
                        "out",
                        order,
                        verdict -> {
                            if (verdict != null
                                    && !verdict.path("verdict").asText().equals("TAKEN")) {
                                toldAt.put(link.name, now() - TELL * 4 / 5);
                            }
                        });
            }
        }
    }

    // What the step sees.

    @Override
    public Map<String, Release.NodeView> nodes() {
        Map<String, Release.NodeView> views = new TreeMap<>();
        double now = now();
        for (Item item : all.record().beginning(Nodes.NODE)) {
            String name = item.key().substring(Nodes.NODE.length());
            Nodes.NodeLink link = all.nodes().get(name);
            Item shut = all.record().get(Nodes.OUT + name);
            if (link == null && shut != null && number(shut) >= item.revision()) {
                continue;
            }
            views.put(
                    name,
                    link == null
                            ? new Release.NodeView(false, false, Set.of())
                            : new Release.NodeView(
                                    now - link.heardAt() < SILENT,
                                    link.report().path("ready").asBoolean(),
                                    Words.list(link.report().path("out"))));
        }
        return views;
    }

    @Override
    public boolean inService(String host) {
        String entry = discovery.entries().get(host);
        ObjectNode read = entry == null ? null : Words.read(entry);
        return read != null && read.path("lifecycle").asText().equals("in_service");
    }

    @Override
    public double service() {
        double now = now();
        long opened = 0;
        long failed = 0;
        for (Deque<Count> some : counts.values()) {
            while (some.size() > 1 && some.peekFirst().at < now - WINDOW) {
                some.removeFirst();
            }
            opened += some.peekLast().opened - some.peekFirst().opened;
            failed += some.peekLast().failed - some.peekFirst().failed;
        }
        return opened + failed == 0 ? Double.NaN : (double) opened / (opened + failed);
    }

    @Override
    public void reported(Nodes.NodeLink node) {
        if (holds()) {
            Deque<Count> some = counts.computeIfAbsent(node.name, none -> new ArrayDeque<>());
            long opened = node.report().path("opened").asLong();
            if (!some.isEmpty() && opened < some.peekLast().opened) {
                some.clear();
            }
            some.addLast(new Count(now(), opened, node.report().path("failed").asLong()));
        }
    }

    @Override
    public void unlinked(Nodes.NodeLink node) {
        counts.remove(node.name);
    }

    // What the step has done.

    @Override
    public void out(Set<String> hosts) {
        out = hosts;
        toldAt.clear();
    }

    @Override
    public void startAnew(ReleasePlan.Part part, String partId) {
        call("RESTART " + part + " " + partId, partId);
    }

    @Override
    public void makeVoid(String partId) {
        call("VOID " + partId, partId);
    }

    private void call(String line, String partId) {
        if (owner().mayAct(now())) {
            Release mine = step;
            manager.call(
                    line,
                    what -> {
                        if (step == mine && mine != null) {
                            mine.managed(now(), partId, what);
                        }
                    });
        }
    }

    @Override
    public void ended(boolean aborted) {
        step = null;
        endedHere = true;
        state(
                aborted
                        ? "aborted, step " + (stepNumber + 1) + " is at a sound end"
                        : stepNumber + 1 == plan.steps()
                                ? "done"
                                : "step " + (stepNumber + 1) + " is done");
        owner().acted(now(), stepNumber, fence(), Owner.Effect.DONE);
    }

    @Override
    public void halted(String why) {
        told("the release halts: " + why);
        write(
                List.of(
                        new Write(
                                ReleasePlan.WISH,
                                "pause the release halted by itself: " + why,
                                false),
                        new Write(ReleasePlan.STATE, plan.name() + " halted: " + why, false)));
    }
}
