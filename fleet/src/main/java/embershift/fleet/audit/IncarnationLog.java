package embershift.fleet.audit;

import java.util.List;

/**
 * The stored part of the audit log of one incarnation of a node.
 *
 * @param segments in the order of their numbers; at least one
 * @param checkpoint state of the log before the first of them
 */
record IncarnationLog(
        String node, long incarnation, List<AuditSegment> segments, AuditCheckpoint checkpoint) {}
