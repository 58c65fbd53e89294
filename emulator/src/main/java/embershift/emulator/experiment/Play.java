package embershift.emulator.experiment;

import embershift.emulator.baseline.Baselines;
import embershift.emulator.day.Day;
import embershift.emulator.judge.Judge;
import embershift.emulator.sockets.SocketDay;
import embershift.emulator.world.Module;
import embershift.emulator.world.Outcome;
import embershift.emulator.world.Trace;
import embershift.emulator.world.World;
import java.io.IOException;
import java.util.List;
import java.util.Map;

/** One play of a day. */
public record Play(Day day, String with, long seed, Map<String, String> vary) {

    /**
     * A play with what it took: {@code nanos} in all, {@code moduleNanos} of them in the modules.
     */
    public record Timed(Result result, long nanos, long moduleNanos) {}

    public static Play of(Day day, String with, long seed) {
        return new Play(day, with, seed, null);
    }

    public Result result() {
        return play(Baselines.of(with), Trace.NONE, false).result();
    }

    /** Plays it on loopback, in real time, with real nodes. */
    public SocketPlay onSockets(SocketDay.Nodes nodes, Trace trace) throws IOException {
        Judge judge = new Judge(day);
        SocketDay.Played played = SocketDay.play(day, seed, nodes, judge, trace);
        return new SocketPlay(
                Result.of(played.outcome(), with, seed, vary, judge.breaches(), true),
                played.troubles(),
                played.latest());
    }

    /**
     * A play on sockets; {@code latest}: seconds that this machine was late with it at the most.
     */
    public record SocketPlay(Result result, List<String> troubles, double latest) {}

    /** Plays it with another way to decide than the named one, or told to a trace. */
    public Timed play(Module.Maker maker, Trace trace, boolean whole) {
        Judge judge = new Judge(day);
        Outcome outcome = new World(day, seed, maker, judge, trace).run();
        return new Timed(
                Result.of(outcome, with, seed, vary, judge.breaches(), whole),
                outcome.nanos(),
                outcome.moduleNanos());
    }
}
