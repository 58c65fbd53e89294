package embershift.fleet.rollout;

import java.util.List;
import java.util.Optional;

/**
 * Judges by the reports of all nodes that can be reached what has become of an immediate revision.
 * That some nodes reject it does not withhold it from the others.
 */
record ImmediateCheck(long revision, List<NodeReport> reports) {

    /** Returns why no node can apply the revision; empty if one may. */
    Optional<String> findFailure() {
        boolean isRejectedByAll =
                reports.stream().allMatch(each -> each.rejectedRevision() == revision);
        return reports.stream()
                .findFirst()
                .filter(report -> isRejectedByAll)
                .map(report -> "all nodes refused it: " + report.rejectionReason());
    }

    /** Whether a node has applied the revision. */
    boolean isApplied() {
        return reports.stream().anyMatch(each -> each.revision() >= revision);
    }
}
