package embershift.rig.process;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * How long nodes take from their start until they say that they are ready, many started at once,
 * each with another kind of discovery. From the second round on they are started anew at the
 * addresses that they had.
 */
public final class Starts implements AutoCloseable {

    /** Seconds after which one that is not ready has failed. */
    private static final double MOST = 60;

    /** Seconds within which this part of them is to be ready. */
    private static final double BOUND = 10;

    private static final double PART = 0.9;

    /** Of a core, for which the processor time of a start is told as a time. */
    private static final double SHARE = 0.1;

    private static final double LOOK = 0.05;

    /**
     * One start. Seconds from it to the yes and to the first answer to a client, NaN for never;
     * processor seconds until the yes.
     */
    public record Start(
            FirstDiscovery.Kind discovery, double ready, double answered, double processor) {
        boolean well() {
            return !Double.isNaN(answered);
        }
    }

    private static final class Place {
        private final String name;
        private final FirstDiscovery.Kind kind;
        private final int listen;
        private final int management;
        private final int peers;

        Place(String name, FirstDiscovery.Kind kind) throws IOException {
            this.name = name;
            this.kind = kind;
            try (ServerSocket one = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                    ServerSocket other = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                    DatagramSocket third =
                            new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
                listen = one.getLocalPort();
                management = other.getLocalPort();
                peers = third.getLocalPort();
            }
        }
    }

    private final Path folder;
    private final List<String> line;
    private final HostsStand hosts;
    private final Map<FirstDiscovery.Kind, FirstDiscovery> discoveries =
            new EnumMap<>(FirstDiscovery.Kind.class);
    private final List<Place> places = new ArrayList<>();

    /**
     * {@code line}: starts a node by the configuration that LB_CONFIG names; kinds of discovery are
     * dealt out in turn.
     */
    public Starts(
            Path folder,
            List<String> line,
            int together,
            int manyHosts,
            List<FirstDiscovery.Kind> kinds)
            throws IOException {
        this.folder = folder;
        this.line = line;
        hosts = new HostsStand(manyHosts);
        for (FirstDiscovery.Kind kind : kinds) {
            discoveries.put(kind, new FirstDiscovery(kind, hosts::page));
        }
        for (int i = 0; i < together; i++) {
            places.add(new Place("n" + (i + 1), kinds.get(i % kinds.size())));
        }
    }

    /** The line by which the platform starts a node, out of its file for that. */
    public static String platforms(Path deployment) throws Schedule.Unreadable {
        try {
            String run =
                    new TomlMapper().readTree(Files.readString(deployment)).path("run").asText();
            if (!run.isEmpty()) {
                return run;
            }
        } catch (JacksonException e) {
            throw new Schedule.Unreadable(
                    deployment + ": " + e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException e) {
            throw new Schedule.Unreadable(deployment + ": can't be read: " + e.getMessage());
        }
        throw new Schedule.Unreadable(deployment + ": there is no run");
    }

    /** Starts all of them at once, waits until all are ready, and ends them. */
    public List<Start> round() throws IOException {
        List<Program> programs = new ArrayList<>();
        List<Start> starts = new ArrayList<>();
        try {
            List<Thread> threads = new ArrayList<>();
            for (Place place : places) {
                Path temporary = Files.createDirectories(folder.resolve(place.name + ".tmp"));
                Path configuration =
                        Files.writeString(
                                folder.resolve(place.name + ".json"), configuration(place));
                long begun = System.nanoTime();
                Program program =
                        Program.start(
                                line,
                                Map.of(
                                        "LB_CONFIG",
                                        configuration.toString(),
                                        "TMPDIR",
                                        temporary.toString()),
                                folder.resolve(place.name + ".log"));
                programs.add(program);
                Thread thread =
                        new Thread(
                                null,
                                () -> {
                                    Start start = watch(place, program, begun);
                                    synchronized (starts) {
                                        starts.add(start);
                                    }
                                },
                                "watch",
                                256 << 10);
                thread.start();
                threads.add(thread);
            }
            for (Thread thread : threads) {
                thread.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            programs.forEach(Program::kill);
        }
        return starts;
    }

    private static Start watch(Place place, Program program, long begun) {
        double ready = Double.NaN;
        double processor = Double.NaN;
        for (long until = begun + (long) (MOST * 1e9);
                System.nanoTime() < until && program.runs();
                Instances.sleep(LOOK)) {
            if (Double.isNaN(ready)
                    && first(place.management, "GET /api/ready HTTP/1.1\r\nHost: node\r\n\r\n")
                            .contains(" 200")) {
                ready = (System.nanoTime() - begun) / 1e9;
                processor =
                        ProcessHandle.of(program.pid())
                                        .flatMap(process -> process.info().totalCpuDuration())
                                        .map(Duration::toNanos)
                                        .orElse(0L)
                                / 1e9;
            }
            if (!Double.isNaN(ready) && first(place.listen, "PING\r\n").equals("PONG")) {
                return new Start(place.kind, ready, (System.nanoTime() - begun) / 1e9, processor);
            }
        }
        return new Start(place.kind, ready, Double.NaN, processor);
    }

    /** The first line of the answer, or "". */
    private static String first(int port, String words) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(5000);
            socket.getOutputStream().write(words.getBytes(StandardCharsets.US_ASCII));
            String line =
                    new BufferedReader(
                                    new InputStreamReader(
                                            socket.getInputStream(), StandardCharsets.US_ASCII))
                            .readLine();
            return line == null ? "" : line;
        } catch (IOException e) {
            return "";
        }
    }

    private String configuration(Place place) {
        String peers =
                places.stream()
                        .map(each -> "\"127.0.0.1:" + each.peers + "\"")
                        .collect(Collectors.joining(","));
        return """
            {"name":"%s","listen":"127.0.0.1:%d","management":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"%x",
             "limits":{"sockets":512},"peer_listen":"127.0.0.1:%d","peers":[%s],"known":%s,
             "settings":{"balancers":%d,"az":"a","discovery":"subscribe",
              "profiles":[{"name":"any","repeat":"idempotent","setup-goal-s":0.8,"client-timeout-s":3,"credit":1}],
              "report":{"columns":["queue","qps","x0"]},"domain":{"mode":"proxy"},
              "limits":{"may-probe":true,"may-tell":true,"may-cancel":true,"may-duplicate":false,"most-setups":3,
                        "retry-after":true,"max-retry-after-s":1.5,"connect-timeout-s":0.25},
              "rules":{"answer-slack-s":0.016,"must-ask-in-s":2,"drain-grace-s":1,"cold-from":0.3,
                       "warm-after-s":10,"fall-multiple":4,"fall-s":1.5}}}"""
                .formatted(
                        place.name,
                        place.listen,
                        place.management,
                        discoveries.get(place.kind).port(),
                        System.nanoTime(),
                        place.peers,
                        peers,
                        hosts.page(),
                        places.size());
    }

    @Override
    public void close() throws IOException {
        for (FirstDiscovery discovery : discoveries.values()) {
            discovery.close();
        }
        hosts.close();
    }

    /** Prints the figures; whether so many were ready in time as have to be. */
    public static boolean tell(List<Start> starts, int together) {
        System.out.printf(
                Locale.ROOT,
                "%d starts, %d at once on %d processors%n",
                starts.size(),
                together,
                Runtime.getRuntime().availableProcessors());
        System.out.printf(
                "%-10s %6s %30s %30s%n",
                "discovery", "starts", "ready, s: p50 p90 worst", "answers, s: p50 p90 worst");
        for (FirstDiscovery.Kind kind : FirstDiscovery.Kind.values()) {
            row(
                    kind.name().toLowerCase(Locale.ROOT),
                    starts.stream().filter(start -> start.discovery == kind).toList());
        }
        row("all", starts);
        System.out.printf(
                "processor time until the yes, s: p50 p90 worst %s; at a tenth of a core: %s%n",
                three(starts, Start::processor), three(starts, start -> start.processor / SHARE));
        System.out.printf(
                "part of a core that each had until then: p50 p90 most %s%n",
                three(starts, start -> start.processor / start.ready));
        long well =
                starts.stream().filter(start -> start.well() && start.answered <= BOUND).count();
        System.out.printf(
                Locale.ROOT,
                "ready within %.0f s: %d of %d; never: %d%n",
                BOUND,
                well,
                starts.size(),
                starts.stream().filter(start -> !start.well()).count());
        return well >= PART * starts.size();
    }

    private static void row(String what, List<Start> starts) {
        if (!starts.isEmpty()) {
            System.out.printf(
                    "%-10s %6d %30s %30s%n",
                    what,
                    starts.size(),
                    three(starts, Start::ready),
                    three(starts, Start::answered));
        }
    }

    private static String three(List<Start> starts, ToDoubleFunction<Start> of) {
        double[] all = starts.stream().mapToDouble(of).sorted().toArray();
        return IntStream.of(50, 90, 100)
                .mapToObj(
                        percent ->
                                String.format(
                                        Locale.ROOT,
                                        "%.2f",
                                        all[(int) Math.ceil(all.length * percent / 100.0) - 1]))
                .collect(Collectors.joining(" "));
    }
}
