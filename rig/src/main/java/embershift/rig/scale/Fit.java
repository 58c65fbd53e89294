package embershift.rig.scale;

/**
 * How a cost grows, by least squares over the logarithms of both: it goes as x to the power of
 * {@code slope}, with the standard error {@code error} (NaN for less than three points). {@code
 * fixed}, {@code each}: of the line y = fixed + each * x that errs least in proportion. {@code
 * bend}: the point at which the slopes on both sides differ most, if by more than {@code BENT},
 * else NaN; {@code below}, {@code above}: these slopes.
 */
record Fit(
        double slope,
        double error,
        double fixed,
        double each,
        double bend,
        double below,
        double above) {

    private static final double BENT = 0.3;
    private static final int LEAST = 3;

    /** Takes the place of a cost of nothing, which has no logarithm. */
    private static final double LEAST_COST = 1e-9;

    private record Line(double slope, double start, double error) {}

    static Fit of(double[] x, double[] y) {
        int many = x.length;
        Line whole = logLine(x, y, 0, many);
        double bend = Double.NaN;
        double below = Double.NaN;
        double above = Double.NaN;
        double most = BENT;
        for (int at = 1; at < many - 1; at++) {
            Line left = logLine(x, y, 0, at + 1);
            Line right = logLine(x, y, at, many);
            if (Math.abs(left.slope - right.slope) > most) {
                most = Math.abs(left.slope - right.slope);
                bend = x[at];
                below = left.slope;
                above = right.slope;
            }
        }
        // Weighted by 1 / y squared: else the largest points alone would say what the fixed part
        // is.
        double w = 0;
        double wx = 0;
        double wy = 0;
        double wxx = 0;
        double wxy = 0;
        for (int i = 0; i < many; i++) {
            double weight = 1 / Math.pow(Math.max(LEAST_COST, y[i]), 2);
            w += weight;
            wx += weight * x[i];
            wy += weight * y[i];
            wxx += weight * x[i] * x[i];
            wxy += weight * x[i] * y[i];
        }
        double under = w * wxx - wx * wx;
        double each = many < 2 || under == 0 ? 0 : (w * wxy - wx * wy) / under;
        return new Fit(
                whole.slope,
                whole.error,
                w == 0 ? 0 : (wy - each * wx) / w,
                each,
                bend,
                below,
                above);
    }

    private static Line logLine(double[] x, double[] y, int from, int to) {
        int many = to - from;
        double meanX = 0;
        double meanY = 0;
        for (int i = from; i < to; i++) {
            meanX += Math.log(x[i]) / many;
            meanY += log(y[i]) / many;
        }
        double xx = 0;
        double xy = 0;
        for (int i = from; i < to; i++) {
            xx += Math.pow(Math.log(x[i]) - meanX, 2);
            xy += (Math.log(x[i]) - meanX) * (log(y[i]) - meanY);
        }
        double slope = xx == 0 ? Double.NaN : xy / xx;
        double start = meanY - slope * meanX;
        double rest = 0;
        for (int i = from; i < to; i++) {
            rest += Math.pow(log(y[i]) - start - slope * Math.log(x[i]), 2);
        }
        return new Line(
                slope, start, many < LEAST ? Double.NaN : Math.sqrt(rest / (many - 2) / xx));
    }

    private static double log(double cost) {
        return Math.log(Math.max(LEAST_COST, cost));
    }

    /**
     * What is to be expected at a size: between two points by the line through the logarithms of
     * both, beyond the last one from there by the slope of the last part.
     */
    double at(double[] x, double[] y, double size) {
        int last = x.length - 1;
        if (size >= x[last]) {
            double slope = Double.isNaN(bend) ? slope() : above;
            return Double.isNaN(slope) ? y[last] : y[last] * Math.pow(size / x[last], slope);
        }
        int right = 0;
        while (x[right] < size) {
            right++;
        }
        if (right == 0) {
            return y[0];
        }
        double part = Math.log(size / x[right - 1]) / Math.log(x[right] / x[right - 1]);
        return Math.exp(log(y[right - 1]) + part * (log(y[right]) - log(y[right - 1])));
    }
}
