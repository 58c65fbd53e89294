package embershift.rig.scale;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * One cost by one size: {@code what} costs {@code unit} by the number of {@code of}. {@code
 * expected}: at {@code size}, by the fit; {@code far}: that is over ten times the largest point.
 * {@code simulated}: counted in virtual time, or by classes without sockets.
 */
record Curve(
        String what,
        String unit,
        String of,
        List<Point> points,
        Fit fit,
        double size,
        double expected,
        boolean far) {

    private static final double FAR = 10;

    /** The median of the repeats at one number, and the least and the most of them. */
    record Point(double at, double median, double least, double most) {

        static Point of(double at, List<Double> repeats) {
            double[] all = repeats.stream().mapToDouble(Double::doubleValue).sorted().toArray();
            int middle = all.length / 2;
            double median = all.length % 2 == 1 ? all[middle] : (all[middle - 1] + all[middle]) / 2;
            return new Point(at, median, all[0], all[all.length - 1]);
        }
    }

    static Curve of(String what, String unit, String of, List<Point> points, double size) {
        double[] x = points.stream().mapToDouble(Point::at).toArray();
        double[] y = points.stream().mapToDouble(Point::median).toArray();
        Fit fit = Fit.of(x, y);
        return new Curve(
                what,
                unit,
                of,
                List.copyOf(points),
                fit,
                size,
                fit.at(x, y, size),
                size > FAR * x[x.length - 1]);
    }

    List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add(what + ", " + unit + ", by " + of);
        StringBuilder each = new StringBuilder("   ");
        for (Point point : points) {
            each.append(
                    String.format(
                            Locale.ROOT,
                            " %.0f: %s (%s to %s);",
                            point.at,
                            figure(point.median),
                            figure(point.least),
                            figure(point.most)));
        }
        lines.add(each.toString());
        String bend =
                Double.isNaN(fit.bend())
                        ? "no bend"
                        : String.format(
                                Locale.ROOT,
                                "bends at %.0f: %.2f below, %.2f above",
                                fit.bend(),
                                fit.below(),
                                fit.above());
        lines.add(
                String.format(
                        Locale.ROOT,
                        "    slope %.2f +- %.2f, fixed %s, each %s; %s; at %.0f: %s%s",
                        fit.slope(),
                        fit.error(),
                        figure(fit.fixed()),
                        figure(fit.each()),
                        bend,
                        size,
                        figure(expected),
                        far
                                ? " (EXTRAPOLATED over ten times the largest point)"
                                : size > points.get(points.size() - 1).at
                                        ? " (extrapolated)"
                                        : ""));
        return lines;
    }

    /** Three figures that count. */
    static String figure(double value) {
        if (Double.isNaN(value)) {
            return "-";
        }
        double size = Math.abs(value);
        int places =
                size == 0 || size >= 100 ? 0 : (int) Math.min(9, 2 - Math.floor(Math.log10(size)));
        return String.format(Locale.ROOT, "%." + places + "f", value);
    }

    /** Points by several costs that were measured together. */
    static final class Many {
        private final String[] names;
        private final String[] units;
        private final List<List<Point>> points = new ArrayList<>();

        /** Names and units in turn. */
        Many(String... namesAndUnits) {
            names = new String[namesAndUnits.length / 2];
            units = new String[names.length];
            for (int i = 0; i < names.length; i++) {
                names[i] = namesAndUnits[2 * i];
                units[i] = namesAndUnits[2 * i + 1];
                points.add(new ArrayList<>());
            }
        }

        /** {@code repeats}: each with the costs in the order of their names. */
        void add(double at, List<double[]> repeats) {
            for (int i = 0; i < names.length; i++) {
                int cost = i;
                points.get(i).add(Point.of(at, repeats.stream().map(all -> all[cost]).toList()));
            }
        }

        List<Curve> curves(String of, double size) {
            List<Curve> curves = new ArrayList<>();
            for (int i = 0; i < names.length; i++) {
                curves.add(Curve.of(names[i], units[i], of, points.get(i), size));
            }
            return curves;
        }

        @Override
        public String toString() {
            return Arrays.toString(names);
        }
    }
}
