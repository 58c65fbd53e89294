package embershift.rig;

import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import embershift.rig.world.DutyWorld;
import embershift.rig.world.SeededWorld;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Owners of a duty that are stopped, end, and are late: what receivers took is what counts. */
public class DutyWorldTest {

    private static final long WORLDS = 400;
    private static final long LOOK = 4000;

    @Test
    public void stepsAreDoneInTheirOrderAndNoOldOwnerDoesHarm() {
        Map<String, Long> reached = new TreeMap<>();
        for (long seed = 1; seed <= WORLDS; seed++) {
            SeededWorld.Report report = DutyWorld.play(seed);
            assertNull(report.broken(), report.toString());
            report.reached().forEach((what, times) -> reached.merge(what, times, Long::sum));
        }
        for (String what :
                List.of(
                        "orders STALE",
                        "orders UNKNOWN",
                        "owners stopped",
                        "owners started anew",
                        "steps done again",
                        "sessions ended by the record",
                        "receivers started anew",
                        "calls unknown",
                        "plans done")) {
            assertTrue(reached.getOrDefault(what, 0L) >= 10, what + " in " + reached);
        }
    }

    @DataProvider
    public Object[][] mistakes() {
        return new Object[][] {
            {
                "LeaseHolder",
                "recordProgress(now, TaskProgress.State.INTENDED, nextStep, 1);",
                "progress = Optional.of(new TaskProgress(plan.name(), TaskProgress.State.INTENDED, nextStep, 1)); runNextStep(now);"
            },
            {"LeaseHolder", "if (lease.canComplete(now, plan.maxStepSeconds())) {", "if (true) {"},
            {"LeaseHolder", "lease.acquired(token, submittedAt);", "lease.acquired(token, now);"},
            {"LeaseHolder", "lease.renewed(sentAt);", "lease.renewed(now);"},
            {
                "LeaseHolder",
                "recordProgress(now, TaskProgress.State.INTENDED, recorded.step(), attempts);",
                "recordProgress(now, TaskProgress.State.INTENDED, recorded.step() + 1, attempts);"
            },
            {
                "LeaseCommands",
                "return transaction( session, sequenceNumber, new Precondition(task.holderKey(), Precondition.ABSENT),",
                "return transaction( session, sequenceNumber, new Precondition(\"nothing\", Precondition.ABSENT),"
            },
            {"FencingGuard", "if (token.compareTo(known) < 0) {", "if (false) {"},
            {"FencingGuard", "highestByTask.put(task, token);", ""},
            {
                "FencingGuard",
                "if (known == null) { return Verdict.UNKNOWN;",
                "if (known == null) { return Verdict.ADMITTED;"
            },
            {
                "Lease",
                "durationSeconds = sessionSeconds * (1 - 2 * MAX_CLOCK_DRIFT);",
                "durationSeconds = sessionSeconds * 1.5;"
            },
        };
    }

    @Test(dataProvider = "mistakes")
    public void knownMistakeShows(String where, String from, String to) throws Exception {
        Path source = Path.of("..", "fleet/src/main/java/embershift/fleet/lease", where + ".java");
        try (Mutation mutation = new Mutation(source, from, to)) {
            assertNotNull(
                    mutation.firstBroken("DutyWorld", 1, LOOK),
                    to + ": not seen in " + LOOK + " worlds");
        }
    }
}
