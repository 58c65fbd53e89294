package embershift.protocol;

/** A host's own figures, NaN for each that it does not report or that makes no sense. */
public record LoadReport(
        double loadOverCapacity, double openTunnels, double queued, double bareValue) {

    public static final LoadReport NONE =
            new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN);

    /** Reads names and values set apart by commas, or the one number of a {@code LOAD} line. */
    static LoadReport parse(String text) {
        double over = Double.NaN;
        double open = Double.NaN;
        double queued = Double.NaN;
        for (String field : text.trim().split(",")) {
            int equals = field.indexOf('=');
            if (equals > 0) {
                double value = number(field.substring(equals + 1));
                switch (field.substring(0, equals)) {
                    case "x0" -> over = value;
                    case "inflight", "rif" -> open = value;
                    case "queue", "q" -> queued = value;
                    default -> {} // figures that no decision reads
                }
            }
        }
        return new LoadReport(over, open, queued, number(text));
    }

    private static double number(String text) {
        try {
            double value = Double.parseDouble(text);
            return value >= 0 && value < Double.POSITIVE_INFINITY ? value : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    public boolean isEmpty() {
        return Double.isNaN(loadOverCapacity) && Double.isNaN(openTunnels) && Double.isNaN(queued);
    }
}
