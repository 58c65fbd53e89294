package embershift.emulator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import embershift.emulator.day.Day;
import embershift.emulator.experiment.Result;
import java.util.List;
import org.testng.annotations.Test;

/** Coincidences that no day by itself is likely to meet. */
public class HardCasesTest {

    private static final String FLEET = "[fleet]\nnodes = 4\nhosts = 8\n";

    private static Result sound(Day day) {
        Result result = null;
        for (long seed = 1; seed <= 3; seed++) {
            result = Days.play(day, seed);
            assertEquals(result.breaches().toString(), "[]", "seed " + seed);
        }
        return result;
    }

    @Test
    public void aHostReturnsUnderAnotherAddressWhileCutOffFromHalfTheNodes() {
        Day day =
                Days.day(
                        FLEET,
                        Days.trouble("vanish", "hosts named h3", 5, 4, "other-address = true"),
                        Days.trouble(
                                "cut", "nodes named n0,n1", 4, 12, "peer = \"hosts named h3\""));
        sound(day);
        List<String> told = Days.trace(day, "h3", 1);
        assertTrue(told.stream().anyMatch(line -> line.contains("starts under another address")));
        int start =
                told.indexOf(
                        told.stream()
                                .filter(line -> line.contains("another address"))
                                .findFirst()
                                .orElseThrow());
        List<String> after = told.subList(start, told.size());
        assertTrue(after.stream().anyMatch(line -> line.contains("is up")), "used again");
    }

    @Test
    public void aRosterComesBackWithAnOlderList() {
        Day day =
                Days.day(
                        FLEET,
                        Days.trouble("crash", "hosts named h1", 3, 30),
                        Days.trouble("roster-old", "roster", 6, 3, "factor = 8.0"),
                        Days.trouble("drain", "hosts named h2", 5, 20));
        Result result = sound(day);
        assertTrue(result.service() > 0.7, "service " + result.service());
    }

    @Test
    public void aClientGivesUpInTheMomentInWhichUpComes() {
        // Setups take as long as clients wait, within what the node keeps for its answer: some are
        // up just then.
        Day day =
                Days.day(
                        FLEET,
                        "[store]",
                        "room = 1.0",
                        "[[profile]]",
                        "name = \"p\"",
                        "patience = 0.5",
                        "goal = 0.4",
                        Days.trouble("store-slow", "store", 3, 20, "factor = 1.6"));
        Result result = sound(day);
        assertTrue(result.counts().get("unanswered") == 0);
        assertTrue(
                result.counts().get("declined") > 20,
                "declined " + result.counts().get("declined"));
    }

    @Test
    public void aNodeIsKilledBetweenASetupAndItsAnswer() {
        // Setups take half a second, so each killed node leaves some behind, of tunnels that may
        // run once only.
        Day day =
                Days.day(
                        FLEET,
                        "[host]",
                        "setup-work = 0.5",
                        "[[profile]]",
                        "name = \"p\"",
                        "repeat = \"once-only\"",
                        Days.trouble("crash", "nodes", 5, 0.5, "every = 5.0", "times = 4"));
        Result result = sound(day);
        assertTrue(result.counts().get("breaks") > 20);
        assertTrue(result.counts().get("opened") > 50);
    }

    @Test
    public void allHostsAreColdAtOnce() {
        Result result = sound(Days.day(FLEET, Days.trouble("crash", "hosts", 5, 2)));
        double[] each = result.each();
        assertTrue(each[8] < 0.6, "they are cold: " + each[8]);
        assertTrue(each[29] > each[8], "and warm up: " + each[29]);
    }

    /**
     * Found by a hunt: all hosts are gone for a moment and return under addresses that no node has
     * seen.
     */
    @Test
    public void allHostsReturnColdUnderOtherAddresses() {
        sound(
                Days.day(
                        "[fleet]",
                        "nodes = 1",
                        "hosts = 4",
                        "[traffic]",
                        "load = 0.7",
                        Days.trouble("vanish", "hosts", 15, 0.85, "other-address = true")));
    }

    @Test
    public void aNodesClockStandsStillForASecond() {
        Day day =
                Days.day(
                        FLEET,
                        Days.trouble("pause", "nodes share 0.5", 5, 1, "every = 4.0", "times = 5"));
        Result result = sound(day);
        assertEquals(result.counts().get("unanswered").longValue(), 0);
        assertTrue(result.service() > 0.9, "service " + result.service());
    }

    @Test
    public void aDrainIsToldToNodesThatAreCutOffFromTheRosterOnlyLater() {
        Day day =
                Days.day(
                        FLEET,
                        Days.trouble("cut", "nodes named n0", 4, 14, "peer = \"roster\""),
                        Days.trouble("drain", "hosts named h5", 6, 30));
        sound(day);
        List<String> told = Days.trace(day, "h5", 2);
        assertFalse(
                told.stream()
                        .filter(line -> line.contains("n0 sends"))
                        .anyMatch(line -> Double.parseDouble(line.trim().split("\\s+")[0]) > 19.5),
                "n0 hears of it when the cut is over");
    }
}
