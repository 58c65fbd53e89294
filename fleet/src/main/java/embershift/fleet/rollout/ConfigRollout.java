package embershift.fleet.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Rolls out configuration revisions: first to canaries, then to all nodes, with a halt if canaries
 * reject the revision, are lost or fail too many sessions. A node that does not follow is sent the
 * difference, then the complete revision, then its restart is requested, then it is shut out;
 * beyond a limited number of nodes that takes an operator. A state machine without I/O, clock or
 * threads; times are monotonic, in seconds.
 */
public final class ConfigRollout {

    /** The actions that a rollout delegates to its owner, which must not call back from within. */
    public interface Environment {

        /**
         * Orders a node to apply a revision: the complete one if {@code baseNumber} is 0, otherwise
         * the difference to that revision.
         */
        void order(String node, ConfigRevision revision, long baseNumber);

        /** Records progress in the store; {@link #progressRecorded} must follow once stored. */
        void recordProgress(String text);

        /** Raises the floor: no node on an earlier revision may act for the fleet. */
        void raiseFloor(long revision);

        /** Shuts out a node's incarnations up to this one. */
        void shutOut(String node, long incarnation, String reason);

        /** Requests a restart of a node. */
        void requestRestart(String node, String reason);

        /** Reports a message to the operators. */
        void notifyOperator(String message);
    }

    private final RolloutSettings settings;
    private final Environment environment;
    private final TreeMap<Long, ConfigRevision> revisions = new TreeMap<>();
    private final RevisionDigests digests = new RevisionDigests();
    private final TreeMap<String, ManagedNode> nodes = new TreeMap<>();
    private final ShutOutNodes shutOutNodes = new ShutOutNodes();

    /** Numbers of the revisions that are sent to all nodes at once, without canaries. */
    private final TreeSet<Long> immediateRevisions = new TreeSet<>();

    private long floor;
    private RolloutProgress progress = RolloutProgress.INITIAL;
    private double stageEnteredAt;

    /**
     * Number of progress records that the store may not have yet. Orders that follow from them are
     * held back until it has, as the next lease holder continues from the stored progress.
     */
    private int pendingProgressWrites;

    private boolean isLimitReported;
    private double now;

    /** Creates a rollout that knows no revision and no node. */
    public ConfigRollout(RolloutSettings settings, Environment environment) {
        this.settings = settings;
        this.environment = environment;
        addRevision(ConfigRevision.NONE);
    }

    /** Adds a revision from the store. */
    public void addRevision(ConfigRevision revision) {
        if (revisions.put(revision.number(), revision) == null) {
            digests.add(revision);
        }
    }

    /**
     * Marks a revision as one that is sent to all nodes at once; has to be called before the first
     * {@link #tick} with that revision.
     */
    public void markImmediate(long number) {
        immediateRevisions.add(number);
    }

    /** Continues from the stored progress; empty if there is none. */
    public void restore(double time, Optional<String> text) {
        stageEnteredAt = time;
        text.flatMap(RolloutProgress::decode).ifPresent(stored -> progress = stored);
    }

    /** Adopts the floor in the store: see {@link Environment#raiseFloor}. */
    public void raiseFloorTo(long revision) {
        floor = Math.max(floor, revision);
    }

    /** Adds a node that is registered in the store. */
    public void addNode(String name) {
        nodes.computeIfAbsent(name, none -> new ManagedNode());
    }

    /** Removes a node that is no longer registered in the store. */
    public void removeNode(String name) {
        nodes.remove(name);
    }

    /** Marks a node as shut out in the store, up to that incarnation. */
    public void setShutOut(String name, long incarnation, boolean isByRollout) {
        shutOutNodes.add(name, incarnation, isByRollout);
    }

    /** Marks a node as not shut out in the store. */
    public void setAdmitted(String name) {
        shutOutNodes.remove(name);
    }

    /** Called when the oldest pending progress record has been stored. */
    public void progressRecorded() {
        pendingProgressWrites--;
    }

    /** Handles a node's report. */
    public void reportReceived(double time, NodeReport report) {
        nodes.computeIfAbsent(report.node(), key -> new ManagedNode()).reportReceived(time, report);
    }

    /** How a node answered an order. */
    public enum OrderAnswer {
        /** The node has applied the revision. */
        APPLIED,
        /** The node needs the complete revision. */
        FULL_REVISION_NEEDED,
        /** The node has not applied the revision. */
        NOT_APPLIED
    }

    /** Handles a node's answer to an order. */
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
                // The order is sent again when its retry is due.
            }
        }
    }

    /** Called when a node's connection has ended. */
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

    /** Returns why a node is in its state, for operators; "" if it is current. */
    public String reasonFor(String name) {
        NodeState state = stateOf(name);
        Optional<NodeReport> report =
                Optional.ofNullable(nodes.get(name)).flatMap(ManagedNode::report);
        if (state == NodeState.SHUT_OUT) {
            return "up to incarnation " + shutOutNodes.lastIncarnation(name).orElseThrow();
        }
        if (report.isEmpty()) {
            return "no report received by this lease holder";
        }
        long reported = report.get().revision();
        return switch (state) {
            case SILENT ->
                    "was at revision " + reported + " at last report; its current one is unknown";
            case DIVERGED ->
                    hasUnknownRevision(report.get())
                            ? "reports revision " + reported + ", which the store never had"
                            : "reports revision " + reported + ", but its effective fields differ";
            case COMING_BACK -> "is at revision " + reported + ", below the floor " + floor;
            case BEHIND ->
                    "is at revision "
                            + reported
                            + ", target "
                            + targetOf(name)
                            + rejectionSuffix(name, report.get());
            default -> "";
        };
    }

    private String rejectionSuffix(String name, NodeReport report) {
        return report.rejectedRevision() == targetOf(name)
                ? ", rejected the target: " + report.rejectionReason()
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

    /** Returns the number of the revision that a node should apply. */
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

    /** Returns the number of the revision that is being rolled out. */
    public long revision() {
        return progress.revision();
    }

    /** Returns the revision below which no node may act for the fleet. */
    public long floor() {
        return floor;
    }

    /** Performs the actions that are due. Must be called several times a second. */
    public void tick(double time) {
        now = time;
        if (pendingProgressWrites > 0) {
            return;
        }
        sendImmediateRevision();
        if (pendingProgressWrites == 0 && progress.isUntried()) {
            judgeImmediateRevision();
        }
        if (pendingProgressWrites == 0 && !progress.isUntried()) {
            startRolloutIfDue();
        }
        if (progress.stage() == RolloutStage.FIRST && pendingProgressWrites == 0) {
            checkCanaries();
        }
        if (pendingProgressWrites == 0) {
            orderNodes();
            raiseFloor();
        }
    }

    /**
     * Sends an immediate revision to all nodes before a later revision is tried on canaries, so
     * that it does not depend on what becomes of that one.
     */
    private void sendImmediateRevision() {
        // A mark may be known before its revision is.
        Long immediate = immediateRevisions.floor(revisions.lastKey());
        if (immediate != null && immediate > progress.revision()) {
            stageEnteredAt = now;
            enter(progress.sentToAllUntried(immediate));
        }
    }

    /** Keeps an immediate revision as the last good one, or halts it if no node can apply it. */
    private void judgeImmediateRevision() {
        ImmediateCheck check =
                new ImmediateCheck(
                        progress.revision(),
                        nodes.entrySet().stream()
                                .filter(each -> stateOf(each.getKey()).isEligible())
                                .flatMap(each -> each.getValue().report().stream())
                                .toList());
        Optional<String> failure = check.findFailure();
        if (failure.isPresent()) {
            enter(progress.halted(failure.get()));
        } else if (check.isApplied() || now - stageEnteredAt > settings.canaryTimeoutSeconds()) {
            record(progress.withStage(RolloutStage.ALL));
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
        List<String> canaries = chooseCanaries(latest, eligible);
        nodes.values().forEach(ManagedNode::resetCanary);
        enter(
                new RolloutProgress(
                        latest, RolloutStage.FIRST, progress.lastGoodRevision(), canaries, ""));
    }

    /** Chooses other canaries for each revision. */
    private List<String> chooseCanaries(long revision, List<String> eligible) {
        int count = Math.max(1, (int) Math.ceil(settings.canaryShare() * eligible.size()));
        List<String> canaries = new ArrayList<>();
        for (int i = 0; i < Math.min(count, eligible.size()); i++) {
            canaries.add(eligible.get((int) ((revision * count + i) % eligible.size())));
        }
        return canaries;
    }

    private void record(RolloutProgress next) {
        progress = next;
        pendingProgressWrites++;
        environment.recordProgress(next.encode());
    }

    private void enter(RolloutProgress next) {
        record(next);
        String event =
                switch (next.stage()) {
                    case FIRST -> "sent to the canaries " + String.join(", ", next.canaries());
                    case ALL -> "sent to all nodes";
                    case HALTED -> "halted: " + next.haltReason();
                };
        environment.notifyOperator("revision " + next.revision() + ": " + event);
    }

    private void checkCanaries() {
        long silentNodes =
                nodes.keySet().stream().filter(name -> stateOf(name) == NodeState.SILENT).count();
        if (2 * silentNodes > nodes.size()) {
            // So many silent nodes rather indicate a network partition, maybe of this instance
            // alone, than nodes that the revision made fail.
            stageEnteredAt = now;
        }
        CanaryCheck check =
                new CanaryCheck(settings, progress.revision(), now, now - stageEnteredAt);
        boolean allSettled = true;
        for (String name : progress.canaries()) {
            Optional<ManagedNode> node = Optional.ofNullable(nodes.get(name));
            Optional<String> failure = check.findFailure(node);
            if (failure.isPresent()) {
                enter(progress.halted(name + " " + failure.get()));
                return;
            }
            allSettled &= node.filter(check::hasSettled).isPresent();
        }
        if (allSettled) {
            enter(progress.withStage(RolloutStage.ALL));
        }
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

    /** Whether to order a node now; escalates to restart and shut-out if orders have not helped. */
    private boolean checkOrderDue(String name, ManagedNode node) {
        NodeReport report = node.report().orElseThrow();
        if (hasUnknownRevision(report)) {
            shutOut(name, report);
            return false;
        }
        long target = targetOf(name);
        node.targetChosen(target);
        if (!node.mayBeOrdered(now)) {
            return false;
        }
        // If it has rejected the target, the fault is the revision's and not the node's, which
        // serves
        // on by an earlier one. A canary that has rejected it is not asked again.
        if (report.rejectedRevision() == target) {
            return progress.stage() == RolloutStage.ALL || target != progress.revision();
        }
        if (node.attempts() >= settings.maxAttempts() && !node.isRestartRequested()) {
            node.markRestartRequested();
            environment.requestRestart(name, reasonFor(name));
        }
        // A node that may not be shut out is sent further orders, however long it takes.
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

    /** Shuts a node out; returns false if so many are already that an operator has to decide. */
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
                            + " nodes are already: an operator has to decide");
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
