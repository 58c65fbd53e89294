package embershift.hosted;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.JsonMessages;
import embershift.fleet.audit.AuditCheckpoint;
import embershift.fleet.audit.AuditEntry;
import embershift.fleet.audit.AuditReport;
import embershift.fleet.audit.RevisionPeriod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Answers from the stored audit logs which node acted on which configuration revision. */
@Parameters(
        commandDescription =
                "Print which node acted on which revision: --node N --at-time TIME, --revision R, --between A,B, --host H, --verify")
final class AuditCommand extends FleetCommands.MultiCallCommand {

    @Parameter(names = "--node", description = "Only this node")
    String node = "";

    @Parameter(
            names = "--at-time",
            description =
                    "Print the revision of each node at a time: 2026-12-01T10:00:00Z or milliseconds since 1970")
    String atTime = "";

    @Parameter(
            names = "--revision",
            description = "Print which nodes acted on this revision, may have, or never did")
    long revision = -1;

    @Parameter(names = "--between", description = "Print the entries between two times, as FROM,TO")
    String timeRange = "";

    @Parameter(
            names = "--host",
            description =
                    "Print which nodes were told that this host is out, and which sent to it after that")
    String host = "";

    @Parameter(
            names = "--verify",
            description = "Check that the audit logs are complete: chains, gaps, duplicates")
    boolean isVerify;

    @Parameter(
            names = "--picture",
            description =
                    "File for a chart (SVG): time across, nodes down, one colour per revision")
    String chartFile = "";

    private List<String> header = List.of();

    static long parseMillis(String text) {
        try {
            return text.matches("\\d{1,15}")
                    ? Long.parseLong(text)
                    : Instant.parse(text).toEpochMilli();
        } catch (DateTimeParseException e) {
            throw new ParameterException(
                    text + " is no time: 2026-12-01T10:00:00Z or milliseconds since 1970");
        }
    }

    static String formatTime(long millis) {
        return Instant.ofEpochMilli(millis).toString();
    }

    @Override
    StoreClient.Outcome execute(StoreClient client) {
        String[] times = timeRange.split(",");
        if (!timeRange.isEmpty() && times.length != 2) {
            throw new ParameterException("--between takes FROM,TO");
        }
        long at = atTime.isEmpty() ? System.currentTimeMillis() : parseMillis(atTime);
        StoreClient.Outcome nodes = listKeys(client, NodeConnections.NODE_PREFIX);
        StoreClient.Outcome checkpoints =
                nodes.isDone() ? listKeys(client, AuditCheckpoint.KEY_PREFIX) : nodes;
        if (!checkpoints.isDone()) {
            return checkpoints;
        }
        Map<String, Long> registered = new TreeMap<>();
        nodes.answer()
                .path("items")
                .forEach(
                        item ->
                                registered.put(
                                        item.path("key")
                                                .asText()
                                                .substring(NodeConnections.NODE_PREFIX.length()),
                                        item.path("revision").asLong()));
        Map<String, String> checkpointTexts = new TreeMap<>();
        checkpoints
                .answer()
                .path("items")
                .forEach(
                        item ->
                                checkpointTexts.put(
                                        item.path("key").asText(), item.path("value").asText()));
        List<String> segments = new ArrayList<>();
        for (String each : node.isEmpty() ? registered.keySet() : List.of(node)) {
            // One node at a time: the logs of all nodes would not fit into one answer.
            StoreClient.Outcome trail = listKeys(client, "trail/" + each + "/");
            if (!trail.isDone()) {
                return trail;
            }
            trail.answer().path("items").forEach(item -> segments.add(item.path("value").asText()));
        }
        AuditReport audit = new AuditReport(segments, registered, checkpointTexts);
        ObjectNode answer = JsonMessages.newObject();
        ArrayNode rows = answer.putArray("rows");
        if (isVerify) {
            header = List.of("PROBLEM");
            audit.problems().forEach(problem -> rows.addArray().add(problem));
        } else if (revision >= 0) {
            header =
                    List.of(
                            "NODE",
                            "INCARNATION",
                            "FROM",
                            "TO",
                            "OPENED",
                            "DECLINED",
                            "FAILED",
                            "");
            addUsers(audit, rows);
        } else if (!timeRange.isEmpty()) {
            header = List.of("TIME", "NODE", "WHAT");
            addEntries(audit.entriesBetween(parseMillis(times[0]), parseMillis(times[1])), rows);
        } else if (!host.isEmpty()) {
            header = List.of("TIME", "NODE", "WHAT");
            addEntries(audit.entriesAbout(host), rows);
        } else {
            header = List.of("NODE", "REVISION", "HOW THAT IS KNOWN");
            for (String each : node.isEmpty() ? audit.nodes() : List.of(node)) {
                AuditReport.RevisionInForce inForce = audit.revisionAt(each, at);
                rows.addArray()
                        .add(each)
                        .add(inForce.revision().map(String::valueOf).orElse("?"))
                        .add(inForce.evidence());
            }
        }
        if (!chartFile.isEmpty()) {
            try {
                Files.writeString(
                        Path.of(chartFile), AuditChart.render(audit), StandardCharsets.UTF_8);
            } catch (IOException e) {
                return refused("picture", chartFile + " can't be written: " + e.getMessage());
            }
        }
        return new StoreClient.Outcome("done", answer);
    }

    private void addUsers(AuditReport audit, ArrayNode rows) {
        AuditReport.RevisionUsers users = audit.usersOf(revision);
        for (RevisionPeriod period : users.used()) {
            rows.addArray()
                    .add(period.node())
                    .add(String.valueOf(period.incarnation()))
                    .add(formatTime(period.from().millis()))
                    .add(
                            (period.to().isPresent() ? "" : "at least ")
                                    + formatTime(period.end().millis()))
                    .add(String.valueOf(period.opened()))
                    .add(String.valueOf(period.declined()))
                    .add(String.valueOf(period.failed()))
                    .add(period.isComplete() ? "" : "entries are missing");
        }
        users.mayHaveUsed()
                .forEach(
                        (name, why) ->
                                rows.addArray()
                                        .add(name)
                                        .add("")
                                        .add("")
                                        .add("")
                                        .add("")
                                        .add("")
                                        .add("")
                                        .add("may have: " + why));
        users.neverUsed()
                .forEach(
                        name ->
                                rows.addArray()
                                        .add(name)
                                        .add("")
                                        .add("")
                                        .add("")
                                        .add("")
                                        .add("")
                                        .add("")
                                        .add("never"));
    }

    private static void addEntries(List<AuditReport.NodeEntry> entries, ArrayNode rows) {
        for (AuditReport.NodeEntry each : entries) {
            AuditEntry entry = each.entry();
            String kind = entry.kind().name();
            rows.addArray()
                    .add(formatTime(entry.at().millis()))
                    .add(each.node())
                    .add(kind + entry.encode().split(kind, 2)[1]);
        }
    }

    @Override
    int printOutcome(StoreClient.Outcome outcome) {
        int exitStatus = super.printOutcome(outcome);
        // Problems that the verification found are a failure of the command.
        return exitStatus == 0 && isVerify && !outcome.answer().path("rows").isEmpty()
                ? 1
                : exitStatus;
    }

    @Override
    void printAnswer(ObjectNode answer) {
        List<List<String>> rows = new ArrayList<>();
        for (JsonNode row : answer.path("rows")) {
            List<String> cells = new ArrayList<>();
            row.forEach(cell -> cells.add(cell.asText()));
            rows.add(cells);
        }
        if (isVerify && rows.isEmpty()) {
            System.out.println("all trails are whole");
        } else {
            FleetCommands.printTable(header, rows);
        }
    }
}
