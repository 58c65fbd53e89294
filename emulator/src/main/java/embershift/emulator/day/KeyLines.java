package embershift.emulator.day;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The line of each key in a TOML text, by its JSON pointer ({@code /trouble/1/whom}). The parser
 * forgets where a value stood; its author wants to know. Only the forms that days are written in
 * are followed: headers of tables and of lists of tables, and keys at the start of a line.
 */
final class KeyLines {

    private static final Pattern LIST = Pattern.compile("\\s*\\[\\[\\s*([\\w.-]+)\\s*]].*");
    private static final Pattern TABLE = Pattern.compile("\\s*\\[\\s*([\\w.-]+)\\s*].*");
    private static final Pattern KEY = Pattern.compile("\\s*\"?([\\w.-]+)\"?\\s*=.*");

    private final Map<String, Integer> lines = new HashMap<>();

    KeyLines(String text) {
        Map<String, Integer> counts = new HashMap<>();
        String table = "";
        int number = 0;
        for (String line : text.split("\n", -1)) {
            number++;
            Matcher list = LIST.matcher(line);
            Matcher header = TABLE.matcher(line);
            Matcher key = KEY.matcher(line);
            if (list.matches()) {
                String path = "/" + list.group(1).replace('.', '/');
                table = path + "/" + (counts.merge(path, 1, Integer::sum) - 1);
                lines.putIfAbsent(path, number);
                lines.putIfAbsent(table, number);
            } else if (header.matches()) {
                table = "/" + header.group(1).replace('.', '/');
                lines.putIfAbsent(table, number);
            } else if (key.matches()) {
                lines.putIfAbsent(table + "/" + key.group(1).replace('.', '/'), number);
            }
        }
    }

    /**
     * The line where this value, or else the innermost that holds it, is written; 1 where none is
     * known.
     */
    int of(String pointer) {
        for (String at = pointer;
                !at.isEmpty();
                at = at.substring(0, Math.max(0, at.lastIndexOf('/')))) {
            Integer line = lines.get(at);
            if (line != null) {
                return line;
            }
        }
        return 1;
    }
}
