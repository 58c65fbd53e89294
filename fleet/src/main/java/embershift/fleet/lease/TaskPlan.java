package embershift.fleet.lease;

/**
 * The steps of a task, done one after the other.
 *
 * @param name tells this plan from others of the same task
 * @param steps how many there are; 0 for a task that is never done, whose holder goes on while it
 *     holds the lease
 * @param maxStepSeconds the longest time that the effect of a step may take
 */
public record TaskPlan(String name, int steps, double maxStepSeconds) {

    /**
     * Checks the plan.
     *
     * @throws IllegalArgumentException if the name can't be part of the store's values, or a number
     *     is negative
     */
    public TaskPlan {
        if (!name.matches("[A-Za-z0-9._-]{1,64}") || steps < 0 || !(maxStepSeconds >= 0)) {
            throw new IllegalArgumentException(
                    "a plan has a plain name, and no negative number of steps or time");
        }
    }

    /** Whether the task is never done. */
    public boolean isContinuous() {
        return steps == 0;
    }
}
