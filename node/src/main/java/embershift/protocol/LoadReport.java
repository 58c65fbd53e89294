package embershift.protocol;

/**
 * Load figures reported by a host; NaN for each that is absent or invalid.
 *
 * @param bareValue the number of a {@code LOAD} line, which has no name
 */
public record LoadReport(
        double loadOverCapacity, double openTunnels, double queued, double bareValue) {

    public static final LoadReport NONE =
            new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN);

    /** Parses comma-separated name=value pairs, or the single number of a {@code LOAD} line. */
    static LoadReport parse(String text) {
        double loadOverCapacity = Double.NaN;
        double openTunnels = Double.NaN;
        double queued = Double.NaN;
        for (String field : text.trim().split(",")) {
            int equals = field.indexOf('=');
            if (equals > 0) {
                double value = number(field.substring(equals + 1));
                switch (field.substring(0, equals)) {
                    case "x0" -> loadOverCapacity = value;
                    case "inflight", "rif" -> openTunnels = value;
                    case "queue", "q" -> queued = value;
                    default -> {} // not used by any decision
                }
            }
        }
        return new LoadReport(loadOverCapacity, openTunnels, queued, number(text));
    }

    private static double number(String text) {
        try {
            double value = Double.parseDouble(text);
            return value >= 0 && value < Double.POSITIVE_INFINITY ? value : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    /** Whether none of the named figures is present. */
    public boolean isEmpty() {
        return Double.isNaN(loadOverCapacity) && Double.isNaN(openTunnels) && Double.isNaN(queued);
    }
}
