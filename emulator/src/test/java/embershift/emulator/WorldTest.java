package embershift.emulator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import embershift.emulator.baseline.Baselines;
import embershift.emulator.day.Day;
import embershift.emulator.experiment.Lines;
import embershift.emulator.experiment.Result;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** That each trouble does what it says, seen in what became of the day. */
public class WorldTest {

    private static final String ALL =
            Days.trouble("restart", "nodes", 4, 6, "part = 0.5")
                    + "\n"
                    + Days.trouble(
                            "cut",
                            "nodes share 0.5",
                            12,
                            3,
                            "peer = \"hosts share 0.5\"",
                            "direction = \"in\"")
                    + "\n"
                    + Days.trouble("vanish", "hosts share 0.2", 8, 5)
                    + "\n"
                    + Days.trouble("drop", "clients share 0.3", 18, 2)
                    + "\n"
                    + Days.trouble("roster-shrinks", "roster", 20, 4, "part = 0.3")
                    + "\n"
                    + Days.trouble("stall", "hosts share 0.4", 3, 0.3, "every = 3.0", "times = 8");

    @Test
    public void theSameSeedGivesTheSameBytesAndAnotherSeedOthers() {
        String once = Lines.line(Days.play(Days.day(ALL), 5));
        assertEquals(Lines.line(Days.play(Days.day(ALL), 5)), once);
        assertNotEquals(Lines.line(Days.play(Days.day(ALL), 6)), once);
    }

    @Test
    public void littlesLawHoldsOnACalmDay() {
        Result result = Days.play(Days.day("[traffic]", "load = 0.4"), 1);
        // 12 hosts of 4 cores with 25 tunnels a core at 0.4 of it: 480 stand, and half a minute
        // brings 480/60 a second.
        assertEquals(result.counts().get("callers"), 480 + 240, 60);
        assertEquals(result.loads().get(0)[0] > 0, true);
        assertTrue(result.service() > 0.99);
    }

    @DataProvider
    public Object[][] troubles() {
        return new Object[][] {
            {"crash", "hosts share 0.3", 8, ""},
            {"vanish", "hosts share 0.3", 8, ""},
            {"slow", "hosts share 0.4", 8, ""},
            {"stall", "hosts", 1, "every = 3.0\ntimes = 6"},
            {"neighbour", "hosts share 0.6", 8, "part = 0.7"},
            {"drain", "hosts share 0.3", 20, ""},
            {"cut", "nodes zone east", 8, ""},
            {"flap", "hosts share 0.3", 2, "every = 5.0\ntimes = 4"},
            {"crash", "nodes", 3, ""},
            {"restart", "nodes", 8, "part = 0.3"},
            {"drop", "clients share 0.6", 2, ""},
            {"pause", "nodes", 3, ""},
            {"traffic", "clients", 15, "factor = 9.0"},
            {"costly", "clients", 20, "factor = 30.0\npart = 0.3"},
            {"store-slow", "store", 15, "factor = 30.0"},
            {"fail-fast", "hosts", 15, "part = 0.9"},
            {"half-answer", "hosts", 15, "part = 0.9"},
            {"mute", "hosts", 15, ""},
            {"refuse", "hosts", 15, ""},
            {"roster-shrinks", "roster", 20, "part = 0.9"},
        };
    }

    @Test(dataProvider = "troubles")
    public void aTroubleCostsServiceAndItsEndBringsItBack(
            String what, String whom, double lasts, String more) {
        String[] fleet = {"[traffic]", "load = 0.5", "life = 20.0"};
        Day calm = Days.day(fleet);
        Day day = Days.day(String.join("\n", fleet), Days.trouble(what, whom, 5, lasts, more));
        Result without = Days.play(calm, Baselines.of("random"), 2);
        Result with = Days.play(day, Baselines.of("random"), 2);
        assertTrue(
                with.service() < without.service() - 0.0005
                        || with.opening().get("p99.0") > 1.2 * without.opening().get("p99.0"),
                what + ": " + with.service() + " and " + without.service());
        // What is up after the trouble's begin has its wait before it counted by that: up to a goal
        // back.
        for (int second = 0; second < 4; second++) {
            assertEquals(with.each()[second], without.each()[second], 1e-9, what + " at " + second);
        }
    }

    @Test
    public void theBaselinesStandInTheirOrderOnABusyDay() {
        Day day =
                Days.day(
                        "[traffic]",
                        "load = 0.6",
                        Days.trouble("neighbour", "hosts share 0.3", 5, 20, "part = 0.4"));
        double random = Days.play(day, Baselines.of("random"), 3).service();
        double own = Days.play(day, 3).service();
        double top = Days.play(day, Baselines.of("top"), 3).service();
        assertTrue(random < own, random + " " + own);
        assertTrue(own <= top + 0.01, own + " " + top);
    }

    @Test
    public void aTraceTellsAHostsWholeLifeInOrder() {
        List<String> lines =
                Days.trace(Days.day(Days.trouble("crash", "hosts named h2", 5, 3)), "h2", 1);
        List<String> stops =
                lines.stream()
                        .filter(line -> line.contains("h2 stops") || line.contains("h2 starts"))
                        .toList();
        assertEquals(stops.size(), 2, stops.toString());
        assertTrue(
                stops.get(0).startsWith("   5.0000") && stops.get(1).startsWith("   8.0000"),
                stops.toString());
        double before = 0;
        for (String line : lines) {
            double at = Double.parseDouble(line.trim().split("\\s+")[0]);
            assertTrue(at >= before, line);
            before = at;
        }
    }
}
