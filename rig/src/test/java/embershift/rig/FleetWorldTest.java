package embershift.rig;

import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import embershift.rig.world.FleetWorld;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Revisions, lists and trails while owners overlap and nodes are stopped, cut off and started anew:
 * what nodes acted on is what counts.
 */
public class FleetWorldTest {

    private static final long WORLDS = 300;
    private static final long LOOK = 800;

    @Test
    public void nodesActOnWholeRevisionsInTheirOrderAndTrailsTellIt() {
        Map<String, Long> reached = new TreeMap<>();
        LongStream.rangeClosed(1, WORLDS)
                .parallel()
                .mapToObj(FleetWorld::play)
                .forEachOrdered(
                        report -> {
                            assertNull(report.broken(), report.toString());
                            report.reached()
                                    .forEach(
                                            (what, times) -> reached.merge(what, times, Long::sum));
                        });
        for (String what :
                List.of(
                        "orders OLD",
                        "orders VOID",
                        "orders UNSURE",
                        "changes of owner",
                        "nodes started anew",
                        "writes of an old owner refused",
                        "revisions TAKEN",
                        "revisions TAKEN whole",
                        "revisions WHOLE",
                        "revisions REFUSED",
                        "stage HALTED",
                        "stage FIRST",
                        "floors raised",
                        "nodes that a revision ends",
                        "lists BEHIND",
                        "lists OLDER",
                        "shut out",
                        "nodes that go astray",
                        "gaps told",
                        "spells told",
                        "segments folded",
                        "revisions at once without an owner")) {
            assertTrue(reached.getOrDefault(what, 0L) >= 20, what + " in " + reached);
        }
    }

    @DataProvider
    public Object[][] mistakes() {
        return new Object[][] {
            {"lease/OrderAdmission", "if (!(age >= 0 && age <= maxAgeSeconds)) {", "if (false) {"},
            {
                "lease/FencingGuard",
                "if (token.compareTo(known) < 0) {",
                "if (token.compareTo(known) <= -3) {"
            },
            {"rollout/AppliedRevision", "if (order.number < applied.number()) {", "if (false) {"},
            {
                "rollout/AppliedRevision",
                "if (!ConfigRevision.contentDigest(fields).equals(order.contentDigest)) {",
                "if (false) {"
            },
            {
                "rollout/AppliedRevision",
                "order.baseNumber == 0 ? new TreeMap<>() : applied.fields();",
                "applied.fields();"
            },
            {
                "endpoints/AppliedEndpoints",
                "if (update.generation() < generation) {",
                "if (false) {"
            },
            {
                "endpoints/PublishedEndpoints",
                "if (delta.number > baseNumber) {",
                "if (delta.number > baseNumber + 1) {"
            },
            {
                "endpoints/PublishedEndpoints",
                "entries.remove(host); changedHosts.add(host);",
                "entries.remove(host);"
            },
            {
                "rollout/ConfigRollout",
                "if (pendingProgressWrites == 0) { orderNodes();",
                "if (true) { orderNodes();"
            },
            {
                "rollout/ConfigRollout",
                "return isForNode ? progress.revision() : progress.lastGoodRevision();",
                "return progress.revision();"
            },
            {
                "rollout/ConfigRollout",
                "if (immediate != null && immediate > progress.revision()) {",
                "if (immediate != null && immediate > progress.revision()"
                        + " && immediate.equals(revisions.lastKey())) {"
            },
            {
                "rollout/ConfigRollout",
                "if (report.rejectedRevision() == target) {"
                        + " return progress.stage() == RolloutStage.ALL"
                        + " || target != progress.revision(); }",
                "if (report.rejectedRevision() >= target) { return false; }"
            },
            {
                "rollout/ConfigRollout",
                "if (shutOutNodes.countByRollout() >= limit) {",
                "if (false) {"
            },
            {
                "rollout/CanaryCheck",
                "if (canary.filter(ManagedNode::wasRestartedSinceCanaryOrder).isPresent()) {",
                "if (false) {"
            },
            {
                "rollout/ConfigRollout",
                "if (state == NodeState.SHUT_OUT) { return true;",
                "if (state == NodeState.SHUT_OUT || state == NodeState.SILENT) { return true;"
            },
            {"audit/AuditLog", ".filter(segment -> segment.number() == segmentNumber)", ""},
            {
                "audit/AuditLog",
                "pending.remove(); droppedEntries++;",
                "pending.remove(); droppedEntries++; lastEntryNumber--;"
            },
            {
                "audit/AuditCheckpoint",
                "segment.number(), segment.lastNumber(),",
                "segment.number(), segment.firstNumber(),"
            },
            {
                "audit/HybridLogicalClock",
                "wallClockMillis > millis ? new HybridLogicalClock(wallClockMillis, 0)",
                "true ? new HybridLogicalClock(wallClockMillis, 0)"
            },
            {"audit/RevisionPeriods", "if (entry.number() != number + 1) {", "if (false) {"},
        };
    }

    @Test(dataProvider = "mistakes")
    public void knownMistakeShows(String where, String from, String to) throws Exception {
        Path source = Path.of("..", "fleet/src/main/java/embershift/fleet", where + ".java");
        try (Mutation mutation = new Mutation(source, from, to)) {
            assertNotNull(
                    mutation.firstBroken("FleetWorld", 1, LOOK),
                    to + ": not seen in " + LOOK + " worlds");
        }
    }
}
