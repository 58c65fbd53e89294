package embershift.emulator.experiment;

import embershift.emulator.baseline.Baselines;
import embershift.emulator.day.Day;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.statistics.distribution.TDistribution;

/**
 * One day, many seeds, several ways to decide: each seed is the same day for all, so differences
 * are taken in pairs.
 */
public final class Comparison {

    private static final double CONFIDENCE = 0.95;

    private final Map<String, List<Result>> results = new LinkedHashMap<>();

    /** Plays {@code day} with each, by seeds 1 to {@code seeds}. */
    public static Comparison of(
            Day day, List<String> with, int seeds, int cores, java.io.PrintStream progress) {
        List<Play> plays = new ArrayList<>();
        List<String> all = new ArrayList<>(List.of(Baselines.OWN));
        with.stream().filter(name -> !name.equals(Baselines.OWN)).forEach(all::add);
        for (int seed = 1; seed <= seeds; seed++) {
            for (String name : all) {
                plays.add(Play.of(day, name, seed));
            }
        }
        Comparison comparison = new Comparison();
        new Many(cores, progress)
                .play(
                        plays,
                        (play, result) ->
                                comparison
                                        .results
                                        .computeIfAbsent(play.with(), name -> new ArrayList<>())
                                        .add(result));
        return comparison;
    }

    public List<Result> results() {
        List<Result> all = new ArrayList<>();
        results.values().forEach(all::addAll);
        return all;
    }

    public double mean(String name) {
        return results.get(name).stream().mapToDouble(Result::service).average().orElse(Double.NaN);
    }

    /**
     * Mean and half width of the confidence interval of the paired differences of service, own less
     * the other's.
     */
    public double[] difference(String other) {
        List<Result> own = results.get(Baselines.OWN);
        List<Result> theirs = results.get(other);
        int n = own.size();
        double mean = 0;
        for (int i = 0; i < n; i++) {
            mean += (own.get(i).service() - theirs.get(i).service()) / n;
        }
        if (n < 2) {
            return new double[] {mean, Double.NaN};
        }
        double squares = 0;
        for (int i = 0; i < n; i++) {
            double off = own.get(i).service() - theirs.get(i).service() - mean;
            squares += off * off;
        }
        double t = TDistribution.of(n - 1).inverseCumulativeProbability((1 + CONFIDENCE) / 2);
        return new double[] {mean, t * Math.sqrt(squares / (n - 1) / n)};
    }

    /**
     * Where embershift stands between random choice (0) and the one that sees everything (1); NaN
     * without them.
     */
    public double standing() {
        if (!results.containsKey("random") || !results.containsKey("top")) {
            return Double.NaN;
        }
        double span = mean("top") - mean("random");
        return span < 1e-3 ? Double.NaN : (mean(Baselines.OWN) - mean("random")) / span;
    }

    /** A table for people. */
    public String table() {
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "%-12s %8s %8s %9s %7s %7s %21s %8s %8s%n",
                                "with",
                                "service",
                                "worst 10",
                                "profile",
                                "opened",
                                "broken",
                                "embershift less it",
                                "declined",
                                "moves"));
        results.forEach(
                (name, all) -> {
                    double[] less = name.equals(Baselines.OWN) ? null : difference(name);
                    text.append(
                            String.format(
                                    Locale.ROOT,
                                    "%-12s %8.4f %8.4f %9.4f %7.0f %7d %21s %8.0f %8.4f%n",
                                    name,
                                    mean(name),
                                    average(all, Result::worstTen),
                                    average(all, Result::worstProfile),
                                    average(all, result -> result.counts().get("opened")),
                                    all.stream()
                                            .filter(result -> result.counts().get("breaches") > 0)
                                            .count(),
                                    less == null
                                            ? ""
                                            : String.format(
                                                    Locale.ROOT, "%+.4f ± %.4f", less[0], less[1]),
                                    average(all, result -> result.counts().get("declined")),
                                    average(all, result -> result.costs().get("moves"))));
                });
        double standing = standing();
        if (!Double.isNaN(standing)) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "embershift stands at %.2f between random (0) and top (1)%n",
                            standing));
        }
        return text.toString();
    }

    private static double average(
            List<Result> results, java.util.function.ToDoubleFunction<Result> of) {
        return results.stream().mapToDouble(of).average().orElse(0);
    }
}
