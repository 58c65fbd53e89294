package embershift.fleet.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Brings each node to the config revision that it should act on: canaries first, then all, with a
 * halt if canaries reject it, are lost or serve badly. A node that does not follow gets the
 * difference, then the whole revision, then a restart is requested, then it is shut out; never many
 * of them without a person. A state machine without I/O, clock or threads; times in seconds, never
 * decreasing.
 */
public final class ConfigRollout {

    /** What a rollout needs done for it. It must not call back from within. */
    public interface Environment {

        /**
         * Orders a node to act on a revision: as a whole if {@code baseNumber} is 0, else by
         * difference.
         */
        void order(String node, ConfigRevision revision, long baseNumber);

        /** Records progress in the store; {@link #progressRecorded} is owed once it is there. */
        void recordProgress(String text);

        /** No node below this revision may act for the fleet. */
        void raiseFloor(long revision);

        /** Shuts a node out, up to that incarnation. */
        void shutOut(String node, long incarnation, String reason);

        /** Asks for a restart of a node. */
        void requestRestart(String node, String reason);

        /** Tells an operator something. */
        void notifyOperator(String message);
    }

    private final RolloutSettings settings;
    private final Environment environment;
    private final TreeMap<Long, ConfigRevision> revisions = new TreeMap<>();
    private final RevisionDigests digests = new RevisionDigests();
    private final TreeMap<String, ManagedNode> nodes = new TreeMap<>();
    private final ShutOutNodes shutOutNodes = new ShutOutNodes();

    /** The latest revision that goes to all nodes at once. */
    private long latestImmediateRevision;

    private long floor;
    private RolloutProgress progress = RolloutProgress.INITIAL;
    private double stageEnteredAt;

    /**
     * Progress that the store may not have yet. What follows from it is not ordered before it has:
     * the holder after this one goes on from there.
     */
    private int pendingProgressWrites;

    private boolean isLimitReported;
    private double now;

    /** Creates a rollout that knows no revision and no node. */
    public ConfigRollout(RolloutSettings settings, Environment environment) {
        this.settings = settings;
        this.environment = environment;
        addRevision(ConfigRevision.NONE, false);
    }

    /** The store has a revision; {@code isImmediate}: it goes to all nodes at once. */
    public void addRevision(ConfigRevision revision, boolean isImmediate) {
        if (revisions.put(revision.number(), revision) == null) {
            digests.add(revision);
        }
        if (isImmediate) {
            latestImmediateRevision = Math.max(latestImmediateRevision, revision.number());
        }
    }

    /** Goes on from the progress that the store has; empty for none. */
    public void restore(double time, Optional<String> text) {
        stageEnteredAt = time;
        text.flatMap(RolloutProgress::decode).ifPresent(stored -> progress = stored);
    }

    /** The store has a floor: see {@link Environment#raiseFloor}. */
    public void raiseFloorTo(long revision) {
        floor = Math.max(floor, revision);
    }

    /** The store has a name for a node. */
    public void addNode(String name) {
        nodes.computeIfAbsent(name, none -> new ManagedNode());
    }

    /** The store has no name for a node any more. */
    public void removeNode(String name) {
        nodes.remove(name);
    }

    /** The store says that a node is shut out, up to that incarnation. */
    public void setShutOut(String name, long incarnation, boolean isByRollout) {
        shutOutNodes.add(name, incarnation, isByRollout);
    }

    /** The store says that a node is not shut out. */
    public void setAdmitted(String name) {
        shutOutNodes.remove(name);
    }

    /** The store has the progress that was recorded longest ago. */
    public void progressRecorded() {
        pendingProgressWrites--;
    }

    /** A node has reported. */
    public void reportReceived(double time, NodeReport report) {
        nodes.computeIfAbsent(report.node(), none -> new ManagedNode())
                .reportReceived(time, report);
    }

    /** How a node answered an order. */
    public enum OrderAnswer {
        /** It acts on the revision. */
        APPLIED,
        /** It needs the whole revision. */
        FULL_REVISION_NEEDED,
        /** It does not act on it. */
        NOT_APPLIED
    }

    /** A node has answered an order. */
    public void orderCompleted(double time, String name, OrderAnswer answer) {
        ManagedNode node = nodes.get(name);
        if (node == null) {
            return;
        }
        node.orderCompleted();
        switch (answer) {
            case APPLIED -> node.delayNextOrderUntil(time + settings.retrySeconds());
            case FULL_REVISION_NEEDED -> node.requireFullRevision(time);
            case NOT_APPLIED -> {
                // It gets the order again when it is time.
            }
        }
    }

    /** A node's connection has ended. */
    public void disconnected(String name) {
        Optional.ofNullable(nodes.get(name)).ifPresent(ManagedNode::disconnected);
    }

    /** Returns the state of a node. */
    public NodeState stateOf(String name) {
        ManagedNode node = nodes.get(name);
        if (isShutOut(name, node)) {
            return NodeState.SHUT_OUT;
        }
        if (node == null || node.isSilent(now, settings.silentSeconds())) {
            return NodeState.SILENT;
        }
        NodeReport report = node.report().orElseThrow();
        if (hasUnknownRevision(report) || digests.hasOtherContent(report)) {
            return NodeState.DIVERGED;
        }
        if (report.revision() < floor) {
            return NodeState.COMING_BACK;
        }
        return report.revision() < targetOf(name) ? NodeState.BEHIND : NodeState.CURRENT;
    }

    /** Returns why a node is in its state, for people; "" if it is current. */
    public String reasonFor(String name) {
        NodeState state = stateOf(name);
        Optional<NodeReport> report =
                Optional.ofNullable(nodes.get(name)).flatMap(ManagedNode::report);
        if (state == NodeState.SHUT_OUT) {
            return "up to incarnation " + shutOutNodes.lastIncarnation(name).orElseThrow();
        }
        if (report.isEmpty()) {
            return "not heard by this owner";
        }
        long reportedRevision = report.get().revision();
        return switch (state) {
            case SILENT ->
                    "went by "
                            + reportedRevision
                            + " when it was heard last: what it goes by now is not known";
            case DIVERGED ->
                    hasUnknownRevision(report.get())
                            ? "goes by " + reportedRevision + ", which the record never had"
                            : "goes by something else than revision " + reportedRevision + " says";
            case COMING_BACK -> "goes by " + reportedRevision + ", under the floor " + floor;
            case BEHIND ->
                    "goes by "
                            + reportedRevision
                            + " of "
                            + targetOf(name)
                            + rejectionSuffix(name, report.get());
            default -> "";
        };
    }

    private String rejectionSuffix(String name, NodeReport report) {
        return report.rejectedRevision() >= targetOf(name)
                ? ", refused it: " + report.rejectionReason()
                : "";
    }

    private boolean isShutOut(String name, ManagedNode node) {
        Optional<NodeReport> report = Optional.ofNullable(node).flatMap(ManagedNode::report);
        return shutOutNodes
                .lastIncarnation(name)
                .filter(last -> report.map(each -> each.incarnation() <= last).orElse(true))
                .isPresent();
    }

    private boolean hasUnknownRevision(NodeReport report) {
        return report.revision() > revisions.lastKey() || digests.hasOtherChain(report);
    }

    /** Returns the number of the revision that a node should act on. */
    public long targetOf(String name) {
        boolean isForNode =
                progress.stage() == RolloutStage.ALL
                        || (progress.stage() == RolloutStage.FIRST
                                && progress.canaries().contains(name));
        return isForNode ? progress.revision() : progress.lastGoodRevision();
    }

    /** Returns the names of all nodes. */
    public Collection<String> nodeNames() {
        return nodes.keySet();
    }

    /** Returns the stage of the rollout. */
    public RolloutStage stage() {
        return progress.stage();
    }

    /** Returns the number of the revision that is rolled out. */
    public long revision() {
        return progress.revision();
    }

    /** Returns the revision below which no node may act for the fleet. */
    public long floor() {
        return floor;
    }

    /** Time has passed. To be called several times a second. */
    public void tick(double time) {
        now = time;
        if (pendingProgressWrites > 0) {
            return;
        }
        startRolloutIfDue();
        if (progress.stage() == RolloutStage.FIRST && pendingProgressWrites == 0) {
            checkCanaries();
        }
        if (pendingProgressWrites == 0) {
            orderNodes();
            raiseFloor();
        }
    }

    private void startRolloutIfDue() {
        long latest = revisions.lastKey();
        if (latest <= progress.revision()) {
            return;
        }
        List<String> eligible =
                nodes.keySet().stream().filter(name -> stateOf(name).isEligible()).toList();
        if (eligible.isEmpty()) {
            return;
        }
        stageEnteredAt = now;
        long lastGoodRevision = progress.lastGoodRevision();
        if (latest <= latestImmediateRevision) {
            enter(new RolloutProgress(latest, RolloutStage.ALL, latest, List.of(), ""));
            return;
        }
        List<String> canaries = chooseCanaries(latest, eligible);
        nodes.values().forEach(ManagedNode::resetCanary);
        enter(new RolloutProgress(latest, RolloutStage.FIRST, lastGoodRevision, canaries, ""));
    }

    /** Each revision is tried on other nodes. */
    private List<String> chooseCanaries(long revision, List<String> eligible) {
        int count = Math.max(1, (int) Math.ceil(settings.canaryShare() * eligible.size()));
        List<String> canaries = new ArrayList<>();
        for (int i = 0; i < Math.min(count, eligible.size()); i++) {
            canaries.add(eligible.get((int) ((revision * count + i) % eligible.size())));
        }
        return canaries;
    }

    private void enter(RolloutProgress next) {
        progress = next;
        pendingProgressWrites++;
        environment.recordProgress(next.encode());
        String event =
                switch (next.stage()) {
                    case FIRST -> "first on " + String.join(", ", next.canaries());
                    case ALL -> "for all";
                    case HALTED -> "halted, " + next.haltReason();
                };
        environment.notifyOperator("revision " + next.revision() + ": " + event);
    }

    private void checkCanaries() {
        long silentNodes =
                nodes.keySet().stream().filter(name -> stateOf(name) == NodeState.SILENT).count();
        if (2 * silentNodes > nodes.size()) {
            // Rather a cut, maybe of this instance alone, than so many nodes that the revision
            // ended.
            stageEnteredAt = now;
        }
        boolean allSettled = true;
        for (String name : progress.canaries()) {
            Optional<String> failure = findCanaryFailure(name);
            if (failure.isPresent()) {
                enter(progress.halted(name + " " + failure.get()));
                return;
            }
            allSettled &= hasCanarySettled(name);
        }
        if (allSettled) {
            enter(progress.withStage(RolloutStage.ALL));
        }
    }

    private boolean isSilent(ManagedNode node) {
        return node == null || node.isSilent(now, settings.silentSeconds());
    }

    /** Why a canary shows that the revision must not go further. */
    private Optional<String> findCanaryFailure(String name) {
        ManagedNode node = nodes.get(name);
        Optional<NodeReport> report = Optional.ofNullable(node).flatMap(ManagedNode::report);
        if (report.filter(each -> each.rejectedRevision() == progress.revision()).isPresent()) {
            return Optional.of("refused it: " + report.get().rejectionReason());
        }
        if (node != null && node.wasRestartedSinceCanaryOrder()) {
            return Optional.of("was started anew while it took it");
        }
        double stageSeconds = now - stageEnteredAt;
        if (isSilent(node) && stageSeconds > settings.silentSeconds()) {
            return Optional.of("is silent");
        }
        if (stageSeconds > settings.canaryTimeoutSeconds() + settings.settleSeconds()) {
            return Optional.of(isSilent(node) ? "is silent" : "did not take it in time");
        }
        if (isRunningCanaryRevision(node)) {
            node.startCanary(now);
            return findServiceFailure(node);
        }
        return Optional.empty();
    }

    private boolean isRunningCanaryRevision(ManagedNode node) {
        return !isSilent(node)
                && node.report()
                        .filter(each -> each.revision() == progress.revision() && each.ready())
                        .isPresent();
    }

    private Optional<String> findServiceFailure(ManagedNode node) {
        long opened = node.openedSinceCanaryStart();
        long failed = node.failedSinceCanaryStart();
        long total = opened + failed;
        return failed > 2 && opened < settings.minServiceRate() * total
                ? Optional.of("closed " + failed + " of " + total + " tunnels with error by it")
                : Optional.empty();
    }

    private boolean hasCanarySettled(String name) {
        ManagedNode node = nodes.get(name);
        return isRunningCanaryRevision(node)
                && now - node.canarySince() >= settings.settleSeconds();
    }

    private void orderNodes() {
        long inFlight = nodes.values().stream().filter(node -> node.isInFlight(now)).count();
        for (Map.Entry<String, ManagedNode> each : nodes.entrySet()) {
            String name = each.getKey();
            ManagedNode node = each.getValue();
            NodeState state = stateOf(name);
            if (state == NodeState.SILENT
                    || state == NodeState.SHUT_OUT
                    || state == NodeState.CURRENT) {
                continue;
            }
            if (checkOrderDue(name, node) && inFlight < settings.maxInFlight()) {
                inFlight++;
                sendOrder(name, node, state);
            }
        }
    }

    /** Whether a node is to be ordered now; escalates where orders have not helped. */
    private boolean checkOrderDue(String name, ManagedNode node) {
        NodeReport report = node.report().orElseThrow();
        if (hasUnknownRevision(report)) {
            shutOut(name, report);
            return false;
        }
        if (!node.mayBeOrdered(now)) {
            return false;
        }
        boolean hasRejectedCanary =
                report.rejectedRevision() >= targetOf(name)
                        && report.rejectedRevision() == progress.revision()
                        && progress.stage() != RolloutStage.ALL;
        if (hasRejectedCanary) {
            return false;
        }
        if (node.attempts() >= settings.maxAttempts() && !node.isRestartRequested()) {
            node.markRestartRequested();
            environment.requestRestart(name, reasonFor(name));
        }
        // One that may not be shut out is ordered on, however long it takes.
        return node.attempts() < 2 * settings.maxAttempts() || !shutOut(name, report);
    }

    private void sendOrder(String name, ManagedNode node, NodeState state) {
        NodeReport report = node.report().orElseThrow();
        long number = Math.max(targetOf(name), report.revision());
        ConfigRevision revision = revisions.get(number);
        if (revision == null) {
            return;
        }
        boolean isByDifference =
                node.attempts() == 0
                        && state != NodeState.DIVERGED
                        && report.revision() > 0
                        && revisions.containsKey(report.revision());
        if (number == progress.revision() && progress.stage() == RolloutStage.FIRST) {
            node.canaryOrdered();
        }
        node.ordered(now, number, settings);
        environment.order(name, revision, isByDifference ? report.revision() : 0);
    }

    /** Returns whether the node is shut out: not if so many are that a person has to decide. */
    private boolean shutOut(String name, NodeReport report) {
        int limit = Math.max(1, (int) (settings.canaryShare() * nodes.size()));
        if (shutOutNodes.countByRollout() >= limit) {
            reportLimit(name);
            return false;
        }
        String reason = reasonFor(name);
        shutOutNodes.add(name, report.incarnation(), true);
        environment.shutOut(name, report.incarnation(), reason);
        return true;
    }

    private void reportLimit(String name) {
        if (!isLimitReported) {
            isLimitReported = true;
            environment.notifyOperator(
                    name
                            + " would be shut out, but "
                            + shutOutNodes.countByRollout()
                            + " are already: that is for a person");
        }
    }

    private void raiseFloor() {
        if (progress.stage() != RolloutStage.ALL
                || floor >= progress.revision()
                || nodes.isEmpty()) {
            return;
        }
        if (nodes.keySet().stream().allMatch(this::isAtRevisionOrShutOut)) {
            floor = progress.revision();
            environment.raiseFloor(floor);
        }
    }

    private boolean isAtRevisionOrShutOut(String name) {
        NodeState state = stateOf(name);
        if (state == NodeState.SHUT_OUT) {
            return true;
        }
        return state == NodeState.CURRENT
                && nodes.get(name).report().orElseThrow().revision() >= progress.revision();
    }

    /** Returns the nodes that are not current, in one line. */
    public String summary() {
        return nodes.keySet().stream()
                .filter(name -> stateOf(name) != NodeState.CURRENT)
                .map(name -> name + " " + stateOf(name))
                .collect(Collectors.joining(", "));
    }
}
