package embershift.rig;

import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import embershift.rig.world.ReleaseWorld;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Releases by owners that overlap: never more away than stated, each part once, and a sound end.
 */
public class ReleaseWorldTest {

    private static final long WORLDS = 400;
    private static final long LOOK = 1500;

    @Test
    public void neverMoreIsAwayThanStatedAndEachPartIsStartedAnewOnce() {
        Map<String, Long> reached = new TreeMap<>();
        LongStream.rangeClosed(1, WORLDS)
                .parallel()
                .mapToObj(ReleaseWorld::play)
                .forEachOrdered(
                        report -> {
                            assertNull(report.broken(), report.toString());
                            report.reached()
                                    .forEach(
                                            (what, times) -> reached.merge(what, times, Long::sum));
                        });
        for (String what :
                List.of(
                        "changes of owner",
                        "manager's ids called again",
                        "ids made void",
                        "nodes cut off",
                        "halts",
                        "aborted",
                        "done",
                        "orders refused",
                        "notes of an old owner refused")) {
            assertTrue(reached.getOrDefault(what, 0L) >= 20, what + " in " + reached);
        }
    }

    @DataProvider
    public Object[][] mistakes() {
        return new Object[][] {
            {
                "if (!progress.isRequested && unavailable.size() > plan.batchSize()) {",
                "if (false) {"
            },
            {"if (!node.isReachable() || !node.isReady()) {", "if (false) {"},
            {
                "if (progress.isCancelled) { enter(now, progress, Phase.DONE);",
                "if (true) { enter(now, progress, Phase.DONE);"
            },
            {"if (target.isNode()) { return List.of();", "if (true) { return List.of();"},
            {
                "if (progress.reported == RestartState.DONE) {",
                "if (progress.reported == RestartState.DONE || progress.reported == RestartState.IN_PROGRESS) {"
            },
            {
                "targets.values().stream().allMatch(progress -> progress.phase == Phase.DONE)",
                "targets.values().stream().anyMatch(progress -> progress.phase == Phase.DONE)"
            },
            {
                "return name + \"/\" + step + \"/\"",
                "return name + \"/\" + System.nanoTime() + \"/\""
            },
        };
    }

    @Test(dataProvider = "mistakes")
    public void knownMistakeShows(String from, String to) throws Exception {
        Path source =
                Path.of(
                        "..",
                        "fleet/src/main/java/embershift/fleet/restart",
                        from.startsWith("return name")
                                ? "RollingRestartPlan.java"
                                : "RollingRestart.java");
        try (Mutation mutation = new Mutation(source, from, to)) {
            Object broken;
            try {
                broken = mutation.firstBroken("ReleaseWorld", 1, LOOK);
            } catch (ReflectiveOperationException e) {
                broken = e;
            }
            assertNotNull(broken, to + ": not seen in " + LOOK + " worlds");
        }
    }
}
