package embershift.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A JSON object whose fields are read by name; unknown fields are ignored. */
final class JsonObject {

    private final String description;
    private final Map<?, ?> fields;

    JsonObject(String description, Object json) throws MalformedDataException {
        if (!(json instanceof Map<?, ?> map)) {
            throw new MalformedDataException(description + " is not an object");
        }
        this.description = description;
        this.fields = map;
    }

    Object value(String name) {
        return fields.get(name);
    }

    boolean has(String name) {
        return fields.get(name) != null;
    }

    JsonObject child(String name) throws MalformedDataException {
        if (!has(name)) {
            throw missing(name);
        }
        return new JsonObject(name, fields.get(name));
    }

    List<JsonObject> items(String name) throws MalformedDataException {
        if (!(fields.get(name) instanceof List<?> list)) {
            throw missing(name);
        }
        List<JsonObject> items = new ArrayList<>();
        for (Object item : list) {
            items.add(new JsonObject("an entry of " + name, item));
        }
        return items;
    }

    List<String> texts(String name) throws MalformedDataException {
        List<String> texts = new ArrayList<>();
        if (fields.get(name) instanceof List<?> list) {
            for (Object item : list) {
                texts.add(String.valueOf(item));
            }
        }
        return texts;
    }

    String text(String name) throws MalformedDataException {
        String text = textOr(name, null);
        if (text == null || text.isEmpty()) {
            throw missing(name);
        }
        return text;
    }

    String textOr(String name, String defaultValue) {
        Object value = fields.get(name);
        return value == null ? defaultValue : String.valueOf(value);
    }

    double number(String name) throws MalformedDataException {
        if (!has(name)) {
            throw missing(name);
        }
        return numberOr(name, 0);
    }

    double numberOr(String name, double defaultValue) throws MalformedDataException {
        Object value = fields.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Double number) {
            return number;
        }
        throw new MalformedDataException(description + ": " + name + " is not a number");
    }

    boolean flagOr(String name, boolean defaultValue) {
        return fields.get(name) instanceof Boolean flag ? flag : defaultValue;
    }

    private MalformedDataException missing(String name) {
        return new MalformedDataException(description + ": '" + name + "' is missing");
    }
}
