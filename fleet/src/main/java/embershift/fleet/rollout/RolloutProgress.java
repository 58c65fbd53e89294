package embershift.fleet.rollout;

import java.util.List;
import java.util.Optional;

/**
 * Progress of a rollout, as recorded in the store.
 *
 * @param revision the revision that is being rolled out
 * @param lastGoodRevision the last revision that was sent to all nodes and not rejected by all
 * @param canaries nodes that are updated first
 * @param haltReason empty unless the rollout is halted
 */
record RolloutProgress(
        long revision,
        RolloutStage stage,
        long lastGoodRevision,
        List<String> canaries,
        String haltReason) {

    /** The state before the first revision. */
    static final RolloutProgress INITIAL =
            new RolloutProgress(0, RolloutStage.ALL, 0, List.of(), "");

    private static final String EMPTY_CANARY_LIST = "-";
    private static final int MIN_FIELDS = 4;

    RolloutProgress withStage(RolloutStage newStage) {
        long newLastGoodRevision = newStage == RolloutStage.ALL ? revision : lastGoodRevision;
        return new RolloutProgress(revision, newStage, newLastGoodRevision, canaries, haltReason);
    }

    /** The progress after sending a revision to all nodes of which no node is known to apply it. */
    RolloutProgress sentToAllUntried(long number) {
        long lastGood = stage == RolloutStage.ALL && !isUntried() ? revision : lastGoodRevision;
        return new RolloutProgress(number, RolloutStage.ALL, lastGood, List.of(), "");
    }

    /** Whether the revision was sent to all nodes and none of them is known to apply it. */
    boolean isUntried() {
        return stage == RolloutStage.ALL && lastGoodRevision < revision;
    }

    RolloutProgress halted(String reason) {
        return new RolloutProgress(
                revision, RolloutStage.HALTED, lastGoodRevision, canaries, reason);
    }

    String encode() {
        String names = canaries.isEmpty() ? EMPTY_CANARY_LIST : String.join(",", canaries);
        String text = revision + " " + stage + " " + lastGoodRevision + " " + names;
        return haltReason.isEmpty() ? text : text + " " + haltReason;
    }

    /** Decodes the stored text; empty if it is malformed. */
    static Optional<RolloutProgress> decode(String text) {
        String[] fields = text.split(" ", MIN_FIELDS + 1);
        boolean isValid =
                fields.length >= MIN_FIELDS
                        && fields[0].matches("\\d{1,18}")
                        && fields[2].matches("\\d{1,18}");
        if (!isValid) {
            return Optional.empty();
        }
        RolloutStage stage = RolloutStage.ALL;
        for (RolloutStage each : RolloutStage.values()) {
            if (each.name().equals(fields[1])) {
                stage = each;
            }
        }
        return Optional.of(
                new RolloutProgress(
                        Long.parseLong(fields[0]),
                        stage,
                        Long.parseLong(fields[2]),
                        fields[3].equals(EMPTY_CANARY_LIST)
                                ? List.of()
                                : List.of(fields[3].split(",")),
                        fields.length > MIN_FIELDS ? fields[MIN_FIELDS] : ""));
    }
}
