package embershift.fleet.lease;

import java.util.Optional;

/**
 * Progress of a plan, as recorded in the store.
 *
 * @param attempts number of holders that have begun this step
 */
public record TaskProgress(String plan, State state, int step, int attempts) {

    /** The state of a step. The names are part of the stored text. */
    public enum State {
        /** The step was begun; its effect may have taken place. */
        INTENDED,
        /** The effect of the step has taken place. */
        DONE,
        /** The step was given up because too many holders began it and none completed it. */
        POISONED
    }

    private static final int FIELD_COUNT = 4;

    /** Decodes the stored text; empty if it is not valid. */
    public static Optional<TaskProgress> decode(String text) {
        String[] fields = text.split(" ");
        if (fields.length != FIELD_COUNT || !isNumber(fields[2]) || !isNumber(fields[3])) {
            return Optional.empty();
        }
        for (State state : State.values()) {
            if (state.name().equals(fields[1])) {
                return Optional.of(
                        new TaskProgress(
                                fields[0],
                                state,
                                Integer.parseInt(fields[2]),
                                Integer.parseInt(fields[3])));
            }
        }
        return Optional.empty();
    }

    private static boolean isNumber(String word) {
        return word.matches("\\d{1,9}");
    }

    /** Encodes this as the stored text. */
    public String encode() {
        return plan + " " + state + " " + step + " " + attempts;
    }
}
