package embershift.rig.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What receivers of a duty's orders wrote down, and the verdict on it. */
public final class DutyHistory {

    /**
     * An order that reached a receiver, or its start. {@code at}: the machine's monotonic time, ns.
     */
    public record Line(long at, String receiver, String what, String owner, int step, long fence) {}

    private DutyHistory() {}

    /** All lines of these receivers, in the order of their times. */
    public static List<Line> read(Path folder, List<String> receivers) throws IOException {
        List<Line> lines = new ArrayList<>();
        for (String receiver : receivers) {
            for (String text :
                    Files.readAllLines(
                            folder.resolve(receiver + ".orders"), StandardCharsets.UTF_8)) {
                String[] words = text.split(" ");
                if (words.length == 5) {
                    lines.add(
                            new Line(
                                    Long.parseLong(words[0]),
                                    receiver,
                                    words[1],
                                    words[2],
                                    Integer.parseInt(words[3]),
                                    Long.parseLong(words[4])));
                }
            }
        }
        lines.sort(Comparator.comparingLong(Line::at));
        return lines;
    }

    /**
     * What was broken, or null: fences taken at a receiver never fall, and steps begin in their
     * order.
     */
    public static String broken(List<Line> lines) {
        Map<String, Long> highest = new HashMap<>();
        int next = 0;
        for (Line line : lines) {
            if (!line.what().equals("TAKEN")) {
                continue;
            }
            if (line.fence() < highest.getOrDefault(line.receiver(), 0L)) {
                return line + " after fence " + highest.get(line.receiver());
            }
            highest.put(line.receiver(), line.fence());
            if (line.step() > next) {
                return line + " before step " + next;
            }
            next = Math.max(next, line.step() + 1);
        }
        return null;
    }

    /** What the run reached: how often each verdict, changes of owner, the last step. */
    public static Map<String, Integer> reached(List<Line> lines) {
        Map<String, Integer> reached = new TreeMap<>();
        String owner = "";
        for (Line line : lines) {
            reached.merge(line.what(), 1, Integer::sum);
            if (line.what().equals("TAKEN")) {
                reached.merge("last step", line.step(), Math::max);
                if (!line.owner().equals(owner)) {
                    reached.merge("changes of owner", 1, Integer::sum);
                    owner = line.owner();
                }
            }
        }
        return reached;
    }
}
