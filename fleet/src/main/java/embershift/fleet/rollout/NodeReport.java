package embershift.fleet.rollout;

/**
 * A node's report of the configuration that it has applied.
 *
 * @param revision the applied revision, or 0 for none
 * @param chainDigest digest of that revision's chain, as the node received it
 * @param contentDigest digest of the fields that are in effect, read back from the node's
 *     components
 * @param rejectedRevision the revision that the node rejected last, or 0
 * @param rejectionReason why that revision was rejected
 * @param opened sessions opened since the node's start
 * @param failed sessions closed with an error since the node's start
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
