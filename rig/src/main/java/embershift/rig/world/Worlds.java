package embershift.rig.world;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;
import java.util.stream.LongStream;

/** Many worlds, one after the other or side by side, and what they reached together. */
public final class Worlds {

    /** {@code broken}: the report of the lowest seed that broke something, or null. */
    public record Sum(
            long worlds, Map<String, Long> reached, World.Report broken, List<Long> seeds) {}

    private Worlds() {}

    /**
     * Plays the worlds of the seeds from {@code first} on, on all cores; {@code progress} hears how
     * many are done.
     */
    public static Sum play(long first, long many, LongConsumer progress) {
        AtomicLong done = new AtomicLong();
        Map<String, Long> reached = new TreeMap<>();
        List<World.Report> broken = new ArrayList<>();
        LongStream.range(first, first + many)
                .parallel()
                .forEach(
                        seed -> {
                            World.Report report = World.play(seed);
                            synchronized (reached) {
                                report.reached()
                                        .forEach(
                                                (what, times) ->
                                                        reached.merge(what, times, Long::sum));
                                if (report.broken() != null) {
                                    broken.add(report);
                                }
                            }
                            progress.accept(done.incrementAndGet());
                        });
        return new Sum(
                many,
                reached,
                broken.stream()
                        .min((one, other) -> Long.compare(one.seed(), other.seed()))
                        .orElse(null),
                broken.stream().map(World.Report::seed).sorted().toList());
    }

    /**
     * What the scripts find, or else the first broken world among the seeds, or null; looks no
     * further than it must.
     */
    public static String firstBroken(long first, long many) {
        String script = Scripts.firstBroken();
        if (script != null) {
            return script;
        }
        return LongStream.range(first, first + many)
                .parallel()
                .mapToObj(World::play)
                .filter(report -> report.broken() != null)
                .findAny()
                .map(report -> "seed " + report.seed() + " " + report.broken())
                .orElse(null);
    }

    /**
     * The fewest of a broken world's faults that still break it, taken away in ever smaller pieces.
     */
    public static List<Fault> shrunk(long seed) {
        List<Fault> faults = World.faults(seed);
        for (int piece = Math.max(1, faults.size() / 2); piece >= 1; piece /= 2) {
            for (int from = 0; from < faults.size(); ) {
                List<Fault> fewer = new ArrayList<>(faults);
                fewer.subList(from, Math.min(faults.size(), from + piece)).clear();
                if (World.play(seed, fewer).broken() != null) {
                    faults = fewer;
                } else {
                    from += piece;
                }
            }
        }
        return faults;
    }

    /** Plays them and tells on standard output; whether nothing was broken. */
    public static boolean tell(long first, long many) {
        long began = System.nanoTime();
        Sum sum =
                play(
                        first,
                        many,
                        done -> {
                            if (done % Math.max(1, many / 20) == 0) {
                                System.err.printf(
                                        "%d of %d worlds, %.0f s%n",
                                        done, many, (System.nanoTime() - began) / 1e9);
                            }
                        });
        sum.reached().forEach((what, times) -> System.out.printf("%-32s %d%n", what, times));
        if (sum.broken() != null) {
            System.out.println("seeds broken: " + sum.seeds());
            System.out.println("seed " + sum.broken().seed() + " " + sum.broken().broken());
            shrunk(sum.broken().seed()).forEach(fault -> System.out.println(fault.line()));
            return false;
        }
        System.out.println(sum.worlds() + " worlds, nothing broken");
        return true;
    }
}
