package embershift.fleet;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * What a release is to do: {@code parts}, hosts and nodes, started anew in steps of {@code size}.
 * {@code service}: the share of tunnels that must be opened of those that were not declined; {@code
 * warm}: seconds that a part serves before it counts as back; {@code patience}: seconds without any
 * progress after which it pauses by itself.
 */
public record ReleasePlan(
        String name, int size, double service, double warm, double patience, List<Part> parts) {

    public static final String KEY = "release/plan";

    /** What operators want of it: {@code go}, {@code pause} or {@code abort}, and who said so. */
    public static final String WISH = "release/wish";

    /** Where it stands, for operators. */
    public static final String STATE = "release/state";

    public record Part(boolean node, String name) {

        @Override
        public String toString() {
            return (node ? "node " : "host ") + name;
        }
    }

    public ReleasePlan {
        parts = List.copyOf(parts);
    }

    public int steps() {
        return (parts.size() + size - 1) / size;
    }

    public List<Part> step(int step) {
        return parts.subList(
                Math.min(parts.size(), step * size), Math.min(parts.size(), (step + 1) * size));
    }

    /** By what one part of it is known to whoever starts things anew: the same for each owner. */
    public String id(int step, Part part) {
        return name + "/" + step + "/" + (part.node() ? "n/" : "h/") + part.name();
    }

    /** The reason why it can't be, or null. */
    public String wrong() {
        Set<Part> all = new LinkedHashSet<>(parts);
        if (!name.matches("[A-Za-z0-9._-]{1,64}")) {
            return "a release has a plain name";
        }
        if (parts.isEmpty() || all.size() < parts.size()) {
            return parts.isEmpty() ? "nothing is to be released" : "a part is named twice";
        }
        if (size < 1 || !(service >= 0 && service <= 1) || !(warm >= 0) || !(patience > 0)) {
            return "a step has one part at least, service is 0 to 1, times are not negative";
        }
        return parts.stream().allMatch(part -> part.name().matches("[^\\s/]{1,200}"))
                ? null
                : "names have no spaces";
    }

    public String text() {
        StringBuilder out =
                new StringBuilder(
                        "release 1 "
                                + name
                                + " "
                                + size
                                + " "
                                + service
                                + " "
                                + warm
                                + " "
                                + patience
                                + "\n");
        parts.forEach(part -> out.append(part).append('\n'));
        return out.toString();
    }

    /** Null where this is no such text. */
    public static ReleasePlan read(String text) {
        String[] lines = text.split("\n");
        String[] head = lines[0].split(" ");
        if (head.length != 7 || !head[0].equals("release") || !head[1].equals("1")) {
            return null;
        }
        List<Part> parts = new ArrayList<>();
        for (int i = 1; i < lines.length; i++) {
            String[] words = lines[i].split(" ");
            if (words.length != 2 || (!words[0].equals("node") && !words[0].equals("host"))) {
                return null;
            }
            parts.add(new Part(words[0].equals("node"), words[1]));
        }
        try {
            ReleasePlan plan =
                    new ReleasePlan(
                            head[2],
                            Integer.parseInt(head[3]),
                            Double.parseDouble(head[4]),
                            Double.parseDouble(head[5]),
                            Double.parseDouble(head[6]),
                            parts);
            return plan.wrong() == null ? plan : null;
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
