package embershift.rig.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.hosted.StoreClient;
import embershift.rig.history.History;
import embershift.rig.history.Linearizable;
import embershift.rig.history.Operation;
import embershift.storage.FaultInjectingDisk;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Plays a schedule with real processes, and judges by what clients saw and by who said that it led.
 */
public final class Play {

    /**
     * {@code broken}: what was broken, or null; {@code healed}: seconds until all were in step
     * after the last fault.
     */
    public record Report(
            String schedule, long seed, String broken, Map<String, Long> reached, double healed) {}

    private static final String[] KEYS = {"a", "b"};
    private static final double CALL = 2;

    /** Ten times what is usual. */
    private static final double HEAL = 30;

    private static final long STEPS = 400_000;
    private static final Pattern LEADS = Pattern.compile("\"message\":\"leads\".*?\"term\":(\\d+)");
    private static final int LOG_TAIL = 9;

    private final Schedule schedule;
    private final Random chance;
    private final History history = new History();
    private final Ways ways;
    private final Path folder;
    private final Instances instances;
    private final AtomicBoolean going = new AtomicBoolean(true);
    private final List<AtomicLong> done = new ArrayList<>();

    private Play(Schedule schedule, long seed, Path folder, Map<String, String> classPaths)
            throws IOException {
        this.schedule = schedule;
        this.folder = folder;
        chance = new Random(seed);
        ways = new Ways(seed);
        instances =
                new Instances(
                        folder,
                        schedule.instances(),
                        ways,
                        history,
                        "[bounds]\nsnapshot-entries = 150\ntrail-entries = 20\nlog-file-bytes = 16384\n");
        classPaths.forEach(instances::classPath);
    }

    /**
     * Plays it; where something was broken, schedule, history, logs and a picture stay in {@code
     * folder}.
     */
    public static Report play(Schedule schedule, long seed, Path folder) throws IOException {
        return play(schedule, seed, folder, Map.of());
    }

    /** As above, some instances by other class paths. */
    public static Report play(
            Schedule schedule, long seed, Path folder, Map<String, String> classPaths)
            throws IOException {
        Play play = new Play(schedule, seed, folder, classPaths);
        Report report;
        try {
            report = play.run(seed);
        } finally {
            play.instances.close();
        }
        if (report.broken != null) {
            Files.writeString(folder.resolve("schedule.toml"), schedule.text());
            play.history.write(folder.resolve("history.jsonl"));
            Picture.draw(play.history, schedule, folder.resolve("time.png"));
        }
        return report;
    }

    /**
     * {@code ends}: whether it ends a fault; {@code alone}: whether it waits for the faults before
     * it to end.
     */
    private record Step(double at, boolean ends, boolean alone, Runnable what) {}

    private Report run(long seed) throws IOException {
        instances.startAll();
        instances.form(schedule.instances());
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < schedule.clients(); i++) {
            int number = i;
            done.add(new AtomicLong());
            Thread thread = new Thread(() -> call(number, seed), "client-" + i);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
        String broken = null;
        double healed = -1;
        try {
            double began = history.now();
            befall(began);
            double rested = history.now();
            broken = heal(rested);
            healed = history.now() - rested;
        } finally {
            going.set(false);
            for (Thread thread : threads) {
                join(thread);
            }
        }
        broken = broken == null ? oneLeaderATerm() : broken;
        if (broken == null) {
            Linearizable.Finding finding = Linearizable.check(history.operations(), STEPS);
            if (finding.verdict() == Linearizable.Verdict.NO) {
                broken = "no order explains what clients saw: " + finding.text();
            } else if (finding.verdict() == Linearizable.Verdict.GAVE_UP) {
                history.count("histories too tangled to judge");
            }
        }
        for (Map.Entry<String, Long> each : schedule.reaches().entrySet()) {
            if (broken == null
                    && history.reached().getOrDefault(each.getKey(), 0L) < each.getValue()) {
                broken =
                        "not proved: "
                                + each.getKey()
                                + " under "
                                + each.getValue()
                                + " in "
                                + history.reached();
            }
        }
        return new Report(schedule.name(), seed, broken, history.reached(), healed);
    }

    private static void join(Thread thread) {
        try {
            thread.join((long) (3000 * CALL));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // What goes wrong.

    private void befall(double began) {
        PriorityQueue<Step> steps = new PriorityQueue<>(Comparator.comparingDouble(Step::at));
        schedule.fault()
                .forEach(
                        fault ->
                                steps.add(
                                        new Step(
                                                fault.at(),
                                                false,
                                                wantsAllInStep(fault.what()),
                                                () -> {
                                                    Runnable over = befalls(fault);
                                                    steps.add(
                                                            new Step(
                                                                    history.now()
                                                                            - began
                                                                            + fault.lasts(),
                                                                    true,
                                                                    false,
                                                                    over));
                                                })));
        while (!steps.isEmpty()) {
            Step next = steps.remove();
            double ended =
                    steps.stream().filter(Step::ends).mapToDouble(Step::at).max().orElse(next.at);
            if (next.alone && ended > next.at) {
                // On a slow machine a fault may take longer to begin than the next one comes after
                // it. An instance that is to be
                // started again behind that one would be waited for in vain, and two of three lost
                // at once.
                steps.add(new Step(Math.nextUp(ended), false, true, next.what));
                continue;
            }
            Instances.sleep(Math.max(0, began + next.at - history.now()));
            next.what.run();
        }
        Instances.sleep(Math.max(0, began + schedule.lasts() - history.now()));
    }

    /** Faults that take what an instance had promised: the others have to be whole. */
    private static boolean wantsAllInStep(Schedule.What what) {
        return what == Schedule.What.LOG_FLIPPED || what == Schedule.What.FOLDER_LOST;
    }

    /** Who is meant just now. */
    private String who(String word, String but) {
        if (!word.equals("leader") && !word.equals("follower")) {
            return word;
        }
        ObjectNode leader = instances.leader();
        String leads = leader == null ? instances.names().get(0) : leader.path("name").asText();
        if (word.equals("leader")) {
            return leads;
        }
        List<String> others =
                instances.names().stream()
                        .filter(name -> !name.equals(leads) && !name.equals(but))
                        .toList();
        return others.isEmpty() ? leads : others.get(chance.nextInt(others.size()));
    }

    private List<String> peers(String word, String of) {
        List<String> peers = new ArrayList<>();
        if (word.equals("others") || word.equals("all")) {
            peers.addAll(instances.names());
            if (word.equals("all")) {
                peers.add(Instances.CLIENTS);
            }
        } else {
            peers.add(who(word, of));
        }
        peers.remove(of);
        return peers;
    }

    /** Has it happen; returns what ends it. */
    private Runnable befalls(Schedule.Fault fault) {
        String whom = who(fault.whom(), null);
        List<String> peers = peers(fault.peer(), whom);
        history.event(fault.what().written(), whom, String.join(",", peers));
        Runnable over =
                switch (fault.what()) {
                    case CUT, PART, DELAY, TRICKLE, RESET -> onWays(fault, whom, peers);
                    default -> whom.equals(Instances.CLIENTS) ? () -> {} : onProcess(fault, whom);
                };
        return () -> {
            over.run();
            history.event("over", whom, fault.what().written());
        };
    }

    private Runnable onWays(Schedule.Fault fault, String whom, List<String> peers) {
        List<Ways.Way> some = new ArrayList<>();
        for (String peer : peers) {
            some.add(new Ways.Way(whom, peer));
            if (fault.what() == Schedule.What.PART) {
                some.add(new Ways.Way(peer, whom));
            }
        }
        for (Ways.Way way : some) {
            switch (fault.what()) {
                case CUT, PART -> ways.cut(way, true);
                case DELAY ->
                        ways.set(way, new Ways.State(false, fault.delay(), fault.jitter(), 0));
                case TRICKLE -> ways.set(way, new Ways.State(false, 0, 0, 16));
                default -> ways.resetNext(way);
            }
        }
        return () -> some.forEach(way -> ways.set(way, Ways.State.CLEAR));
    }

    /**
     * One at a time: where another has not got back yet what it forgot, two of three would have
     * forgotten.
     */
    private void awaitInStep() {
        double until = history.now() + HEAL;
        while (lacking(new long[0]) != null && history.now() < until) {
            Instances.sleep(0.02);
        }
    }

    private Runnable onProcess(Schedule.Fault fault, String whom) {
        if (wantsAllInStep(fault.what())) {
            awaitInStep();
        }
        Program program = instances.program(whom);
        if (!program.runs()) {
            return () -> {};
        }
        switch (fault.what()) {
            case STOP -> {
                instances.stop(whom);
                return () -> {
                    if (instances.program(whom) == program) {
                        instances.goOn(whom);
                    }
                };
            }
            case DISK_FULL, DISK_SLOW -> {
                Path mark =
                        instances
                                .folder(whom)
                                .resolve(
                                        fault.what() == Schedule.What.DISK_FULL
                                                ? FaultInjectingDisk.FULL_MARKER
                                                : FaultInjectingDisk.SLOW_MARKER);
                quietly(() -> Files.write(mark, new byte[0]));
                return () -> quietly(() -> Files.deleteIfExists(mark));
            }
            case TERMINATE -> {
                program.goOn();
                program.terminate();
                program.awaitFor(5);
                instances.kill(whom);
            }
            default -> instances.kill(whom);
        }
        switch (fault.what()) {
            case LOG_CUT, LOG_FLIPPED ->
                    quietly(() -> spoil(whom, fault.what() == Schedule.What.LOG_CUT));
            case FOLDER_LOST -> quietly(() -> Instances.delete(instances.folder(whom)));
            default -> {}
        }
        return () ->
                quietly(
                        () -> {
                            instances.start(whom);
                            if (fault.what() == Schedule.What.FOLDER_LOST) {
                                tendLost(whom);
                            }
                        });
    }

    private interface Doing {
        void run() throws IOException;
    }

    private void quietly(Doing doing) {
        try {
            doing.run();
        } catch (IOException e) {
            history.event("could not", "rig", e.getMessage());
        }
    }

    /** Cuts the last bytes off the log, as a write that was not whole, or changes the last one. */
    private void spoil(String whom, boolean cut) throws IOException {
        try (Stream<Path> files = Files.list(instances.folder(whom))) {
            Path last =
                    files.filter(file -> file.getFileName().toString().startsWith("log-"))
                            .max(Comparator.comparing(Path::toString))
                            .orElse(null);
            if (last == null) {
                return;
            }
            try (RandomAccessFile file = new RandomAccessFile(last.toFile(), "rw")) {
                if (cut) {
                    // What a kill in the middle of a write leaves: the beginning of a record that
                    // nobody was told of.
                    file.seek(file.length());
                    file.write(new byte[LOG_TAIL]);
                } else if (file.length() > 100) {
                    file.seek(file.length() - 1);
                    int value = file.read();
                    file.seek(file.length() - 1);
                    file.write(value ^ 1);
                }
            }
        }
    }

    /** One that lost its folder is another: the old one is taken out, then it is taken in. */
    private void tendLost(String name) throws IOException {
        for (long until = System.nanoTime() + 20_000_000_000L;
                System.nanoTime() < until;
                Instances.sleep(0.1)) {
            try (StoreClient client = instances.client()) {
                StoreClient.Outcome outcome =
                        client.call(StoreClient.newCall("remove").put("name", name), CALL);
                if (outcome.isDone() || outcome.text().startsWith("there is no")) {
                    instances.add(name);
                    history.count("folders lost and made good");
                    return;
                }
            }
        }
        throw new IOException("the lost " + name + " can't be taken out");
    }

    // After it all.

    private String heal(double rested) throws IOException {
        ways.clearAll();
        for (String name : instances.names()) {
            for (String mark :
                    List.of(FaultInjectingDisk.FULL_MARKER, FaultInjectingDisk.SLOW_MARKER)) {
                Files.deleteIfExists(instances.folder(name).resolve(mark));
            }
            if (instances.program(name).runs()) {
                instances.program(name).goOn();
            } else {
                try {
                    instances.start(name);
                } catch (IOException e) {
                    return name + " does not start: " + e.getMessage();
                }
            }
        }
        long[] before = done.stream().mapToLong(AtomicLong::get).toArray();
        while (true) {
            String lacks = lacking(before);
            if (lacks == null) {
                return null;
            }
            if (history.now() - rested > HEAL) {
                return lacks + " " + HEAL + " s after the last fault";
            }
            Instances.sleep(0.02);
        }
    }

    /** What is not well yet, or null. */
    private String lacking(long[] before) {
        for (int i = 0; i < before.length; i++) {
            if (done.get(i).get() <= before[i]) {
                return "client " + i + " gets nothing done";
            }
        }
        ObjectNode leader = instances.leader();
        if (leader == null) {
            return "nobody leads";
        }
        for (String name : instances.names()) {
            ObjectNode status = instances.program(name).runs() ? instances.status(name) : null;
            if (status == null) {
                return name + " does not answer";
            }
            if (status.path("applied").asLong() < leader.path("applied").asLong() - 200
                    || status.path("doubt").asBoolean()) {
                return name + " is behind";
            }
        }
        return null;
    }

    private String oneLeaderATerm() throws IOException {
        for (String name : instances.names()) {
            String log = Files.readString(folder.resolve(name + ".log"));
            if (log.contains("\"message\":\"stops\"")) {
                return name
                        + " stopped by itself: "
                        + log.substring(log.indexOf("\"message\":\"stops\""));
            }
        }
        Map<Long, String> leaders = new HashMap<>();
        for (String name : instances.names()) {
            Matcher matcher = LEADS.matcher(Files.readString(folder.resolve(name + ".log")));
            while (matcher.find()) {
                history.count("elections won");
                String other = leaders.put(Long.valueOf(matcher.group(1)), name);
                if (other != null && !other.equals(name)) {
                    return other + " and " + name + " both led in term " + matcher.group(1);
                }
            }
        }
        return null;
    }

    // Clients.

    private void call(int number, long seed) {
        Random own = new Random(seed * 31 + number);
        Map<String, String[]> known = new HashMap<>();
        try (StoreClient client = instances.client()) {
            for (long i = 0; going.get(); i++) {
                String key = KEYS[own.nextInt(KEYS.length)];
                int sort = own.nextInt(3);
                String value = number + "/" + i;
                double began = history.now();
                if (sort == 0) {
                    StoreClient.Outcome outcome =
                            client.call(StoreClient.newCall("get").put("key", key), CALL);
                    if (outcome.isDone()) {
                        var item = outcome.answer().path("items").path(0);
                        String found = item.isMissingNode() ? null : item.path("value").asText();
                        known.put(key, new String[] {found, item.path("revision").asText("0")});
                        add(
                                number,
                                Operation.Kind.READ,
                                key,
                                null,
                                found,
                                began,
                                Operation.End.DONE);
                    }
                } else {
                    String[] expected = sort == 2 ? known.remove(key) : null;
                    StoreClient.Outcome outcome =
                            client.call(
                                    StoreClient.newPut(
                                            key,
                                            value,
                                            expected == null ? -1 : Long.parseLong(expected[1])),
                                    CALL);
                    Operation.End end =
                            outcome.isDone()
                                    ? Operation.End.DONE
                                    : outcome.isUnknown()
                                            ? Operation.End.UNKNOWN
                                            : outcome.reason().equals("condition")
                                                    ? Operation.End.REFUSED
                                                    : null;
                    if (end != null) {
                        add(
                                number,
                                expected == null ? Operation.Kind.PUT : Operation.Kind.SWAP,
                                key,
                                expected == null ? null : expected[0],
                                value,
                                began,
                                end);
                    }
                }
                Instances.sleep(0.02 * own.nextDouble());
            }
        }
    }

    private void add(
            int caller,
            Operation.Kind kind,
            String key,
            String expected,
            String value,
            double began,
            Operation.End end) {
        boolean unknown = end == Operation.End.UNKNOWN;
        history.add(
                new Operation(
                        caller,
                        kind,
                        key,
                        expected,
                        value,
                        began,
                        unknown ? Double.POSITIVE_INFINITY : history.now(),
                        end));
        history.count(kind + " " + end);
        if (!unknown) {
            done.get(caller).incrementAndGet();
        }
    }
}
