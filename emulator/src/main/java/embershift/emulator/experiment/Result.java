package embershift.emulator.experiment;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import embershift.emulator.judge.Breach;
import embershift.emulator.world.Counts;
import embershift.emulator.world.Outcome;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What one play of a day came to, as one line of JSON. Nothing in it depends on the machine or on
 * what else ran: the same day, seed and way to decide give the same bytes. Shares are parts of 1,
 * times seconds.
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
@JsonPropertyOrder({
    "day",
    "nodes",
    "hosts",
    "with",
    "seed",
    "vary",
    "service",
    "worstTen",
    "worstProfile",
    "worstParticipant",
    "breaches",
    "opening",
    "counts",
    "costs",
    "each",
    "loads"
})
public record Result(
        String day,
        int nodes,
        int hosts,
        String with,
        long seed,
        Map<String, String> vary,
        double service,
        double worstTen,
        double worstProfile,
        double worstParticipant,
        List<String> breaches,
        Map<String, Double> opening,
        Map<String, Long> counts,
        Map<String, Double> costs,
        double[] each,
        List<double[]> loads) {

    private static final int MOST_BREACHES = 20;
    private static final double[] PERCENTILES = {10, 25, 50, 75, 90, 95, 99, 99.9, 100};

    public Result {
        breaches = breaches == null ? List.of() : breaches;
        each = each == null ? new double[0] : each;
        loads = loads == null ? List.of() : loads;
    }

    static Result of(
            Outcome outcome,
            String with,
            long seed,
            Map<String, String> vary,
            List<Breach> breaches,
            boolean whole) {
        Counts counts = outcome.counts();
        Map<String, Double> opening = new TreeMap<>();
        for (double percentile : PERCENTILES) {
            opening.put("p" + percentile, outcome.opening().getValueAtPercentile(percentile) / 1e6);
        }
        Map<String, Long> counted =
                new TreeMap<>(
                        Map.of(
                                "callers",
                                counts.callers,
                                "tunnels",
                                counts.tunnels,
                                "opened",
                                counts.opened,
                                "declined",
                                counts.declined,
                                "closedWithError",
                                counts.closedWithError,
                                "unanswered",
                                counts.unanswered,
                                "setups",
                                counts.setups,
                                "breaks",
                                counts.breaks));
        counted.put("breaches", (long) breaches.size());
        counted.put("events", outcome.events());
        counted.put("rounds", counts.rounds);
        double tunnels = Math.max(1, counts.tunnels);
        Map<String, Double> costs =
                new TreeMap<>(
                        Map.of(
                                "wastedWork",
                                        rounded(
                                                counts.wastedWork
                                                        / Math.max(1e-9, counts.setupWork)),
                                "crossings", rounded(counts.crossings / tunnels),
                                "moves",
                                        rounded(
                                                counts.moves
                                                        / (double) Math.max(1, counts.callers)),
                                "probes", rounded(counts.probes / tunnels),
                                "datagrams", rounded(counts.datagrams / tunnels),
                                "rosterCalls", rounded(counts.rosterCalls / tunnels),
                                "reconnections",
                                        rounded(
                                                (counts.breaks + counts.moves)
                                                        / (double) Math.max(1, counts.callers))));
        return new Result(
                outcome.day().name(),
                outcome.day().fleet().nodes(),
                outcome.day().fleet().hosts(),
                with,
                seed,
                vary,
                rounded(outcome.service().whole()),
                rounded(outcome.service().worstTen()),
                rounded(outcome.service().worstProfile()),
                rounded(outcome.service().worstParticipant()),
                breaches.stream().limit(MOST_BREACHES).map(Breach::toString).toList(),
                opening,
                counted,
                costs,
                whole ? rounded(outcome.service().each()) : new double[0],
                whole ? outcome.loads().stream().map(Result::rounded).toList() : List.of());
    }

    /** What hunts and comparisons go by: the service, and nothing where a rule was broken. */
    public double score() {
        return counts.get("breaches") > 0 ? 0 : service;
    }

    static double rounded(double value) {
        return Double.isNaN(value) ? -1 : Math.round(value * 1e5) / 1e5;
    }

    private static double[] rounded(double[] values) {
        double[] rounded = new double[values.length];
        for (int i = 0; i < values.length; i++) {
            rounded[i] = rounded(values[i]);
        }
        return rounded;
    }
}
