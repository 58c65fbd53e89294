package embershift.fleet.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * An event at a node, or an action taken on it.
 *
 * @param number counts from 1 within an incarnation of the node
 * @param fields names and values; spaces in values are stored as underscores
 * @param text for operators, in one line
 */
public record AuditEntry(
        long number, HybridLogicalClock at, Kind kind, Map<String, String> fields, String text) {

    /** The field with the number of a config revision. */
    public static final String REVISION = "revision";

    /** What happened. The names are part of the stored text. */
    public enum Kind {
        /** The process was started. */
        STARTED,
        /** A config revision is in effect from this entry on. */
        TOOK,
        /** A config revision was rejected. */
        REFUSED,
        /** An order was accepted or rejected. */
        ORDER,
        /** Number of sessions answered since the previous entry of this kind. */
        TUNNELS,
        /** The node's readiness for clients has changed. */
        READY,
        /** The node was shut out. */
        OUT,
        /** The source of the node's endpoint list has changed. */
        LED,
        /** The process ends. */
        ENDS;

        /** Whether entries of this kind name the config revision that is in effect from then on. */
        boolean startsRevisionPeriod() {
            return this == STARTED || this == TOOK;
        }
    }

    private static final String TEXT_SEPARATOR = " : ";
    private static final int HEADER_FIELDS = 3;

    /** Sorts the fields and reduces the text to one line. */
    public AuditEntry {
        fields = new TreeMap<>(fields);
        text = text.replaceAll("\\s+", " ").strip();
    }

    /** Returns a field's value as a number, or 0 if it is missing or not a number. */
    public long longField(String field) {
        String value = fields.get(field);
        return value != null && value.matches("-?\\d{1,18}") ? Long.parseLong(value) : 0;
    }

    /** Encodes this entry as one line. */
    public String encode() {
        StringBuilder line = new StringBuilder();
        line.append(number).append(' ').append(at).append(' ').append(kind);
        fields.forEach(
                (name, value) ->
                        line.append(' ')
                                .append(name)
                                .append('=')
                                .append(value.replaceAll("\\s", "_")));
        return text.isEmpty()
                ? line.toString()
                : line.append(TEXT_SEPARATOR).append(text).toString();
    }

    /** Decodes a line; empty if it is not an entry. */
    public static Optional<AuditEntry> decode(String line) {
        int separator = line.indexOf(TEXT_SEPARATOR);
        String text = separator < 0 ? "" : line.substring(separator + TEXT_SEPARATOR.length());
        String[] words = (separator < 0 ? line : line.substring(0, separator)).split(" ");
        if (words.length < HEADER_FIELDS || !words[0].matches("\\d{1,18}")) {
            return Optional.empty();
        }
        Optional<HybridLogicalClock> at = HybridLogicalClock.decode(words[1]);
        Optional<Kind> kind = decodeKind(words[2]);
        Optional<Map<String, String>> fields = decodeFields(words);
        if (at.isEmpty() || kind.isEmpty() || fields.isEmpty()) {
            return Optional.empty();
        }
        long number = Long.parseLong(words[0]);
        return Optional.of(new AuditEntry(number, at.get(), kind.get(), fields.get(), text));
    }

    private static Optional<Kind> decodeKind(String name) {
        for (Kind kind : Kind.values()) {
            if (kind.name().equals(name)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    private static Optional<Map<String, String>> decodeFields(String[] words) {
        Map<String, String> fields = new TreeMap<>();
        for (int i = HEADER_FIELDS; i < words.length; i++) {
            int equals = words[i].indexOf('=');
            if (equals < 1) {
                return Optional.empty();
            }
            fields.put(words[i].substring(0, equals), words[i].substring(equals + 1));
        }
        return Optional.of(fields);
    }

    /** Decodes lines; empty if one of them is not an entry. */
    static Optional<List<AuditEntry>> decodeAll(List<String> lines) {
        List<AuditEntry> entries = new ArrayList<>();
        for (String line : lines) {
            Optional<AuditEntry> entry = decode(line);
            if (entry.isEmpty()) {
                return Optional.empty();
            }
            entries.add(entry.get());
        }
        return Optional.of(entries);
    }
}
