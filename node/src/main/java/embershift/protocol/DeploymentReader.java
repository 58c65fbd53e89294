package embershift.protocol;

import embershift.model.Deployment;
import embershift.model.Deployment.DedupScope;
import embershift.model.Deployment.Profile;
import embershift.model.Deployment.Repeat;
import embershift.model.Deployment.RetryBudget;
import embershift.model.ProfileId;
import embershift.model.ZoneId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the settings of a deployment by paths such as {@code limits.may-probe}. The bench's first
 * message contains the paths themselves, a configuration has them as nested JSON. Unknown paths are
 * ignored.
 */
public final class DeploymentReader {

    private final Map<String, String> pairs;

    /** Creates a reader of values by their paths, such as {@code profiles.count}. */
    public DeploymentReader(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    /** Creates a reader of nested JSON, whose values have the same paths. */
    static DeploymentReader fromJson(Object json) {
        Map<String, String> pairs = new HashMap<>();
        flatten("", json, pairs);
        return new DeploymentReader(pairs);
    }

    private static void flatten(String path, Object value, Map<String, String> pairs) {
        if (value instanceof Map<?, ?> map) {
            map.forEach(
                    (name, inner) ->
                            flatten(
                                    path.isEmpty() ? String.valueOf(name) : path + "." + name,
                                    inner,
                                    pairs));
        } else if (value instanceof List<?> list && list.stream().anyMatch(Map.class::isInstance)) {
            pairs.put(path + ".count", String.valueOf(list.size()));
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i), pairs);
            }
        } else if (value instanceof List<?> list) {
            pairs.put(path, String.join(",", list.stream().map(String::valueOf).toList()));
        } else if (value != null) {
            pairs.put(path, String.valueOf(value));
        }
    }

    /** Reads the deployment; fails where a required value is missing or a value is malformed. */
    public Deployment read(long seed) throws MalformedDataException {
        List<Profile> profiles = new ArrayList<>();
        int count = (int) number("profiles.count");
        for (int i = 0; i < count; i++) {
            String prefix = "profiles." + i + ".";
            Repeat repeat =
                    oneOf(
                            prefix + "repeat",
                            Map.of(
                                    "idempotent",
                                    Repeat.REPEATABLE,
                                    "deduplicated",
                                    Repeat.REFERENCED,
                                    "at_most_once",
                                    Repeat.ONCE_ONLY));
            boolean referenced = repeat == Repeat.REFERENCED;
            profiles.add(
                    new Profile(
                            new ProfileId(text(prefix + "name")),
                            repeat,
                            referenced
                                    ? oneOf(
                                            prefix + "dedup-scope",
                                            Map.of(
                                                    "all",
                                                    DedupScope.ALL,
                                                    "zone",
                                                    DedupScope.ZONE,
                                                    "cell",
                                                    DedupScope.CELL))
                                    : DedupScope.ALL,
                            referenced ? number(prefix + "dedup-window-s") : 0,
                            number(prefix + "setup-goal-s"),
                            number(prefix + "client-timeout-s"),
                            messageGoal(i),
                            numberOr(prefix + "credit", 1)));
        }
        boolean subscribes = oneOf("discovery", Map.of("subscribe", true, "automatic", false));
        return new Deployment(
                seed,
                (int) number("balancers"),
                (int) numberOr("rank", -1),
                new ZoneId(pairs.getOrDefault("az", "-")),
                profiles,
                subscribes,
                subscribes ? number("rules.must-ask-in-s") : 0,
                flag("limits.may-probe"),
                "true".equals(pairs.get("limits.may-tell")),
                reportColumns().contains("x0"),
                flag("limits.may-cancel"),
                flag("limits.may-duplicate"),
                (int) number("limits.most-setups"),
                flag("limits.retry-after"),
                numberOr("limits.max-retry-after-s", 0),
                numberOr("limits.connect-timeout-s", 0),
                numberOr("rules.answer-slack-s", 0),
                number("rules.drain-grace-s"),
                number("rules.cold-from"),
                number("rules.warm-after-s"),
                number("rules.fall-multiple"),
                number("rules.fall-s"),
                budget(),
                "pass".equals(pairs.get("domain.mode")),
                numberOr("domain.park-s", 0));
    }

    /** Returns how long a message of the i-th profile may take, in seconds. */
    private double messageGoal(int profileIndex) throws MalformedDataException {
        String path = "domain.message-aim-s";
        String[] goals = isSet(path) ? pairs.get(path).split(",") : new String[0];
        try {
            return profileIndex < goals.length
                    ? Double.parseDouble(goals[profileIndex])
                    : Double.POSITIVE_INFINITY;
        } catch (NumberFormatException e) {
            throw new MalformedDataException(path + ": expected numbers separated by commas");
        }
    }

    /** Reads the retry budget: three settings that are either all set or all absent. */
    private RetryBudget budget() throws MalformedDataException {
        List<String> paths =
                List.of("rules.extra-free", "rules.repeat-ratio", "rules.resend-span-s");
        if (paths.stream().noneMatch(this::isSet)) {
            return RetryBudget.NONE;
        }
        RetryBudget budget =
                new RetryBudget(number(paths.get(0)), number(paths.get(1)), number(paths.get(2)));
        for (String path : paths) {
            double min = path.endsWith("span-s") ? Double.MIN_VALUE : 0;
            double value = number(path);
            if (!(value >= min && value < Double.POSITIVE_INFINITY)) {
                throw new MalformedDataException(
                        path + ": expected a number " + (min > 0 ? "above 0" : "of 0 or more"));
            }
        }
        return budget;
    }

    /** Returns the names of the values in a load report, in their order. */
    public List<String> reportColumns() {
        String columns = pairs.getOrDefault("report.columns", "");
        return columns.isEmpty() || columns.equals("-") ? List.of() : List.of(columns.split(","));
    }

    private String text(String path) throws MalformedDataException {
        String value = pairs.get(path);
        if (value == null || value.isEmpty()) {
            throw new MalformedDataException(path + ": expected a value");
        }
        return value;
    }

    private double numberOr(String path, double defaultValue) throws MalformedDataException {
        return isSet(path) ? number(path) : defaultValue;
    }

    private boolean isSet(String path) {
        return !List.of("", "-").contains(pairs.getOrDefault(path, ""));
    }

    private double number(String path) throws MalformedDataException {
        try {
            return Double.parseDouble(text(path));
        } catch (NumberFormatException e) {
            throw new MalformedDataException(path + ": expected a number");
        }
    }

    private boolean flag(String path) throws MalformedDataException {
        return oneOf(path, Map.of("true", true, "false", false, "1", true, "0", false));
    }

    private <T> T oneOf(String path, Map<String, T> values) throws MalformedDataException {
        T value = values.get(text(path));
        if (value == null) {
            throw new MalformedDataException(
                    path
                            + ": expected one of "
                            + String.join(", ", values.keySet().stream().sorted().toList()));
        }
        return value;
    }
}
