package embershift.hosted;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.fleet.rollout.ConfigRevision;
import embershift.fleet.rollout.RevisionBase;
import embershift.fleet.store.Mutation;
import embershift.fleet.store.Precondition;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The command that creates a configuration revision: the fields of the last good one, or of the one
 * that the operator names, with the given changes.
 */
@Parameters(
        commandDescription =
                "FIELD=VALUE ...: create a revision with these fields set: out/HOST, discovery, sockets, peers")
final class CreateRevisionCommand extends FleetCommands.MultiCallCommand {

    private static final String ROLLOUT_PREFIX = "rollout/";

    @Parameter(names = "--remove", description = "Fields to remove, separated by commas")
    private String removedFields = "";

    @Parameter(
            names = "--back-to",
            description = "Start from the fields of this revision, not of the last good one")
    private long namedBase = -1;

    @Parameter(names = "--now", description = "Send it to all nodes at once, without a canary")
    private boolean isImmediate;

    /** The state of the rollout in the store, as one call has read it. */
    private record StoredRollout(Map<String, JsonNode> items) {

        static StoredRollout of(ObjectNode answer) {
            Map<String, JsonNode> items = new HashMap<>();
            answer.path("items").forEach(item -> items.put(item.path("key").asText(), item));
            return new StoredRollout(items);
        }

        long latestRevision() {
            return value(AdminCommands.LATEST_REVISION_KEY).map(Long::parseLong).orElse(0L);
        }

        Optional<String> value(String key) {
            return Optional.ofNullable(items.get(key)).map(item -> item.path("value").asText());
        }

        Set<Long> immediateRevisions() {
            Set<Long> numbers = new HashSet<>();
            for (String key : items.keySet()) {
                if (key.startsWith(RolloutTask.IMMEDIATE_PREFIX)) {
                    numbers.add(
                            Long.parseLong(key.substring(RolloutTask.IMMEDIATE_PREFIX.length())));
                }
            }
            return numbers;
        }

        /** The condition that a key is as it was read; 0 stands for one that did not exist. */
        Precondition isUnchanged(String key) {
            JsonNode item = items.get(key);
            return new Precondition(key, item == null ? 0 : item.path("revision").asLong());
        }
    }

    @Override
    StoreClient.Outcome execute(StoreClient client) {
        Map<String, Optional<String>> changes = parseChanges();
        return retryOnConflict(() -> createRevision(client, changes));
    }

    private StoreClient.Outcome createRevision(
            StoreClient client, Map<String, Optional<String>> changes) {
        StoreClient.Outcome listed = listKeys(client, ROLLOUT_PREFIX);
        if (!listed.isDone()) {
            return listed;
        }
        StoredRollout stored = StoredRollout.of(listed.answer());
        RevisionBase base =
                RevisionBase.choose(
                        stored.latestRevision(),
                        stored.value(RolloutTask.STAGE_KEY),
                        stored.immediateRevisions(),
                        isImmediate);
        if (namedBase >= 0) {
            base = base.replacedBy(namedBase);
        }
        StoreClient.Outcome latest = getRevision(client, base.latest());
        StoreClient.Outcome start = latest.isDone() ? getRevision(client, base.number()) : latest;
        if (!start.isDone()) {
            return start;
        }
        Optional<ConfigRevision> previous = decode(base.latest(), latest);
        Optional<ConfigRevision> content = decode(base.number(), start);
        if (previous.isEmpty() || content.isEmpty()) {
            long missing = previous.isEmpty() ? base.latest() : base.number();
            return refused("no-revision", "the record has no revision " + missing);
        }
        ConfigRevision next = previous.get().next(content.get(), changes);
        if (next.findError().isPresent()) {
            return refused("wrong", next.findError().get());
        }
        if (next.contentDigest().equals(previous.get().contentDigest())) {
            return refused(
                    "nothing-new", "revision " + previous.get().number() + " says so already");
        }
        return store(client, stored, next, base);
    }

    private StoreClient.Outcome getRevision(StoreClient client, long number) {
        return getKey(client, ConfigRevision.key(number));
    }

    private static Optional<ConfigRevision> decode(long number, StoreClient.Outcome outcome) {
        return number == ConfigRevision.NONE.number()
                ? Optional.of(ConfigRevision.NONE)
                : ConfigRevision.decode(
                        outcome.answer().path("items").path(0).path("value").asText());
    }

    private StoreClient.Outcome store(
            StoreClient client, StoredRollout stored, ConfigRevision next, RevisionBase base) {
        List<Mutation> mutations = new ArrayList<>();
        mutations.add(
                Mutation.put(AdminCommands.LATEST_REVISION_KEY, String.valueOf(next.number())));
        mutations.add(Mutation.put(ConfigRevision.key(next.number()), next.encode()));
        if (isImmediate) {
            mutations.add(Mutation.put(RolloutTask.IMMEDIATE_PREFIX + next.number(), "1"));
        }
        // The base was chosen by the stage of the rollout: neither may have changed since.
        List<Precondition> preconditions =
                List.of(
                        stored.isUnchanged(AdminCommands.LATEST_REVISION_KEY),
                        stored.isUnchanged(RolloutTask.STAGE_KEY),
                        new Precondition(ConfigRevision.key(next.number()), 0));
        StoreClient.Outcome created =
                client.call(
                        AsyncStoreClient.newTransaction(preconditions, mutations), timeoutSeconds);
        if (!created.isDone()) {
            return created;
        }
        ObjectNode answer = created.answer().put("made", next.number());
        if (!base.note().isEmpty()) {
            answer.put("note", base.note());
        }
        return new StoreClient.Outcome("done", answer);
    }

    private Map<String, Optional<String>> parseChanges() {
        Map<String, Optional<String>> changes = new TreeMap<>();
        for (String field : removedFields.split(",")) {
            if (!field.isEmpty()) {
                changes.put(field, Optional.empty());
            }
        }
        for (String argument : arguments) {
            int equals = argument.indexOf('=');
            if (equals < 1) {
                throw new ParameterException("wanted: revise FIELD=VALUE ..., not " + argument);
            }
            changes.put(argument.substring(0, equals), Optional.of(argument.substring(equals + 1)));
        }
        if (changes.isEmpty() && namedBase < 0) {
            throw new ParameterException("wanted: revise FIELD=VALUE ..., --remove or --back-to");
        }
        return changes;
    }

    @Override
    void printAnswer(ObjectNode answer) {
        String note = answer.path("note").asText("");
        System.out.println(
                "made revision "
                        + answer.path("made").asText()
                        + (note.isEmpty() ? "" : " " + note));
    }
}
