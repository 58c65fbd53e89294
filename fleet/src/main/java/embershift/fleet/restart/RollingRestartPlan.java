package embershift.fleet.restart;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;

/**
 * The plan of a rolling restart of hosts and nodes, in steps.
 *
 * @param name distinguishes this restart from all others
 * @param batchSize number of targets of a step, and maximum number of targets that may be
 *     unavailable at a time
 * @param minServiceRate minimum fraction of sessions opened, of those opened or failed
 * @param warmUpSeconds how long a target must serve before it counts as back in service
 * @param stallTimeoutSeconds time without any progress after which the restart halts
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

    /** The key of the operators' intent: {@code go}, {@code pause} or {@code abort}. */
    public static final String INTENT_KEY = "release/wish";

    /**
     * The key with the store revision of the plan that was aborted last. Unlike the intent, it is
     * not overwritten by a later pause.
     */
    public static final String ABORTED_KEY = "release/aborted";

    /** The key of the plan that follows once the present one has come to its end. */
    public static final String NEXT_KEY = "release/next";

    /** The key of the restart's state, for operators. */
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

    /** Returns the targets of a step; steps count from 0. */
    public List<Target> targetsOf(int step) {
        int from = Math.min(targets.size(), step * batchSize);
        int to = Math.min(targets.size(), (step + 1) * batchSize);
        return targets.subList(from, to);
    }

    /** Returns the id by which the process manager knows the restart of a target. */
    public String id(int step, Target target) {
        return name + "/" + step + "/" + (target.isNode() ? "n/" : "h/") + target.name();
    }

    /** Returns why this plan cannot be carried out, or empty. */
    public Optional<String> findError() {
        if (!name.matches("[A-Za-z0-9._-]{1,64}")) {
            return Optional.of(
                    "a release needs a name of 1 to 64 letters, digits, '.', '_' or '-'");
        }
        if (targets.isEmpty()) {
            return Optional.of("the release has no hosts or nodes");
        }
        if (new LinkedHashSet<>(targets).size() < targets.size()) {
            return Optional.of("a host or node is named twice");
        }
        boolean isServiceRate = minServiceRate >= 0 && minServiceRate <= 1;
        if (batchSize < 1
                || !isServiceRate
                || !(warmUpSeconds >= 0)
                || !(stallTimeoutSeconds > 0)) {
            return Optional.of(
                    "the step size must be at least 1, the service rate 0 to 1, and times not negative");
        }
        return targets.stream().allMatch(target -> target.name().matches("[^\\s/]{1,200}"))
                ? Optional.empty()
                : Optional.of(
                        "names of hosts and nodes are up to 200 characters without spaces or slashes");
    }

    /** Encodes this plan as the stored text: a header, and a line for each target. */
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

    /** Decodes the stored text; empty if it is malformed, or not a plan that can be carried out. */
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
