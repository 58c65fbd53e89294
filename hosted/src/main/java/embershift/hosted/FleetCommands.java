package embershift.hosted;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.JsonMessages;
import embershift.door.TomlSettings;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The administrators' commands. Each ends as done (exit status 0), refused (1) or unknown (3)
 * within its timeout.
 */
final class FleetCommands {

    private static final int EXIT_REFUSED = 1;
    private static final int EXIT_UNKNOWN = 3;

    abstract static class Command {
        @Parameter(
                names = "--at",
                description = "Addresses of instances, as HOST:PORT,HOST:PORT",
                required = true)
        String instances;

        @Parameter(names = "--within", description = "Timeout in seconds")
        double timeoutSeconds = 5;

        @Parameter(names = "--json", description = "Print the answer as one line of JSON")
        boolean isJson;

        @Parameter(description = "ARGUMENTS")
        List<String> arguments = new ArrayList<>();

        List<InetSocketAddress> addresses() {
            List<InetSocketAddress> addresses = new ArrayList<>();
            for (String address : instances.split(",")) {
                if (!TomlSettings.isValidAddress(address)) {
                    throw new ParameterException("--at takes HOST:PORT, not " + address);
                }
                addresses.add(TomlSettings.parseAddress(address));
            }
            return addresses;
        }

        void requireArguments(int count, String usage) {
            if (arguments.size() != count) {
                throw new ParameterException("wanted: " + usage);
            }
        }

        int run() {
            List<InetSocketAddress> addresses = addresses();
            ObjectNode call = newCall();
            try (StoreClient client = new StoreClient(addresses, "fleet")) {
                return printOutcome(client.call(call, timeoutSeconds));
            }
        }

        abstract ObjectNode newCall();

        int printOutcome(StoreClient.Outcome outcome) {
            if (isJson) {
                System.out.println(
                        outcome.answer() == null
                                ? JsonMessages.newObject().put("end", outcome.status())
                                : outcome.answer().put("end", outcome.status()));
            } else if (outcome.isDone()) {
                printAnswer(outcome.answer());
            } else {
                System.out.println(
                        outcome.status() + ": " + outcome.reason() + " " + outcome.text());
            }
            return outcome.isDone() ? 0 : outcome.isUnknown() ? EXIT_UNKNOWN : EXIT_REFUSED;
        }

        void printAnswer(ObjectNode answer) {
            System.out.println("done");
        }
    }

    /**
     * Returns the status of the instance with the latest term, of one term that of its leader; null
     * if none answers.
     */
    static ObjectNode latestStatus(List<InetSocketAddress> addresses, double timeoutSeconds) {
        ObjectNode latest = null;
        for (InetSocketAddress address : addresses) {
            ObjectNode answer =
                    StoreClient.callInstance(
                            address, StoreClient.newCall("status"), timeoutSeconds);
            if (answer != null && (latest == null || rank(answer) > rank(latest))) {
                latest = answer;
            }
        }
        return latest;
    }

    private static long rank(ObjectNode status) {
        return 2 * status.path("term").asLong() + (isLeader(status) ? 1 : 0);
    }

    static boolean isLeader(ObjectNode status) {
        return status.path("role").asText().equals("leader");
    }

    static void printTable(List<String> header, List<List<String>> rows) {
        int[] widths = new int[header.size()];
        List<List<String>> lines = new ArrayList<>(rows);
        lines.add(0, header);
        for (List<String> row : lines) {
            for (int i = 0; i < row.size(); i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        for (List<String> row : lines) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.size(); i++) {
                line.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length() + 2));
            }
            System.out.println(line.toString().stripTrailing());
        }
    }

    @Parameters(commandDescription = "Print the state of each instance as it reports it")
    private static final class Status extends Command {
        @Override
        ObjectNode newCall() {
            return StoreClient.newCall("status");
        }

        @Override
        int run() {
            List<List<String>> rows = new ArrayList<>();
            boolean allAnswered = true;
            for (InetSocketAddress address : addresses()) {
                ObjectNode answer =
                        StoreClient.callInstance(address, newCall(), Math.min(2, timeoutSeconds));
                String name = address.getHostString() + ":" + address.getPort();
                allAnswered &= answer != null;
                if (isJson) {
                    System.out.println(
                            answer == null
                                    ? JsonMessages.newObject()
                                            .put("address", name)
                                            .put("end", "unknown")
                                    : answer);
                } else if (answer == null) {
                    rows.add(List.of(name, "no answer", "", "", "", "", ""));
                } else {
                    rows.add(
                            List.of(
                                    name,
                                    answer.path("name").asText(),
                                    answer.path("role").asText(),
                                    answer.path("term").asText(),
                                    answer.path("leader").asText(),
                                    answer.path("agreed").asText(),
                                    answer.path("doubt").asBoolean() ? "in doubt" : ""));
                }
            }
            if (!isJson) {
                printTable(
                        List.of("ADDRESS", "NAME", "ROLE", "TERM", "LEADER", "AGREED", ""), rows);
            }
            return allAnswered ? 0 : EXIT_UNKNOWN;
        }
    }

    @Parameters(commandDescription = "List the members of the group as its leader sees them")
    private static final class Members extends Command {
        @Override
        ObjectNode newCall() {
            return StoreClient.newCall("status");
        }

        @Override
        int run() {
            ObjectNode latest = latestStatus(addresses(), Math.min(2, timeoutSeconds));
            return printOutcome(
                    latest == null
                            ? new StoreClient.Outcome(
                                    "refused", JsonMessages.newObject().put("reason", "no-answer"))
                            : new StoreClient.Outcome("done", latest));
        }

        @Override
        void printAnswer(ObjectNode answer) {
            List<List<String>> rows = new ArrayList<>();
            for (JsonNode member : answer.path("members")) {
                rows.add(
                        List.of(
                                member.path("name").asText(),
                                member.path("id").asText(),
                                member.path("address").asText(),
                                member.path("role").asText(),
                                member.path("has").asText(""),
                                !member.has("heard")
                                        ? ""
                                        : member.path("heard").asBoolean() ? "yes" : "no"));
            }
            printTable(List.of("NAME", "ID", "ADDRESS", "ROLE", "HAS", "HEARD"), rows);
            System.out.println(
                    "as "
                            + answer.path("name").asText()
                            + " has it, "
                            + answer.path("role").asText()
                            + " in term "
                            + answer.path("term").asText());
        }
    }

    @Parameters(commandDescription = "KEY: print the value of a key")
    private static final class Get extends Command {
        @Override
        ObjectNode newCall() {
            requireArguments(1, "get KEY");
            return StoreClient.newCall("get").put("key", arguments.get(0));
        }

        @Override
        int printOutcome(StoreClient.Outcome outcome) {
            boolean isMissing = outcome.isDone() && outcome.answer().path("items").isEmpty();
            int exitStatus = super.printOutcome(outcome);
            return isMissing ? EXIT_REFUSED : exitStatus;
        }

        @Override
        void printAnswer(ObjectNode answer) {
            JsonNode item = answer.path("items").path(0);
            System.out.println(
                    item.isMissingNode()
                            ? "nothing there, at revision " + answer.path("revision")
                            : item.path("value").asText());
        }
    }

    @Parameters(commandDescription = "PREFIX: list the keys that start with a prefix")
    private static final class ListKeys extends Command {
        @Override
        ObjectNode newCall() {
            return StoreClient.newCall("list")
                    .put("prefix", arguments.isEmpty() ? "" : arguments.get(0));
        }

        @Override
        void printAnswer(ObjectNode answer) {
            List<List<String>> rows = new ArrayList<>();
            for (JsonNode item : answer.path("items")) {
                rows.add(
                        List.of(
                                item.path("key").asText(),
                                item.path("revision").asText(),
                                item.path("value").asText()));
            }
            printTable(List.of("KEY", "REVISION", "VALUE"), rows);
        }
    }

    @Parameters(commandDescription = "KEY VALUE: write a key")
    private static final class Put extends Command {
        @Parameter(
                names = "--if-revision",
                description = "Only if the key has this revision; 0: if it does not exist")
        long requiredRevision = -1;

        @Override
        ObjectNode newCall() {
            requireArguments(2, "put KEY VALUE");
            return StoreClient.newPut(arguments.get(0), arguments.get(1), requiredRevision);
        }

        @Override
        void printAnswer(ObjectNode answer) {
            System.out.println("done, revision " + answer.path("number").asText());
        }
    }

    @Parameters(commandDescription = "KEY: delete a key")
    private static final class Delete extends Command {
        @Parameter(names = "--if-revision", description = "Only if the key has this revision")
        long requiredRevision = -1;

        @Override
        ObjectNode newCall() {
            requireArguments(1, "delete KEY");
            return StoreClient.newPut(arguments.get(0), null, requiredRevision);
        }
    }

    @Parameters(
            commandDescription =
                    "PREFIX: wait for the next changes of keys that start with a prefix")
    private static final class Watch extends Command {
        @Parameter(
                names = "--from",
                description = "First revision to print; by default the next one")
        long fromRevision = -1;

        @Override
        ObjectNode newCall() {
            return StoreClient.newCall("watch")
                    .put("prefix", arguments.isEmpty() ? "" : arguments.get(0))
                    .put("from", fromRevision);
        }

        @Override
        int run() {
            ObjectNode call = newCall();
            if (fromRevision < 0) {
                ObjectNode status =
                        StoreClient.callInstance(
                                addresses().get(0), StoreClient.newCall("status"), timeoutSeconds);
                if (status == null) {
                    return printOutcome(
                            new StoreClient.Outcome(
                                    "refused",
                                    JsonMessages.newObject().put("reason", "no-answer")));
                }
                call.put("from", status.path("revision").asLong() + 1);
            }
            ObjectNode answer = StoreClient.callInstance(addresses().get(0), call, timeoutSeconds);
            return printOutcome(
                    new StoreClient.Outcome(
                            answer == null ? "refused" : answer.path("end").asText(),
                            answer == null
                                    ? JsonMessages.newObject().put("reason", "nothing-changed")
                                    : answer));
        }

        @Override
        void printAnswer(ObjectNode answer) {
            List<List<String>> rows = new ArrayList<>();
            for (JsonNode event : answer.path("events")) {
                rows.add(
                        List.of(
                                event.path("revision").asText(),
                                event.path("key").asText(),
                                event.path("value").isNull()
                                        ? "(gone)"
                                        : event.path("value").asText()));
            }
            printTable(List.of("REVISION", "KEY", "VALUE"), rows);
            System.out.println("next: --from " + answer.path("next").asText());
        }
    }

    /** A command that makes several calls, and ends like one call. */
    abstract static class MultiCallCommand extends Command {

        /** Reason of a refusal because the store has changed since it was read. */
        private static final String PRECONDITION_FAILED = "condition";

        private static final int MAX_ATTEMPTS = 5;

        @Override
        final ObjectNode newCall() {
            throw new IllegalStateException("a command of several calls has no single one");
        }

        @Override
        final int run() {
            try (StoreClient client = new StoreClient(addresses(), "fleet")) {
                return printOutcome(execute(client));
            }
        }

        /**
         * Returns the outcome of the call that was refused or unknown, otherwise of the last one.
         */
        abstract StoreClient.Outcome execute(StoreClient client);

        final StoreClient.Outcome getKey(StoreClient client, String key) {
            return client.call(StoreClient.newCall("get").put("key", key), timeoutSeconds);
        }

        final StoreClient.Outcome listKeys(StoreClient client, String prefix) {
            return client.call(StoreClient.newCall("list").put("prefix", prefix), timeoutSeconds);
        }

        /**
         * Makes a change under conditions on what it was made from; again, from the reading on,
         * where the store has changed in between.
         */
        static StoreClient.Outcome retryOnConflict(Supplier<StoreClient.Outcome> readAndChange) {
            StoreClient.Outcome outcome = readAndChange.get();
            for (int attempt = 1;
                    attempt < MAX_ATTEMPTS && outcome.reason().equals(PRECONDITION_FAILED);
                    attempt++) {
                outcome = readAndChange.get();
            }
            return outcome;
        }

        static StoreClient.Outcome refused(String reason, String text) {
            return new StoreClient.Outcome(
                    "refused", JsonMessages.newObject().put("reason", reason).put("text", text));
        }
    }

    int run(String[] args) {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("status", new Status());
        commands.put("members", new Members());
        commands.put("get", new Get());
        commands.put("list", new ListKeys());
        commands.put("put", new Put());
        commands.put("delete", new Delete());
        commands.put("watch", new Watch());
        MembershipCommands.all().forEach(commands::put);
        AdminCommands.all().forEach(commands::put);
        commands.put("audit", new AuditCommand());
        Main.Help help = new Main.Help();
        JCommander commandLine =
                JCommander.newBuilder()
                        .programName("embershift-hosted fleet")
                        .addObject(help)
                        .build();
        commands.forEach((name, command) -> commandLine.addCommand(name, List.of(command, help)));
        try {
            commandLine.parse(args);
            if (help.printIfRequested(commandLine)) {
                return 0;
            }
            if (commandLine.getParsedCommand() == null) {
                throw new ParameterException(
                        "wanted: one of " + String.join(", ", commands.keySet()));
            }
            return commands.get(commandLine.getParsedCommand()).run();
        } catch (ParameterException e) {
            System.err.println(e.getMessage().lines().findFirst().orElse(""));
            return Main.USAGE_ERROR;
        }
    }
}
