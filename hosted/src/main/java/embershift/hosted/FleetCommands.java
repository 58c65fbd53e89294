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

/**
 * The administrator's commands: each answers done (0), refused (1) or unknown (3) within a stated
 * time.
 */
final class FleetCommands {

    private static final int REFUSED = 1;
    private static final int UNKNOWN = 3;

    abstract static class Command {
        @Parameter(
                names = "--at",
                description = "Instances to ask, as HOST:PORT,HOST:PORT",
                required = true)
        String at;

        @Parameter(names = "--within", description = "Seconds within which an answer comes")
        double within = 5;

        @Parameter(names = "--json", description = "Answer as one line of JSON")
        boolean json;

        @Parameter(description = "WORDS")
        List<String> words = new ArrayList<>();

        List<InetSocketAddress> addresses() {
            List<InetSocketAddress> all = new ArrayList<>();
            for (String each : at.split(",")) {
                if (!TomlSettings.isValidAddress(each)) {
                    throw new ParameterException("--at takes HOST:PORT, not " + each);
                }
                all.add(TomlSettings.parseAddress(each));
            }
            return all;
        }

        void words(int many, String usage) {
            if (words.size() != many) {
                throw new ParameterException("wanted: " + usage);
            }
        }

        int run() {
            List<InetSocketAddress> addresses = addresses();
            ObjectNode call = call();
            try (RecordClient client = new RecordClient(addresses, "fleet")) {
                return told(client.ask(call, within));
            }
        }

        abstract ObjectNode call();

        int told(RecordClient.Outcome outcome) {
            if (json) {
                System.out.println(
                        outcome.answer() == null
                                ? JsonMessages.newObject().put("end", outcome.end())
                                : outcome.answer().put("end", outcome.end()));
            } else if (outcome.done()) {
                print(outcome.answer());
            } else {
                System.out.println(outcome.end() + ": " + outcome.reason() + " " + outcome.text());
            }
            return outcome.done() ? 0 : outcome.unknown() ? UNKNOWN : REFUSED;
        }

        void print(ObjectNode answer) {
            System.out.println("done");
        }
    }

    static void table(List<String> heads, List<List<String>> rows) {
        int[] widths = new int[heads.size()];
        List<List<String>> all = new ArrayList<>(rows);
        all.add(0, heads);
        for (List<String> row : all) {
            for (int i = 0; i < row.size(); i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        for (List<String> row : all) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.size(); i++) {
                line.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length() + 2));
            }
            System.out.println(line.toString().stripTrailing());
        }
    }

    @Parameters(commandDescription = "Each instance as it sees itself")
    private static final class Status extends Command {
        @Override
        ObjectNode call() {
            return RecordClient.call("status");
        }

        @Override
        int run() {
            List<List<String>> rows = new ArrayList<>();
            boolean all = true;
            for (InetSocketAddress address : addresses()) {
                ObjectNode answer = RecordClient.askOne(address, call(), Math.min(2, within));
                String where = address.getHostString() + ":" + address.getPort();
                all &= answer != null;
                if (json) {
                    System.out.println(
                            answer == null
                                    ? JsonMessages.newObject()
                                            .put("address", where)
                                            .put("end", "unknown")
                                    : answer);
                } else if (answer == null) {
                    rows.add(List.of(where, "no answer", "", "", "", "", ""));
                } else {
                    rows.add(
                            List.of(
                                    where,
                                    answer.path("name").asText(),
                                    answer.path("role").asText(),
                                    answer.path("term").asText(),
                                    answer.path("leader").asText(),
                                    answer.path("agreed").asText(),
                                    answer.path("doubt").asBoolean() ? "in doubt" : ""));
                }
            }
            if (!json) {
                table(List.of("ADDRESS", "NAME", "ROLE", "TERM", "LEADER", "AGREED", ""), rows);
            }
            return all ? 0 : UNKNOWN;
        }
    }

    @Parameters(commandDescription = "Who belongs to the group, as its leader has it")
    private static final class Members extends Command {
        @Override
        ObjectNode call() {
            return RecordClient.call("status");
        }

        @Override
        int run() {
            ObjectNode best = null;
            for (InetSocketAddress address : addresses()) {
                ObjectNode answer = RecordClient.askOne(address, call(), Math.min(2, within));
                if (answer != null && (best == null || rank(answer) > rank(best))) {
                    best = answer;
                }
            }
            return told(
                    best == null
                            ? new RecordClient.Outcome(
                                    "refused", JsonMessages.newObject().put("reason", "no-answer"))
                            : new RecordClient.Outcome("done", best));
        }

        private static long rank(ObjectNode answer) {
            return 2 * answer.path("term").asLong()
                    + (answer.path("role").asText().equals("leader") ? 1 : 0);
        }

        @Override
        void print(ObjectNode answer) {
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
            table(List.of("NAME", "ID", "ADDRESS", "ROLE", "HAS", "HEARD"), rows);
            System.out.println(
                    "as "
                            + answer.path("name").asText()
                            + " has it, "
                            + answer.path("role").asText()
                            + " in term "
                            + answer.path("term").asText());
        }
    }

    @Parameters(commandDescription = "KEY: what the record holds there")
    private static final class Get extends Command {
        @Override
        ObjectNode call() {
            words(1, "get KEY");
            return RecordClient.call("get").put("key", words.get(0));
        }

        @Override
        int told(RecordClient.Outcome outcome) {
            boolean none = outcome.done() && outcome.answer().path("items").isEmpty();
            int status = super.told(outcome);
            return none ? REFUSED : status;
        }

        @Override
        void print(ObjectNode answer) {
            JsonNode item = answer.path("items").path(0);
            System.out.println(
                    item.isMissingNode()
                            ? "nothing there, at revision " + answer.path("revision")
                            : item.path("value").asText());
        }
    }

    @Parameters(commandDescription = "PREFIX: all keys that begin so")
    private static final class Listing extends Command {
        @Override
        ObjectNode call() {
            return RecordClient.call("list").put("prefix", words.isEmpty() ? "" : words.get(0));
        }

        @Override
        void print(ObjectNode answer) {
            List<List<String>> rows = new ArrayList<>();
            for (JsonNode item : answer.path("items")) {
                rows.add(
                        List.of(
                                item.path("key").asText(),
                                item.path("revision").asText(),
                                item.path("value").asText()));
            }
            table(List.of("KEY", "REVISION", "VALUE"), rows);
        }
    }

    @Parameters(commandDescription = "KEY VALUE: writes a key")
    private static final class Put extends Command {
        @Parameter(
                names = "--if-revision",
                description = "Only where the key's revision is this one; 0: where there is none")
        long revision = -1;

        @Override
        ObjectNode call() {
            words(2, "put KEY VALUE");
            return RecordClient.put(words.get(0), words.get(1), revision);
        }

        @Override
        void print(ObjectNode answer) {
            System.out.println("done, revision " + answer.path("number").asText());
        }
    }

    @Parameters(commandDescription = "KEY: takes a key away")
    private static final class Delete extends Command {
        @Parameter(
                names = "--if-revision",
                description = "Only where the key's revision is this one")
        long revision = -1;

        @Override
        ObjectNode call() {
            words(1, "delete KEY");
            return RecordClient.put(words.get(0), null, revision);
        }
    }

    @Parameters(commandDescription = "PREFIX: waits for the next changes of keys that begin so")
    private static final class Watch extends Command {
        @Parameter(names = "--from", description = "From this revision on; without it, from now")
        long from = -1;

        @Override
        ObjectNode call() {
            return RecordClient.call("watch")
                    .put("prefix", words.isEmpty() ? "" : words.get(0))
                    .put("from", from);
        }

        @Override
        int run() {
            ObjectNode call = call();
            if (from < 0) {
                ObjectNode status =
                        RecordClient.askOne(
                                addresses().get(0), RecordClient.call("status"), within);
                if (status == null) {
                    return told(
                            new RecordClient.Outcome(
                                    "refused",
                                    JsonMessages.newObject().put("reason", "no-answer")));
                }
                call.put("from", status.path("revision").asLong() + 1);
            }
            ObjectNode answer = RecordClient.askOne(addresses().get(0), call, within);
            return told(
                    new RecordClient.Outcome(
                            answer == null ? "refused" : answer.path("end").asText(),
                            answer == null
                                    ? JsonMessages.newObject().put("reason", "nothing-changed")
                                    : answer));
        }

        @Override
        void print(ObjectNode answer) {
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
            table(List.of("REVISION", "KEY", "VALUE"), rows);
            System.out.println("next: --from " + answer.path("next").asText());
        }
    }

    @Parameters(
            commandDescription =
                    "Begins a group with the one instance asked, whose folder is empty")
    private static final class Found extends Command {
        @Override
        ObjectNode call() {
            return RecordClient.call("found");
        }
    }

    @Parameters(
            commandDescription =
                    "ADDRESS: takes the instance there into the group, once it has caught up")
    private static final class Add extends Command {
        @Parameter(names = "--learner", description = "It only follows, and does not vote")
        boolean learner;

        @Override
        ObjectNode call() {
            words(1, "add ADDRESS");
            return RecordClient.call("add").put("address", words.get(0)).put("learner", learner);
        }
    }

    @Parameters(commandDescription = "NAME: takes an instance out of the group")
    private static final class Remove extends Command {
        @Override
        ObjectNode call() {
            words(1, "remove NAME");
            return RecordClient.call("remove").put("name", words.get(0));
        }
    }

    @Parameters(commandDescription = "NAME: has this instance lead")
    private static final class Transfer extends Command {
        @Override
        ObjectNode call() {
            words(1, "transfer NAME");
            return RecordClient.call("transfer").put("name", words.get(0));
        }
    }

    /** A command that asks more than once; each ends as one call does. */
    abstract static class Steps extends Command {

        @Override
        final ObjectNode call() {
            throw new IllegalStateException("it asks by itself");
        }

        @Override
        final int run() {
            try (RecordClient client = new RecordClient(addresses(), "fleet")) {
                return told(run(client));
            }
        }

        /** The outcome of the call that was refused or unknown, or of the last one. */
        abstract RecordClient.Outcome run(RecordClient client);

        final RecordClient.Outcome get(RecordClient client, String key) {
            return client.ask(RecordClient.call("get").put("key", key), within);
        }

        final RecordClient.Outcome list(RecordClient client, String prefix) {
            return client.ask(RecordClient.call("list").put("prefix", prefix), within);
        }

        static RecordClient.Outcome refused(String reason, String text) {
            return new RecordClient.Outcome(
                    "refused", JsonMessages.newObject().put("reason", reason).put("text", text));
        }
    }

    int run(String[] args) {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("status", new Status());
        commands.put("members", new Members());
        commands.put("get", new Get());
        commands.put("list", new Listing());
        commands.put("put", new Put());
        commands.put("delete", new Delete());
        commands.put("watch", new Watch());
        commands.put("found", new Found());
        commands.put("add", new Add());
        commands.put("remove", new Remove());
        commands.put("transfer", new Transfer());
        OrderCommands.all().forEach(commands::put);
        commands.put("audit", new AuditCommand());
        Main.Help help = new Main.Help();
        JCommander line =
                JCommander.newBuilder()
                        .programName("embershift-hosted fleet")
                        .addObject(help)
                        .build();
        commands.forEach((name, command) -> line.addCommand(name, List.of(command, help)));
        try {
            line.parse(args);
            if (help.given(line)) {
                return 0;
            }
            if (line.getParsedCommand() == null) {
                throw new ParameterException(
                        "wanted: one of " + String.join(", ", commands.keySet()));
            }
            return commands.get(line.getParsedCommand()).run();
        } catch (ParameterException e) {
            System.err.println(e.getMessage().lines().findFirst().orElse(""));
            return Main.USAGE;
        }
    }
}
