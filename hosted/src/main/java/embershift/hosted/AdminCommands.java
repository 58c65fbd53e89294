package embershift.hosted;

import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.JsonMessages;
import embershift.fleet.lease.TaskId;
import embershift.fleet.rollout.ConfigRevision;
import embershift.fleet.store.Mutation;
import embershift.fleet.store.Precondition;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The administrators' commands on nodes, leased tasks, revisions and releases. */
final class AdminCommands {

    static final String LATEST_REVISION_KEY = "rollout/latest";

    private AdminCommands() {}

    static Map<String, FleetCommands.Command> all() {
        Map<String, FleetCommands.Command> commands = new LinkedHashMap<>();
        commands.put("nodes", new ListNodes());
        commands.put("duties", new ListTasks());
        commands.put("duty-transfer", new TransferTask());
        commands.put("revise", new CreateRevisionCommand());
        commands.put("revisions", new ListRevisions());
        commands.put("floor", new RaiseFloor());
        commands.put("shut-out", new ShutOutNode());
        commands.put("let-in", new AdmitNode());
        commands.put("forget", new ForgetNode());
        commands.put("release", new ReleaseCommand());
        return commands;
    }

    private static JsonNode firstItem(StoreClient.Outcome outcome) {
        return outcome.answer().path("items").path(0);
    }

    private static StoreClient.Outcome transact(
            StoreClient client,
            List<Precondition> preconditions,
            List<Mutation> mutations,
            double timeoutSeconds) {
        return client.call(
                AsyncStoreClient.newTransaction(preconditions, mutations), timeoutSeconds);
    }

    @Parameters(commandDescription = "List the nodes as the rollout sees them")
    private static final class ListNodes extends FleetCommands.MultiCallCommand {
        @Override
        StoreClient.Outcome execute(StoreClient client) {
            StoreClient.Outcome names = listKeys(client, NodeConnections.NODE_PREFIX);
            StoreClient.Outcome states =
                    names.isDone() ? listKeys(client, RolloutTask.STATE_PREFIX) : names;
            StoreClient.Outcome shutOuts =
                    states.isDone() ? listKeys(client, NodeConnections.SHUT_OUT_PREFIX) : states;
            if (!shutOuts.isDone()) {
                return shutOuts;
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
                                                    .substring(
                                                            NodeConnections.NODE_PREFIX.length()),
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
                                                        .substring(
                                                                RolloutTask.STATE_PREFIX.length()));
                                if (row != null) {
                                    String[] parts = item.path("value").asText().split(" ", 2);
                                    row.put("state", parts[0])
                                            .put("why", parts.length > 1 ? parts[1] : "");
                                }
                            });
            shutOuts.answer()
                    .path("items")
                    .forEach(
                            item -> {
                                ObjectNode row =
                                        rows.get(
                                                item.path("key")
                                                        .asText()
                                                        .substring(
                                                                NodeConnections.SHUT_OUT_PREFIX
                                                                        .length()));
                                if (row != null) {
                                    row.put("out", item.path("value").asText());
                                }
                            });
            rows.forEach((name, row) -> answer.withArray("nodes").add(row.put("name", name)));
            return new StoreClient.Outcome("done", answer);
        }

        @Override
        void printAnswer(ObjectNode answer) {
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
            FleetCommands.printTable(List.of("NODE", "INCARNATION", "STATE", ""), rows);
        }
    }

    @Parameters(commandDescription = "List the duties: owner, fencing token and progress of each")
    private static final class ListTasks extends FleetCommands.MultiCallCommand {
        @Override
        StoreClient.Outcome execute(StoreClient client) {
            return listKeys(client, "duty/");
        }

        @Override
        void printAnswer(ObjectNode answer) {
            Map<String, Map<String, String>> tasks = new TreeMap<>();
            for (JsonNode item : answer.path("items")) {
                String[] parts = item.path("key").asText().split("/");
                Map<String, String> task = tasks.computeIfAbsent(parts[1], none -> new TreeMap<>());
                task.put(parts[2], item.path("value").asText());
                if (parts[2].equals("fence")) {
                    task.put("number", item.path("revision").asText());
                }
            }
            List<List<String>> rows = new ArrayList<>();
            tasks.forEach(
                    (name, task) ->
                            rows.add(
                                    List.of(
                                            name,
                                            task.getOrDefault("owner", "nobody"),
                                            task.getOrDefault("number", ""),
                                            task.getOrDefault("progress", ""),
                                            task.getOrDefault("wanted", ""))));
            FleetCommands.printTable(
                    List.of("DUTY", "OWNER", "FENCE", "PROGRESS", "TO GO TO"), rows);
        }
    }

    @Parameters(commandDescription = "DUTY INSTANCE: transfer a duty to this instance")
    private static final class TransferTask extends FleetCommands.MultiCallCommand {
        @Override
        StoreClient.Outcome execute(StoreClient client) {
            requireArguments(2, "duty-transfer DUTY INSTANCE");
            TaskId task = new TaskId(arguments.get(0));
            StoreClient.Outcome token = getKey(client, task.tokenKey());
            if (token.isDone() && firstItem(token).isMissingNode()) {
                return refused("no-duty", "nobody has ever owned " + task.name());
            }
            return token.isDone()
                    ? client.call(
                            StoreClient.newPut(
                                    "duty/" + task.name() + "/wanted", arguments.get(1), -1),
                            timeoutSeconds)
                    : token;
        }
    }

    @Parameters(
            commandDescription = "List the configuration revisions, and the state of the rollout")
    private static final class ListRevisions extends FleetCommands.MultiCallCommand {
        @Override
        StoreClient.Outcome execute(StoreClient client) {
            StoreClient.Outcome revisions = listKeys(client, RolloutTask.REVISION_PREFIX);
            StoreClient.Outcome stage =
                    revisions.isDone() ? listKeys(client, "rollout/") : revisions;
            if (!stage.isDone()) {
                return stage;
            }
            ObjectNode answer = JsonMessages.newObject();
            for (JsonNode item : revisions.answer().path("items")) {
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
            return new StoreClient.Outcome("done", answer);
        }

        @Override
        void printAnswer(ObjectNode answer) {
            List<List<String>> rows = new ArrayList<>();
            answer.path("revisions")
                    .forEach(
                            row ->
                                    rows.add(
                                            List.of(
                                                    row.path("number").asText(),
                                                    row.path("chain").asText().substring(0, 8),
                                                    row.path("fields").toString())));
            FleetCommands.printTable(List.of("REVISION", "CHAIN", "FIELDS"), rows);
            System.out.println(
                    "rollout: "
                            + answer.path(RolloutTask.STAGE_KEY).asText("not begun")
                            + "; floor "
                            + answer.path(RolloutTask.FLOOR_KEY).asText("0"));
        }
    }

    @Parameters(
            commandDescription =
                    "REVISION: raise the least revision on which nodes may act; it is never lowered")
    private static final class RaiseFloor extends FleetCommands.MultiCallCommand {
        @Override
        StoreClient.Outcome execute(StoreClient client) {
            requireArguments(1, "floor REVISION");
            StoreClient.Outcome floor = getKey(client, RolloutTask.FLOOR_KEY);
            StoreClient.Outcome latest =
                    floor.isDone() ? getKey(client, LATEST_REVISION_KEY) : floor;
            if (!latest.isDone()) {
                return latest;
            }
            if (!arguments.get(0).matches("\\d{1,18}")
                    || Long.parseLong(arguments.get(0)) < firstItem(floor).path("value").asLong()
                    || Long.parseLong(arguments.get(0))
                            > firstItem(latest).path("value").asLong()) {
                return refused(
                        "wrong",
                        "a floor is a revision that there is, not below "
                                + firstItem(floor).path("value").asLong());
            }
            return client.call(
                    StoreClient.newPut(
                            RolloutTask.FLOOR_KEY,
                            arguments.get(0),
                            firstItem(floor).path("revision").asLong()),
                    timeoutSeconds);
        }
    }

    @Parameters(
            commandDescription =
                    "NODE WHY: shut out the present process of a node, which then exits")
    private static final class ShutOutNode extends FleetCommands.MultiCallCommand {
        @Override
        StoreClient.Outcome execute(StoreClient client) {
            if (arguments.isEmpty()) {
                throw new ParameterException("wanted: shut-out NODE WHY");
            }
            StoreClient.Outcome node =
                    getKey(client, NodeConnections.NODE_PREFIX + arguments.get(0));
            if (node.isDone() && firstItem(node).isMissingNode()) {
                return refused("no-node", "there is no node " + arguments.get(0));
            }
            return !node.isDone()
                    ? node
                    : client.call(
                            StoreClient.newPut(
                                    NodeConnections.SHUT_OUT_PREFIX + arguments.get(0),
                                    firstItem(node).path("revision").asLong()
                                            + " by-hand "
                                            + String.join(
                                                    " ", arguments.subList(1, arguments.size())),
                                    -1),
                            timeoutSeconds);
        }
    }

    @Parameters(commandDescription = "NODE: let a node act for the fleet again")
    private static final class AdmitNode extends FleetCommands.Command {
        @Override
        ObjectNode newCall() {
            requireArguments(1, "let-in NODE");
            return StoreClient.newPut(NodeConnections.SHUT_OUT_PREFIX + arguments.get(0), null, -1);
        }
    }

    @Parameters(
            commandDescription =
                    "NODE: delete a node that is gone; one that connects under its name registers anew")
    private static final class ForgetNode extends FleetCommands.MultiCallCommand {
        @Override
        StoreClient.Outcome execute(StoreClient client) {
            requireArguments(1, "forget NODE");
            String name = arguments.get(0);
            StoreClient.Outcome node = getKey(client, NodeConnections.NODE_PREFIX + name);
            if (!node.isDone()) {
                return node;
            }
            return firstItem(node).isMissingNode()
                    ? refused("no-node", "there is no node " + name)
                    : transact(
                            client,
                            List.of(
                                    new Precondition(
                                            NodeConnections.NODE_PREFIX + name,
                                            firstItem(node).path("revision").asLong())),
                            List.of(
                                    Mutation.delete(NodeConnections.NODE_PREFIX + name),
                                    Mutation.delete(NodeConnections.SHUT_OUT_PREFIX + name),
                                    Mutation.delete(RolloutTask.STATE_PREFIX + name)),
                            timeoutSeconds);
        }
    }
}
