package embershift.fleet;

import java.util.Arrays;
import java.util.List;

/**
 * A piece of one incarnation's trail, never changed once it is cut: entries one after the other,
 * chained to the piece before by its sum. Where the first entry does not follow the last one of the
 * piece before, what lay between was dropped for want of room.
 */
public record Segment(
        String node, long incarnation, long number, String before, List<Trace> entries) {

    public long from() {
        return entries.get(0).number();
    }

    public long to() {
        return entries.get(entries.size() - 1).number();
    }

    /** The sum that the next piece is chained to. */
    public String sum() {
        String sum = Digest.of(before, node, String.valueOf(incarnation), String.valueOf(number));
        for (Trace entry : entries) {
            sum = Digest.of(sum, entry.line());
        }
        return sum;
    }

    /** Where the record keeps it: by node, incarnation and number, in their order. */
    public String key() {
        return prefix(node) + String.format("%012d/%08d", incarnation, number);
    }

    static String prefix(String node) {
        return "trail/" + node + "/";
    }

    public String text() {
        StringBuilder out =
                new StringBuilder(
                        "trail 1 "
                                + node
                                + " "
                                + incarnation
                                + " "
                                + number
                                + " "
                                + (before.isEmpty() ? "-" : before)
                                + " "
                                + sum()
                                + "\n");
        entries.forEach(entry -> out.append(entry.line()).append('\n'));
        return out.toString();
    }

    /** Null where this is no such text, or its sum does not fit. */
    public static Segment read(String text) {
        String[] lines = text.split("\n");
        String[] head = lines[0].split(" ");
        if (head.length != 7
                || !head[0].equals("trail")
                || !head[1].equals("1")
                || lines.length < 2
                || !head[3].matches("\\d{1,18}")
                || !head[4].matches("\\d{1,18}")) {
            return null;
        }
        List<Trace> entries = Trace.readAll(Arrays.asList(lines).subList(1, lines.length));
        if (entries == null) {
            return null;
        }
        Segment read =
                new Segment(
                        head[2],
                        Long.parseLong(head[3]),
                        Long.parseLong(head[4]),
                        head[5].equals("-") ? "" : head[5],
                        entries);
        return read.sum().equals(head[6]) ? read : null;
    }
}
