package embershift.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A JSON parser that produces maps, lists, strings, doubles, booleans and nulls. */
public final class Json {

    private static final int MAX_DEPTH = 64;

    /**
     * Values in one text, which bounds the memory that it takes: a list of 4,000 hosts has a third
     * of that.
     */
    static final int MAX_VALUES = 100_000;

    private final String text;
    private int position;
    private int valueCount;

    private Json(String text) {
        this.text = text;
    }

    /** Parses a text that consists of a single JSON value. */
    public static Object parse(String text) throws MalformedDataException {
        Json json = new Json(text);
        Object value = json.value(0);
        json.skipWhitespace();
        if (json.position < text.length()) {
            throw json.malformed("the end of the text");
        }
        return value;
    }

    private MalformedDataException malformed(String expected) {
        return new MalformedDataException(
                "JSON: expected " + expected + " at character " + position);
    }

    private void skipWhitespace() {
        while (position < text.length() && text.charAt(position) <= ' ') {
            position++;
        }
    }

    private char next(String expected) throws MalformedDataException {
        skipWhitespace();
        if (position >= text.length()) {
            throw malformed(expected);
        }
        return text.charAt(position);
    }

    private Object value(int depth) throws MalformedDataException {
        if (depth > MAX_DEPTH) {
            throw malformed("at most " + MAX_DEPTH + " levels of nesting");
        }
        if (++valueCount > MAX_VALUES) {
            throw malformed("at most " + MAX_VALUES + " values");
        }
        char first = next("a value");
        return switch (first) {
            case '{' -> object(depth);
            case '[' -> list(depth);
            case '"' -> string();
            case 't' -> literal("true", true);
            case 'f' -> literal("false", false);
            case 'n' -> literal("null", null);
            default -> number();
        };
    }

    private Object literal(String literal, Object value) throws MalformedDataException {
        if (!text.startsWith(literal, position)) {
            throw malformed("a value");
        }
        position += literal.length();
        return value;
    }

    private Map<String, Object> object(int depth) throws MalformedDataException {
        Map<String, Object> fields = new LinkedHashMap<>();
        position++;
        if (next("a name or }") == '}') {
            position++;
            return fields;
        }
        while (true) {
            if (next("a name") != '"') {
                throw malformed("a name");
            }
            String name = string();
            if (next(":") != ':') {
                throw malformed(":");
            }
            position++;
            fields.put(name, value(depth + 1));
            char separator = next(", or }");
            position++;
            if (separator == '}') {
                return fields;
            }
            if (separator != ',') {
                position--;
                throw malformed(", or }");
            }
        }
    }

    private List<Object> list(int depth) throws MalformedDataException {
        List<Object> items = new ArrayList<>();
        position++;
        if (next("a value or ]") == ']') {
            position++;
            return items;
        }
        while (true) {
            items.add(value(depth + 1));
            char separator = next(", or ]");
            position++;
            if (separator == ']') {
                return items;
            }
            if (separator != ',') {
                position--;
                throw malformed(", or ]");
            }
        }
    }

    private String string() throws MalformedDataException {
        StringBuilder out = new StringBuilder();
        position++;
        while (position < text.length()) {
            char character = text.charAt(position++);
            if (character == '"') {
                return out.toString();
            }
            if (character != '\\') {
                out.append(character);
                continue;
            }
            if (position >= text.length()) {
                break;
            }
            char escaped = text.charAt(position++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> out.append(unicode());
                case '"', '\\', '/' -> out.append(escaped);
                default -> throw malformed("an escape");
            }
        }
        throw malformed("the end of a string");
    }

    private char unicode() throws MalformedDataException {
        try {
            char character = (char) Integer.parseInt(text.substring(position, position + 4), 16);
            position += 4;
            return character;
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            throw malformed("four hexadecimal digits");
        }
    }

    private Double number() throws MalformedDataException {
        int start = position;
        while (position < text.length() && "+-.eE0123456789".indexOf(text.charAt(position)) >= 0) {
            position++;
        }
        try {
            return Double.valueOf(text.substring(start, position));
        } catch (NumberFormatException e) {
            position = start;
            throw malformed("a value");
        }
    }

    /** Returns the text as a quoted JSON string in which all but printable ASCII is escaped. */
    public static String quote(String text) {
        StringBuilder out = new StringBuilder(text.length() + 2).append('"');
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            if (character == '"' || character == '\\') {
                out.append('\\').append(character);
            } else if (character < ' ' || character > '~') {
                String digits = Integer.toHexString(character);
                out.append("\\u").append("0000", digits.length(), 4).append(digits);
            } else {
                out.append(character);
            }
        }
        return out.append('"').toString();
    }
}
