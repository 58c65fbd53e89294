package embershift.fleet.rollout;

import java.util.List;
import java.util.Optional;

/**
 * How far a rollout is, as the store has it.
 *
 * @param revision that is rolled out
 * @param goodRevision the last one that went to all nodes
 * @param canaries nodes that go first
 * @param haltReason empty unless the rollout is halted
 */
record RolloutProgress(
        long revision,
        RolloutStage stage,
        long goodRevision,
        List<String> canaries,
        String haltReason) {

    /** Before the first revision. */
    static final RolloutProgress INITIAL =
            new RolloutProgress(0, RolloutStage.ALL, 0, List.of(), "");

    private static final String NO_CANARIES = "-";
    private static final int MIN_WORDS = 4;

    RolloutProgress withStage(RolloutStage newStage) {
        long good = newStage == RolloutStage.ALL ? revision : goodRevision;
        return new RolloutProgress(revision, newStage, good, canaries, haltReason);
    }

    RolloutProgress halted(String reason) {
        return new RolloutProgress(revision, RolloutStage.HALTED, goodRevision, canaries, reason);
    }

    String encode() {
        String names = canaries.isEmpty() ? NO_CANARIES : String.join(",", canaries);
        String text = revision + " " + stage + " " + goodRevision + " " + names;
        return haltReason.isEmpty() ? text : text + " " + haltReason;
    }

    /** Decodes the stored text; empty if it is none. */
    static Optional<RolloutProgress> decode(String text) {
        String[] words = text.split(" ", MIN_WORDS + 1);
        boolean isValid =
                words.length >= MIN_WORDS
                        && words[0].matches("\\d{1,18}")
                        && words[2].matches("\\d{1,18}");
        if (!isValid) {
            return Optional.empty();
        }
        RolloutStage stage = RolloutStage.ALL;
        for (RolloutStage each : RolloutStage.values()) {
            if (each.name().equals(words[1])) {
                stage = each;
            }
        }
        return Optional.of(
                new RolloutProgress(
                        Long.parseLong(words[0]),
                        stage,
                        Long.parseLong(words[2]),
                        words[3].equals(NO_CANARIES) ? List.of() : List.of(words[3].split(",")),
                        words.length > MIN_WORDS ? words[MIN_WORDS] : ""));
    }
}
