package embershift.emulator.report;

import embershift.emulator.experiment.Lines;
import embershift.emulator.experiment.Result;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.HeatMapChart;
import org.knowm.xchart.HeatMapChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Makes one HTML file of all results in a folder: its plots are in it, so it can be sent and opened
 * anywhere.
 */
public final class Report {

    private static final int WIDTH = 760;
    private static final int HEIGHT = 320;

    /** Days with plots of their own; the rest are in the table alone. */
    private static final int MOST_PLOTTED = 24;

    private final StringBuilder page = new StringBuilder();

    /**
     * Reads each {@code .jsonl} in the folder and writes {@code report.html} there; returns its
     * path.
     */
    public static Path make(Path folder) throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.list(folder)) {
            files = all.filter(file -> file.toString().endsWith(".jsonl")).sorted().toList();
        }
        if (files.isEmpty()) {
            throw new IOException("there is no .jsonl in " + folder);
        }
        Report report = new Report();
        report.page.append(
                "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>embershift emulator</title>"
                        + "<style>body{font:15px/1.4 sans-serif;margin:2em;max-width:1600px}table{border-collapse:collapse}"
                        + "td,th{padding:2px 9px;text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child"
                        + "{text-align:left}img{margin:4px}.broken{color:#b00}</style></head><body>\n<h1>embershift emulator</h1>\n");
        for (Path file : files) {
            report.file(file.getFileName().toString(), Lines.read(file));
        }
        report.page.append("</body></html>\n");
        Path out = folder.resolve("report.html");
        Files.writeString(out, report.page, StandardCharsets.UTF_8);
        return out;
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private void file(String name, List<Result> results) throws IOException {
        page.append("<h2>").append(escaped(name)).append("</h2>\n");
        table(results);
        heatMaps(results);
        int plotted = 0;
        Map<String, List<Result>> byDay = new LinkedHashMap<>();
        for (Result result : results) {
            if (result.each() != null && result.each().length > 0 && plotted++ < MOST_PLOTTED) {
                byDay.computeIfAbsent(
                                result.day()
                                        + " "
                                        + result.nodes()
                                        + "x"
                                        + result.hosts()
                                        + " seed "
                                        + result.seed(),
                                key -> new ArrayList<>())
                        .add(result);
            }
        }
        for (Map.Entry<String, List<Result>> day : byDay.entrySet()) {
            day(day.getKey(), day.getValue());
        }
    }

    private void table(List<Result> results) {
        page.append(
                "<table><tr><th>day</th><th>nodes x hosts</th><th>with</th><th>seed</th><th>varied</th><th>service</th>"
                        + "<th>worst 10 s</th><th>worst profile</th><th>worst participant</th><th>opened</th><th>declined</th>"
                        + "<th>closed with error</th><th>p50, p99 to open</th><th>wasted</th><th>crossings</th><th>moves</th>"
                        + "<th>probes</th><th>rules</th></tr>\n");
        for (Result result : results) {
            page.append(
                    String.format(
                            Locale.ROOT,
                            "<tr><td>%s</td><td>%d x %d</td><td>%s</td><td>%d</td><td>%s</td>"
                                    + "<td>%.4f</td><td>%.4f</td><td>%.4f</td><td>%.4f</td><td>%d</td><td>%d</td><td>%d</td>"
                                    + "<td>%.3f, %.3f s</td><td>%.3f</td><td>%.3f</td><td>%.3f</td><td>%.2f</td><td>%s</td></tr>%n",
                            escaped(result.day()),
                            result.nodes(),
                            result.hosts(),
                            result.with(),
                            result.seed(),
                            result.vary() == null
                                    ? ""
                                    : escaped(new TreeMap<>(result.vary()).toString()),
                            result.service(),
                            result.worstTen(),
                            result.worstProfile(),
                            result.worstParticipant(),
                            result.counts().get("opened"),
                            result.counts().get("declined"),
                            result.counts().get("closedWithError"),
                            result.opening().get("p50.0"),
                            result.opening().get("p99.0"),
                            result.costs().get("wastedWork"),
                            result.costs().get("crossings"),
                            result.costs().get("moves"),
                            result.costs().get("probes"),
                            result.counts().get("breaches") == 0
                                    ? "kept"
                                    : "<span class=\"broken\">"
                                            + result.counts().get("breaches")
                                            + " broken: "
                                            + escaped(result.breaches().get(0))
                                            + "</span>"));
        }
        page.append("</table>\n");
    }

    private void day(String name, List<Result> results) throws IOException {
        page.append("<h3>").append(escaped(name)).append("</h3>\n");
        XYChart service = chart("service, second by second", "s", "share");
        service.getStyler().setYAxisMin(0.0).setYAxisMax(1.0);
        XYChart opening = chart("time to open, by part of tunnels", "part of tunnels opened", "s");
        for (Result result : results) {
            service.addSeries(result.with(), seconds(result.each().length), result.each())
                    .setMarker(SeriesMarkers.NONE);
            double[] parts =
                    result.opening().keySet().stream()
                            .mapToDouble(key -> Double.parseDouble(key.substring(1)))
                            .sorted()
                            .toArray();
            double[] times = new double[parts.length];
            for (int i = 0; i < parts.length; i++) {
                times[i] = result.opening().get("p" + parts[i]);
            }
            opening.addSeries(result.with(), parts, times);
        }
        picture(service);
        picture(opening);
        for (Result result : results) {
            if (result.loads() != null && !result.loads().isEmpty()) {
                picture(loads(result));
            }
        }
    }

    private static double[] seconds(int many) {
        double[] seconds = new double[many];
        for (int i = 0; i < many; i++) {
            seconds[i] = i;
        }
        return seconds;
    }

    private static XYChart chart(String title, String x, String y) {
        XYChart chart =
                new XYChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .title(title)
                        .xAxisTitle(x)
                        .yAxisTitle(y)
                        .build();
        chart.getStyler().setChartTitleVisible(true);
        return chart;
    }

    /** Each host's load over time: with many hosts, lines hide each other and colours don't. */
    private static HeatMapChart loads(Result result) {
        int seconds = result.loads().size();
        int hosts = result.loads().get(0).length;
        List<Number[]> cells = new ArrayList<>();
        for (int s = 0; s < seconds; s++) {
            for (int h = 0; h < hosts; h++) {
                cells.add(new Number[] {s, h, Math.min(2, result.loads().get(s)[h])});
            }
        }
        HeatMapChart chart =
                new HeatMapChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .title(
                                "load over capacity of each host, "
                                        + result.with()
                                        + " (below 0: down)")
                        .xAxisTitle("s")
                        .yAxisTitle("host")
                        .build();
        List<Integer> xs = new ArrayList<>();
        List<Integer> ys = new ArrayList<>();
        for (int s = 0; s < seconds; s++) {
            xs.add(s);
        }
        for (int h = 0; h < hosts; h++) {
            ys.add(h);
        }
        chart.getStyler().setXAxisMaxLabelCount(12);
        chart.getStyler().setLegendVisible(true);
        chart.addSeries("load", xs, ys, cells);
        return chart;
    }

    /** Sweeps over two keys as a map of mean service, one for each way to decide. */
    private void heatMaps(List<Result> results) throws IOException {
        Map<String, List<Result>> byWay = new LinkedHashMap<>();
        for (Result result : results) {
            if (result.vary() != null && result.vary().size() == 2) {
                byWay.computeIfAbsent(result.with(), key -> new ArrayList<>()).add(result);
            }
        }
        for (Map.Entry<String, List<Result>> way : byWay.entrySet()) {
            List<String> keys = List.copyOf(new TreeMap<>(way.getValue().get(0).vary()).keySet());
            Set<String> xs = new LinkedHashSet<>();
            Set<String> ys = new LinkedHashSet<>();
            Map<String, double[]> sums = new LinkedHashMap<>();
            for (Result result : way.getValue()) {
                String x = result.vary().get(keys.get(0));
                String y = result.vary().get(keys.get(1));
                xs.add(x);
                ys.add(y);
                double[] sum = sums.computeIfAbsent(x + "\n" + y, key -> new double[2]);
                sum[0] += result.service();
                sum[1]++;
            }
            List<String> across = List.copyOf(xs);
            List<String> up = List.copyOf(ys);
            List<Number[]> cells = new ArrayList<>();
            sums.forEach(
                    (key, sum) ->
                            cells.add(
                                    new Number[] {
                                        across.indexOf(key.split("\n")[0]),
                                        up.indexOf(key.split("\n")[1]),
                                        sum[0] / sum[1]
                                    }));
            HeatMapChart chart =
                    new HeatMapChartBuilder()
                            .width(WIDTH)
                            .height(HEIGHT)
                            .title("mean service, " + way.getKey())
                            .xAxisTitle(keys.get(0))
                            .yAxisTitle(keys.get(1))
                            .build();
            chart.getStyler().setShowValue(true).setHeatMapValueDecimalPattern("0.000");
            chart.addSeries("service", across, up, cells);
            picture(chart);
        }
    }

    private void picture(Chart<?, ?> chart) throws IOException {
        byte[] bytes = BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
        page.append("<img alt=\"")
                .append(escaped(chart.getTitle()))
                .append("\" src=\"data:image/png;base64,")
                .append(Base64.getEncoder().encodeToString(bytes))
                .append("\">\n");
    }
}
