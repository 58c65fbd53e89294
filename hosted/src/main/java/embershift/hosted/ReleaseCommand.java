package embershift.hosted;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.fleet.restart.OperatorIntent;
import embershift.fleet.restart.RollingRestartPlan;
import embershift.fleet.store.KeyValue;
import embershift.fleet.store.Mutation;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/** The command that starts, shows, pauses, resumes and aborts releases. */
@Parameters(
        commandDescription =
                "start NAME TARGET ... | show | go | pause | abort: restart hosts and nodes in steps")
final class ReleaseCommand extends FleetCommands.MultiCallCommand {

    private static final String USAGE =
            "wanted: release start NAME host:H|node:N ..., show, go, pause or abort";

    @Parameter(names = "--size", description = "Targets that may be unavailable at a time")
    private int maxUnavailable = 1;

    @Parameter(
            names = "--service",
            description = "Least share of tunnels that must be opened, of those not declined")
    private double minServiceRate = 0.9;

    @Parameter(
            names = "--warm",
            description = "Seconds that a target serves before it counts as restarted")
    private double warmUpSeconds = 5;

    @Parameter(
            names = "--patience",
            description = "Seconds without progress after which the release pauses by itself")
    private double patienceSeconds = 60;

    @Override
    StoreClient.Outcome execute(StoreClient client) {
        String action = arguments.isEmpty() ? "" : arguments.get(0);
        return switch (action) {
            case "start" -> start(client);
            case "show" -> listKeys(client, "release/");
            case "go", "pause" -> setIntent(client, action);
            case "abort" -> abort(client);
            default -> throw new ParameterException(USAGE);
        };
    }

    private StoreClient.Outcome setIntent(StoreClient client, String intent) {
        return client.call(
                StoreClient.newPut(RollingRestartPlan.INTENT_KEY, intent, -1), timeoutSeconds);
    }

    /** Reads the stored release and makes a change that depends on it. */
    private StoreClient.Outcome readAndChange(
            StoreClient client, Function<StoredRelease, StoreClient.Outcome> change) {
        StoreClient.Outcome release = listKeys(client, "release/");
        StoreClient.Outcome progress =
                release.isDone() ? getKey(client, StoredRelease.TASK.progressKey()) : release;
        if (!progress.isDone()) {
            return progress;
        }
        Map<String, KeyValue> items = new HashMap<>();
        release.answer().path("items").forEach(item -> add(items, item));
        progress.answer().path("items").forEach(item -> add(items, item));
        return change.apply(new StoredRelease(key -> Optional.ofNullable(items.get(key))));
    }

    private static void add(Map<String, KeyValue> items, JsonNode item) {
        String key = item.path("key").asText();
        items.put(
                key,
                new KeyValue(
                        key,
                        item.path("value").asText(),
                        item.path("created").asLong(),
                        item.path("revision").asLong(),
                        null));
    }

    private StoreClient.Outcome abort(StoreClient client) {
        return retryOnConflict(() -> readAndChange(client, release -> abort(client, release)));
    }

    private StoreClient.Outcome abort(StoreClient client, StoredRelease release) {
        List<Mutation> mutations =
                List.of(
                        Mutation.put(
                                RollingRestartPlan.ABORTED_KEY, String.valueOf(release.number())),
                        Mutation.put(RollingRestartPlan.INTENT_KEY, OperatorIntent.ABORT.encode()));
        return client.call(
                AsyncStoreClient.newTransaction(release.isSameNumber(), mutations), timeoutSeconds);
    }

    private StoreClient.Outcome start(StoreClient client) {
        RollingRestartPlan plan = parsePlan();
        return retryOnConflict(
                () -> readAndChange(client, release -> start(client, plan, release)));
    }

    private StoreClient.Outcome start(
            StoreClient client, RollingRestartPlan plan, StoredRelease release) {
        Optional<String> next =
                release.nextPlan()
                        .flatMap(RollingRestartPlan::decode)
                        .map(RollingRestartPlan::name);
        Optional<String> present = release.plan().map(RollingRestartPlan::name);
        if (present.filter(plan.name()::equals).isPresent()
                || next.filter(plan.name()::equals).isPresent()) {
            return refused(
                    "name",
                    "a release "
                            + plan.name()
                            + " was there already: its steps are known by that name");
        }
        if (next.isPresent()) {
            return refused(
                    "waiting",
                    "release " + next.get() + " waits already for the end of the present one");
        }
        boolean isUnderWay = release.isUnderWay();
        StoreClient.Outcome stored =
                client.call(
                        AsyncStoreClient.newTransaction(
                                release.isUnchanged(),
                                isUnderWay
                                        ? List.of(
                                                Mutation.put(
                                                        RollingRestartPlan.NEXT_KEY, plan.encode()))
                                        : StoredRelease.replaceBy(plan)),
                        timeoutSeconds);
        if (stored.isDone() && isUnderWay) {
            stored.answer().put("note", "waits for the end of release " + present.get());
        }
        return stored;
    }

    private RollingRestartPlan parsePlan() {
        List<RollingRestartPlan.Target> targets = new ArrayList<>();
        for (String argument : arguments.subList(Math.min(2, arguments.size()), arguments.size())) {
            if (!argument.matches("(host|node):.+")) {
                throw new ParameterException("a target is host:NAME or node:NAME, not " + argument);
            }
            targets.add(
                    new RollingRestartPlan.Target(
                            argument.startsWith("node:"), argument.substring(5)));
        }
        RollingRestartPlan plan =
                new RollingRestartPlan(
                        arguments.size() > 1 ? arguments.get(1) : "",
                        maxUnavailable,
                        minServiceRate,
                        warmUpSeconds,
                        patienceSeconds,
                        targets);
        if (plan.findError().isPresent()) {
            throw new ParameterException(plan.findError().get());
        }
        return plan;
    }

    @Override
    void printAnswer(ObjectNode answer) {
        for (JsonNode item : answer.path("items")) {
            String value = item.path("value").asText().strip().replace("\n", ", ");
            System.out.println(item.path("key").asText() + ": " + value);
        }
        if (!answer.has("items")) {
            String note = answer.path("note").asText("");
            System.out.println(note.isEmpty() ? "done" : "done, " + note);
        }
    }
}
