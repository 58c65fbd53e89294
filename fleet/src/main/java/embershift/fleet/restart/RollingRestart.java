package embershift.fleet.restart;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeSet;

/**
 * One step of a rolling restart: its targets are taken out of service, restarted and returned to
 * service, while no more of them are unavailable than the plan allows. The process manager that
 * performs the restarts does not check fencing tokens; it is called with an id for each restart,
 * which it remembers. So an earlier lease holder cannot cause a second restart, and restarts that
 * an abort leaves undone are cancelled there first. A state machine without I/O, clock or threads;
 * times are monotonic, in seconds.
 */
public final class RollingRestart {

    /** The state of a restart id at the process manager. */
    public enum RestartState {
        /** The process manager has not been called with that id. */
        NOT_REQUESTED,
        /** The restart is in progress. */
        IN_PROGRESS,
        /** The restart is done. */
        DONE,
        /**
         * The process manager was not called with that id before the cancellation, and will not act
         * on it.
         */
        CANCELLED,
        /** No answer came. */
        UNKNOWN
    }

    /**
     * A registered node that is not shut out.
     *
     * @param ejectedHosts hosts that the node was told to stop using, and has stopped using
     */
    public record NodeView(boolean isReachable, boolean isReady, Collection<String> ejectedHosts) {}

    /** The observed state of the fleet. */
    public interface FleetView {

        /** Returns the nodes by name. */
        Map<String, NodeView> nodes();

        /** Whether discovery lists a host as in service. */
        boolean isInService(String host);

        /**
         * Returns the fraction of recent sessions that were opened, of those opened or failed;
         * empty if there were none.
         */
        OptionalDouble serviceRate();
    }

    /**
     * The actions that a restart delegates to its owner. An implementation must not call back into
     * the restart from within them.
     */
    public interface Environment {

        /**
         * Ejects exactly these hosts on all nodes; hosts that this restart ejected before are
         * returned to service.
         */
        void ejectHosts(Set<String> hosts);

        /**
         * Requests a restart. {@link #restartReported} follows; if the answer is lost, the request
         * is retried.
         */
        void restart(RollingRestartPlan.Target target, String id);

        /**
         * Cancels an id at the process manager; {@link #restartReported} follows, unless the answer
         * is lost.
         */
        void cancel(String id);

        /** Called when the step is completed, or was aborted in a consistent state. */
        void completed(boolean isAborted);

        /** Called when the step has halted until an operator resumes it. */
        void halted(String reason);
    }

    private enum Phase {
        WAITING,
        EJECTING,
        RESTARTING,
        WARMING_UP,
        DONE
    }

    private static final class TargetProgress {
        private Phase phase = Phase.WAITING;
        private double requestedAt = Double.NEGATIVE_INFINITY;
        private boolean isRequested;
        private boolean isCancelled;
        private RestartState reported = RestartState.NOT_REQUESTED;
        private OptionalDouble servingSince = OptionalDouble.empty();

        /** Whether an earlier lease holder may have requested the restart. */
        private final boolean mayHaveBeenRequested;

        TargetProgress(boolean mayHaveBeenRequested) {
            this.mayHaveBeenRequested = mayHaveBeenRequested;
        }

        boolean isUnavailable() {
            return phase == Phase.WAITING ? mayHaveBeenRequested : phase != Phase.DONE;
        }
    }

    private static final double RETRY_SECONDS = 0.25;

    private final RollingRestartPlan plan;
    private final int step;
    private final FleetView view;
    private final Environment environment;
    private final Map<RollingRestartPlan.Target, TargetProgress> targets = new LinkedHashMap<>();
    private double lastProgressAt;
    private boolean isCompleted;
    private boolean isHalted;
    private boolean isAborting;
    private boolean isPaused;
    private String waitReason = "";
    private Set<String> ejectedHosts = Set.of();

    /**
     * Begins a step.
     *
     * @param mayHaveStarted whether an earlier lease holder may have begun it, so that its calls
     *     may still arrive. Each target is then kept out of service, and counts as unavailable,
     *     until the process manager has reported its state
     */
    public RollingRestart(
            double now,
            RollingRestartPlan plan,
            int step,
            boolean mayHaveStarted,
            FleetView view,
            Environment environment) {
        this.plan = plan;
        this.step = step;
        this.view = view;
        this.environment = environment;
        lastProgressAt = now;
        plan.targetsOf(step)
                .forEach(target -> targets.put(target, new TargetProgress(mayHaveStarted)));
    }

    /** Sets what operators want. */
    public void setOperatorIntent(double now, OperatorIntent intent) {
        boolean wantsPause = intent == OperatorIntent.PAUSE;
        if (isPaused && !wantsPause) {
            isHalted = false;
            lastProgressAt = now;
        }
        isPaused = wantsPause;
        isAborting |= intent == OperatorIntent.ABORT;
    }

    /** Handles the state of an id as reported by the process manager. */
    public void restartReported(double now, String id, RestartState restartState) {
        if (restartState == RestartState.UNKNOWN) {
            return;
        }
        targets.forEach(
                (target, progress) -> {
                    if (plan.id(step, target).equals(id)) {
                        recordReport(now, progress, restartState);
                    }
                });
    }

    private void recordReport(double now, TargetProgress progress, RestartState restartState) {
        if (progress.reported != restartState) {
            lastProgressAt = now;
        }
        progress.reported = restartState;
        progress.isRequested |=
                restartState == RestartState.IN_PROGRESS || restartState == RestartState.DONE;
        progress.isCancelled |= restartState == RestartState.CANCELLED;
    }

    /** Returns what the step is waiting for, in one line, or "". */
    public String waitReason() {
        return waitReason;
    }

    /** Performs the actions that are due. Must be called several times a second. */
    public void tick(double now) {
        if (isCompleted) {
            return;
        }
        waitReason = "";
        targets.forEach((target, progress) -> advance(now, target, progress));
        updateEjectedHosts();
        if (targets.values().stream().allMatch(progress -> progress.phase == Phase.DONE)) {
            isCompleted = true;
            environment.completed(isAborting);
        } else {
            haltIfStuck(now);
        }
    }

    private void updateEjectedHosts() {
        Set<String> wanted = new TreeSet<>();
        targets.forEach(
                (target, progress) -> {
                    if (!target.isNode()
                            && progress.isUnavailable()
                            && progress.servingSince.isEmpty()) {
                        wanted.add(target.name());
                    }
                });
        if (!wanted.equals(ejectedHosts)) {
            ejectedHosts = wanted;
            environment.ejectHosts(Set.copyOf(wanted));
        }
    }

    private void haltIfStuck(double now) {
        boolean isStuck = now - lastProgressAt > plan.stallTimeoutSeconds();
        if (isStuck && !isPaused && !isHalted) {
            isHalted = true;
            environment.halted(
                    waitReason.isEmpty()
                            ? "no progress for " + plan.stallTimeoutSeconds() + " s"
                            : waitReason);
        }
    }

    private void advance(double now, RollingRestartPlan.Target target, TargetProgress progress) {
        switch (progress.phase) {
            case WAITING -> {
                if (isAborting) {
                    abortTarget(now, target, progress);
                } else {
                    startIfAllowed(now, target, progress);
                }
            }
            case EJECTING -> eject(now, target, progress);
            case RESTARTING -> restart(now, target, progress);
            case WARMING_UP -> warmUp(now, target, progress);
            case DONE -> {
                // The target is done.
            }
        }
    }

    private void enter(double now, TargetProgress progress, Phase phase) {
        progress.phase = phase;
        progress.requestedAt = Double.NEGATIVE_INFINITY;
        lastProgressAt = now;
    }

    /**
     * Finishes an aborted target. As an earlier lease holder may have requested its restart, only
     * the process manager can tell its state.
     */
    private void abortTarget(
            double now, RollingRestartPlan.Target target, TargetProgress progress) {
        if (progress.isCancelled) {
            enter(now, progress, Phase.DONE);
        } else if (progress.isRequested) {
            enter(now, progress, Phase.RESTARTING);
        } else {
            cancel(now, target, progress);
        }
    }

    private void startIfAllowed(
            double now, RollingRestartPlan.Target target, TargetProgress progress) {
        if (isPaused) {
            waitReason = "the restart is paused";
            return;
        }
        OptionalDouble serviceRate = view.serviceRate();
        if (serviceRate.isPresent() && serviceRate.getAsDouble() < plan.minServiceRate()) {
            waitReason = String.format("the service rate is %.3f", serviceRate.getAsDouble());
            return;
        }
        Set<String> unavailable = unavailableTargets();
        if (!unavailable.contains(target.toString()) && unavailable.size() >= plan.batchSize()) {
            waitForOthers(unavailable);
            return;
        }
        enter(now, progress, target.isNode() ? Phase.RESTARTING : Phase.EJECTING);
    }

    private void waitForOthers(Set<String> unavailable) {
        waitReason = "already unavailable: " + String.join(", ", unavailable);
    }

    private void cancel(double now, RollingRestartPlan.Target target, TargetProgress progress) {
        if (now - progress.requestedAt >= RETRY_SECONDS) {
            progress.requestedAt = now;
            environment.cancel(plan.id(step, target));
        }
        waitReason = target + ": its restart is being cancelled";
    }

    /**
     * Returns the unavailable targets: those in progress, and nodes that cannot be reached or are
     * not ready.
     */
    private Set<String> unavailableTargets() {
        Set<String> unavailable = new LinkedHashSet<>();
        targets.forEach(
                (target, progress) -> {
                    if (progress.isUnavailable()) {
                        unavailable.add(target.toString());
                    }
                });
        view.nodes()
                .forEach(
                        (name, node) -> {
                            if (!node.isReachable() || !node.isReady()) {
                                unavailable.add(
                                        new RollingRestartPlan.Target(true, name).toString());
                            }
                        });
        return unavailable;
    }

    private void eject(double now, RollingRestartPlan.Target target, TargetProgress progress) {
        if (isAborting) {
            enter(now, progress, Phase.WAITING);
            return;
        }
        List<String> users = nodesThatMayUse(target);
        if (users.isEmpty()) {
            enter(now, progress, Phase.RESTARTING);
        } else {
            waitReason = target + " is still in use at " + String.join(", ", users);
        }
    }

    /** Returns the reachable nodes that may still use a host. */
    private List<String> nodesThatMayUse(RollingRestartPlan.Target target) {
        if (target.isNode()) {
            return List.of();
        }
        return view.nodes().entrySet().stream()
                .filter(each -> each.getValue().isReachable())
                .filter(each -> !each.getValue().ejectedHosts().contains(target.name()))
                .map(Map.Entry::getKey)
                .toList();
    }

    private void restart(double now, RollingRestartPlan.Target target, TargetProgress progress) {
        if (progress.reported == RestartState.DONE) {
            enter(now, progress, Phase.WARMING_UP);
            return;
        }
        if (progress.reported == RestartState.CANCELLED) {
            enter(now, progress, Phase.DONE);
            return;
        }
        if (isAborting && !progress.isRequested) {
            cancel(now, target, progress);
            return;
        }
        Set<String> unavailable = unavailableTargets();
        if (!progress.isRequested && unavailable.size() > plan.batchSize()) {
            // Something else became unavailable since this target was started.
            waitForOthers(unavailable);
            return;
        }
        if (!progress.isRequested && !nodesThatMayUse(target).isEmpty()) {
            // A node that could not be reached is back, and does not know of the ejection.
            enter(now, progress, Phase.EJECTING);
            return;
        }
        if (now - progress.requestedAt >= RETRY_SECONDS) {
            progress.requestedAt = now;
            environment.restart(target, plan.id(step, target));
        }
        waitReason = target + " is being restarted";
    }

    private void warmUp(double now, RollingRestartPlan.Target target, TargetProgress progress) {
        if (!isServing(target)) {
            progress.servingSince = OptionalDouble.empty();
            waitReason = target + " is not back in service";
        } else if (progress.servingSince.isEmpty()) {
            progress.servingSince = OptionalDouble.of(now);
            lastProgressAt = now;
        } else if (now - progress.servingSince.getAsDouble() >= plan.warmUpSeconds()) {
            enter(now, progress, Phase.DONE);
        } else {
            waitReason = target + " is warming up";
        }
    }

    private boolean isServing(RollingRestartPlan.Target target) {
        if (!target.isNode()) {
            return view.isInService(target.name());
        }
        NodeView node = view.nodes().get(target.name());
        return node != null && node.isReachable() && node.isReady();
    }
}
