package embershift.hosted;

import embershift.fleet.audit.AuditReport;
import embershift.fleet.audit.RevisionPeriod;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * An audit as a picture: time across, nodes down, one colour a revision, what is not known hatched,
 * starts and ends marked.
 */
final class AuditPicture {

    private static final int WIDTH = 1000;
    private static final int LEFT = 110;
    private static final int ROW = 22;

    private AuditPicture() {}

    static String of(AuditReport audit) {
        long from = Long.MAX_VALUE;
        long to = Long.MIN_VALUE;
        for (RevisionPeriod spell : audit.periods()) {
            from = Math.min(from, spell.from().millis());
            to = Math.max(to, spell.end().millis());
        }
        List<String> nodes = new ArrayList<>(audit.nodes());
        long begin = from;
        double scale = to <= from ? 0 : (double) (WIDTH - LEFT - 10) / (to - from);
        StringBuilder out =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
                                        + "height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">%n<defs><pattern id=\"gap\" width=\"6\" height=\"6\" "
                                        + "patternUnits=\"userSpaceOnUse\"><path d=\"M0 6L6 0\" stroke=\"#444\"/></pattern></defs>%n",
                                WIDTH,
                                ROW * (nodes.size() + 2)));
        for (int i = 0; i < nodes.size(); i++) {
            int y = ROW * (i + 1);
            out.append(
                    String.format(
                            Locale.ROOT,
                            "<text x=\"4\" y=\"%d\">%s</text>%n",
                            y + 14,
                            nodes.get(i)));
            for (RevisionPeriod spell : audit.periods()) {
                if (!spell.node().equals(nodes.get(i))) {
                    continue;
                }
                double x = LEFT + (spell.from().millis() - begin) * scale;
                double end = LEFT + (spell.end().millis() - begin) * scale;
                String title =
                        "revision "
                                + spell.revision()
                                + ", incarnation "
                                + spell.incarnation()
                                + ", opened "
                                + spell.opened()
                                + ", declined "
                                + spell.declined()
                                + ", failed "
                                + spell.failed();
                out.append(rect(x, end, y, colour(spell.revision()), title));
                if (!spell.isComplete()) {
                    out.append(rect(x, end, y, "url(#gap)", title + ", entries are missing"));
                }
                if (spell.to().isEmpty() && end < WIDTH - 11) {
                    out.append(rect(end, WIDTH - 10, y, "url(#gap)", "nothing is told"));
                }
            }
        }
        for (AuditReport.NodeEntry each : audit.entriesBetween(0, Long.MAX_VALUE)) {
            String mark =
                    switch (each.entry().kind()) {
                        case STARTED -> "#0a0";
                        case ENDS -> "#888";
                        case OUT -> "#c00";
                        case REFUSED -> "#e80";
                        default -> null;
                    };
            if (mark != null) {
                int y = ROW * (nodes.indexOf(each.node()) + 1);
                out.append(
                        String.format(
                                Locale.ROOT,
                                "<circle cx=\"%.1f\" cy=\"%d\" r=\"4\" fill=\"%s\"><title>%s</title></circle>%n",
                                LEFT + (each.entry().at().millis() - begin) * scale,
                                y + 10,
                                mark,
                                escaped(each.entry().encode())));
            }
        }
        if (to > from) {
            out.append(
                    String.format(
                            Locale.ROOT,
                            "<text x=\"%d\" y=\"%d\">%s</text><text x=\"%d\" y=\"%d\" text-anchor=\"end\">%s"
                                    + "</text>%n",
                            LEFT,
                            ROW * (nodes.size() + 2) - 8,
                            AuditCommand.time(from),
                            WIDTH - 10,
                            ROW * (nodes.size() + 2) - 8,
                            AuditCommand.time(to)));
        }
        return out.append("</svg>\n").toString();
    }

    private static String rect(double x, double end, int y, String fill, String title) {
        return String.format(
                Locale.ROOT,
                "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"><title>%s</title></rect>%n",
                x,
                y,
                Math.max(1, end - x),
                ROW - 4,
                fill,
                escaped(title));
    }

    /** Revisions that follow one another are far apart in hue. */
    private static String colour(long revision) {
        return revision == 0 ? "#ddd" : "hsl(" + revision * 137 % 360 + ",60%,65%)";
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
    }
}
