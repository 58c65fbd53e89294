package embershift.rig.scale;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Base64;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * One HTML page of all curves, both axes by logarithms: its plots are in it, so it can be sent and
 * opened anywhere.
 */
final class Plots {

    private static final int WIDTH = 620;
    private static final int HEIGHT = 320;

    private Plots() {}

    static String page(ObjectNode result, List<Curve> curves) throws IOException {
        StringBuilder page =
                new StringBuilder(
                        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>embershift scale</title>"
                                + "<style>body{font:15px/1.4 sans-serif;margin:2em;max-width:1400px}pre{font-size:13px}img{margin:4px}</style></head><body>\n"
                                + "<h1>"
                                + escaped(result.path("name").asText())
                                + "</h1>\n<p>"
                                + escaped(
                                        result.path("date").asText()
                                                + ", "
                                                + result.path("processors").asInt()
                                                + " processors, load before "
                                                + result.path("load-before").asText()
                                                + ", "
                                                + result.path("ended").asText())
                                + "</p>\n");
        for (Curve curve : curves) {
            page.append("<pre>")
                    .append(escaped(String.join("\n", curve.lines())))
                    .append("</pre>\n");
            // A logarithm of nothing can't be drawn.
            if (curve.points().size() > 1
                    && curve.points().stream().allMatch(point -> point.median() > 0)) {
                byte[] picture =
                        BitmapEncoder.getBitmapBytes(chart(curve), BitmapEncoder.BitmapFormat.PNG);
                page.append("<img alt=\"")
                        .append(escaped(curve.what()))
                        .append("\" src=\"data:image/png;base64,")
                        .append(Base64.getEncoder().encodeToString(picture))
                        .append("\">\n");
            }
        }
        return page.append("</body></html>\n").toString();
    }

    private static XYChart chart(Curve curve) {
        XYChart chart =
                new XYChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .title(curve.what())
                        .xAxisTitle(curve.of())
                        .yAxisTitle(curve.unit())
                        .build();
        chart.getStyler()
                .setXAxisLogarithmic(true)
                .setYAxisLogarithmic(true)
                .setLegendVisible(false);
        chart.addSeries(
                "measured",
                curve.points().stream().mapToDouble(Curve.Point::at).toArray(),
                curve.points().stream().mapToDouble(Curve.Point::median).toArray());
        Curve.Point last = curve.points().get(curve.points().size() - 1);
        if (curve.size() > last.at() && curve.expected() > 0) {
            chart.addSeries(
                            "extrapolated",
                            new double[] {last.at(), curve.size()},
                            new double[] {last.median(), curve.expected()})
                    .setMarker(SeriesMarkers.NONE);
        }
        return chart;
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
