package embershift.hosted;

import embershift.fleet.audit.AuditReport;
import embershift.fleet.audit.RevisionPeriod;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * An audit report as an SVG chart: time across, nodes down, one colour per revision, unknown
 * periods hatched, starts and exits marked.
 */
final class AuditChart {

    private static final int WIDTH = 1000;
    private static final int LABEL_WIDTH = 110;
    private static final int ROW_HEIGHT = 22;

    private AuditChart() {}

    static String render(AuditReport audit) {
        long from = Long.MAX_VALUE;
        long to = Long.MIN_VALUE;
        for (RevisionPeriod period : audit.periods()) {
            from = Math.min(from, period.from().millis());
            to = Math.max(to, period.end().millis());
        }
        List<String> nodes = new ArrayList<>(audit.nodes());
        long begin = from;
        double scale = to <= from ? 0 : (double) (WIDTH - LABEL_WIDTH - 10) / (to - from);
        StringBuilder svg =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
                                        + "height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">%n<defs><pattern id=\"gap\" width=\"6\" height=\"6\" "
                                        + "patternUnits=\"userSpaceOnUse\"><path d=\"M0 6L6 0\" stroke=\"#444\"/></pattern></defs>%n",
                                WIDTH,
                                ROW_HEIGHT * (nodes.size() + 2)));
        for (int i = 0; i < nodes.size(); i++) {
            int y = ROW_HEIGHT * (i + 1);
            svg.append(
                    String.format(
                            Locale.ROOT,
                            "<text x=\"4\" y=\"%d\">%s</text>%n",
                            y + 14,
                            nodes.get(i)));
            for (RevisionPeriod period : audit.periods()) {
                if (!period.node().equals(nodes.get(i))) {
                    continue;
                }
                double x = LABEL_WIDTH + (period.from().millis() - begin) * scale;
                double end = LABEL_WIDTH + (period.end().millis() - begin) * scale;
                String title =
                        "revision "
                                + period.revision()
                                + ", incarnation "
                                + period.incarnation()
                                + ", opened "
                                + period.opened()
                                + ", declined "
                                + period.declined()
                                + ", failed "
                                + period.failed();
                svg.append(rectangle(x, end, y, colour(period.revision()), title));
                if (!period.isComplete()) {
                    svg.append(rectangle(x, end, y, "url(#gap)", title + ", entries are missing"));
                }
                if (period.to().isEmpty() && end < WIDTH - 11) {
                    svg.append(rectangle(end, WIDTH - 10, y, "url(#gap)", "no entries"));
                }
            }
        }
        for (AuditReport.NodeEntry each : audit.entriesBetween(0, Long.MAX_VALUE)) {
            String markColour =
                    switch (each.entry().kind()) {
                        case STARTED -> "#0a0";
                        case ENDS -> "#888";
                        case OUT -> "#c00";
                        case REFUSED -> "#e80";
                        default -> null;
                    };
            if (markColour != null) {
                int y = ROW_HEIGHT * (nodes.indexOf(each.node()) + 1);
                svg.append(
                        String.format(
                                Locale.ROOT,
                                "<circle cx=\"%.1f\" cy=\"%d\" r=\"4\" fill=\"%s\"><title>%s</title></circle>%n",
                                LABEL_WIDTH + (each.entry().at().millis() - begin) * scale,
                                y + 10,
                                markColour,
                                escape(each.entry().encode())));
            }
        }
        if (to > from) {
            svg.append(
                    String.format(
                            Locale.ROOT,
                            "<text x=\"%d\" y=\"%d\">%s</text><text x=\"%d\" y=\"%d\" text-anchor=\"end\">%s"
                                    + "</text>%n",
                            LABEL_WIDTH,
                            ROW_HEIGHT * (nodes.size() + 2) - 8,
                            AuditCommand.formatTime(from),
                            WIDTH - 10,
                            ROW_HEIGHT * (nodes.size() + 2) - 8,
                            AuditCommand.formatTime(to)));
        }
        return svg.append("</svg>\n").toString();
    }

    private static String rectangle(double x, double end, int y, String fill, String title) {
        return String.format(
                Locale.ROOT,
                "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"><title>%s</title></rect>%n",
                x,
                y,
                Math.max(1, end - x),
                ROW_HEIGHT - 4,
                fill,
                escape(title));
    }

    /** Returns the colour of a revision; consecutive ones differ widely in hue. */
    private static String colour(long revision) {
        return revision == 0 ? "#ddd" : "hsl(" + revision * 137 % 360 + ",60%,65%)";
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
    }
}
