package embershift.fleet.lease;

/**
 * The steps of a task, run one after the other.
 *
 * @param name distinguishes this plan from others of the same task
 * @param steps number of steps; 0 for a continuous task, which runs for as long as the lease is
 *     held
 * @param maxStepSeconds the longest time that the effect of a step may take
 */
public record TaskPlan(String name, int steps, double maxStepSeconds) {

    /**
     * Validates the plan.
     *
     * @throws IllegalArgumentException if the name cannot be part of the store's values, or a
     *     number is negative
     */
    public TaskPlan {
        if (!name.matches("[A-Za-z0-9._-]{1,64}") || steps < 0 || !(maxStepSeconds >= 0)) {
            throw new IllegalArgumentException(
                    "a plan needs a name of 1 to 64 letters, digits, '.', '_' or '-', and no negative number of steps or time");
        }
    }

    /** Whether the task runs for as long as the lease is held. */
    public boolean isContinuous() {
        return steps == 0;
    }
}
