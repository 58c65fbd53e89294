package embershift.fleet;

/**
 * What a duty comes to: so many steps, one after the other, under a name that tells this plan from
 * others. {@code longest}: seconds that the effect of any step may take. No steps: it is never
 * done, and its owner goes on while it has it.
 */
public record Plan(String name, int steps, double longest) {

    /**
     * @throws IllegalArgumentException where the name can't stand in the record or nothing is to be
     *     done
     */
    public Plan {
        if (!name.matches("[A-Za-z0-9._-]{1,64}") || steps < 0 || !(longest >= 0)) {
            throw new IllegalArgumentException(
                    "a plan has a plain name, and no negative number of steps or time");
        }
    }

    /** Whether it is never done. */
    public boolean standing() {
        return steps == 0;
    }

    /** How far a plan is, as the record has it. {@code owners}: how many have begun this step. */
    record Progress(String plan, State state, int step, int owners) {

        enum State {
            INTENDED,
            DONE,
            POISONED
        }

        /**
         * Of what the record holds there; null for nothing, or of what this program does not know.
         */
        static Progress read(String text) {
            String[] words = text == null ? new String[0] : text.split(" ");
            if (words.length != 4
                    || !words[2].matches("\\d{1,9}")
                    || !words[3].matches("\\d{1,9}")) {
                return null;
            }
            for (State state : State.values()) {
                if (state.name().equals(words[1])) {
                    return new Progress(
                            words[0],
                            state,
                            Integer.parseInt(words[2]),
                            Integer.parseInt(words[3]));
                }
            }
            return null;
        }

        String text() {
            return plan + " " + state + " " + step + " " + owners;
        }
    }
}
