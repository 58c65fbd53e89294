package embershift.fleet;

import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The orders of the fleet to all nodes, as one whole: {@code fields} by name. {@code before}: the
 * chain of the revision before it, "" for the first; so a revision tells all that led to it. Never
 * changed, only followed by the next.
 */
public record Revision(long number, String before, SortedMap<String, String> fields) {

    /** Fields that there are; {@code out/HOST} takes a host out on all nodes. */
    public static final String OUT = "out/";

    public static final String DISCOVERY = "discovery";
    public static final String SOCKETS = "sockets";
    public static final String PEERS = "peers";
    private static final int MOST = 5_000;

    public Revision {
        fields = new TreeMap<>(fields);
    }

    /** Before any was made. */
    public static final Revision NONE = new Revision(0, "", new TreeMap<>());

    /** A sum of what it says. */
    public String content() {
        return content(fields);
    }

    public static String content(SortedMap<String, String> fields) {
        return Digest.of(fields);
    }

    /** A sum of it and of all before it. */
    public String chain() {
        return number == 0 ? "" : chain(before, number, content());
    }

    static String chain(String before, long number, String content) {
        return Digest.of(before, String.valueOf(number), content);
    }

    /** What one who holds the other lacks; null stands for a field that is gone. */
    public SortedMap<String, String> differenceFrom(Revision other) {
        SortedMap<String, String> difference = new TreeMap<>();
        Set<String> names = new TreeSet<>(fields.keySet());
        names.addAll(other.fields.keySet());
        for (String name : names) {
            String mine = fields.get(name);
            if (mine == null || !mine.equals(other.fields.get(name))) {
                difference.put(name, mine);
            }
        }
        return difference;
    }

    /** The next one, with these fields set, or taken away where the value is null. */
    public Revision next(Map<String, String> changes) {
        SortedMap<String, String> then = new TreeMap<>(fields);
        apply(then, changes);
        return new Revision(number + 1, chain(), then);
    }

    static void apply(SortedMap<String, String> fields, Map<String, String> changes) {
        changes.forEach(
                (name, value) -> {
                    if (value == null) {
                        fields.remove(name);
                    } else {
                        fields.put(name, value);
                    }
                });
    }

    /** What no node could take, in one line, or null. Nodes check each value for themselves. */
    public String wrong() {
        if (fields.size() > MOST) {
            return "over " + MOST + " fields";
        }
        for (Map.Entry<String, String> field : fields.entrySet()) {
            if (!field.getKey().matches("[a-z]+(/[^\\s=/]{1,200})?")
                    || field.getValue().matches("(?s).*[\\r\\n].*")) {
                return field.getKey()
                        + ": a name is letters, or letters/NAME, and a value is one line";
            }
        }
        return null;
    }

    // As text, one line a field, for the record.

    public String text() {
        StringBuilder out =
                new StringBuilder("revision 1 ")
                        .append(number)
                        .append(' ')
                        .append(before.isEmpty() ? "-" : before)
                        .append(' ')
                        .append(content())
                        .append('\n');
        fields.forEach((name, value) -> out.append(name).append('=').append(value).append('\n'));
        return out.toString();
    }

    /** Null where this is no such text, or its sum does not fit. */
    public static Revision read(String text) {
        String[] lines = text.split("\n");
        String[] head = lines[0].split(" ");
        if (head.length != 5
                || !head[0].equals("revision")
                || !head[1].equals("1")
                || !head[2].matches("\\d{1,18}")) {
            return null;
        }
        SortedMap<String, String> fields = new TreeMap<>();
        for (int i = 1; i < lines.length; i++) {
            int equals = lines[i].indexOf('=');
            if (equals < 1) {
                return null;
            }
            fields.put(lines[i].substring(0, equals), lines[i].substring(equals + 1));
        }
        Revision read =
                new Revision(Long.parseLong(head[2]), head[3].equals("-") ? "" : head[3], fields);
        return read.content().equals(head[4]) ? read : null;
    }

    /** Where the record keeps one, by number, in their order. */
    public static String key(long number) {
        return String.format("revision/%012d", number);
    }
}
