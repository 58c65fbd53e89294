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

/** Which node acted on which version, asked of the trails that the record holds. */
@Parameters(
        commandDescription =
                "Which node acted on which version: --node N --at TIME, --revision R, --between A,B, --host H, --verify")
final class AuditCommand extends FleetCommands.Steps {

    @Parameter(names = "--node", description = "Of this node only")
    String node = "";

    @Parameter(
            names = "--at-time",
            description =
                    "What each node acted on then: 2026-12-01T10:00:00Z or milliseconds since 1970")
    String atTime = "";

    @Parameter(
            names = "--revision",
            description = "Who acted on this revision, who may have, who never did")
    long revision = -1;

    @Parameter(names = "--between", description = "Entries between two times, as FROM,TO")
    String between = "";

    @Parameter(
            names = "--host",
            description =
                    "Who was told that this host is out, and who sent it something after that")
    String host = "";

    @Parameter(
            names = "--verify",
            description = "Whether the trails are whole: chains, gaps, what is told twice")
    boolean verify;

    @Parameter(
            names = "--picture",
            description =
                    "File for a picture (SVG): time across, nodes down, one colour a revision")
    String picture = "";

    private List<String> heads = List.of();

    static long millis(String text) {
        try {
            return text.matches("\\d{1,15}")
                    ? Long.parseLong(text)
                    : Instant.parse(text).toEpochMilli();
        } catch (DateTimeParseException e) {
            throw new ParameterException(
                    text + " is no time: 2026-12-01T10:00:00Z or milliseconds since 1970");
        }
    }

    static String time(long millis) {
        return Instant.ofEpochMilli(millis).toString();
    }

    @Override
    RecordClient.Outcome run(RecordClient client) {
        String[] times = between.split(",");
        if (!between.isEmpty() && times.length != 2) {
            throw new ParameterException("--between takes FROM,TO");
        }
        long at = atTime.isEmpty() ? System.currentTimeMillis() : millis(atTime);
        RecordClient.Outcome nodes = list(client, Nodes.NODE);
        RecordClient.Outcome folded =
                nodes.done() ? list(client, AuditCheckpoint.KEY_PREFIX) : nodes;
        if (!folded.done()) {
            return folded;
        }
        Map<String, Long> registered = new TreeMap<>();
        nodes.answer()
                .path("items")
                .forEach(
                        item ->
                                registered.put(
                                        item.path("key").asText().substring(Nodes.NODE.length()),
                                        item.path("revision").asLong()));
        Map<String, String> begins = new TreeMap<>();
        folded.answer()
                .path("items")
                .forEach(
                        item -> begins.put(item.path("key").asText(), item.path("value").asText()));
        List<String> texts = new ArrayList<>();
        for (String each : node.isEmpty() ? registered.keySet() : List.of(node)) {
            // One node's at a time: all of them would not go into one answer.
            RecordClient.Outcome trail = list(client, "trail/" + each + "/");
            if (!trail.done()) {
                return trail;
            }
            trail.answer().path("items").forEach(item -> texts.add(item.path("value").asText()));
        }
        AuditReport audit = new AuditReport(texts, registered, begins);
        ObjectNode answer = JsonMessages.newObject();
        ArrayNode rows = answer.putArray("rows");
        if (verify) {
            heads = List.of("PROBLEM");
            audit.problems().forEach(problem -> rows.addArray().add(problem));
        } else if (revision >= 0) {
            heads =
                    List.of(
                            "NODE",
                            "INCARNATION",
                            "FROM",
                            "TO",
                            "OPENED",
                            "DECLINED",
                            "FAILED",
                            "");
            who(audit, rows);
        } else if (!between.isEmpty()) {
            heads = List.of("TIME", "NODE", "WHAT");
            entries(audit.entriesBetween(millis(times[0]), millis(times[1])), rows);
        } else if (!host.isEmpty()) {
            heads = List.of("TIME", "NODE", "WHAT");
            entries(audit.entriesAbout(host), rows);
        } else {
            heads = List.of("NODE", "REVISION", "HOW THAT IS KNOWN");
            for (String each : node.isEmpty() ? audit.nodes() : List.of(node)) {
                AuditReport.RevisionInForce then = audit.revisionAt(each, at);
                rows.addArray()
                        .add(each)
                        .add(then.revision().map(String::valueOf).orElse("?"))
                        .add(then.evidence());
            }
        }
        if (!picture.isEmpty()) {
            try {
                Files.writeString(Path.of(picture), AuditPicture.of(audit), StandardCharsets.UTF_8);
            } catch (IOException e) {
                return refused("picture", picture + " can't be written: " + e.getMessage());
            }
        }
        return new RecordClient.Outcome("done", answer);
    }

    private void who(AuditReport audit, ArrayNode rows) {
        AuditReport.RevisionUsers who = audit.usersOf(revision);
        for (RevisionPeriod spell : who.used()) {
            rows.addArray()
                    .add(spell.node())
                    .add(String.valueOf(spell.incarnation()))
                    .add(time(spell.from().millis()))
                    .add((spell.to().isPresent() ? "" : "at least ") + time(spell.end().millis()))
                    .add(String.valueOf(spell.opened()))
                    .add(String.valueOf(spell.declined()))
                    .add(String.valueOf(spell.failed()))
                    .add(spell.isComplete() ? "" : "entries are missing");
        }
        who.mayHaveUsed()
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
        who.neverUsed()
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

    private static void entries(List<AuditReport.NodeEntry> entries, ArrayNode rows) {
        for (AuditReport.NodeEntry each : entries) {
            AuditEntry entry = each.entry();
            String kind = entry.kind().name();
            rows.addArray()
                    .add(time(entry.at().millis()))
                    .add(each.node())
                    .add(kind + entry.encode().split(kind, 2)[1]);
        }
    }

    @Override
    int told(RecordClient.Outcome outcome) {
        int status = super.told(outcome);
        // What does not fit is no good end.
        return status == 0 && verify && !outcome.answer().path("rows").isEmpty() ? 1 : status;
    }

    @Override
    void print(ObjectNode answer) {
        List<List<String>> rows = new ArrayList<>();
        for (JsonNode row : answer.path("rows")) {
            List<String> cells = new ArrayList<>();
            row.forEach(cell -> cells.add(cell.asText()));
            rows.add(cells);
        }
        if (verify && rows.isEmpty()) {
            System.out.println("all trails are whole");
        } else {
            FleetCommands.table(heads, rows);
        }
    }
}
