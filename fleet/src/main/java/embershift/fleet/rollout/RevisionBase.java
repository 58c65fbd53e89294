package embershift.fleet.rollout;

import java.util.Collection;
import java.util.Optional;

/**
 * The revision whose fields a new one starts from: the latest one, unless that is halted or the new
 * one must not depend on what canaries make of it; then the last one that was sent to all nodes.
 *
 * @param number the revision to start from, or 0 for one without fields
 * @param latest the latest revision in the store, which the new one follows
 * @param note for operators, why the new revision does not start from the latest one; "" if it does
 */
public record RevisionBase(long number, long latest, String note) {

    /**
     * Chooses the base of a new revision.
     *
     * @param progressText the stored progress of the rollout; empty if there is none
     * @param immediateRevisions the revisions that are sent to all nodes at once
     * @param isImmediate whether the new revision is to be sent to all nodes at once
     */
    public static RevisionBase choose(
            long latest,
            Optional<String> progressText,
            Collection<Long> immediateRevisions,
            boolean isImmediate) {
        RolloutProgress progress =
                progressText.flatMap(RolloutProgress::decode).orElse(RolloutProgress.INITIAL);
        long lastSentToAll =
                progress.stage() == RolloutStage.ALL
                        ? progress.revision()
                        : progress.lastGoodRevision();
        for (long immediate : immediateRevisions) {
            // Those up to the rollout's revision have been dealt with.
            if (immediate > progress.revision()) {
                lastSentToAll = Math.max(lastSentToAll, immediate);
            }
        }
        boolean isLatestHalted =
                progress.stage() == RolloutStage.HALTED && progress.revision() == latest;
        if (lastSentToAll == latest || !(isLatestHalted || isImmediate)) {
            return new RevisionBase(latest, latest, "");
        }
        String consequence = isLatestHalted ? " stays halted" : " is not part of it";
        return new RevisionBase(
                lastSentToAll,
                latest,
                "on revision " + lastSentToAll + "; revision " + latest + consequence);
    }

    /** Returns the base that an operator has named. */
    public RevisionBase replacedBy(long namedRevision) {
        return new RevisionBase(namedRevision, latest, "");
    }
}
