package embershift.rig.world;

import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.LongFunction;
import java.util.stream.LongStream;

/**
 * What worlds in virtual time share: a seed, faults up to some time, what was reached, and the
 * first thing that was broken.
 */
public abstract class SeededWorld {

    /** {@code broken}: null where all held; {@code reached}: what the world ever did. */
    public record Report(long seed, String broken, Map<String, Long> reached) {}

    final long seed;
    final Random chance;
    final Timeline time = new Timeline();
    private final double faultsEnd;
    private final TreeMap<String, Long> reached = new TreeMap<>();
    private String broken;

    SeededWorld(long seed, double faultsEnd) {
        this.seed = seed;
        this.faultsEnd = faultsEnd;
        chance = new Random(seed);
    }

    final void count(String what) {
        reached.merge(what, 1L, Long::sum);
    }

    final void broken(String what) {
        if (broken == null) {
            broken = String.format(Locale.ROOT, "at %.3f s: %s", time.now(), what);
        }
    }

    final boolean isBroken() {
        return broken != null;
    }

    /** Whether there are faults still. */
    final boolean faults() {
        return time.now() < faultsEnd;
    }

    final Report report() {
        return new Report(seed, broken, reached);
    }

    /** A broken world among the seeds, or null; looks no further than it must. */
    static String firstBroken(LongFunction<Report> play, long first, long many) {
        return LongStream.range(first, first + many)
                .parallel()
                .mapToObj(play)
                .filter(report -> report.broken() != null)
                .findAny()
                .map(report -> "seed " + report.seed() + " " + report.broken())
                .orElse(null);
    }
}
