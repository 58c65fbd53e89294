package embershift.fleet.lease;

import java.util.Optional;

/**
 * How far a plan is, as the store has it.
 *
 * @param attempts how many holders have begun this step
 */
public record TaskProgress(String plan, State state, int step, int attempts) {

    /** The state of a step. The names are part of the stored text. */
    public enum State {
        /** Begun: its effect may have happened. */
        INTENDED,
        /** Its effect has happened. */
        DONE,
        /** Given up, as too many holders began it and none ended it. */
        POISONED
    }

    private static final int FIELD_COUNT = 4;

    /** Decodes the stored text; empty if it is none that this program knows. */
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
