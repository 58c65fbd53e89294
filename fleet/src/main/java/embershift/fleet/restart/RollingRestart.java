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
 * One step of a rolling restart: its targets are taken out of service, restarted and brought back,
 * with never more of them away than the plan says. The process manager, which restarts things,
 * knows no fencing token: it is called by an id that it remembers. So an earlier lease holder can't
 * have anything restarted twice, and what an abort leaves undone is cancelled there first. A state
 * machine without I/O, clock or threads; times in seconds, never decreasing.
 */
public final class RollingRestart {

    /** What the process manager says of an id. */
    public enum RestartState {
        /** It was not called by that id yet. */
        NOT_REQUESTED,
        /** The restart is under way. */
        IN_PROGRESS,
        /** The restart is done. */
        DONE,
        /** It was never called by that id, and will not act on it. */
        CANCELLED,
        /** No answer came. */
        UNKNOWN
    }

    /**
     * A registered node that is not shut out.
     *
     * @param ejectedHosts hosts that it was told not to use, and does not
     */
    public record NodeView(boolean isReachable, boolean isReady, Collection<String> ejectedHosts) {}

    /** What is seen of the fleet. */
    public interface FleetView {

        /** Returns the nodes by name. */
        Map<String, NodeView> nodes();

        /** Whether discovery lists a host as in service. */
        boolean isInService(String host);

        /**
         * Returns the share of sessions opened of those opened or failed lately; empty for none.
         */
        OptionalDouble serviceRate();
    }

    /** What a restart needs done for it. It must not call back from within. */
    public interface Environment {

        /** From now on no node may use these hosts, and this restart keeps nodes off no others. */
        void ejectHosts(Set<String> hosts);

        /** Requests a restart; {@link #restartReported} follows, or nothing and a further try. */
        void restart(RollingRestartPlan.Target target, String id);

        /** Cancels an id at the process manager; {@link #restartReported} follows, or nothing. */
        void cancel(String id);

        /** The step is done, or was brought to a sound end. */
        void completed(boolean isAborted);

        /** The step waits until an operator lets it go on. */
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
     * @param mayHaveStarted whether an earlier lease holder may have begun it, and calls of that
     *     one may still arrive: then each target is out of service, and counts as away, until the
     *     process manager has said what became of it
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

    /** Takes what operators want: {@code go}, {@code pause} or {@code abort}, which is final. */
    public void setOperatorIntent(double now, String intent) {
        boolean wantsPause = intent.equals("pause");
        if (isPaused && !wantsPause) {
            isHalted = false;
            lastProgressAt = now;
        }
        isPaused = wantsPause;
        isAborting |= intent.equals("abort");
    }

    /** Takes what the process manager says of an id. */
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

    /** Returns what the step waits for, in one line, or "". */
    public String waitReason() {
        return waitReason;
    }

    /** Time has passed. To be called several times a second. */
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
                            ? "nothing got on for " + plan.stallTimeoutSeconds() + " s"
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
                // Nothing is left to do for it.
            }
        }
    }

    private void enter(double now, TargetProgress progress, Phase phase) {
        progress.phase = phase;
        progress.requestedAt = Double.NEGATIVE_INFINITY;
        lastProgressAt = now;
    }

    /** An earlier lease holder may have requested a restart: only the process manager can tell. */
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
            waitReason = "it is paused";
            return;
        }
        OptionalDouble serviceRate = view.serviceRate();
        if (serviceRate.isPresent() && serviceRate.getAsDouble() < plan.minServiceRate()) {
            waitReason = String.format("service is %.3f", serviceRate.getAsDouble());
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
        waitReason = "away already: " + String.join(", ", unavailable);
    }

    private void cancel(double now, RollingRestartPlan.Target target, TargetProgress progress) {
        if (now - progress.requestedAt >= RETRY_SECONDS) {
            progress.requestedAt = now;
            environment.cancel(plan.id(step, target));
        }
        waitReason = target + " is to be left alone";
    }

    /** What is away: targets under way, and nodes that can't be reached or are not ready. */
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

    /** Nodes that can be reached and may still use a host. */
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
            // Something else went away since this was begun.
            waitForOthers(unavailable);
            return;
        }
        if (!progress.isRequested && !nodesThatMayUse(target).isEmpty()) {
            // A node that could not be reached is back, and knows nothing of it.
            enter(now, progress, Phase.EJECTING);
            return;
        }
        if (now - progress.requestedAt >= RETRY_SECONDS) {
            progress.requestedAt = now;
            environment.restart(target, plan.id(step, target));
        }
        waitReason = target + " is being started anew";
    }

    private void warmUp(double now, RollingRestartPlan.Target target, TargetProgress progress) {
        if (!isServing(target)) {
            progress.servingSince = OptionalDouble.empty();
            waitReason = target + " is not back";
        } else if (progress.servingSince.isEmpty()) {
            progress.servingSince = OptionalDouble.of(now);
            lastProgressAt = now;
        } else if (now - progress.servingSince.getAsDouble() >= plan.warmUpSeconds()) {
            enter(now, progress, Phase.DONE);
        } else {
            waitReason = target + " is warming";
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
