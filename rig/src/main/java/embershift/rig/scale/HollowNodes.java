package embershift.rig.scale;

import embershift.door.AgentSettings;
import embershift.door.FleetAgent;
import embershift.door.TomlSettings;
import embershift.operations.HostEjections;
import embershift.program.NodeExtension;
import embershift.protocol.MalformedDataException;
import embershift.protocol.NodeConfiguration;
import embershift.routing.Router;
import embershift.transport.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Nodes without clients: each with the real module, the real routing state and the real door, and
 * all that these say and are told over real connections; without a socket for clients. {@value
 * #TOGETHER} share a loop.
 */
final class HollowNodes implements AutoCloseable {

    static final int TOGETHER = 100;
    private static final Pattern GOES_BY = Pattern.compile("goes by revision (\\d+)");
    private static final String SHUT_OUT = "shut out: ";
    private static final double NANOS = 1e9;
    private static final long PATIENCE_S = 30;

    private final List<EventLoop> loops = new ArrayList<>();
    private final LongConsumer acted;

    /** Who was shut out, and why. */
    private final Map<String, String> shutOut = new ConcurrentHashMap<>();

    /**
     * One begins each {@code startEvery} seconds. {@code acted} hears the revision whenever one of
     * them goes by one from now on, on the loops.
     */
    HollowNodes(
            Path folder,
            int many,
            double startEvery,
            List<InetSocketAddress> instances,
            int discoveryPort,
            LongConsumer acted)
            throws IOException {
        this.acted = acted;
        String at =
                String.join(
                        ", ",
                        instances.stream()
                                .map(address -> "\"127.0.0.1:" + address.getPort() + "\"")
                                .toList());
        Path doorFile =
                Files.writeString(folder.resolve("hollow.door.toml"), "instances = [" + at + "]\n");
        List<CompletableFuture<Void>> begun = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            if (i % TOGETHER == 0) {
                loops.add(new EventLoop());
            }
            EventLoop loop = loops.get(loops.size() - 1);
            String name = String.format("hollow%05d", i);
            CompletableFuture<Void> each = new CompletableFuture<>();
            begun.add(each);
            loop.schedule(
                    startEvery * i,
                    () -> {
                        try {
                            begin(
                                    loop,
                                    name,
                                    discoveryPort,
                                    new FleetAgent(AgentSettings.read(doorFile)));
                            each.complete(null);
                        } catch (IOException
                                | MalformedDataException
                                | TomlSettings.InvalidSettingsException
                                | RuntimeException e) {
                            each.completeExceptionally(e);
                        }
                    });
        }
        try {
            CompletableFuture.allOf(begun.toArray(new CompletableFuture<?>[0])).join();
        } catch (CompletionException e) {
            throw new IOException(e.getCause());
        }
    }

    private void begin(EventLoop loop, String name, int discoveryPort, FleetAgent agent)
            throws IOException, MalformedDataException {
        // As FleetSite has it for nodes that are processes, so that both can be compared.
        NodeConfiguration configuration =
                NodeConfiguration.parse(
                        """
            {"name":"%s","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"1",
             "settings":{"balancers":1,"az":"a","discovery":"subscribe",
              "profiles":[{"name":"p","repeat":"idempotent","setup-goal-s":0.5,"client-timeout-s":3}],
              "limits":{"may-probe":false,"may-cancel":true,"may-duplicate":false,"most-setups":3,"retry-after":true},
              "rules":{"must-ask-in-s":9,"drain-grace-s":1,"cold-from":0.3,"warm-after-s":2,"fall-multiple":4,"fall-s":1.5}}}"""
                                .formatted(name, discoveryPort),
                        null);
        Router router = new Router(loop, configuration, line -> {});
        HostEjections bans = new HostEjections(loop, router, null);
        agent.start(
                new NodeExtension.NodeContext() {
                    @Override
                    public EventLoop loop() {
                        return loop;
                    }

                    @Override
                    public Router router() {
                        return router;
                    }

                    @Override
                    public HostEjections ejections() {
                        return bans;
                    }

                    @Override
                    public NodeConfiguration configuration() {
                        return configuration;
                    }

                    @Override
                    public boolean isServing() {
                        return true;
                    }

                    @Override
                    public void log(String line) {
                        Matcher matcher = GOES_BY.matcher(line);
                        if (matcher.matches()) {
                            acted.accept(Long.parseLong(matcher.group(1)));
                        } else if (line.startsWith(SHUT_OUT)) {
                            shutOut.put(name, line.substring(SHUT_OUT.length()));
                        }
                    }

                    @Override
                    public void exit(int status) {
                        // A process would end here. This one goes on without being heard, as others
                        // share it.
                    }
                });
    }

    /** Seconds of processor that the loops took so far. */
    double processor() throws IOException {
        double sum = 0;
        for (EventLoop loop : loops) {
            CompletableFuture<Long> told = new CompletableFuture<>();
            loop.execute(() -> told.complete(Cpu.now()));
            try {
                sum += told.get(PATIENCE_S, TimeUnit.SECONDS) / NANOS;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (ExecutionException | TimeoutException e) {
                throw new IOException(
                        "a loop of hollow nodes does not answer within " + PATIENCE_S + " s", e);
            }
        }
        return sum;
    }

    /** Those that were told that they may not act for the fleet any more, with the reason. */
    Map<String, String> shutOut() {
        return shutOut;
    }

    @Override
    public void close() {
        loops.forEach(EventLoop::stop);
    }
}
