package embershift.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON into maps, lists, strings, doubles, booleans and nulls. */
public final class Json {

    private static final int MAX_DEPTH = 64;

    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    public static Object parse(String text) throws MalformedDataException {
        Json json = new Json(text);
        Object value = json.value(0);
        json.skipWhitespace();
        if (json.at < text.length()) {
            throw json.malformed("nothing more");
        }
        return value;
    }

    private MalformedDataException malformed(String expected) {
        return new MalformedDataException("JSON: expected " + expected + " at character " + at);
    }

    private void skipWhitespace() {
        while (at < text.length() && text.charAt(at) <= ' ') {
            at++;
        }
    }

    private char next(String expected) throws MalformedDataException {
        skipWhitespace();
        if (at >= text.length()) {
            throw malformed(expected);
        }
        return text.charAt(at);
    }

    private Object value(int depth) throws MalformedDataException {
        if (depth > MAX_DEPTH) {
            throw malformed("less depth");
        }
        char c = next("a value");
        return switch (c) {
            case '{' -> object(depth);
            case '[' -> list(depth);
            case '"' -> string();
            case 't' -> word("true", true);
            case 'f' -> word("false", false);
            case 'n' -> word("null", null);
            default -> number();
        };
    }

    private Object word(String word, Object value) throws MalformedDataException {
        if (!text.startsWith(word, at)) {
            throw malformed("a value");
        }
        at += word.length();
        return value;
    }

    private Map<String, Object> object(int depth) throws MalformedDataException {
        Map<String, Object> fields = new LinkedHashMap<>();
        at++;
        if (next("a name or }") == '}') {
            at++;
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
            at++;
            fields.put(name, value(depth + 1));
            char c = next(", or }");
            at++;
            if (c == '}') {
                return fields;
            }
            if (c != ',') {
                at--;
                throw malformed(", or }");
            }
        }
    }

    private List<Object> list(int depth) throws MalformedDataException {
        List<Object> items = new ArrayList<>();
        at++;
        if (next("a value or ]") == ']') {
            at++;
            return items;
        }
        while (true) {
            items.add(value(depth + 1));
            char c = next(", or ]");
            at++;
            if (c == ']') {
                return items;
            }
            if (c != ',') {
                at--;
                throw malformed(", or ]");
            }
        }
    }

    private String string() throws MalformedDataException {
        StringBuilder out = new StringBuilder();
        at++;
        while (at < text.length()) {
            char c = text.charAt(at++);
            if (c == '"') {
                return out.toString();
            }
            if (c != '\\') {
                out.append(c);
                continue;
            }
            if (at >= text.length()) {
                break;
            }
            char escaped = text.charAt(at++);
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
            char c = (char) Integer.parseInt(text.substring(at, at + 4), 16);
            at += 4;
            return c;
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            throw malformed("four hexadecimal digits");
        }
    }

    private Double number() throws MalformedDataException {
        int from = at;
        while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        try {
            return Double.valueOf(text.substring(from, at));
        } catch (NumberFormatException e) {
            at = from;
            throw malformed("a value");
        }
    }

    /** The text as a JSON string, with its quotes; whatever is not plain ASCII is escaped. */
    public static String quote(String text) {
        StringBuilder out = new StringBuilder(text.length() + 2).append('"');
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ' || c > '~') {
                String digits = Integer.toHexString(c);
                out.append("\\u").append("0000", digits.length(), 4).append(digits);
            } else {
                out.append(c);
            }
        }
        return out.append('"').toString();
    }
}
