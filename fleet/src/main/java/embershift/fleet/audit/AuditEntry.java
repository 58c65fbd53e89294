package embershift.fleet.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * One thing that a node did, or that was done to it.
 *
 * @param number from 1 on, by incarnation of the node
 * @param fields names and values without spaces
 * @param text for people, in one line
 */
public record AuditEntry(
        long number, HybridLogicalClock at, Kind kind, Map<String, String> fields, String text) {

    /** The field that names a config revision. */
    public static final String REVISION = "revision";

    /** What happened. The names are part of the stored text. */
    public enum Kind {
        /** The process was started. */
        STARTED,
        /** A config revision is acted on from here on. */
        TOOK,
        /** A config revision was rejected. */
        REFUSED,
        /** An order was taken or rejected. */
        ORDER,
        /** How many sessions were decided since the entry of this kind before. */
        TUNNELS,
        /** Whether clients may be sent here has changed. */
        READY,
        /** The node was shut out. */
        OUT,
        /** Who tells the endpoint list has changed. */
        LED,
        /** The process ends. */
        ENDS;

        /** Whether entries of this kind name the config revision that is acted on from then on. */
        boolean startsRevisionPeriod() {
            return this == STARTED || this == TOOK;
        }
    }

    private static final String TEXT_SEPARATOR = " : ";
    private static final int HEADER_FIELDS = 3;

    /** Brings fields into their order, and the text into one line. */
    public AuditEntry {
        fields = new TreeMap<>(fields);
        text = text.replaceAll("\\s+", " ").strip();
    }

    /** Returns a field's value as a number; 0 where it is none. */
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

    /** Decodes a line; empty if it is no entry. */
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

    /** Decodes lines; empty if one of them is no entry. */
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
