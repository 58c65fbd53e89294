package embershift.adapter;

import java.util.Base64;

/**
 * Reads the fields of one line of the wire in their order, and says plainly what is wrong with one.
 */
final class LineFields {

    private final long number;
    private final String line;
    private int position;

    LineFields(long number, String line) {
        this.number = number;
        this.line = line;
    }

    MalformedLineException malformed(String field, String expected) {
        return new MalformedLineException(number, line, field, expected);
    }

    boolean atEnd() {
        return position > line.length();
    }

    /** The next part; null where the wire has "-" for an absent one. */
    String optional(String field) {
        if (atEnd() || line.isEmpty()) {
            throw malformed(field, "a value, or - for none");
        }
        int end = line.indexOf(' ', position);
        if (end < 0) {
            end = line.length();
        }
        String part = line.substring(position, end);
        position = end + 1;
        if (part.isEmpty()) {
            throw malformed(field, "a value, or - for none");
        }
        return part.equals("-") ? null : part;
    }

    String text(String field) {
        String part = optional(field);
        if (part == null) {
            throw malformed(field, "a value");
        }
        return part;
    }

    int integer(String field) {
        try {
            return Integer.parseInt(text(field));
        } catch (NumberFormatException e) {
            throw malformed(field, "a whole number");
        }
    }

    long longInteger(String field) {
        try {
            return Long.parseLong(text(field));
        } catch (NumberFormatException e) {
            throw malformed(field, "a whole number");
        }
    }

    double number(String field) {
        return number(field, text(field));
    }

    double numberOr(String field, double fallback) {
        String part = optional(field);
        return part == null ? fallback : number(field, part);
    }

    private double number(String field, String part) {
        try {
            double value = Double.parseDouble(part);
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Told below.
        }
        throw malformed(field, "a number");
    }

    boolean flag(String field) {
        String part = optional(field);
        if (part == null || part.equals("0")) {
            return false;
        }
        if (part.equals("1")) {
            return true;
        }
        throw malformed(field, "1 or 0");
    }

    byte[] bytes(String field) {
        String part = optional(field);
        try {
            return part == null ? new byte[0] : Base64.getDecoder().decode(part);
        } catch (IllegalArgumentException e) {
            throw malformed(field, "base64 with padding");
        }
    }

    double[] numberRow(String field) {
        String part = optional(field);
        if (part == null) {
            return new double[0];
        }
        String[] parts = part.split(",", -1);
        double[] row = new double[parts.length];
        for (int i = 0; i < row.length; i++) {
            row[i] =
                    parts[i].equals("-") || parts[i].isEmpty()
                            ? Double.NaN
                            : number(field, parts[i]);
        }
        return row;
    }
}
