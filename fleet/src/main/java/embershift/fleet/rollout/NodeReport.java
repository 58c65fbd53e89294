package embershift.fleet.rollout;

/**
 * What a node says that it acts on.
 *
 * @param revision the config revision, or 0 for none
 * @param chainDigest of that revision, as the node was told
 * @param contentDigest of what its parts really act on, read back from them
 * @param rejectedRevision the one that it rejected last, or 0
 * @param rejectionReason of that one
 * @param opened sessions since its start
 * @param failed sessions closed with an error since its start
 */
public record NodeReport(
        String node,
        long incarnation,
        long revision,
        String chainDigest,
        String contentDigest,
        boolean ready,
        long rejectedRevision,
        String rejectionReason,
        long opened,
        long failed) {}
