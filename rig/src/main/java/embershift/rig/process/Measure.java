package embershift.rig.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.hosted.StoreClient;
import embershift.rig.history.History;
import embershift.storage.FileSystemDisk;
import embershift.storage.RecordLog;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;

/**
 * What the agreement costs, and how long it is without a leader: the figures of docs/agreement.md.
 */
public final class Measure {

    private static final double WARM = 2;
    private static final double SPAN = 6;
    private static final int CALLERS = 32;
    private static final double PATIENCE = 15;

    private Measure() {}

    private static void say(String form, Object... parts) {
        System.out.println(String.format(Locale.ROOT, form, parts));
    }

    /** Everything; {@code times} of each fault, and so many revisions to catch up. */
    public static void all(int times, int revisions) throws IOException {
        double alone = storageAlone();
        say("storage alone, one record a force: %.0f a second", alone);
        for (int many : new int[] {1, 3, 5}) {
            writes(many, alone);
        }
        for (String fault :
                new String[] {"kill", "stop", "hears nobody", "is not heard", "asked to end"}) {
            gaps(fault, times);
        }
        catchUp(revisions);
    }

    private static double storageAlone() throws IOException {
        Path path = Files.createTempDirectory("rig");
        long many = 0;
        double span = 2;
        try (FileSystemDisk folder = FileSystemDisk.open(path);
                RecordLog log = RecordLog.open(folder, 8 << 20)) {
            byte[] body = new byte[120];
            for (long until = System.nanoTime() + (long) (span * 1e9);
                    System.nanoTime() < until;
                    many++) {
                log.append(List.of(new RecordLog.NewRecord(many, body)));
                log.force();
            }
        }
        Instances.delete(path);
        return many / span;
    }

    private interface Using {
        void with(Instances instances, Ways ways) throws IOException;
    }

    private static void group(int many, String more, Using using) throws IOException {
        Path folder = Files.createTempDirectory("rig");
        Ways ways = new Ways(1);
        try (Instances instances = new Instances(folder, many, ways, new History(), more)) {
            instances.startAll();
            instances.form(many);
            using.with(instances, ways);
        }
        Instances.delete(folder);
    }

    private static void writes(int many, double alone) throws IOException {
        group(
                many,
                "",
                (instances, ways) -> {
                    String leader = instances.awaitLeader(PATIENCE);
                    Histogram times = new Histogram(60_000_000L, 3);
                    AtomicBoolean going = new AtomicBoolean(true);
                    long from = System.nanoTime() + (long) (WARM * 1e9);
                    AtomicLong done = new AtomicLong();
                    List<Thread> threads = new ArrayList<>();
                    for (int i = 0; i < CALLERS; i++) {
                        int number = i;
                        Thread thread =
                                new Thread(
                                        () -> {
                                            try (StoreClient client = instances.client(leader)) {
                                                for (long each = 0; going.get(); each++) {
                                                    long began = System.nanoTime();
                                                    boolean ended =
                                                            client.call(
                                                                            StoreClient.newPut(
                                                                                    "k" + number,
                                                                                    "value " + each,
                                                                                    -1),
                                                                            5)
                                                                    .isDone();
                                                    if (ended && began > from) {
                                                        done.incrementAndGet();
                                                        synchronized (times) {
                                                            times.recordValue(
                                                                    Math.min(
                                                                            60_000_000L,
                                                                            (System.nanoTime()
                                                                                            - began)
                                                                                    / 1000));
                                                        }
                                                    }
                                                }
                                            }
                                        });
                        thread.start();
                        threads.add(thread);
                    }
                    Instances.sleep(WARM + SPAN);
                    going.set(false);
                    for (Thread thread : threads) {
                        join(thread);
                    }
                    ObjectNode status = instances.status(leader);
                    say(
                            "%d instances, %d callers: %.0f changes a second (%.2f of storage alone), ms p50 %.1f p99 %.1f p99.9 %.1f, "
                                    + "resident %d MB, log files %d",
                            many,
                            CALLERS,
                            done.get() / SPAN,
                            done.get() / SPAN / alone,
                            times.getValueAtPercentile(50) / 1e3,
                            times.getValueAtPercentile(99) / 1e3,
                            times.getValueAtPercentile(99.9) / 1e3,
                            resident(instances.program(leader).pid()),
                            status.path("log-files").asInt());
                });
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static long resident(long pid) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
                .filter(line -> line.startsWith("VmRSS"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) / 1024)
                .findFirst()
                .orElse(0);
    }

    /** Seconds from a fault until another instance answers a change. */
    private static void gaps(String fault, int times) throws IOException {
        double[] gaps = new double[times];
        group(
                3,
                "",
                (instances, ways) -> {
                    for (int i = 0; i < times; i++) {
                        String leader = instances.awaitLeader(PATIENCE);
                        String[] others =
                                instances.names().stream()
                                        .filter(name -> !name.equals(leader))
                                        .toArray(String[]::new);
                        awaitAll(instances);
                        long began = System.nanoTime();
                        befall(fault, instances, ways, leader, others);
                        try (StoreClient client = instances.client(others)) {
                            if (!client.call(StoreClient.newPut("gap", "" + i, -1), PATIENCE)
                                    .isDone()) {
                                throw new IOException("no change was answered after " + fault);
                            }
                        }
                        gaps[i] = (System.nanoTime() - began) / 1e9;
                        ways.clearAll();
                        if (instances.program(leader).runs()) {
                            instances.goOn(leader);
                        }
                        if (fault.equals("kill") || fault.equals("asked to end")) {
                            instances.program(leader).awaitFor(PATIENCE);
                            instances.start(leader);
                        }
                    }
                });
        Arrays.sort(gaps);
        say(
                "leader %s, %d times: s without an answered change, least %.2f, median %.2f, most %.2f",
                fault, times, gaps[0], gaps[times / 2], gaps[times - 1]);
    }

    private static void befall(
            String fault, Instances instances, Ways ways, String leader, String[] others) {
        switch (fault) {
            case "kill" -> instances.kill(leader);
            case "stop" -> instances.stop(leader);
            case "asked to end" -> instances.program(leader).terminate();
            default -> {
                for (String other : others) {
                    ways.cut(
                            fault.equals("is not heard")
                                    ? new Ways.Way(leader, other)
                                    : new Ways.Way(other, leader),
                            true);
                }
            }
        }
    }

    private static void awaitAll(Instances instances) throws IOException {
        long until = System.nanoTime() + (long) (PATIENCE * 1e9);
        while (true) {
            ObjectNode leader = instances.leader();
            boolean all = leader != null;
            for (String name : instances.names()) {
                ObjectNode status = instances.status(name);
                all &=
                        status != null
                                && leader != null
                                && status.path("agreed").asLong() == leader.path("agreed").asLong();
            }
            if (all) {
                return;
            }
            if (System.nanoTime() > until) {
                throw new IOException("not in step");
            }
            Instances.sleep(0.02);
        }
    }

    private static void catchUp(int revisions) throws IOException {
        group(
                3,
                "",
                (instances, ways) -> {
                    String leader = instances.awaitLeader(PATIENCE);
                    String away =
                            instances.names().stream()
                                    .filter(name -> !name.equals(leader))
                                    .findFirst()
                                    .orElseThrow();
                    instances.kill(away);
                    List<Thread> threads = new ArrayList<>();
                    AtomicLong left = new AtomicLong(revisions);
                    for (int i = 0; i < CALLERS; i++) {
                        Thread thread =
                                new Thread(
                                        () -> {
                                            try (StoreClient client = instances.client(leader)) {
                                                for (long each = left.decrementAndGet();
                                                        each >= 0;
                                                        each = left.decrementAndGet()) {
                                                    client.call(
                                                            StoreClient.newPut(
                                                                    "k" + each % 1000,
                                                                    "value " + each,
                                                                    -1),
                                                            5);
                                                }
                                            }
                                        });
                        thread.start();
                        threads.add(thread);
                    }
                    threads.forEach(Measure::join);
                    instances.start(away);
                    long began = System.nanoTime();
                    while (true) {
                        ObjectNode status = instances.status(away);
                        if (status != null && status.path("revision").asLong() >= revisions) {
                            break;
                        }
                        if (System.nanoTime() - began > 120e9) {
                            throw new IOException("not caught up: " + status);
                        }
                        Instances.sleep(0.005);
                    }
                    say(
                            "caught up on %d revisions %.2f s after it listened",
                            revisions, (System.nanoTime() - began) / 1e9);
                });
    }
}
