package embershift.emulator.day;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads days: TOML, checked against {@code day.schema.json}, laid over {@code usual.toml}, then
 * checked for what no schema can tell. Whatever is wrong is one line: file, line, key and what was
 * expected.
 */
public final class DayReader {

    private static final double SUM_SLACK = 1e-6;

    private final TomlMapper toml = new TomlMapper();
    private final JsonMapper json =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.KEBAB_CASE)
                    .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .build();
    private final JsonSchema schema;
    private final ObjectNode usual;

    public DayReader() {
        try (InputStream rules = resource("day.schema.json");
                InputStream days = resource("usual.toml")) {
            schema =
                    JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(rules);
            usual = (ObjectNode) toml.readTree(days);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static InputStream resource(String name) {
        return DayReader.class.getResourceAsStream(name);
    }

    /**
     * Reads the file, with {@code key=value} pairs in its place: {@code traffic.load=0.9}, {@code
     * trouble.0.at=5}.
     */
    public Day read(Path file, Map<String, String> changes) throws UnreadableDay {
        String text;
        try {
            text = Files.readString(file, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UnreadableDay(file + ": can't be read: " + e.getMessage());
        }
        return read(text, file.toString(), changes);
    }

    public Day read(String text, String file, Map<String, String> changes) throws UnreadableDay {
        ObjectNode tree = tree(text, file);
        try {
            for (Map.Entry<String, String> change : changes.entrySet()) {
                change(tree, change.getKey(), value(change.getValue()));
            }
        } catch (IllegalArgumentException e) {
            throw new UnreadableDay(file + ":1: " + e.getMessage());
        }
        return read(tree, text, file);
    }

    /** The keys that a text itself sets. */
    public ObjectNode tree(String text, String file) throws UnreadableDay {
        try {
            return (ObjectNode) toml.readTree(text);
        } catch (JacksonException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw new UnreadableDay(
                    file
                            + ":"
                            + line
                            + ": "
                            + e.getOriginalMessage().lines().findFirst().orElse(""));
        }
    }

    /** A value as it would stand in a day's file; what is no such value is taken for a text. */
    private JsonNode value(String text) {
        try {
            return toml.readTree("v = " + text).get("v");
        } catch (JacksonException e) {
            return toml.getNodeFactory().textNode(text);
        }
    }

    /** Checks the tree of a day that was read from {@code text}, and makes the day of it. */
    public Day read(ObjectNode tree, String text, String file) throws UnreadableDay {
        KeyLines lines = new KeyLines(text);
        Set<ValidationMessage> wrong = schema.validate(tree);
        if (!wrong.isEmpty()) {
            ValidationMessage first =
                    wrong.stream()
                            .min(
                                    Comparator.<ValidationMessage>comparingInt(
                                                    message -> lines.of(pointer(message)))
                                            .thenComparing(ValidationMessage::getMessage))
                            .orElseThrow();
            throw unreadable(
                    file, lines, pointer(first), first.getMessage().replaceFirst("^[^:]*: ", ""));
        }
        Day day;
        try {
            day = json.treeToValue(laidOver(usual, tree), Day.class);
        } catch (JacksonException e) {
            throw new UnreadableDay(
                    file + ":1: " + e.getOriginalMessage().lines().findFirst().orElse(""));
        }
        check(day, file, lines);
        return day;
    }

    private static String pointer(ValidationMessage message) {
        String at =
                message.getInstanceLocation()
                        .toString()
                        .replace("$", "")
                        .replace('.', '/')
                        .replace('[', '/')
                        .replace("]", "");
        return message.getProperty() == null ? at : at + "/" + message.getProperty();
    }

    private static UnreadableDay unreadable(
            String file, KeyLines lines, String pointer, String expected) {
        return new UnreadableDay(
                file
                        + ":"
                        + lines.of(pointer)
                        + ": "
                        + pointer.substring(Math.min(1, pointer.length())).replace('/', '.')
                        + ": "
                        + expected);
    }

    private static void change(ObjectNode tree, String key, JsonNode value) {
        String[] parts = key.split("\\.");
        JsonNode at = tree;
        for (int i = 0; i < parts.length - 1; i++) {
            JsonNode next = at.isArray() ? at.path(number(parts[i], key)) : at.get(parts[i]);
            if (next == null && at.isObject()) {
                next = ((ObjectNode) at).putObject(parts[i]);
            }
            if (next == null || !next.isContainerNode()) {
                throw new IllegalArgumentException("there is no " + key + " to change");
            }
            at = next;
        }
        if (!at.isObject()) {
            throw new IllegalArgumentException("there is no " + key + " to change");
        }
        ((ObjectNode) at).set(parts[parts.length - 1], value);
    }

    private static int number(String text, String key) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "there is no " + key + " to change: " + text + " is no number");
        }
    }

    /** Tables key by key; each entry of a list of tables over the first that is usual there. */
    private static JsonNode laidOver(JsonNode usual, JsonNode own) {
        if (usual.isObject() && own.isObject()) {
            ObjectNode both = usual.deepCopy();
            for (Map.Entry<String, JsonNode> key : own.properties()) {
                JsonNode under = usual.get(key.getKey());
                both.set(
                        key.getKey(),
                        under == null ? key.getValue() : laidOver(under, key.getValue()));
            }
            if (usual.has("trouble") && !own.has("trouble")) {
                both.putArray("trouble");
            }
            return both;
        }
        if (usual.isArray() && own.isArray() && usual.size() > 0 && usual.get(0).isObject()) {
            ArrayNode all = ((ArrayNode) usual).arrayNode();
            own.forEach(entry -> all.add(laidOver(usual.get(0), entry)));
            return all;
        }
        return own;
    }

    private static void check(Day day, String file, KeyLines lines) throws UnreadableDay {
        double kinds = day.kind().stream().mapToDouble(Day.Kind::share).sum();
        double profiles = day.profile().stream().mapToDouble(Day.Profile::share).sum();
        double shares = day.participant().stream().mapToDouble(Day.Participant::share).sum();
        double parts = day.participant().stream().mapToDouble(Day.Participant::part).sum();
        sumsToOne(kinds, "/kind", "share", file, lines);
        sumsToOne(profiles, "/profile", "share", file, lines);
        sumsToOne(shares, "/participant", "share", file, lines);
        sumsToOne(parts, "/participant", "part", file, lines);
        for (int i = 0; i < day.trouble().size(); i++) {
            check(day, day.trouble().get(i), "/trouble/" + i, file, lines);
        }
    }

    private static void sumsToOne(double sum, String list, String key, String file, KeyLines lines)
            throws UnreadableDay {
        if (Math.abs(sum - 1) > SUM_SLACK) {
            throw unreadable(
                    file, lines, list + "/0/" + key, "all together must be 1, not " + (float) sum);
        }
    }

    private static void check(Day day, Trouble trouble, String at, String file, KeyLines lines)
            throws UnreadableDay {
        if (trouble.at() >= day.lasts()) {
            throw unreadable(file, lines, at + "/at", "the day ends at " + day.lasts());
        }
        if (trouble.times() > 1 && trouble.every() <= 0) {
            throw unreadable(file, lines, at + "/times", "more than once needs \"every\"");
        }
        Whom whom = aimed(day, trouble.whom(), at + "/whom", file, lines);
        if (!trouble.what().canBefall(whom.sort())) {
            throw unreadable(
                    file,
                    lines,
                    at + "/whom",
                    trouble.what().written()
                            + " befalls "
                            + trouble.what().aims()
                            + ", not "
                            + whom.sort());
        }
        if (!trouble.peer().isEmpty()) {
            Whom peer = aimed(day, trouble.peer(), at + "/peer", file, lines);
            if (!List.of("hosts", "nodes", "roster").contains(peer.sort())) {
                throw unreadable(
                        file,
                        lines,
                        at + "/peer",
                        "a cut lies between hosts, nodes and the roster");
            }
        }
    }

    private static Whom aimed(Day day, String words, String at, String file, KeyLines lines)
            throws UnreadableDay {
        Whom whom;
        try {
            whom = Whom.read(words);
        } catch (UnreadableDay e) {
            throw unreadable(file, lines, at, e.getMessage());
        }
        boolean zone = whom.zone() == null || day.fleet().zones().contains(whom.zone());
        boolean kind =
                whom.kind() == null
                        || day.kind().stream().anyMatch(row -> row.name().equals(whom.kind()));
        boolean profile =
                whom.profile() == null
                        || day.profile().stream()
                                .anyMatch(row -> row.name().equals(whom.profile()));
        int many = whom.sort().equals("nodes") ? day.fleet().nodes() : day.fleet().hosts();
        char first = whom.sort().charAt(0);
        boolean named =
                whom.named().stream()
                        .allMatch(
                                name ->
                                        name.matches(first + "\\d{1,6}")
                                                && Integer.parseInt(name.substring(1)) < many);
        if (!zone || !kind || !profile || !named) {
            throw unreadable(
                    file,
                    lines,
                    at,
                    "aimed at nobody: there is no "
                            + (!zone
                                    ? "zone " + whom.zone()
                                    : !kind
                                            ? "kind " + whom.kind()
                                            : !profile
                                                    ? "profile " + whom.profile()
                                                    : "one of " + String.join(",", whom.named())));
        }
        return whom;
    }
}
