package embershift.rig.history;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What happened in one run, by one clock: calls and their ends, faults, what receivers saw.
 * Verdicts come from here alone. Safe for many threads.
 */
public final class History {

    private static final JsonMapper JSON = new JsonMapper();

    /** Something that happened, other than a call. {@code at}: seconds since the run began. */
    public record Event(double at, String sort, String whom, String text) {}

    private final long began = System.nanoTime();
    private final List<Operation> operations = new ArrayList<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<String, Long> reached = new TreeMap<>();

    /** Seconds since the run began. */
    public double now() {
        return (System.nanoTime() - began) / 1e9;
    }

    public synchronized void add(Operation operation) {
        operations.add(operation);
    }

    public synchronized void event(String sort, String whom, String text) {
        events.add(new Event(now(), sort, whom, text));
        reached.merge(sort, 1L, Long::sum);
    }

    /** Something that the run was to reach. */
    public synchronized void count(String what) {
        reached.merge(what, 1L, Long::sum);
    }

    public synchronized Map<String, Long> reached() {
        return new TreeMap<>(reached);
    }

    public synchronized List<Operation> operations() {
        return List.copyOf(operations);
    }

    public synchronized List<Event> events() {
        return List.copyOf(events);
    }

    /** One line of JSON for each event and each call, in the order of their times. */
    public synchronized void write(Path file) throws IOException {
        TreeMap<Double, List<ObjectNode>> lines = new TreeMap<>();
        for (Event event : events) {
            lines.computeIfAbsent(event.at(), none -> new ArrayList<>())
                    .add(
                            JSON.createObjectNode()
                                    .put("at", event.at())
                                    .put("sort", event.sort())
                                    .put("whom", event.whom())
                                    .put("text", event.text()));
        }
        for (Operation each : operations) {
            ObjectNode line =
                    JSON.createObjectNode()
                            .put("at", each.began())
                            .put("sort", "call")
                            .put("whom", "c" + each.caller())
                            .put("kind", each.kind().name())
                            .put("key", each.key())
                            .put("expected", each.expected())
                            .put("value", each.value())
                            .put("end", each.end().name());
            if (each.end() != Operation.End.UNKNOWN) {
                line.put("ended", each.ended());
            }
            lines.computeIfAbsent(each.began(), none -> new ArrayList<>()).add(line);
        }
        StringBuilder text = new StringBuilder();
        lines.values().forEach(at -> at.forEach(line -> text.append(line).append('\n')));
        Files.writeString(file, text, StandardCharsets.UTF_8);
    }
}
