package embershift.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One thing that a node did or had done to it, as its trail holds it. {@code number}: from 1 on, by
 * incarnation; {@code fields}: names and values without spaces; {@code words}: free text, at the
 * end.
 */
public record Trace(long number, Hybrid at, Kind kind, Map<String, String> fields, String words) {

    /**
     * {@code TOOK}: a revision is acted on from here on; {@code TUNNELS}: how many were decided by
     * it since the entry before.
     */
    public enum Kind {
        STARTED,
        TOOK,
        REFUSED,
        ORDER,
        TUNNELS,
        READY,
        OUT,
        LED,
        ENDS
    }

    public Trace {
        fields = new TreeMap<>(fields);
        words = words.replaceAll("\\s+", " ").strip();
    }

    public long value(String field) {
        String value = fields.get(field);
        return value != null && value.matches("-?\\d{1,18}") ? Long.parseLong(value) : 0;
    }

    public String line() {
        StringBuilder out =
                new StringBuilder().append(number).append(' ').append(at).append(' ').append(kind);
        fields.forEach(
                (name, value) ->
                        out.append(' ')
                                .append(name)
                                .append('=')
                                .append(value.replaceAll("\\s", "_")));
        return words.isEmpty() ? out.toString() : out.append(" : ").append(words).toString();
    }

    /** Null where this is no such line. */
    public static Trace read(String line) {
        int colon = line.indexOf(" : ");
        String[] parts = (colon < 0 ? line : line.substring(0, colon)).split(" ");
        if (parts.length < 3 || !parts[0].matches("\\d{1,18}") || Hybrid.read(parts[1]) == null) {
            return null;
        }
        Map<String, String> fields = new TreeMap<>();
        for (int i = 3; i < parts.length; i++) {
            int equals = parts[i].indexOf('=');
            if (equals < 1) {
                return null;
            }
            fields.put(parts[i].substring(0, equals), parts[i].substring(equals + 1));
        }
        for (Kind kind : Kind.values()) {
            if (kind.name().equals(parts[2])) {
                return new Trace(
                        Long.parseLong(parts[0]),
                        Hybrid.read(parts[1]),
                        kind,
                        fields,
                        colon < 0 ? "" : line.substring(colon + 3));
            }
        }
        return null;
    }

    static List<Trace> readAll(List<String> lines) {
        List<Trace> all = new ArrayList<>();
        for (String line : lines) {
            Trace trace = read(line);
            if (trace == null) {
                return null;
            }
            all.add(trace);
        }
        return all;
    }
}
