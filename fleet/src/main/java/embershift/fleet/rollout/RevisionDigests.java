package embershift.fleet.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * Digests of all known revisions, computed once because nodes are compared with them many times a
 * second.
 */
final class RevisionDigests {

    private record Digests(String chain, String content) {}

    private final Map<Long, Digests> byNumber = new HashMap<>();

    void add(ConfigRevision revision) {
        byNumber.put(
                revision.number(), new Digests(revision.chainDigest(), revision.contentDigest()));
    }

    /** Whether a node reports another chain for its revision number than the store has. */
    boolean hasOtherChain(NodeReport report) {
        Digests known = byNumber.get(report.revision());
        return known != null && !known.chain.equals(report.chainDigest());
    }

    /** Whether the fields in effect at a node differ from those of its revision. */
    boolean hasOtherContent(NodeReport report) {
        Digests known = byNumber.get(report.revision());
        return report.revision() > 0
                && known != null
                && !known.content.equals(report.contentDigest());
    }
}
