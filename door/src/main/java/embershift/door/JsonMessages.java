package embershift.door;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
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
 * JSON content of frames: messages between nodes and instances, calls and their answers. Receivers
 * ignore unknown fields.
 */
public final class JsonMessages {

    /**
     * Names, values and brackets of a message: lists of the largest fleet that is planned for have
     * a third of that.
     */
    static final int MAX_TOKENS = 250_000;

    private static final int MAX_DEPTH = 64;

    // Names come from outside: none is kept once its message has been handled.
    private static final JsonMapper JSON =
            new JsonMapper(
                    JsonFactory.builder()
                            .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
                            .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
                            .streamReadConstraints(
                                    StreamReadConstraints.builder()
                                            .maxTokenCount(MAX_TOKENS)
                                            .maxNestingDepth(MAX_DEPTH)
                                            .build())
                            .build());

    private JsonMessages() {}

    /** Creates an empty object. */
    public static ObjectNode newObject() {
        return JSON.createObjectNode();
    }

    /** Creates a message of the given kind. */
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

    /** Decodes the object after a frame's type byte. */
    public static ObjectNode decodeFrame(byte[] frame) throws FrameCodec.MalformedFrameException {
        try {
            if (JSON.readTree(frame, 1, frame.length - 1) instanceof ObjectNode object) {
                return object;
            }
            throw new FrameCodec.MalformedFrameException("not a JSON object");
        } catch (IOException e) {
            throw new FrameCodec.MalformedFrameException("invalid JSON: " + e.getMessage());
        }
    }

    /** Decodes a text; empty if it is not a JSON object. */
    public static Optional<ObjectNode> parse(String text) {
        try {
            return JSON.readTree(text) instanceof ObjectNode object
                    ? Optional.of(object)
                    : Optional.empty();
        } catch (JacksonException e) {
            return Optional.empty();
        }
    }

    /** Returns the fields of an object as texts by name; the value of a null field is null. */
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

    /** Puts texts into an object, by name. */
    public static void putTexts(ObjectNode object, Map<String, String> texts) {
        texts.forEach(object::put);
    }

    /** Returns the fields of an object as texts by name; the value of a null field is empty. */
    public static Map<String, Optional<String>> readChanges(JsonNode object) {
        Map<String, Optional<String>> changes = new LinkedHashMap<>();
        readTexts(object).forEach((name, value) -> changes.put(name, Optional.ofNullable(value)));
        return changes;
    }

    /** Puts values into an object, by name; an empty value becomes null. */
    public static void putChanges(ObjectNode object, Map<String, Optional<String>> changes) {
        changes.forEach((name, value) -> object.put(name, value.orElse(null)));
    }

    /** Returns the elements of an array as texts, in order. */
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
