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
 * JSON in frames: messages between nodes and instances, calls and their answers. A receiver ignores
 * fields that it doesn't know.
 */
public final class JsonMessages {

    private static final JsonMapper JSON = new JsonMapper();

    private JsonMessages() {}

    /** Creates an empty object. */
    public static ObjectNode newObject() {
        return JSON.createObjectNode();
    }

    /** Creates a message of a kind. */
    public static ObjectNode newMessage(String kind) {
        return JSON.createObjectNode().put("kind", kind);
    }

    /** Encodes an object. */
    public static byte[] encode(ObjectNode object) {
        try {
            return JSON.writeValueAsBytes(object);
        } catch (JacksonException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Encodes an object as the content of a frame. */
    public static ByteBuffer encodeFrame(byte type, ObjectNode object) {
        return FrameCodec.encode(type, encode(object));
    }

    /** Decodes the object that follows a frame's type. */
    public static ObjectNode decodeFrame(byte[] frame) throws FrameCodec.MalformedFrameException {
        try {
            if (JSON.readTree(frame, 1, frame.length - 1) instanceof ObjectNode object) {
                return object;
            }
            throw new FrameCodec.MalformedFrameException("no object");
        } catch (IOException e) {
            throw new FrameCodec.MalformedFrameException("no JSON: " + e.getMessage());
        }
    }

    /** Decodes a text; empty if it is no JSON object. */
    public static Optional<ObjectNode> parse(String text) {
        try {
            return JSON.readTree(text) instanceof ObjectNode object
                    ? Optional.of(object)
                    : Optional.empty();
        } catch (JacksonException e) {
            return Optional.empty();
        }
    }

    /** Returns the texts of an object by their names; null for those that are null. */
    public static Map<String, String> readTexts(JsonNode object) {
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

    /** Writes texts by their names. */
    public static void putTexts(ObjectNode object, Map<String, String> texts) {
        texts.forEach(object::put);
    }

    /** Returns the values of an object by their names; empty for those that are null. */
    public static Map<String, Optional<String>> readChanges(JsonNode object) {
        Map<String, Optional<String>> changes = new LinkedHashMap<>();
        readTexts(object).forEach((name, value) -> changes.put(name, Optional.ofNullable(value)));
        return changes;
    }

    /** Writes values by their names; null for those that are empty. */
    public static void putChanges(ObjectNode object, Map<String, Optional<String>> changes) {
        changes.forEach((name, value) -> object.put(name, value.orElse(null)));
    }

    /** Returns the texts of an array, in their order. */
    public static Set<String> readList(JsonNode array) {
        Set<String> texts = new LinkedHashSet<>();
        array.forEach(each -> texts.add(each.asText()));
        return texts;
    }

    /** Adds texts to an array. */
    public static void addTexts(ArrayNode array, Collection<String> texts) {
        texts.forEach(array::add);
    }
}
