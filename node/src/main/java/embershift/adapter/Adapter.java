package embershift.adapter;

import embershift.model.Deployment;
import embershift.model.GroupId;
import embershift.model.HostId;
import embershift.model.NodeEvents;
import embershift.model.ParticipantId;
import embershift.model.ProfileId;
import embershift.model.RosterEntry;
import embershift.model.SetupOutcome;
import embershift.model.SubjectId;
import embershift.model.TunnelId;
import embershift.model.ZoneId;
import embershift.policy.HostCapacityEstimate;
import embershift.policy.Policy;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Implements the bench's line protocol: each input line becomes a call of its instance's policy
 * module, each decision becomes an output line.
 */
public final class Adapter {

    private static final int MAX_LISTS = 16;
    private static final double MICROSECOND = 1e-6;
    private static final double MILLISECOND = 1e-3;

    private final BufferedReader in;
    private final OutputStream out;
    private final PrintStream errors;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final List<List<RosterEntry>> lists =
            new ArrayList<>(java.util.Collections.nCopies(MAX_LISTS, null));

    /** Instances with events in the current batch, in the order of their first event. */
    private final Map<Integer, Instance> activeInstances = new LinkedHashMap<>();

    private long lineNumber;

    /** Creates an adapter that reads batches from {@code in} and answers them on {@code out}. */
    public Adapter(InputStream in, OutputStream out, PrintStream errors) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
        this.errors = errors;
    }

    /** Processes batches until the input ends. */
    public void run() throws IOException {
        StringBuilder reply = new StringBuilder();
        for (LineFields line = nextLine(); line != null; line = nextLine()) {
            String message = line.text("message");
            if (!message.equals("BEGIN_BATCH")) {
                throw line.malformed("message", "BEGIN_BATCH");
            }
            double now = line.number("t-s");
            long batch = line.longInteger("batch");
            readBatch();
            reply.setLength(0);
            for (Map.Entry<Integer, Instance> entry : activeInstances.entrySet()) {
                decide(now, entry.getKey(), entry.getValue(), reply);
            }
            activeInstances.clear();
            reply.append("DONE ").append(batch).append('\n');
            out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
    }

    private void decide(double now, int number, Instance instance, StringBuilder reply) {
        DecisionWriter decisions = new DecisionWriter(number, reply);
        List<Consumer<NodeEvents>> pendingEvents = instance.events;
        try {
            instance.policy.round(
                    now,
                    events -> {
                        for (Consumer<NodeEvents> event : pendingEvents) {
                            event.accept(events);
                        }
                    },
                    decisions);
        } catch (RuntimeException | StackOverflowError | AssertionError e) {
            e.printStackTrace(errors);
            decisions.exception(e);
        }
        pendingEvents.clear();
    }

    /** Returns the next line that is not empty, or null at the end of the input. */
    private LineFields nextLine() throws IOException {
        String line;
        do {
            line = in.readLine();
            lineNumber++;
        } while (line != null && line.isEmpty());
        return line == null ? null : new LineFields(lineNumber, line);
    }

    private void readBatch() throws IOException {
        while (true) {
            LineFields line = nextLine();
            if (line == null) {
                throw new MalformedLineException(
                        lineNumber, "", "message", "COMMIT before the input ends");
            }
            String message = line.text("message");
            if (message.equals("COMMIT")) {
                return;
            }
            if (message.equals("REGISTER")) {
                register(line);
            } else {
                handleEvent(message, line);
            }
        }
    }

    private void register(LineFields line) throws IOException {
        int table = line.integer("table");
        int count = line.integer("hosts");
        if (table < 0 || table >= MAX_LISTS || count < 0) {
            throw line.malformed(
                    "table", "a list number from 0 to " + (MAX_LISTS - 1) + " and a count");
        }
        List<RosterEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            LineFields item = nextLine();
            if (item == null || !item.text("message").equals("ITEM")) {
                throw (item == null ? line : item)
                        .malformed("hosts", "as many ITEM lines as announced");
            }
            RosterEntry.State state =
                    switch (item.text("health")) {
                        case "Ready" -> RosterEntry.State.READY;
                        case "Terminating" -> RosterEntry.State.DRAINING;
                        case "Gone" -> RosterEntry.State.GONE;
                        default -> throw item.malformed("health", "Ready, Terminating or Gone");
                    };
            HostId host = new HostId(item.text("host"));
            item.optional("class-of-host");
            String zone = item.optional("az");
            entries.add(
                    new RosterEntry(
                            host,
                            state,
                            zone == null ? null : new ZoneId(zone),
                            item.numberOr("units", 1),
                            (int) item.numberOr("unit-group", 0),
                            item.numberOr("launched-s", 0)));
        }
        lists.set(table, List.copyOf(entries));
    }

    private void handleEvent(String message, LineFields line) {
        int number = line.integer("who");
        if (message.equals("SPAWN")) {
            long seed = line.longInteger("rng-seed");
            SpawnSettings settings = new SpawnSettings(line);
            Deployment deployment = settings.deployment(seed);
            instances.put(
                    number,
                    new Instance(
                            new Policy(deployment, new HostCapacityEstimate(deployment)),
                            settings.reportColumns()));
            activeInstances.remove(number);
            activeInstances.put(number, instances.get(number));
            return;
        }
        if (message.equals("TEARDOWN")) {
            instances.remove(number);
            activeInstances.remove(number);
            return;
        }
        Instance instance = instances.get(number);
        Consumer<NodeEvents> event = parseEvent(message, line, instance);
        if (instance != null) {
            activeInstances.put(number, instance);
            if (event != null) {
                instance.events.add(event);
            }
        }
    }

    /** Returns the line's event as a call of the module; null if the line only triggers a round. */
    private Consumer<NodeEvents> parseEvent(String message, LineFields line, Instance instance) {
        return switch (message) {
            case "SYNC" -> parseSync(line);
            case "ACCEPT", "RESUMED" -> parseTunnel(message, line);
            case "ACK_FIRST" -> {
                TunnelId id = new TunnelId(line.text("handle"));
                int setup = line.integer("trial");
                HostId host = new HostId(line.text("host"));
                double duration = line.numberOr("cost-time-s", 0);
                yield events -> events.tunnelOpened(id, setup, host, duration);
            }
            case "HINT_UPDATE" -> parseHint(line);
            case "REPORT_BACK" -> parseSetupEnd(line, instance);
            case "GONE" -> {
                TunnelId id = new TunnelId(line.text("handle"));
                yield events -> events.tunnelAbandoned(id);
            }
            case "PROBE_RESULT" -> parseProbeEnd(line, instance);
            case "PEER_DATA" -> {
                int node = line.integer("src");
                byte[] content = line.bytes("content");
                yield events -> events.nodeMessageReceived(node, content);
            }
            case "WAKEUP" -> {
                line.longInteger("ctx");
                yield null;
            }
            default -> throw line.malformed("message", "a known event");
        };
    }

    private static Consumer<NodeEvents> parseHint(LineFields line) {
        TunnelId id = new TunnelId(line.text("handle"));
        line.integer("trial");
        double value = line.number("value");
        HostId host = new HostId(line.text("host"));
        return switch (line.integer("sort")) {
            case 1 -> events -> events.tunnelLoadMeasured(id, value * MICROSECOND);
            case 2 -> events -> events.messageDelayMeasured(host, value * MILLISECOND);
            default -> null;
        };
    }

    private Consumer<NodeEvents> parseProbeEnd(LineFields line, Instance instance) {
        HostId host = new HostId(line.text("host"));
        boolean answered = line.integer("verdict") == 0;
        double duration = line.numberOr("cost-time-s", 0);
        Consumer<NodeEvents> report = parseReport(host, line, instance);
        return events -> {
            events.probeEnded(host, answered, duration);
            report.accept(events);
        };
    }

    private Consumer<NodeEvents> parseSync(LineFields line) {
        // A failed call has no list, so its list number has no meaning and may be absent.
        double table = line.numberOr("table", -1);
        String mode = line.text("mode");
        if (mode.equals("lost")) {
            return NodeEvents::rosterWatchLost;
        }
        List<RosterEntry> entries = table < 0 || table >= MAX_LISTS ? null : lists.get((int) table);
        if (entries == null) {
            throw line.malformed("table", "the number of a list that was registered before");
        }
        return switch (mode) {
            case "incr" -> events -> events.rosterChanged(entries);
            case "total" -> events -> events.rosterReplaced(entries, false);
            case "warm_copy" -> events -> events.rosterReplaced(entries, true);
            default -> throw line.malformed("mode", "incr, total, warm_copy or lost");
        };
    }

    private Consumer<NodeEvents> parseTunnel(String message, LineFields line) {
        TunnelId id = new TunnelId(line.text("handle"));
        ProfileId profile = new ProfileId(line.text("category"));
        String team = line.optional("team");
        ParticipantId participant = team == null ? null : new ParticipantId(team);
        String object = line.optional("object");
        SubjectId subject = object == null ? null : new SubjectId(object);
        double timeLeft = line.numberOr("left-s", 0);
        line.numberOr("expected-s", 0);
        String groupName = line.optional("group");
        GroupId group = groupName == null ? null : new GroupId(groupName);
        line.flag("is-retry");
        boolean midFlow = line.flag("mid-flow");
        line.flag("came-back");
        if (message.equals("RESUMED")) {
            HostId host = new HostId(line.text("host"));
            return events -> events.tunnelResumed(id, profile, participant, subject, group, host);
        }
        return events ->
                events.tunnelArrived(id, profile, participant, subject, group, timeLeft, midFlow);
    }

    private Consumer<NodeEvents> parseSetupEnd(LineFields line, Instance instance) {
        TunnelId id = new TunnelId(line.text("handle"));
        int setup = line.integer("trial");
        HostId host = new HostId(line.text("host"));
        SetupOutcome outcome =
                switch (line.integer("verdict")) {
                    case 0 -> SetupOutcome.COMPLETED;
                    case 13 -> SetupOutcome.ERROR;
                    case 8 -> SetupOutcome.FULL;
                    case 4 -> SetupOutcome.TIMED_OUT;
                    case 14 -> SetupOutcome.NO_CONNECTION;
                    case 10 -> SetupOutcome.BROKEN;
                    case 1 -> SetupOutcome.CANCELLED;
                    case 9 -> SetupOutcome.NOT_SENT;
                    default -> throw line.malformed("verdict", "one of 0, 1, 4, 8, 9, 10, 13, 14");
                };
        double duration = line.numberOr("cost-time-s", 0);
        boolean last = line.flag("no-more");
        Consumer<NodeEvents> report = parseReport(host, line, instance);
        return events -> {
            report.accept(events);
            events.setupEnded(id, setup, host, outcome, duration, last);
        };
    }

    private Consumer<NodeEvents> parseReport(HostId host, LineFields line, Instance instance) {
        double[] row = line.atEnd() ? new double[0] : line.numberRow("metrics");
        if (row.length == 0 || instance == null) {
            return events -> {};
        }
        double loadOverCapacity = instance.value(row, "x0");
        double openTunnels = instance.value(row, "rif");
        double queued = instance.value(row, "q");
        return events -> events.hostReported(host, loadOverCapacity, openTunnels, queued);
    }

    /** A policy, isolated from all others, with its events of the current batch. */
    private static final class Instance {
        final Policy policy;
        final String[] columns;
        final List<Consumer<NodeEvents>> events = new ArrayList<>();

        Instance(Policy policy, List<String> columns) {
            this.policy = policy;
            this.columns = columns.toArray(new String[0]);
        }

        double value(double[] row, String column) {
            int index = Arrays.asList(columns).indexOf(column);
            return index < 0 || index >= row.length ? Double.NaN : row[index];
        }
    }
}
