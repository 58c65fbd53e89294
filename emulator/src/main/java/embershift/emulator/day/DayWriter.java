package embershift.emulator.day;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/**
 * Writes a day's own keys as the TOML that an author would write: plain keys first, then tables,
 * then lists of tables.
 */
public final class DayWriter {

    private DayWriter() {}

    /** The text of a day whose tree holds what {@link DayReader#tree} read, or changes of it. */
    public static String write(ObjectNode tree) {
        StringBuilder text = new StringBuilder();
        plain(tree, text);
        for (Map.Entry<String, JsonNode> key : tree.properties()) {
            if (key.getValue().isObject()) {
                text.append("\n[").append(key.getKey()).append("]\n");
                plain(key.getValue(), text);
            } else if (isTables(key.getValue())) {
                for (JsonNode table : key.getValue()) {
                    text.append("\n[[").append(key.getKey()).append("]]\n");
                    plain(table, text);
                }
            }
        }
        return text.toString();
    }

    private static boolean isTables(JsonNode value) {
        return value.isArray() && value.size() > 0 && value.get(0).isObject();
    }

    private static void plain(JsonNode table, StringBuilder text) {
        for (Map.Entry<String, JsonNode> key : table.properties()) {
            if (!key.getValue().isObject() && !isTables(key.getValue())) {
                // Numbers, texts, truths and lists of them are written alike in JSON and in TOML.
                text.append(key.getKey()).append(" = ").append(key.getValue()).append('\n');
            }
        }
    }
}
