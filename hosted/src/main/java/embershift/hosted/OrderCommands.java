package embershift.hosted;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.JsonMessages;
import embershift.fleet.lease.TaskId;
import embershift.fleet.restart.RollingRestartPlan;
import embershift.fleet.rollout.ConfigRevision;
import embershift.fleet.store.Mutation;
import embershift.fleet.store.Precondition;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The administrator's commands on nodes, duties, revisions and releases. */
final class OrderCommands {

    static final String LATEST = "rollout/latest";

    private OrderCommands() {}

    static Map<String, FleetCommands.Command> all() {
        Map<String, FleetCommands.Command> commands = new LinkedHashMap<>();
        commands.put("nodes", new EachNode());
        commands.put("duties", new EachDuty());
        commands.put("duty-transfer", new HandOver());
        commands.put("revise", new Revise());
        commands.put("revisions", new Revisions());
        commands.put("floor", new Floor());
        commands.put("shut-out", new ShutOut());
        commands.put("let-in", new LetIn());
        commands.put("forget", new Forget());
        commands.put("release", new Releases());
        return commands;
    }

    private static JsonNode item(RecordClient.Outcome outcome) {
        return outcome.answer().path("items").path(0);
    }

    private static RecordClient.Outcome change(
            RecordClient client,
            List<Precondition> conditions,
            List<Mutation> writes,
            double within) {
        return client.ask(RecordCaller.changes(conditions, writes), within);
    }

    @Parameters(commandDescription = "Each node as the owner of the rollout sees it")
    private static final class EachNode extends FleetCommands.Steps {
        @Override
        RecordClient.Outcome run(RecordClient client) {
            RecordClient.Outcome names = list(client, Nodes.NODE);
            RecordClient.Outcome states = names.done() ? list(client, RolloutDuty.STATE) : names;
            RecordClient.Outcome outs = states.done() ? list(client, Nodes.OUT) : states;
            if (!outs.done()) {
                return outs;
            }
            ObjectNode answer = JsonMessages.newObject();
            Map<String, ObjectNode> rows = new TreeMap<>();
            names.answer()
                    .path("items")
                    .forEach(
                            item ->
                                    rows.put(
                                            item.path("key")
                                                    .asText()
                                                    .substring(Nodes.NODE.length()),
                                            JsonMessages.newObject()
                                                    .put(
                                                            "incarnation",
                                                            item.path("revision").asLong())));
            states.answer()
                    .path("items")
                    .forEach(
                            item -> {
                                ObjectNode row =
                                        rows.get(
                                                item.path("key")
                                                        .asText()
                                                        .substring(RolloutDuty.STATE.length()));
                                if (row != null) {
                                    String[] parts = item.path("value").asText().split(" ", 2);
                                    row.put("state", parts[0])
                                            .put("why", parts.length > 1 ? parts[1] : "");
                                }
                            });
            outs.answer()
                    .path("items")
                    .forEach(
                            item -> {
                                ObjectNode row =
                                        rows.get(
                                                item.path("key")
                                                        .asText()
                                                        .substring(Nodes.OUT.length()));
                                if (row != null) {
                                    row.put("out", item.path("value").asText());
                                }
                            });
            rows.forEach((name, row) -> answer.withArray("nodes").add(row.put("name", name)));
            return new RecordClient.Outcome("done", answer);
        }

        @Override
        void print(ObjectNode answer) {
            List<List<String>> rows = new ArrayList<>();
            answer.path("nodes")
                    .forEach(
                            row ->
                                    rows.add(
                                            List.of(
                                                    row.path("name").asText(),
                                                    row.path("incarnation").asText(),
                                                    row.path("state").asText("UNKNOWN"),
                                                    row.path("why").asText(""))));
            FleetCommands.table(List.of("NODE", "INCARNATION", "STATE", ""), rows);
        }
    }

    @Parameters(commandDescription = "Who owns what, by which fence, and how far it is")
    private static final class EachDuty extends FleetCommands.Steps {
        @Override
        RecordClient.Outcome run(RecordClient client) {
            return list(client, "duty/");
        }

        @Override
        void print(ObjectNode answer) {
            Map<String, Map<String, String>> duties = new TreeMap<>();
            for (JsonNode item : answer.path("items")) {
                String[] parts = item.path("key").asText().split("/");
                Map<String, String> duty =
                        duties.computeIfAbsent(parts[1], none -> new TreeMap<>());
                duty.put(parts[2], item.path("value").asText());
                if (parts[2].equals("fence")) {
                    duty.put("number", item.path("revision").asText());
                }
            }
            List<List<String>> rows = new ArrayList<>();
            duties.forEach(
                    (name, duty) ->
                            rows.add(
                                    List.of(
                                            name,
                                            duty.getOrDefault("owner", "nobody"),
                                            duty.getOrDefault("number", ""),
                                            duty.getOrDefault("progress", ""),
                                            duty.getOrDefault("wanted", ""))));
            FleetCommands.table(List.of("DUTY", "OWNER", "FENCE", "PROGRESS", "TO GO TO"), rows);
        }
    }

    @Parameters(commandDescription = "DUTY INSTANCE: has this instance own a duty")
    private static final class HandOver extends FleetCommands.Steps {
        @Override
        RecordClient.Outcome run(RecordClient client) {
            words(2, "duty-transfer DUTY INSTANCE");
            TaskId duty = new TaskId(words.get(0));
            RecordClient.Outcome fence = get(client, duty.tokenKey());
            if (fence.done() && item(fence).isMissingNode()) {
                return refused("no-duty", "nobody has ever owned " + duty.name());
            }
            return fence.done()
                    ? client.ask(
                            RecordClient.put("duty/" + duty.name() + "/wanted", words.get(1), -1),
                            within)
                    : fence;
        }
    }

    @Parameters(
            commandDescription =
                    "FIELD=VALUE ...: a new revision with these fields set: out/HOST, discovery, sockets, peers")
    private static final class Revise extends FleetCommands.Steps {
        @Parameter(names = "--remove", description = "Fields that go, set apart by commas")
        String remove = "";

        @Parameter(
                names = "--back-to",
                description = "Begin with what this revision said, not with the latest")
        long backTo = -1;

        @Parameter(names = "--now", description = "To all nodes at once, not to a few first")
        boolean atOnce;

        @Override
        RecordClient.Outcome run(RecordClient client) {
            Map<String, String> changes = changes();
            RecordClient.Outcome latest = get(client, LATEST);
            if (!latest.done()) {
                return latest;
            }
            long number = item(latest).path("value").asLong();
            RecordClient.Outcome last = get(client, ConfigRevision.key(number));
            RecordClient.Outcome from =
                    backTo >= 0 && last.done() ? get(client, ConfigRevision.key(backTo)) : last;
            if (!from.done()) {
                return from;
            }
            ConfigRevision before =
                    number == 0
                            ? ConfigRevision.NONE
                            : ConfigRevision.decode(item(last).path("value").asText()).orElse(null);
            ConfigRevision content =
                    backTo == 0 || (backTo < 0 && number == 0)
                            ? ConfigRevision.NONE
                            : ConfigRevision.decode(item(from).path("value").asText()).orElse(null);
            if (before == null || content == null) {
                return refused(
                        "no-revision",
                        "the record has no revision " + (before == null ? number : backTo));
            }
            Map<String, Optional<String>> all = new TreeMap<>(content.differenceFrom(before));
            changes.forEach((field, value) -> all.put(field, Optional.ofNullable(value)));
            ConfigRevision next = before.next(all);
            if (next.findError().isPresent()) {
                return refused("wrong", next.findError().get());
            }
            if (next.contentDigest().equals(before.contentDigest())) {
                return refused("nothing-new", "revision " + number + " says so already");
            }
            List<Mutation> writes =
                    new ArrayList<>(
                            List.of(
                                    Mutation.put(LATEST, String.valueOf(next.number())),
                                    Mutation.put(
                                            ConfigRevision.key(next.number()), next.encode())));
            if (atOnce) {
                writes.add(Mutation.put(RolloutDuty.NOW + next.number(), "1"));
            }
            RecordClient.Outcome made =
                    change(
                            client,
                            List.of(
                                    new Precondition(
                                            LATEST, item(latest).path("revision").asLong()),
                                    new Precondition(ConfigRevision.key(next.number()), 0)),
                            writes,
                            within);
            return made.done()
                    ? new RecordClient.Outcome("done", made.answer().put("made", next.number()))
                    : made;
        }

        private Map<String, String> changes() {
            Map<String, String> changes = new TreeMap<>();
            for (String field : remove.split(",")) {
                if (!field.isEmpty()) {
                    changes.put(field, null);
                }
            }
            for (String word : words) {
                int equals = word.indexOf('=');
                if (equals < 1) {
                    throw new ParameterException("wanted: revise FIELD=VALUE ..., not " + word);
                }
                changes.put(word.substring(0, equals), word.substring(equals + 1));
            }
            if (changes.isEmpty() && backTo < 0) {
                throw new ParameterException(
                        "wanted: revise FIELD=VALUE ..., --remove or --back-to");
            }
            return changes;
        }

        @Override
        void print(ObjectNode answer) {
            System.out.println("made revision " + answer.path("made").asText());
        }
    }

    @Parameters(
            commandDescription = "The revisions of the fleet's orders, and how far the last one is")
    private static final class Revisions extends FleetCommands.Steps {
        @Override
        RecordClient.Outcome run(RecordClient client) {
            RecordClient.Outcome all = list(client, RolloutDuty.REVISION);
            RecordClient.Outcome stage = all.done() ? list(client, "rollout/") : all;
            if (!stage.done()) {
                return stage;
            }
            ObjectNode answer = JsonMessages.newObject();
            for (JsonNode item : all.answer().path("items")) {
                ConfigRevision revision =
                        ConfigRevision.decode(item.path("value").asText()).orElse(null);
                if (revision != null) {
                    ObjectNode row =
                            answer.withArray("revisions")
                                    .addObject()
                                    .put("number", revision.number())
                                    .put("chain", revision.chainDigest());
                    JsonMessages.putTexts(row.putObject("fields"), revision.fields());
                }
            }
            stage.answer()
                    .path("items")
                    .forEach(
                            item ->
                                    answer.put(
                                            item.path("key").asText(),
                                            item.path("value").asText()));
            return new RecordClient.Outcome("done", answer);
        }

        @Override
        void print(ObjectNode answer) {
            List<List<String>> rows = new ArrayList<>();
            answer.path("revisions")
                    .forEach(
                            row ->
                                    rows.add(
                                            List.of(
                                                    row.path("number").asText(),
                                                    row.path("chain").asText().substring(0, 8),
                                                    row.path("fields").toString())));
            FleetCommands.table(List.of("REVISION", "CHAIN", "FIELDS"), rows);
            System.out.println(
                    "rollout: "
                            + answer.path(RolloutDuty.STAGE).asText("not begun")
                            + "; floor "
                            + answer.path(RolloutDuty.FLOOR).asText("0"));
        }
    }

    @Parameters(
            commandDescription =
                    "REVISION: the least on which any node may act for the fleet; only up")
    private static final class Floor extends FleetCommands.Steps {
        @Override
        RecordClient.Outcome run(RecordClient client) {
            words(1, "floor REVISION");
            RecordClient.Outcome now = get(client, RolloutDuty.FLOOR);
            RecordClient.Outcome latest = now.done() ? get(client, LATEST) : now;
            if (!latest.done()) {
                return latest;
            }
            if (!words.get(0).matches("\\d{1,18}")
                    || Long.parseLong(words.get(0)) < item(now).path("value").asLong()
                    || Long.parseLong(words.get(0)) > item(latest).path("value").asLong()) {
                return refused(
                        "wrong",
                        "a floor is a revision that there is, not below "
                                + item(now).path("value").asLong());
            }
            return client.ask(
                    RecordClient.put(
                            RolloutDuty.FLOOR, words.get(0), item(now).path("revision").asLong()),
                    within);
        }
    }

    @Parameters(
            commandDescription =
                    "NODE WHY: this process of it may not act for the fleet any more, and leaves")
    private static final class ShutOut extends FleetCommands.Steps {
        @Override
        RecordClient.Outcome run(RecordClient client) {
            if (words.isEmpty()) {
                throw new ParameterException("wanted: shut-out NODE WHY");
            }
            RecordClient.Outcome node = get(client, Nodes.NODE + words.get(0));
            if (node.done() && item(node).isMissingNode()) {
                return refused("no-node", "there is no node " + words.get(0));
            }
            return !node.done()
                    ? node
                    : client.ask(
                            RecordClient.put(
                                    Nodes.OUT + words.get(0),
                                    item(node).path("revision").asLong()
                                            + " by-hand "
                                            + String.join(" ", words.subList(1, words.size())),
                                    -1),
                            within);
        }
    }

    @Parameters(commandDescription = "NODE: may act for the fleet again")
    private static final class LetIn extends FleetCommands.Command {
        @Override
        ObjectNode call() {
            words(1, "let-in NODE");
            return RecordClient.put(Nodes.OUT + words.get(0), null, -1);
        }
    }

    @Parameters(
            commandDescription =
                    "NODE: there is no such node any more; one that comes again has a name again")
    private static final class Forget extends FleetCommands.Steps {
        @Override
        RecordClient.Outcome run(RecordClient client) {
            words(1, "forget NODE");
            String name = words.get(0);
            RecordClient.Outcome node = get(client, Nodes.NODE + name);
            if (!node.done()) {
                return node;
            }
            return item(node).isMissingNode()
                    ? refused("no-node", "there is no node " + name)
                    : change(
                            client,
                            List.of(
                                    new Precondition(
                                            Nodes.NODE + name,
                                            item(node).path("revision").asLong())),
                            List.of(
                                    Mutation.delete(Nodes.NODE + name),
                                    Mutation.delete(Nodes.OUT + name),
                                    Mutation.delete(RolloutDuty.STATE + name)),
                            within);
        }
    }

    @Parameters(
            commandDescription =
                    "start NAME PART ... | show | go | pause | abort: hosts and nodes started anew in steps")
    private static final class Releases extends FleetCommands.Steps {
        @Parameter(names = "--size", description = "Parts that may be away at one time")
        int size = 1;

        @Parameter(
                names = "--service",
                description = "Share of tunnels that must be opened of those not declined")
        double service = 0.9;

        @Parameter(
                names = "--warm",
                description = "Seconds that a part serves before it counts as back")
        double warm = 5;

        @Parameter(
                names = "--patience",
                description = "Seconds without progress after which it pauses by itself")
        double patience = 60;

        @Override
        RecordClient.Outcome run(RecordClient client) {
            String what = words.isEmpty() ? "" : words.get(0);
            return switch (what) {
                case "start" -> start(client);
                case "show" -> list(client, "release/");
                case "go", "pause", "abort" ->
                        client.ask(
                                RecordClient.put(RollingRestartPlan.INTENT_KEY, what, -1), within);
                default ->
                        throw new ParameterException(
                                "wanted: release start NAME host:H|node:N ..., show, go, pause or abort");
            };
        }

        private RecordClient.Outcome start(RecordClient client) {
            List<RollingRestartPlan.Target> parts = new ArrayList<>();
            for (String word : words.subList(Math.min(2, words.size()), words.size())) {
                if (!word.matches("(host|node):.+")) {
                    throw new ParameterException("a part is host:NAME or node:NAME, not " + word);
                }
                parts.add(
                        new RollingRestartPlan.Target(word.startsWith("node:"), word.substring(5)));
            }
            RollingRestartPlan plan =
                    new RollingRestartPlan(
                            words.size() > 1 ? words.get(1) : "",
                            size,
                            service,
                            warm,
                            patience,
                            parts);
            if (plan.findError().isPresent()) {
                throw new ParameterException(plan.findError().get());
            }
            RecordClient.Outcome before = list(client, "release/");
            if (!before.done()) {
                return before;
            }
            long revision = 0;
            for (JsonNode item : before.answer().path("items")) {
                String value = item.path("value").asText();
                if (item.path("key").asText().equals(RollingRestartPlan.KEY)) {
                    revision = item.path("revision").asLong();
                    RollingRestartPlan old = RollingRestartPlan.decode(value).orElse(null);
                    if (old != null && old.name().equals(plan.name())) {
                        return refused(
                                "name",
                                "a release "
                                        + plan.name()
                                        + " was there already: its steps are known by that name");
                    }
                }
            }
            return change(
                    client,
                    List.of(new Precondition(RollingRestartPlan.KEY, revision)),
                    List.of(
                            Mutation.put(RollingRestartPlan.KEY, plan.encode()),
                            Mutation.delete(RollingRestartPlan.INTENT_KEY),
                            Mutation.put(
                                    RollingRestartPlan.STATE_KEY,
                                    plan.name() + " waits for an owner")),
                    within);
        }

        @Override
        void print(ObjectNode answer) {
            answer.path("items")
                    .forEach(
                            item ->
                                    System.out.println(
                                            item.path("key").asText()
                                                    + ": "
                                                    + item.path("value")
                                                            .asText()
                                                            .strip()
                                                            .replace("\n", ", ")));
            if (!answer.has("items")) {
                System.out.println("done");
            }
        }
    }
}
