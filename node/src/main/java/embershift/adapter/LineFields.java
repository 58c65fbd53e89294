package embershift.adapter;

import java.util.Base64;

/** Reads the space-separated fields of one input line in order, and reports malformed ones. */
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

    /** Returns the next field, or null if it is "-", which stands for an absent value. */
    String optional(String field) {
        if (atEnd() || line.isEmpty()) {
            throw malformed(field, "a value, or - for none");
        }
        int end = line.indexOf(' ', position);
        if (end < 0) {
            end = line.length();
        }
        String value = line.substring(position, end);
        position = end + 1;
        if (value.isEmpty()) {
            throw malformed(field, "a value, or - for none");
        }
        return value.equals("-") ? null : value;
    }

    String text(String field) {
        String value = optional(field);
        if (value == null) {
            throw malformed(field, "a value");
        }
        return value;
    }

    int integer(String field) {
        try {
            return Integer.parseInt(text(field));
        } catch (NumberFormatException e) {
            throw malformed(field, "an integer");
        }
    }

    long longInteger(String field) {
        try {
            return Long.parseLong(text(field));
        } catch (NumberFormatException e) {
            throw malformed(field, "an integer");
        }
    }

    double number(String field) {
        return number(field, text(field));
    }

    double numberOr(String field, double defaultValue) {
        String value = optional(field);
        return value == null ? defaultValue : number(field, value);
    }

    private double number(String field, String value) {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw malformed(field, "a number");
    }

    boolean flag(String field) {
        String value = optional(field);
        if (value == null || value.equals("0")) {
            return false;
        }
        if (value.equals("1")) {
            return true;
        }
        throw malformed(field, "1 or 0");
    }

    byte[] bytes(String field) {
        String value = optional(field);
        try {
            return value == null ? new byte[0] : Base64.getDecoder().decode(value);
        } catch (IllegalArgumentException e) {
            throw malformed(field, "base64 with padding");
        }
    }

    double[] numberRow(String field) {
        String value = optional(field);
        if (value == null) {
            return new double[0];
        }
        String[] parts = value.split(",", -1);
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
