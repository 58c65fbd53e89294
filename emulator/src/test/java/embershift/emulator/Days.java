package embershift.emulator;

import embershift.emulator.baseline.Baselines;
import embershift.emulator.day.Day;
import embershift.emulator.day.DayReader;
import embershift.emulator.day.UnreadableDay;
import embershift.emulator.experiment.Play;
import embershift.emulator.experiment.Result;
import embershift.emulator.world.Module;
import embershift.emulator.world.Trace;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Days written down in tests, and what was seen on them. */
final class Days {

    private Days() {}

    /** A small fleet for 30 seconds, with these lines more. */
    static Day day(String... lines) {
        return lasting(30, lines);
    }

    /** The same for as many seconds. */
    static Day lasting(double seconds, String... lines) {
        String text =
                "name = \"test\"\nlasts = " + seconds + "\n" + String.join("\n", lines) + "\n";
        try {
            return new DayReader().read(text, "test.toml", Map.of());
        } catch (UnreadableDay e) {
            throw new AssertionError(e);
        }
    }

    /** The lines of one trouble. */
    static String trouble(String what, String whom, double at, double lasts, String... more) {
        return "[[trouble]]\nwhat = \""
                + what
                + "\"\nwhom = \""
                + whom
                + "\"\nat = "
                + at
                + "\nfor = "
                + lasts
                + "\n"
                + String.join("\n", more);
    }

    static Result play(Day day, Module.Maker maker, long seed) {
        return Play.of(day, "test", seed).play(maker, Trace.NONE, true).result();
    }

    static Result play(Day day, long seed) {
        return play(day, Baselines.of(Baselines.OWN), seed);
    }

    /** What a trace tells of this one. */
    static List<String> trace(Day day, String of, long seed) {
        List<String> lines = new ArrayList<>();
        Play.of(day, "test", seed)
                .play(Baselines.of(Baselines.OWN), new Trace(of, lines::add), false);
        return lines;
    }
}
