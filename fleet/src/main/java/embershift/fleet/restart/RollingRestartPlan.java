package embershift.fleet.restart;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;

/**
 * What a rolling restart is to do: restart hosts and nodes in steps.
 *
 * @param name tells this restart from all others
 * @param batchSize targets of one step, and targets that may be away at a time
 * @param minServiceRate share of sessions that must be opened of those opened or failed
 * @param warmUpSeconds that a target serves before it counts as back
 * @param stallTimeoutSeconds without any progress after which the restart pauses by itself
 */
public record RollingRestartPlan(
        String name,
        int batchSize,
        double minServiceRate,
        double warmUpSeconds,
        double stallTimeoutSeconds,
        List<Target> targets) {

    /** The key of the plan in the store. */
    public static final String KEY = "release/plan";

    /** The key of what operators want: {@code go}, {@code pause} or {@code abort}. */
    public static final String INTENT_KEY = "release/wish";

    /** The key of how far it is, for operators. */
    public static final String STATE_KEY = "release/state";

    private static final String MAGIC = "release";
    private static final String VERSION = "1";
    private static final int HEADER_FIELDS = 7;
    private static final String NODE = "node";
    private static final String HOST = "host";

    /** A host or a node. */
    public record Target(boolean isNode, String name) {

        @Override
        public String toString() {
            return (isNode ? NODE : HOST) + " " + name;
        }
    }

    /** Copies the targets. */
    public RollingRestartPlan {
        targets = List.copyOf(targets);
    }

    /** Returns the number of steps. */
    public int steps() {
        return (targets.size() + batchSize - 1) / batchSize;
    }

    /** Returns the targets of a step, which counts from 0. */
    public List<Target> targetsOf(int step) {
        int from = Math.min(targets.size(), step * batchSize);
        int to = Math.min(targets.size(), (step + 1) * batchSize);
        return targets.subList(from, to);
    }

    /** Returns the id by which the process manager knows the restart of a target. */
    public String id(int step, Target target) {
        return name + "/" + step + "/" + (target.isNode() ? "n/" : "h/") + target.name();
    }

    /** Returns why this plan can't be carried out, or empty. */
    public Optional<String> findError() {
        if (!name.matches("[A-Za-z0-9._-]{1,64}")) {
            return Optional.of("a release has a plain name");
        }
        if (targets.isEmpty()) {
            return Optional.of("nothing is to be released");
        }
        if (new LinkedHashSet<>(targets).size() < targets.size()) {
            return Optional.of("a part is named twice");
        }
        boolean isServiceRate = minServiceRate >= 0 && minServiceRate <= 1;
        if (batchSize < 1
                || !isServiceRate
                || !(warmUpSeconds >= 0)
                || !(stallTimeoutSeconds > 0)) {
            return Optional.of(
                    "a step has one part at least, service is 0 to 1, times are not negative");
        }
        return targets.stream().allMatch(target -> target.name().matches("[^\\s/]{1,200}"))
                ? Optional.empty()
                : Optional.of("names have no spaces");
    }

    /** Encodes this plan as the stored text: a head, and a line for each target. */
    public String encode() {
        StringBuilder out = new StringBuilder();
        out.append(
                String.join(
                        " ",
                        MAGIC,
                        VERSION,
                        name,
                        String.valueOf(batchSize),
                        String.valueOf(minServiceRate),
                        String.valueOf(warmUpSeconds),
                        String.valueOf(stallTimeoutSeconds)));
        out.append('\n');
        targets.forEach(target -> out.append(target).append('\n'));
        return out.toString();
    }

    /** Decodes the stored text; empty if it is none, or no plan that can be carried out. */
    public static Optional<RollingRestartPlan> decode(String text) {
        String[] lines = text.split("\n");
        String[] header = lines[0].split(" ");
        if (header.length != HEADER_FIELDS
                || !header[0].equals(MAGIC)
                || !header[1].equals(VERSION)) {
            return Optional.empty();
        }
        List<Target> targets = new ArrayList<>();
        for (int i = 1; i < lines.length; i++) {
            String[] words = lines[i].split(" ");
            if (words.length != 2 || !(words[0].equals(NODE) || words[0].equals(HOST))) {
                return Optional.empty();
            }
            targets.add(new Target(words[0].equals(NODE), words[1]));
        }
        try {
            return Optional.of(
                            new RollingRestartPlan(
                                    header[2],
                                    Integer.parseInt(header[3]),
                                    Double.parseDouble(header[4]),
                                    Double.parseDouble(header[5]),
                                    Double.parseDouble(header[6]),
                                    targets))
                    .filter(plan -> plan.findError().isEmpty());
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
