package embershift.door;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What a node and an instance say to each other, as JSON in a piece. A node says {@code here},
 * {@code report}, {@code verdict} and {@code trail}; an instance {@code welcome}, {@code order},
 * {@code kept} and {@code out}. What one does not know it leaves alone.
 */
public final class Words {

    private static final JsonMapper JSON = new JsonMapper();

    private Words() {}

    public static ObjectNode node() {
        return JSON.createObjectNode();
    }

    public static ObjectNode node(String kind) {
        return JSON.createObjectNode().put("kind", kind);
    }

    public static byte[] bytes(ObjectNode node) {
        try {
            return JSON.writeValueAsBytes(node);
        } catch (JacksonException e) {
            throw new IllegalStateException(e);
        }
    }

    public static ByteBuffer piece(byte kind, ObjectNode node) {
        return Frames.piece(kind, bytes(node));
    }

    /** A piece's JSON behind its first byte. */
    public static ObjectNode read(byte[] piece) throws Frames.Unreadable {
        try {
            if (JSON.readTree(piece, 1, piece.length - 1) instanceof ObjectNode node) {
                return node;
            }
            throw new Frames.Unreadable("no object");
        } catch (IOException e) {
            throw new Frames.Unreadable("no JSON: " + e.getMessage());
        }
    }

    /** Null where this is no JSON object. */
    public static ObjectNode read(String text) {
        try {
            return JSON.readTree(text) instanceof ObjectNode node ? node : null;
        } catch (JacksonException e) {
            return null;
        }
    }

    /** The texts of an object by their names; null for those that are null. */
    public static Map<String, String> texts(JsonNode object) {
        Map<String, String> texts = new LinkedHashMap<>();
        object.properties()
                .forEach(
                        field ->
                                texts.put(
                                        field.getKey(),
                                        field.getValue().isNull()
                                                ? null
                                                : field.getValue().asText()));
        return texts;
    }

    public static void texts(ObjectNode object, Map<String, String> texts) {
        texts.forEach(object::put);
    }

    /** The values of an object by their names; empty for those that are null. */
    public static Map<String, Optional<String>> changes(JsonNode object) {
        Map<String, Optional<String>> changes = new LinkedHashMap<>();
        texts(object).forEach((name, value) -> changes.put(name, Optional.ofNullable(value)));
        return changes;
    }

    /** Writes values by their names; null for those that are empty. */
    public static void changes(ObjectNode object, Map<String, Optional<String>> changes) {
        changes.forEach((name, value) -> object.put(name, value.orElse(null)));
    }

    public static Set<String> list(JsonNode array) {
        Set<String> texts = new LinkedHashSet<>();
        array.forEach(each -> texts.add(each.asText()));
        return texts;
    }

    public static void list(ArrayNode array, Collection<String> texts) {
        texts.forEach(array::add);
    }
}
