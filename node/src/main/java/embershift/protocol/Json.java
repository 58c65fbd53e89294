package embershift.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON into maps, lists, strings, doubles, booleans and nulls. */
public final class Json {

    private static final int DEEPEST = 64;

    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    public static Object read(String text) throws Unreadable {
        Json json = new Json(text);
        Object value = json.value(0);
        json.space();
        if (json.at < text.length()) {
            throw json.wrong("nothing more");
        }
        return value;
    }

    private Unreadable wrong(String expected) {
        return new Unreadable("JSON: expected " + expected + " at character " + at);
    }

    private void space() {
        while (at < text.length() && text.charAt(at) <= ' ') {
            at++;
        }
    }

    private char next(String expected) throws Unreadable {
        space();
        if (at >= text.length()) {
            throw wrong(expected);
        }
        return text.charAt(at);
    }

    private Object value(int depth) throws Unreadable {
        if (depth > DEEPEST) {
            throw wrong("less depth");
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

    private Object word(String word, Object value) throws Unreadable {
        if (!text.startsWith(word, at)) {
            throw wrong("a value");
        }
        at += word.length();
        return value;
    }

    private Map<String, Object> object(int depth) throws Unreadable {
        Map<String, Object> fields = new LinkedHashMap<>();
        at++;
        if (next("a name or }") == '}') {
            at++;
            return fields;
        }
        while (true) {
            if (next("a name") != '"') {
                throw wrong("a name");
            }
            String name = string();
            if (next(":") != ':') {
                throw wrong(":");
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
                throw wrong(", or }");
            }
        }
    }

    private List<Object> list(int depth) throws Unreadable {
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
                throw wrong(", or ]");
            }
        }
    }

    private String string() throws Unreadable {
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
                default -> throw wrong("an escape");
            }
        }
        throw wrong("the end of a string");
    }

    private char unicode() throws Unreadable {
        try {
            char c = (char) Integer.parseInt(text.substring(at, at + 4), 16);
            at += 4;
            return c;
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            throw wrong("four hexadecimal digits");
        }
    }

    private Double number() throws Unreadable {
        int from = at;
        while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        try {
            return Double.valueOf(text.substring(from, at));
        } catch (NumberFormatException e) {
            at = from;
            throw wrong("a value");
        }
    }

    /** The text as a JSON string, with its quotes; whatever is not plain ASCII is escaped. */
    public static String quoted(String text) {
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
