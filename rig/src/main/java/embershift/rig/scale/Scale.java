package embershift.rig.scale;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.TomlSettings;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Measures what a file asks for and tells how each cost grows: the figures of docs/CAPACITY.md, on
 * this machine.
 */
public final class Scale {

    private static final long MEGA = 1 << 20;

    private Scale() {}

    /** How it ended: all measured, or one line of why not. */
    public record End(boolean whole, String why) {}

    /**
     * Measures; progress goes to standard error, the result to standard output, as JSON if wanted.
     * {@code report}: where a page with plots is written, or null. What was measured before a bound
     * or a fault ended the run is told all the same.
     */
    public static End run(Path path, boolean json, Path report)
            throws IOException, TomlSettings.InvalidSettingsException {
        ScaleFile file = ScaleFile.read(path);
        Consumer<String> progress = line -> System.err.println(line);
        List<Curve> curves = new ArrayList<>();
        String load = load();
        String why = null;
        long peak = 0;
        try (ResourceLimits limits = new ResourceLimits()) {
            try {
                parts(file, limits, progress, curves);
                limits.check();
            } catch (IOException | IllegalStateException e) {
                why = e.getMessage();
            }
            peak = limits.peak();
        } catch (ResourceLimits.Exceeded e) {
            // Before anything was measured.
            return new End(false, e.getMessage());
        }
        ObjectNode result = result(file, path, curves, load, peak, why);
        if (json) {
            System.out.println(result.toPrettyString());
        } else {
            tell(result, curves);
        }
        if (report != null) {
            Files.writeString(report, Plots.page(result, curves), StandardCharsets.UTF_8);
        }
        return new End(why == null, why);
    }

    private static void parts(
            ScaleFile file, ResourceLimits limits, Consumer<String> progress, List<Curve> curves)
            throws IOException {
        if (file.module() != null) {
            curves.addAll(ModuleCosts.measure(file, limits, progress));
        }
        if (file.words() != null) {
            curves.addAll(WordCosts.measure(file, limits, progress));
        }
        if (file.lists() != null) {
            curves.addAll(ListCosts.measure(file, limits, progress));
        }
        if (file.rollout() != null) {
            curves.addAll(RolloutCosts.measure(file, limits, progress));
        }
        if (file.trails() != null) {
            curves.addAll(TrailCosts.measure(file, limits, progress));
        }
        if (file.record() != null) {
            curves.addAll(RecordCosts.measure(file, limits, progress));
        }
        if (file.groups() != null) {
            curves.addAll(GroupCosts.measure(file, limits, progress));
        }
        if (file.hollow() != null) {
            FleetCosts.measure(file, limits, progress, curves);
        }
    }

    private static String load() throws IOException {
        return Files.readString(Path.of("/proc/loadavg")).strip();
    }

    private static ObjectNode result(
            ScaleFile file, Path path, List<Curve> curves, String load, long peak, String why)
            throws IOException {
        ObjectNode result = new JsonMapper().createObjectNode();
        result.put("name", file.name())
                .put("file", path.getFileName().toString())
                .put("date", LocalDate.now(ZoneOffset.UTC).toString())
                .put("processors", Runtime.getRuntime().availableProcessors())
                .put("java", System.getProperty("java.version"))
                .put("load-before", load)
                .put("load-after", load())
                .put("peak-mb", peak / MEGA)
                .put("repeats", file.repeats())
                .put("ended", why == null ? "whole" : why);
        ManagementFactory.getRuntimeMXBean()
                .getInputArguments()
                .forEach(result.putArray("options")::add);
        ArrayNode all = result.putArray("curves");
        for (Curve curve : curves) {
            ObjectNode one =
                    all.addObject()
                            .put("what", curve.what())
                            .put("unit", curve.unit())
                            .put("by", curve.of());
            ArrayNode points = one.putArray("points");
            curve.points()
                    .forEach(
                            point ->
                                    points.addObject()
                                            .put("at", point.at())
                                            .put("median", point.median())
                                            .put("least", point.least())
                                            .put("most", point.most()));
            Fit fit = curve.fit();
            number(one, "slope", fit.slope());
            number(one, "error", fit.error());
            number(one, "fixed", fit.fixed());
            number(one, "each", fit.each());
            number(one, "bend", fit.bend());
            number(one, "below", fit.below());
            number(one, "above", fit.above());
            number(one, "size", curve.size());
            number(one, "expected", curve.expected());
            one.put("far", curve.far());
        }
        return result;
    }

    private static void number(ObjectNode node, String name, double value) {
        if (Double.isNaN(value)) {
            node.putNull(name);
        } else {
            node.put(name, value);
        }
    }

    private static void tell(ObjectNode result, List<Curve> curves) {
        System.out.printf(
                Locale.ROOT,
                "%s, %s, %d processors, Java %s, load before %s, after %s, %d MB at the most, %d repeats%n",
                result.path("name").asText(),
                result.path("date").asText(),
                result.path("processors").asInt(),
                result.path("java").asText(),
                result.path("load-before").asText(),
                result.path("load-after").asText(),
                result.path("peak-mb").asLong(),
                result.path("repeats").asInt());
        curves.forEach(curve -> curve.lines().forEach(System.out::println));
        if (!result.path("ended").asText().equals("whole")) {
            System.out.println("NOT WHOLE: " + result.path("ended").asText());
        }
    }
}
