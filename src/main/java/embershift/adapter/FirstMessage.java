package embershift.adapter;

import embershift.model.Deployment;
import embershift.model.Deployment.DedupScope;
import embershift.model.Deployment.Profile;
import embershift.model.Deployment.Repeat;
import embershift.model.ProfileId;
import embershift.model.ZoneId;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The path=value pairs with which an instance starts. Unknown keys are ignored. */
final class FirstMessage {

    private final Fields fields;
    private final Map<String, String> pairs = new HashMap<>();

    FirstMessage(Fields fields) {
        this.fields = fields;
        while (!fields.ended()) {
            String pair = fields.optional("setup");
            int equals = pair == null ? -1 : pair.indexOf('=');
            if (equals < 1) {
                throw fields.unreadable("setup", "path=value pairs");
            }
            pairs.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
    }

    Deployment deployment(long seed) {
        List<Profile> profiles = new ArrayList<>();
        int count = (int) number("profiles.count");
        for (int i = 0; i < count; i++) {
            String row = "profiles." + i + ".";
            Repeat repeat = oneOf(row + "repeat", Map.of("idempotent", Repeat.REPEATABLE,
                    "deduplicated", Repeat.REFERENCED, "at_most_once", Repeat.ONCE_ONLY));
            boolean referenced = repeat == Repeat.REFERENCED;
            profiles.add(new Profile(new ProfileId(text(row + "name")), repeat,
                    referenced ? oneOf(row + "dedup-scope", Map.of("all", DedupScope.ALL,
                            "zone", DedupScope.ZONE, "cell", DedupScope.CELL)) : DedupScope.ALL,
                    referenced ? number(row + "dedup-window-s") : 0,
                    number(row + "setup-goal-s"), number(row + "client-timeout-s"),
                    numberOr(row + "credit", 1)));
        }
        boolean asked = oneOf("discovery", Map.of("subscribe", true, "automatic", false));
        return new Deployment(seed, (int) number("balancers"), 
                new ZoneId(pairs.getOrDefault("az", "-")), profiles,
                asked, asked ? number("rules.must-ask-in-s") : 0,
                flag("limits.may-probe"), reportColumns().contains("x0"), flag("limits.may-cancel"),
                flag("limits.may-duplicate"), (int) number("limits.most-setups"),
                flag("limits.retry-after"), numberOr("limits.max-retry-after-s", 0),
                numberOr("limits.connect-timeout-s", 0), numberOr("rules.answer-slack-s", 0),
                number("rules.drain-grace-s"), number("rules.cold-from"), number("rules.warm-after-s"),
                number("rules.fall-multiple"), number("rules.fall-s"),
                "pass".equals(pairs.get("domain.mode")), numberOr("domain.park-s", 0));
    }

    /** Names of the load report's values, in their order. */
    List<String> reportColumns() {
        String columns = pairs.getOrDefault("report.columns", "");
        return columns.isEmpty() || columns.equals("-") ? List.of() : List.of(columns.split(","));
    }

    private String text(String key) {
        String value = pairs.get(key);
        if (value == null || value.isEmpty()) {
            throw fields.unreadable("setup " + key, "a value");
        }
        return value;
    }

    private double numberOr(String key, double fallback) {
        String value = pairs.get(key);
        return value == null || value.equals("-") || value.isEmpty() ? fallback : number(key);
    }

    private double number(String key) {
        try {
            return Double.parseDouble(text(key));
        } catch (NumberFormatException e) {
            throw fields.unreadable("setup " + key, "a number");
        }
    }

    private boolean flag(String key) {
        return oneOf(key, Map.of("true", true, "false", false, "1", true, "0", false));
    }

    private <T> T oneOf(String key, Map<String, T> values) {
        T value = values.get(text(key));
        if (value == null) {
            throw fields.unreadable("setup " + key, "one of " + String.join(", ",
                    values.keySet().stream().sorted().toList()));
        }
        return value;
    }
}
