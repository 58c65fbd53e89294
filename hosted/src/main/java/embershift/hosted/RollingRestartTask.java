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
 * Restarts hosts and nodes step by step, as {@link RollingRestart} decides, while the store holds a
 * plan.
 */
final class RollingRestartTask extends LeasedTask
        implements NodeConnections.Listener, RollingRestart.FleetView, RollingRestart.Environment {

    /** Seconds without a message after which a node counts as unreachable. */
    private static final double SILENT_NODE_SECONDS = 2;

    /**
     * Seconds until the ejected hosts are sent again to a node that does not report them; five
     * times as long to one that does.
     */
    private static final double EJECTION_RESEND_SECONDS = 1;

    private static final double SERVICE_RATE_WINDOW_SECONDS = 5;

    /** The longest time, in seconds, that a call of a step may take. */
    private static final double MAX_CALL_SECONDS = 1;

    private static final int MAX_STEP_ATTEMPTS = 6;
    private static final double REPLACE_TIMEOUT_SECONDS = 1.5;

    /** A node's totals of opened and failed tunnels at a time. */
    private record TunnelCounts(double at, long opened, long failed) {}

    private DiscoveryWatch discovery;
    private RestartManagerClient manager;
    private RollingRestartPlan plan;
    private long planRevision = -1;
    private RollingRestart activeStep;
    private int stepNumber;
    private Set<String> ejectedHosts = Set.of();
    private final Map<String, Double> ejectionsSentAt = new HashMap<>();
    private final Map<String, Deque<TunnelCounts>> countsByNode = new HashMap<>();
    private String writtenState = "";
    private boolean isReplacingPlan;

    /**
     * Whether this holder completed the previous step under its present fencing token, so that
     * nobody else can have started the next one.
     */
    private boolean isPreviousStepDoneHere;

    RollingRestartTask(LeasedTasks tasks) {
        super(tasks, "release");
    }

    /**
     * Competes for the lease of the plan that the store holds, once this instance holds no lease of
     * an earlier plan.
     */
    @Override
    void prepare() {
        startNextPlanIfDue();
        long number = storedRelease().number();
        if (number != planRevision
                && (leaseHolder() == null || !leaseHolder().isHeldOrReleasing())) {
            planRevision = number;
            plan = storedRelease().plan().orElse(null);
            if (plan != null) {
                createLeaseHolder(
                        StoredRelease.taskPlan(plan, number, MAX_CALL_SECONDS),
                        tasks.settings().leaseSettings(3600, MAX_STEP_ATTEMPTS));
            }
        }
    }

    private StoredRelease storedRelease() {
        return new StoredRelease(tasks.store()::find);
    }

    /**
     * Replaces a release that has come to its end by the one that waits for that. Needs no lease:
     * of the instances that attempt it, one finds the store as it was.
     */
    private void startNextPlanIfDue() {
        StoredRelease release = storedRelease();
        Optional<RollingRestartPlan> next = release.nextPlan().flatMap(RollingRestartPlan::decode);
        if (isReplacingPlan || next.isEmpty() || release.isUnderWay()) {
            return;
        }
        isReplacingPlan = true;
        tasks.commandClient()
                .call(
                        AsyncStoreClient.newTransaction(
                                release.isUnchanged(), StoredRelease.replaceBy(next.get())),
                        REPLACE_TIMEOUT_SECONDS,
                        outcome -> isReplacingPlan = false);
    }

    @Override
    void leaseAcquired() {
        manager =
                new RestartManagerClient(
                        tasks.loop(), TomlSettings.parseAddress(tasks.settings().manager()));
        discovery =
                new DiscoveryWatch(
                        tasks.loop(),
                        TomlSettings.parseAddress(tasks.settings().discovery()),
                        (generation, entries, isRestarted) -> {});
        countsByNode.clear();
        ejectionsSentAt.clear();
        ejectedHosts = Set.of();
        writtenState = "";
    }

    @Override
    void leaseLost() {
        discovery.close();
        ejectedHosts = Set.of();
        isPreviousStepDoneHere = false;
        if (activeStep != null) {
            activeStep = null;
            // The lease may only have lapsed for a while: if it resumes under the same token,
            // the step starts over.
            leaseHolder()
                    .stepEnded(
                            now(),
                            stepNumber,
                            leaseHolder().token(),
                            LeaseHolder.StepOutcome.UNKNOWN);
        }
    }

    @Override
    public void runStep(TaskId task, TaskPlan taskPlan, int number, FencingToken token) {
        stepNumber = number;
        activeStep = new RollingRestart(now(), plan, number, !isPreviousStepDoneHere, this, this);
    }

    @Override
    void doWork() {
        double now = now();
        StoredRelease release = storedRelease();
        boolean isReplaced = release.number() != planRevision;
        // Once this instance's replica shows the step as begun, it also shows an abort that was
        // answered before that.
        if (activeStep == null || !(isReplaced || release.isStepBegun(plan, stepNumber))) {
            return;
        }
        activeStep.setOperatorIntent(now, release.intentFor(planRevision));
        activeStep.tick(now);
        if (activeStep != null) {
            sendEjections(now);
            String waitReason = activeStep.waitReason();
            writeState(
                    "step "
                            + (stepNumber + 1)
                            + " of "
                            + plan.steps()
                            + (waitReason.isEmpty() ? "" : ": " + waitReason));
        }
    }

    private void writeState(String state) {
        if (!state.equals(writtenState)) {
            writtenState = state;
            write(List.of(Mutation.put(RollingRestartPlan.STATE_KEY, plan.name() + " " + state)));
        }
    }

    /**
     * Sends the ejected hosts to the nodes that do not report them, and to all others now and then,
     * because nodes let ejections expire by themselves.
     */
    private void sendEjections(double now) {
        for (NodeConnections.NodeConnection node : tasks.nodes().connected()) {
            boolean isUpToDate =
                    JsonMessages.readList(node.report().path("out")).equals(ejectedHosts);
            double lastSentAt = ejectionsSentAt.getOrDefault(node.name, Double.NEGATIVE_INFINITY);
            if (node.report().has("clock")
                    && now - lastSentAt
                            >= (isUpToDate
                                    ? 5 * EJECTION_RESEND_SECONDS
                                    : EJECTION_RESEND_SECONDS)) {
                ejectionsSentAt.put(node.name, now);
                ObjectNode order = JsonMessages.newObject();
                JsonMessages.addTexts(order.putArray("hosts"), ejectedHosts);
                sendOrder(
                        node,
                        "out",
                        order,
                        verdict -> {
                            if (verdict != null
                                    && !verdict.path("verdict").asText().equals("TAKEN")) {
                                ejectionsSentAt.put(
                                        node.name, now() - EJECTION_RESEND_SECONDS * 4 / 5);
                            }
                        });
            }
        }
    }

    // Fleet view of the step

    @Override
    public Map<String, RollingRestart.NodeView> nodes() {
        Map<String, RollingRestart.NodeView> views = new TreeMap<>();
        double now = now();
        for (KeyValue item : tasks.store().findByPrefix(NodeConnections.NODE_PREFIX)) {
            String name = item.key().substring(NodeConnections.NODE_PREFIX.length());
            NodeConnections.NodeConnection node = tasks.nodes().get(name);
            KeyValue shutOut =
                    tasks.store().find(NodeConnections.SHUT_OUT_PREFIX + name).orElse(null);
            if (node == null && shutOut != null && leadingNumber(shutOut) >= item.revision()) {
                continue;
            }
            views.put(
                    name,
                    node == null
                            ? new RollingRestart.NodeView(false, false, Set.of())
                            : new RollingRestart.NodeView(
                                    now - node.lastHeardAt() < SILENT_NODE_SECONDS,
                                    node.report().path("ready").asBoolean(),
                                    JsonMessages.readList(node.report().path("out"))));
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
        for (Deque<TunnelCounts> samples : countsByNode.values()) {
            while (samples.size() > 1
                    && samples.peekFirst().at < now - SERVICE_RATE_WINDOW_SECONDS) {
                samples.removeFirst();
            }
            opened += samples.peekLast().opened - samples.peekFirst().opened;
            failed += samples.peekLast().failed - samples.peekFirst().failed;
        }
        return opened + failed == 0
                ? OptionalDouble.empty()
                : OptionalDouble.of((double) opened / (opened + failed));
    }

    @Override
    public void nodeReported(NodeConnections.NodeConnection node) {
        if (holdsLease()) {
            Deque<TunnelCounts> samples =
                    countsByNode.computeIfAbsent(node.name, key -> new ArrayDeque<>());
            long opened = node.report().path("opened").asLong();
            if (!samples.isEmpty() && opened < samples.peekLast().opened) {
                samples.clear();
            }
            samples.addLast(new TunnelCounts(now(), opened, node.report().path("failed").asLong()));
        }
    }

    @Override
    public void nodeDisconnected(NodeConnections.NodeConnection node) {
        countsByNode.remove(node.name);
    }

    // Environment of the step

    @Override
    public void ejectHosts(Set<String> hosts) {
        ejectedHosts = hosts;
        ejectionsSentAt.clear();
    }

    @Override
    public void restart(RollingRestartPlan.Target target, String partId) {
        callManager("RESTART " + target + " " + partId, partId);
    }

    @Override
    public void cancel(String partId) {
        callManager("VOID " + partId, partId);
    }

    private void callManager(String request, String partId) {
        if (leaseHolder().canCompleteStep(now())) {
            RollingRestart caller = activeStep;
            manager.call(
                    request,
                    restartState -> {
                        if (activeStep == caller && caller != null) {
                            caller.restartReported(now(), partId, restartState);
                        }
                    });
        }
    }

    @Override
    public void completed(boolean aborted) {
        activeStep = null;
        isPreviousStepDoneHere = true;
        writeState(
                aborted
                        ? "aborted, step " + (stepNumber + 1) + " is at a sound end"
                        : stepNumber + 1 == plan.steps()
                                ? "done"
                                : "step " + (stepNumber + 1) + " is done");
        leaseHolder().stepEnded(now(), stepNumber, token(), LeaseHolder.StepOutcome.DONE);
    }

    @Override
    public void halted(String reason) {
        notifyOperator("the release has halted: " + reason);
        write(
                List.of(
                        Mutation.put(
                                RollingRestartPlan.INTENT_KEY,
                                "pause the release halted by itself: " + reason),
                        Mutation.put(
                                RollingRestartPlan.STATE_KEY, plan.name() + " halted: " + reason)));
    }
}
