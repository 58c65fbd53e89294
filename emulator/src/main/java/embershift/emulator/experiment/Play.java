package embershift.emulator.experiment;

import embershift.emulator.baseline.Baselines;
import embershift.emulator.day.Day;
import embershift.emulator.judge.Judge;
import embershift.emulator.world.Module;
import embershift.emulator.world.Outcome;
import embershift.emulator.world.Trace;
import embershift.emulator.world.World;

import java.util.Map;

/** One play of a day. */
public record Play(Day day, String with, long seed, Map<String, String> vary) {

    /** A play with what it took: {@code nanos} in all, {@code moduleNanos} of them in the modules. */
    public record Timed(Result result, long nanos, long moduleNanos) {
    }

    public static Play of(Day day, String with, long seed) {
        return new Play(day, with, seed, null);
    }

    public Result result() {
        return play(Baselines.of(with), Trace.NONE, false).result();
    }

    /** Plays it with another way to decide than the named one, or told to a trace. */
    public Timed play(Module.Maker maker, Trace trace, boolean whole) {
        Judge judge = new Judge(day);
        Outcome outcome = new World(day, seed, maker, judge, trace).run();
        return new Timed(Result.of(outcome, with, seed, vary, judge.breaches(), whole), outcome.nanos(),
                outcome.moduleNanos());
    }
}
