package embershift.hosted;

import embershift.fleet.lease.TaskId;
import embershift.fleet.lease.TaskPlan;
import embershift.fleet.lease.TaskProgress;
import embershift.fleet.restart.OperatorIntent;
import embershift.fleet.restart.RollingRestartPlan;
import embershift.fleet.store.KeyValue;
import embershift.fleet.store.Mutation;
import embershift.fleet.store.Precondition;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * The release that the store holds. Its number is the store revision of its plan, which no two
 * releases share.
 *
 * @param items finds an item of the store by its key
 */
record StoredRelease(Function<String, Optional<KeyValue>> items) {

    static final TaskId TASK = new TaskId("release");

    /** Returns the number of the release, or 0 if there has been none. */
    long number() {
        return revisionOf(RollingRestartPlan.KEY);
    }

    Optional<RollingRestartPlan> plan() {
        return valueOf(RollingRestartPlan.KEY).flatMap(RollingRestartPlan::decode);
    }

    /** Returns the encoded plan that follows once this release has come to its end. */
    Optional<String> nextPlan() {
        return valueOf(RollingRestartPlan.NEXT_KEY);
    }

    /** Returns the name by which the progress of this release is known. */
    static String taskPlanName(RollingRestartPlan plan, long number) {
        return plan.name() + "-" + number;
    }

    /** Returns the release as a plan of the leased task. */
    static TaskPlan taskPlan(RollingRestartPlan plan, long number, double maxStepSeconds) {
        return new TaskPlan(taskPlanName(plan, number), plan.steps(), maxStepSeconds);
    }

    /**
     * Whether there is a release that is neither completed, aborted to its end nor stopped. One
     * that was aborted before its first step was recorded has done nothing, and never will.
     */
    boolean isUnderWay() {
        Optional<RollingRestartPlan> plan = plan();
        if (plan.isEmpty()) {
            return false;
        }
        return progress(plan.get())
                .map(progress -> !isEnd(plan.get(), progress))
                .orElseGet(() -> intentFor(number()) != OperatorIntent.ABORT);
    }

    private static boolean isEnd(RollingRestartPlan plan, TaskProgress progress) {
        return switch (progress.state()) {
            case INTENDED -> false;
            case DONE -> progress.step() == plan.steps() - 1;
            case POISONED -> true;
        };
    }

    private Optional<TaskProgress> progress(RollingRestartPlan plan) {
        return valueOf(TASK.progressKey())
                .flatMap(TaskProgress::decode)
                .filter(each -> each.plan().equals(taskPlanName(plan, number())));
    }

    /** Whether this step of the release has been recorded as begun and not as done. */
    boolean isStepBegun(RollingRestartPlan plan, int step) {
        return progress(plan)
                .filter(each -> each.state() == TaskProgress.State.INTENDED && each.step() == step)
                .isPresent();
    }

    /**
     * Returns what operators want of the release with this number. One that has been replaced by
     * another release is aborted.
     */
    OperatorIntent intentFor(long releaseNumber) {
        boolean isAborted =
                valueOf(RollingRestartPlan.ABORTED_KEY)
                        .filter(value -> value.equals(String.valueOf(releaseNumber)))
                        .isPresent();
        if (number() != releaseNumber || isAborted) {
            return OperatorIntent.ABORT;
        }
        // An intent for an earlier release does not apply.
        return items.apply(RollingRestartPlan.INTENT_KEY)
                .filter(intent -> intent.revision() >= releaseNumber)
                .map(intent -> OperatorIntent.decode(intent.value()))
                .orElse(OperatorIntent.GO);
    }

    /** The conditions that this release and what follows it are as they were read. */
    List<Precondition> isUnchanged() {
        return List.of(
                isUnchanged(RollingRestartPlan.KEY),
                isUnchanged(RollingRestartPlan.NEXT_KEY),
                isUnchanged(TASK.progressKey()));
    }

    /** The condition that the store still holds the release with this number. */
    List<Precondition> isSameNumber() {
        return List.of(isUnchanged(RollingRestartPlan.KEY));
    }

    private Precondition isUnchanged(String key) {
        return new Precondition(key, revisionOf(key));
    }

    /** The mutations that make a plan the release that the store holds. */
    static List<Mutation> replaceBy(RollingRestartPlan plan) {
        return List.of(
                Mutation.put(RollingRestartPlan.KEY, plan.encode()),
                Mutation.delete(RollingRestartPlan.NEXT_KEY),
                Mutation.delete(RollingRestartPlan.INTENT_KEY),
                Mutation.put(RollingRestartPlan.STATE_KEY, plan.name() + " waits for an owner"));
    }

    private Optional<String> valueOf(String key) {
        return items.apply(key).map(KeyValue::value);
    }

    private long revisionOf(String key) {
        return items.apply(key).map(KeyValue::revision).orElse(0L);
    }
}
