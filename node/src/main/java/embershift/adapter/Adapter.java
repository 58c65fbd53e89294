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
 * Speaks the bench's wire: each line in becomes a call on its instance's module, each decision a
 * line out.
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

    /** The instances with news in the present batch, in the order of their first. */
    private final Map<Integer, Instance> activeInstances = new LinkedHashMap<>();

    private long lineNumber;

    public Adapter(InputStream in, OutputStream out, PrintStream trouble) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
        this.errors = trouble;
    }

    /** Plays batches until the input ends. */
    public void run() throws IOException {
        StringBuilder reply = new StringBuilder();
        for (LineFields line = nextLine(); line != null; line = nextLine()) {
            String word = line.text("message");
            if (!word.equals("BEGIN_BATCH")) {
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
        DecisionWriter replies = new DecisionWriter(number, reply);
        List<Consumer<NodeEvents>> arrivals = instance.events;
        try {
            instance.module.round(
                    now,
                    news -> {
                        for (Consumer<NodeEvents> arrival : arrivals) {
                            arrival.accept(news);
                        }
                    },
                    replies);
        } catch (RuntimeException | StackOverflowError | AssertionError e) {
            e.printStackTrace(errors);
            replies.exception(e);
        }
        arrivals.clear();
    }

    /** The next line that is not empty, or null at the end. */
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
            String word = line.text("message");
            if (word.equals("COMMIT")) {
                return;
            }
            if (word.equals("REGISTER")) {
                register(line);
            } else {
                handleEvent(word, line);
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
        List<RosterEntry> listings = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            LineFields item = nextLine();
            if (item == null || !item.text("message").equals("ITEM")) {
                throw (item == null ? line : item)
                        .malformed("hosts", "as many ITEM lines as were told");
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
            listings.add(
                    new RosterEntry(
                            host,
                            state,
                            zone == null ? null : new ZoneId(zone),
                            item.numberOr("units", 1),
                            (int) item.numberOr("unit-group", 0),
                            item.numberOr("launched-s", 0)));
        }
        lists.set(table, List.copyOf(listings));
    }

    private void handleEvent(String word, LineFields line) {
        int who = line.integer("who");
        if (word.equals("SPAWN")) {
            long seed = line.longInteger("rng-seed");
            SpawnSettings first = new SpawnSettings(line);
            Deployment deployment = first.deployment(seed);
            instances.put(
                    who,
                    new Instance(
                            new Policy(deployment, new HostCapacityEstimate(deployment)),
                            first.reportColumns()));
            activeInstances.remove(who);
            activeInstances.put(who, instances.get(who));
            return;
        }
        if (word.equals("TEARDOWN")) {
            instances.remove(who);
            activeInstances.remove(who);
            return;
        }
        Instance instance = instances.get(who);
        Consumer<NodeEvents> arrival = parseEvent(word, line, instance);
        if (instance != null) {
            activeInstances.put(who, instance);
            if (arrival != null) {
                instance.events.add(arrival);
            }
        }
    }

    /** What the line says, as a call on the module; null where it only stirs the instance. */
    private Consumer<NodeEvents> parseEvent(String word, LineFields line, Instance instance) {
        return switch (word) {
            case "SYNC" -> parseSync(line);
            case "ACCEPT", "RESUMED" -> parseTunnel(word, line);
            case "ACK_FIRST" -> {
                TunnelId id = new TunnelId(line.text("handle"));
                int setup = line.integer("trial");
                HostId host = new HostId(line.text("host"));
                double took = line.numberOr("cost-time-s", 0);
                yield news -> news.tunnelOpened(id, setup, host, took);
            }
            case "HINT_UPDATE" -> parseHint(line);
            case "REPORT_BACK" -> parseSetupEnd(line, instance);
            case "GONE" -> {
                TunnelId id = new TunnelId(line.text("handle"));
                yield news -> news.tunnelAbandoned(id);
            }
            case "PROBE_RESULT" -> parseProbeEnd(line, instance);
            case "PEER_DATA" -> {
                int node = line.integer("src");
                byte[] content = line.bytes("content");
                yield news -> news.nodeMessageReceived(node, content);
            }
            case "WAKEUP" -> {
                line.longInteger("ctx");
                yield null;
            }
            default -> throw line.malformed("message", "an event of the wire");
        };
    }

    private static Consumer<NodeEvents> parseHint(LineFields line) {
        TunnelId id = new TunnelId(line.text("handle"));
        line.integer("trial");
        double value = line.number("value");
        HostId host = new HostId(line.text("host"));
        return switch (line.integer("sort")) {
            case 1 -> news -> news.tunnelLoadMeasured(id, value * MICROSECOND);
            case 2 -> news -> news.messageDelayMeasured(host, value * MILLISECOND);
            default -> null;
        };
    }

    private Consumer<NodeEvents> parseProbeEnd(LineFields line, Instance instance) {
        HostId host = new HostId(line.text("host"));
        boolean answered = line.integer("verdict") == 0;
        double took = line.numberOr("cost-time-s", 0);
        Consumer<NodeEvents> report = parseReport(host, line, instance);
        return news -> {
            news.probeEnded(host, answered, took);
            report.accept(news);
        };
    }

    private Consumer<NodeEvents> parseSync(LineFields line) {
        // A failed call has no list: its number is meaningless and may be absent.
        double table = line.numberOr("table", -1);
        String mode = line.text("mode");
        if (mode.equals("lost")) {
            return NodeEvents::rosterWatchLost;
        }
        List<RosterEntry> listings =
                table < 0 || table >= MAX_LISTS ? null : lists.get((int) table);
        if (listings == null) {
            throw line.malformed("table", "the number of a list given before");
        }
        return switch (mode) {
            case "incr" -> news -> news.rosterChanged(listings);
            case "total" -> news -> news.rosterReplaced(listings, false);
            case "warm_copy" -> news -> news.rosterReplaced(listings, true);
            default -> throw line.malformed("mode", "incr, total, warm_copy or lost");
        };
    }

    private Consumer<NodeEvents> parseTunnel(String word, LineFields line) {
        TunnelId id = new TunnelId(line.text("handle"));
        ProfileId profile = new ProfileId(line.text("category"));
        String team = line.optional("team");
        ParticipantId participant = team == null ? null : new ParticipantId(team);
        String object = line.optional("object");
        SubjectId subject = object == null ? null : new SubjectId(object);
        double left = line.numberOr("left-s", 0);
        line.numberOr("expected-s", 0);
        String held = line.optional("group");
        GroupId group = held == null ? null : new GroupId(held);
        line.flag("is-retry");
        boolean midFlow = line.flag("mid-flow");
        line.flag("came-back");
        if (word.equals("RESUMED")) {
            HostId host = new HostId(line.text("host"));
            return news -> news.tunnelResumed(id, profile, participant, subject, group, host);
        }
        return news -> news.tunnelArrived(id, profile, participant, subject, group, left, midFlow);
    }

    private Consumer<NodeEvents> parseSetupEnd(LineFields line, Instance instance) {
        TunnelId id = new TunnelId(line.text("handle"));
        int setup = line.integer("trial");
        HostId host = new HostId(line.text("host"));
        SetupOutcome end =
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
        double took = line.numberOr("cost-time-s", 0);
        boolean over = line.flag("no-more");
        Consumer<NodeEvents> report = parseReport(host, line, instance);
        return news -> {
            report.accept(news);
            news.setupEnded(id, setup, host, end, took, over);
        };
    }

    private Consumer<NodeEvents> parseReport(HostId host, LineFields line, Instance instance) {
        double[] row = line.atEnd() ? new double[0] : line.numberRow("metrics");
        if (row.length == 0 || instance == null) {
            return news -> {};
        }
        double over = instance.value(row, "x0");
        double open = instance.value(row, "rif");
        double queued = instance.value(row, "q");
        return news -> news.hostReported(host, over, open, queued);
    }

    /** One isolated module with its news of the present batch. */
    private static final class Instance {
        final Policy module;
        final String[] columns;
        final List<Consumer<NodeEvents>> events = new ArrayList<>();

        Instance(Policy module, List<String> columns) {
            this.module = module;
            this.columns = columns.toArray(new String[0]);
        }

        double value(double[] row, String column) {
            int i = Arrays.asList(columns).indexOf(column);
            return i < 0 || i >= row.length ? Double.NaN : row[i];
        }
    }
}
