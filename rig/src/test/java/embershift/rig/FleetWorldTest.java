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
                        "segments folded")) {
            assertTrue(reached.getOrDefault(what, 0L) >= 20, what + " in " + reached);
        }
    }

    @DataProvider
    public Object[][] mistakes() {
        return new Object[][] {
            {"Admission", "if (!(age >= 0 && age <= longest)) {", "if (false) {"},
            {"Gate", "if (fence.compareTo(known) < 0) {", "if (fence.compareTo(known) <= -3) {"},
            {"RevisionHeld", "if (number < held.number()) {", "if (false) {"},
            {"RevisionHeld", "if (!Revision.content(fields).equals(content)) {", "if (false) {"},
            {
                "RevisionHeld",
                "base == 0 ? new TreeMap<>() : new TreeMap<>(held.fields())",
                "new TreeMap<>(held.fields())"
            },
            {"HostsHeld", "if (change.generation() < generation) {", "if (false) {"},
            {"HostsTold", "if (step.number > base) {", "if (step.number > base + 1) {"},
            {
                "HostsTold",
                "entries.remove(host);\n                touched.add(host);",
                "entries.remove(host);"
            },
            {
                "Rollout",
                "if (notes == 0) {\n            orders();",
                "if (true) {\n            orders();"
            },
            {
                "Rollout",
                "return stage == Stage.ALL || (stage == Stage.FIRST && first.contains(name)) ? number : good;",
                "return number;"
            },
            {"Rollout", "if (outByDuty.size() >= most) {", "if (false) {"},
            {
                "Rollout",
                "if (report != null && node.toldIncarnation != 0 && report.incarnation() != node.toldIncarnation) {",
                "if (false) {"
            },
            {
                "Rollout",
                "boolean all = nodes.keySet().stream().allMatch(name -> state(name) == State.SHUT_OUT",
                "boolean all = nodes.keySet().stream().allMatch(name -> state(name) == State.SHUT_OUT || state(name) == State.SILENT"
            },
            {"Diary", "if (out != null && out.number() == segment) {", "if (out != null) {"},
            {
                "Diary",
                "waiting.remove();\n            dropped++;",
                "waiting.remove();\n            dropped++;\n            entries--;"
            },
            {
                "Folding",
                "new Begin(segment.number(), segment.to(),",
                "new Begin(segment.number(), segment.from(),"
            },
            {"Hybrid", "clock > millis ? new Hybrid(clock, 0)", "true ? new Hybrid(clock, 0)"},
            {"Audit", "if (entry.number() != number + 1) {", "if (false) {"},
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
