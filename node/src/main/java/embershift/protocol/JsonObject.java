package embershift.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** One object of a JSON text, whose fields are read by name; unknown ones are left alone. */
final class JsonObject {

    private final String where;
    private final Map<?, ?> fields;

    JsonObject(String where, Object json) throws MalformedDataException {
        if (!(json instanceof Map<?, ?> map)) {
            throw new MalformedDataException(where + " is not an object");
        }
        this.where = where;
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
        List<JsonObject> nodes = new ArrayList<>();
        for (Object item : list) {
            nodes.add(new JsonObject("an entry of " + name, item));
        }
        return nodes;
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

    String textOr(String name, String otherwise) {
        Object value = fields.get(name);
        return value == null ? otherwise : String.valueOf(value);
    }

    double number(String name) throws MalformedDataException {
        if (!has(name)) {
            throw missing(name);
        }
        return numberOr(name, 0);
    }

    double numberOr(String name, double otherwise) throws MalformedDataException {
        Object value = fields.get(name);
        if (value == null) {
            return otherwise;
        }
        if (value instanceof Double number) {
            return number;
        }
        throw new MalformedDataException(where + ": " + name + " is not a number");
    }

    boolean flagOr(String name, boolean otherwise) {
        return fields.get(name) instanceof Boolean flag ? flag : otherwise;
    }

    private MalformedDataException missing(String name) {
        return new MalformedDataException(where + ": '" + name + "' is missing");
    }
}
