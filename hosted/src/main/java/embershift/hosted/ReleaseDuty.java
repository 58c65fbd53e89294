package embershift.hosted;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.JsonMessages;
import embershift.door.TomlSettings;
import embershift.fleet.lease.FencingToken;
import embershift.fleet.lease.LeaseHolder;
import embershift.fleet.lease.TaskId;
import embershift.fleet.lease.TaskPlan;
import embershift.fleet.restart.RollingRestart;
import embershift.fleet.restart.RollingRestartPlan;
import embershift.fleet.store.KeyValue;
import embershift.fleet.store.Mutation;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;

/**
 * Starts hosts and nodes anew, step by step, as {@link RollingRestart} decides, while the record
 * holds a plan.
 */
final class ReleaseDuty extends Duty
        implements Nodes.Listener, RollingRestart.FleetView, RollingRestart.Environment {

    private static final double SILENT = 2;
    private static final double TELL = 1;
    private static final double WINDOW = 5;

    /** Seconds that any one call may take. */
    private static final double LONGEST = 1;

    private static final int OWNERS = 6;

    private record Count(double at, long opened, long failed) {}

    private Discovery discovery;
    private Manager manager;
    private RollingRestartPlan plan;
    private long planRevision = -1;
    private RollingRestart step;
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
        KeyValue item = all.record().find(RollingRestartPlan.KEY).orElse(null);
        long revision = item == null ? 0 : item.revision();
        if (revision != planRevision && (owner() == null || !owner().isHeldOrReleasing())) {
            planRevision = revision;
            plan = item == null ? null : RollingRestartPlan.decode(item.value()).orElse(null);
            if (plan != null) {
                own(
                        new TaskPlan(plan.name() + "-" + revision, plan.steps(), LONGEST),
                        all.fleet().terms(3600, OWNERS));
            }
        }
    }

    @Override
    void begin() {
        manager = new Manager(all.loop(), TomlSettings.parseAddress(all.fleet().manager()));
        discovery =
                new Discovery(
                        all.loop(),
                        TomlSettings.parseAddress(all.fleet().discovery()),
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
            owner().stepEnded(now(), stepNumber, owner().token(), LeaseHolder.StepOutcome.UNKNOWN);
        }
    }

    @Override
    public void runStep(TaskId duty, TaskPlan whole, int number, FencingToken fence) {
        stepNumber = number;
        step = new RollingRestart(now(), plan, number, !endedHere, this, this);
    }

    @Override
    void work() {
        double now = now();
        if (step != null) {
            KeyValue wish = all.record().find(RollingRestartPlan.INTENT_KEY).orElse(null);
            // Of a wish for an earlier release nothing holds.
            step.setOperatorIntent(
                    now,
                    wish == null || wish.revision() < planRevision
                            ? "go"
                            : wish.value().split(" ", 2)[0]);
            step.tick(now);
        }
        if (step != null) {
            tellOut(now);
            String waits = step.waitReason();
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
            write(List.of(Mutation.put(RollingRestartPlan.STATE_KEY, plan.name() + " " + text)));
        }
    }

    /**
     * Which hosts are out: told anew to whoever may not know it, and to all from time to time, as
     * nodes let go of it by themselves.
     */
    private void tellOut(double now) {
        for (Nodes.NodeLink link : all.nodes().linked()) {
            boolean knows = JsonMessages.readList(link.report().path("out")).equals(out);
            double last = toldAt.getOrDefault(link.name, Double.NEGATIVE_INFINITY);
            if (link.report().has("clock") && now - last >= (knows ? 5 * TELL : TELL)) {
                toldAt.put(link.name, now);
                ObjectNode order = JsonMessages.newObject();
                JsonMessages.addTexts(order.putArray("hosts"), out);
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
    public Map<String, RollingRestart.NodeView> nodes() {
        Map<String, RollingRestart.NodeView> views = new TreeMap<>();
        double now = now();
        for (KeyValue item : all.record().findByPrefix(Nodes.NODE)) {
            String name = item.key().substring(Nodes.NODE.length());
            Nodes.NodeLink link = all.nodes().get(name);
            KeyValue shut = all.record().find(Nodes.OUT + name).orElse(null);
            if (link == null && shut != null && number(shut) >= item.revision()) {
                continue;
            }
            views.put(
                    name,
                    link == null
                            ? new RollingRestart.NodeView(false, false, Set.of())
                            : new RollingRestart.NodeView(
                                    now - link.heardAt() < SILENT,
                                    link.report().path("ready").asBoolean(),
                                    JsonMessages.readList(link.report().path("out"))));
        }
        return views;
    }

    @Override
    public boolean isInService(String host) {
        return Optional.ofNullable(discovery.entries().get(host))
                .flatMap(JsonMessages::parse)
                .filter(entry -> entry.path("lifecycle").asText().equals("in_service"))
                .isPresent();
    }

    @Override
    public OptionalDouble serviceRate() {
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
        return opened + failed == 0
                ? OptionalDouble.empty()
                : OptionalDouble.of((double) opened / (opened + failed));
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
    public void ejectHosts(Set<String> hosts) {
        out = hosts;
        toldAt.clear();
    }

    @Override
    public void restart(RollingRestartPlan.Target part, String partId) {
        call("RESTART " + part + " " + partId, partId);
    }

    @Override
    public void cancel(String partId) {
        call("VOID " + partId, partId);
    }

    private void call(String line, String partId) {
        if (owner().canCompleteStep(now())) {
            RollingRestart mine = step;
            manager.call(
                    line,
                    what -> {
                        if (step == mine && mine != null) {
                            mine.restartReported(now(), partId, what);
                        }
                    });
        }
    }

    @Override
    public void completed(boolean aborted) {
        step = null;
        endedHere = true;
        state(
                aborted
                        ? "aborted, step " + (stepNumber + 1) + " is at a sound end"
                        : stepNumber + 1 == plan.steps()
                                ? "done"
                                : "step " + (stepNumber + 1) + " is done");
        owner().stepEnded(now(), stepNumber, fence(), LeaseHolder.StepOutcome.DONE);
    }

    @Override
    public void halted(String why) {
        notifyOperator("the release halts: " + why);
        write(
                List.of(
                        Mutation.put(
                                RollingRestartPlan.INTENT_KEY,
                                "pause the release halted by itself: " + why),
                        Mutation.put(
                                RollingRestartPlan.STATE_KEY, plan.name() + " halted: " + why)));
    }
}
