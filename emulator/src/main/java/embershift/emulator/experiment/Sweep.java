package embershift.emulator.experiment;

import embershift.emulator.day.Day;
import embershift.emulator.day.DayReader;
import embershift.emulator.day.UnreadableDay;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A grid of days: each value of each varied key with each other, by each way to decide and seed.
 * What is done is kept in a file beside the result, so a sweep that was ended goes on where it
 * stood; the result itself is written whole, in the order of the grid.
 */
public final class Sweep {

    private final List<Play> plays = new ArrayList<>();

    /**
     * Plans the grid; {@code vary} maps keys of the day's file to the values that each takes in
     * turn.
     */
    public Sweep(
            Path file,
            DayReader reader,
            Map<String, List<String>> vary,
            Map<String, String> changes,
            List<String> with,
            int seeds)
            throws UnreadableDay {
        List<Map<String, String>> points = new ArrayList<>(List.of(new TreeMap<>()));
        for (Map.Entry<String, List<String>> key : vary.entrySet()) {
            List<Map<String, String>> finer = new ArrayList<>();
            for (Map<String, String> point : points) {
                for (String value : key.getValue()) {
                    Map<String, String> next = new TreeMap<>(point);
                    next.put(key.getKey(), value);
                    finer.add(next);
                }
            }
            points = finer;
        }
        for (Map<String, String> point : points) {
            Map<String, String> all = new LinkedHashMap<>(changes);
            all.putAll(point);
            Day day = reader.read(file, all);
            for (String name : with) {
                for (int seed = 1; seed <= seeds; seed++) {
                    plays.add(new Play(day, name, seed, point));
                }
            }
        }
    }

    private static String name(Map<String, String> vary, String with, long seed) {
        return (vary == null ? Map.of() : new TreeMap<>(vary)) + " " + with + " " + seed;
    }

    /**
     * Plays what {@code out} does not hold yet and returns all results in the order of the grid.
     */
    public List<Result> play(Path out, int cores, PrintStream progress) throws IOException {
        Path part = out.resolveSibling(out.getFileName() + ".part");
        Map<String, Result> done = new HashMap<>();
        for (Path file : List.of(out, part)) {
            for (Result result : Lines.read(file)) {
                done.put(name(result.vary(), result.with(), result.seed()), result);
            }
        }
        List<Play> left =
                plays.stream()
                        .filter(
                                play ->
                                        !done.containsKey(
                                                name(play.vary(), play.with(), play.seed())))
                        .toList();
        if (!left.isEmpty() && progress != null && left.size() < plays.size()) {
            progress.println(
                    (plays.size() - left.size()) + " of " + plays.size() + " were played before");
        }
        // A line cut off when the last run ended must not swallow the next one.
        Lines.write(part, List.copyOf(done.values()));
        new Many(cores, progress)
                .play(
                        left,
                        (play, result) -> {
                            try {
                                Lines.append(part, result);
                            } catch (IOException e) {
                                throw new UncheckedIOException(e);
                            }
                            done.put(name(play.vary(), play.with(), play.seed()), result);
                        });
        List<Result> all =
                plays.stream()
                        .map(play -> done.get(name(play.vary(), play.with(), play.seed())))
                        .toList();
        Lines.write(out, all);
        Files.delete(part);
        return all;
    }

    /** Mean service at each point of the grid, for people. */
    public static String table(List<Result> results) {
        Map<String, double[]> sums = new LinkedHashMap<>();
        for (Result result : results) {
            double[] sum =
                    sums.computeIfAbsent(
                            result.with() + " " + new TreeMap<>(result.vary()),
                            key -> new double[3]);
            sum[0] += result.service();
            sum[1] += 1;
            sum[2] += result.counts().get("breaches") > 0 ? 1 : 0;
        }
        StringBuilder text = new StringBuilder();
        sums.forEach(
                (key, sum) ->
                        text.append(
                                String.format(
                                        java.util.Locale.ROOT,
                                        "%.4f  %s%s%n",
                                        sum[0] / sum[1],
                                        key,
                                        sum[2] > 0
                                                ? "  rules broken in "
                                                        + (int) sum[2]
                                                        + " of "
                                                        + (int) sum[1]
                                                : "")));
        return text.toString();
    }
}
