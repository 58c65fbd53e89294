package embershift.program;

import embershift.model.Deployment;
import embershift.operations.HostEjections;
import embershift.operations.OperatorApi;
import embershift.operations.OperatorServer;
import embershift.protocol.Addresses;
import embershift.protocol.MalformedDataException;
import embershift.protocol.NodeConfiguration;
import embershift.routing.Router;
import embershift.routing.UsedTunnelIds;
import embershift.signals.Signals;
import embershift.transport.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** The process of a node, from its start to its exit. */
public final class NodeProcess {

    /** The phases in their order; each is entered once, on the loop's thread. */
    enum Phase {
        STARTING,
        SERVING,
        LEAVING,
        CLOSING,
        STOPPED
    }

    /**
     * Seconds that a node takes to shut down at least: the front goes on sending it clients for a
     * moment.
     */
    private static final double MIN_SHUTDOWN_SECONDS = 0.8;

    /**
     * Seconds after the longest client timeout, or after {@link #MAX_CLIENT_WAIT_SECONDS} if that
     * is shorter, by which the node must have shut down.
     */
    private static final double SHUTDOWN_MARGIN_SECONDS = 0.45;

    private static final double MAX_CLIENT_WAIT_SECONDS = 3.0;
    private static final double DRAIN_CHECK_SECONDS = 0.02;
    private static final double SIBLING_POLL_SECONDS = 0.1;

    /** Seconds for which the last answers may still be sent. */
    private static final double FLUSH_SECONDS = 0.1;

    /**
     * Seconds from the start of the process after which it no longer waits for a current list of
     * hosts: restarted nodes have to be ready within six seconds, also while discovery is down.
     */
    private static final double MAX_ROSTER_WAIT_SECONDS = 5.0;

    /**
     * Seconds for which it waits in any case, however long its start has taken: discovery answers
     * within that time if it can be reached.
     */
    private static final double MIN_ROSTER_WAIT_SECONDS = 2.0;

    /** Reads the configuration, at the start and at each reload. */
    public interface ConfigurationSource {
        /** Returns the current configuration; fails if it is malformed or cannot be read. */
        NodeConfiguration read() throws MalformedDataException;
    }

    private final long createdAtNanos = System.nanoTime();
    private final ConfigurationSource source;
    private final Log log;
    private final NodeConfiguration startConfiguration;

    /** Null in a node that the platform starts. */
    private final NodeExtension extension;

    private NodeConfiguration latestConfiguration;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private Phase phase = Phase.STARTING;
    private EventLoop loop;
    private Router router;
    private double shutdownStartedAt;
    private double minShutdownSeconds;
    private HostEjections ejections;

    /** Null where operators have no address, or there is no shared folder. */
    private volatile SiblingProcesses siblings;

    NodeProcess(ConfigurationSource source, Log log) throws MalformedDataException {
        this(source, log, null);
    }

    private NodeProcess(ConfigurationSource source, Log log, NodeExtension extension)
            throws MalformedDataException {
        this.source = source;
        this.log = log;
        this.extension = extension;
        startConfiguration = source.read();
        latestConfiguration = startConfiguration;
    }

    /**
     * Starts a node with an extension; it then runs on its loop. Returns the address that it
     * listens on; fails where it can't listen.
     */
    public static InetSocketAddress start(ConfigurationSource source, NodeExtension extension)
            throws IOException, MalformedDataException {
        return new NodeProcess(source, new Log(System.err), extension).start();
    }

    /**
     * Starts the node, which then runs on its loop. Returns the address that it listens on; fails
     * where it can't listen.
     */
    InetSocketAddress start() throws IOException {
        loop = new EventLoop();
        CompletableFuture<InetSocketAddress> listenAddress = new CompletableFuture<>();
        loop.execute(() -> serve(listenAddress));
        // Before the node can report that it is ready: unhandled, both signals would end the
        // program.
        if (!Signals.onHangup(this::reload)) {
            // As under nohup: a signal that was ignored before the program started can't be
            // handled, and without this line nobody would see why reloading does nothing.
            log.line(
                    "SIGHUP is ignored by whoever started this process: a new configuration needs a restart");
        }
        Signals.onUser1(() -> loop.execute(this::printTally));
        // Queued on the loop after the start, so that a shutdown finds the start completed;
        // registered before the start completes, as clients may be connected by then.
        Runtime.getRuntime().addShutdownHook(new Thread(this::shutDownAndWait, "leave"));
        try {
            return listenAddress.join();
        } catch (CompletionException e) {
            stopped.countDown();
            loop.stop();
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }

    private void serve(CompletableFuture<InetSocketAddress> listenAddress) {
        try {
            router = new Router(loop, startConfiguration, log::line);
            if (startConfiguration.hasManagement()) {
                listenForOperators();
            }
            if (extension != null) {
                startExtension();
            }
            requireNoOtherDeployment();
            router.whenRosterIsCurrent(
                    maxRosterWaitSeconds(), () -> listenForClients(listenAddress));
        } catch (IOException | RuntimeException e) {
            listenAddress.completeExceptionally(e);
        }
    }

    private double maxRosterWaitSeconds() {
        double elapsedSeconds = (System.nanoTime() - createdAtNanos) / 1e9;
        return Math.max(MIN_ROSTER_WAIT_SECONDS, MAX_ROSTER_WAIT_SECONDS - elapsedSeconds);
    }

    /** The node accepts clients from now on, and reports that it is ready. */
    private void listenForClients(CompletableFuture<InetSocketAddress> listenAddress) {
        if (phase != Phase.STARTING) {
            return;
        }
        try {
            InetSocketAddress address = router.listen(startConfiguration.listen());
            if (siblings != null) {
                // Before the node reports that it is ready: after that the other process may be
                // told to shut down, and must see that this one serves.
                siblings.claimSlot();
                requireNoOtherDeployment();
                ejections.applyStored(siblings.read());
                List<SiblingProcesses.ProcessStatus> others = siblings.exchange(status());
                applyStatuses(others);
                shareUsedIds(others.isEmpty());
                loop.schedule(SIBLING_POLL_SECONDS, this::pollSiblings);
            }
            enter(Phase.SERVING);
            log.line("listening on " + Addresses.format(address));
            listenAddress.complete(address);
        } catch (IOException | RuntimeException e) {
            listenAddress.completeExceptionally(e);
        }
    }

    /**
     * Shares the ids of tunnels that must not be set up twice with the processes at this address. A
     * process that serves alone keeps those of the last one, which may still be shutting down.
     */
    private void shareUsedIds(boolean isAlone) {
        try {
            UsedTunnelIds ids =
                    UsedIdsFile.open(
                            System.getenv("TMPDIR"),
                            Addresses.format(startConfiguration.listen()),
                            startConfiguration.deploymentIdentity());
            if (isAlone) {
                ids.forgetBefore(loop.now() - maxShutdownSeconds());
            }
            router.shareUsedIds(ids);
        } catch (IOException | RuntimeException e) {
            log.line("ids of tunnels are not shared with other processes: " + e);
        }
    }

    private void requireNoOtherDeployment() throws IOException {
        if (siblings != null && siblings.hasOtherDeployment()) {
            throw new IOException(
                    "can't listen on "
                            + Addresses.format(startConfiguration.listen())
                            + ": a node of another deployment serves there");
        }
    }

    private void startExtension() {
        HostEjections nodeEjections =
                ejections == null ? new HostEjections(loop, router, null) : ejections;
        extension.start(
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
                        return nodeEjections;
                    }

                    @Override
                    public NodeConfiguration configuration() {
                        return latestConfiguration;
                    }

                    @Override
                    public boolean isServing() {
                        return phase == Phase.SERVING;
                    }

                    @Override
                    public void log(String line) {
                        log.line(line);
                    }

                    @Override
                    public void exit(int status) {
                        // On a thread of its own: the exit waits for the loop.
                        new Thread(() -> System.exit(status), "end").start();
                    }
                });
    }

    private boolean isReady() {
        return phase == Phase.SERVING && (extension == null || extension.isReady());
    }

    /**
     * Comes first in the start, so that operators are answered that the node is not ready instead
     * of being refused.
     */
    private void listenForOperators() throws IOException {
        siblings =
                SiblingProcesses.open(
                        System.getenv("TMPDIR"),
                        Addresses.format(startConfiguration.listen()),
                        startConfiguration.deploymentIdentity(),
                        log::line);
        ejections = new HostEjections(loop, router, siblings);
        OperatorApi api = new OperatorApi(router, ejections, this::isReady);
        InetSocketAddress address =
                new OperatorServer(loop, api, router.tally())
                        .listen(startConfiguration.management());
        log.line("operator API at " + Addresses.format(address));
    }

    /**
     * All processes at this address apply the same ejections, and those that serve share the
     * descriptors. The stored ejections are read whether or not another process serves: one that is
     * shutting down still accepts the operators' requests and is no longer seen here.
     */
    private void pollSiblings() {
        SiblingProcesses.ProcessStatus own = status();
        ejections.reloadStored();
        loop.executeBlocking(
                () -> {
                    List<SiblingProcesses.ProcessStatus> others = siblings.exchange(own);
                    loop.execute(
                            () -> {
                                applyStatuses(others);
                                loop.schedule(SIBLING_POLL_SECONDS, this::pollSiblings);
                            });
                });
    }

    private SiblingProcesses.ProcessStatus status() {
        return new SiblingProcesses.ProcessStatus(
                router.claimedDescriptors(), router.tunnelsPerWarmHost());
    }

    private void applyStatuses(List<SiblingProcesses.ProcessStatus> others) {
        router.setDescriptorsHeldElsewhere(
                others.stream().mapToInt(SiblingProcesses.ProcessStatus::descriptors).sum(),
                others.size());
        others.forEach(other -> router.adoptTunnelsPerWarmHost(other.tunnelsPerWarmHost()));
    }

    private void enter(Phase next) {
        phase = next;
        log.line(startConfiguration.name() + " " + phase.name().toLowerCase(Locale.ROOT));
    }

    /**
     * Reads the configuration again. Synchronized, so that of several reloads the latest one is in
     * effect at the end.
     */
    private synchronized void reload() {
        try {
            NodeConfiguration next = source.read();
            loop.execute(() -> applyConfiguration(next));
        } catch (MalformedDataException e) {
            loop.execute(() -> rejectConfiguration(e.getMessage()));
        }
    }

    private void rejectConfiguration(String reason) {
        router.tally().count("configurations refused");
        log.line("the configuration before stays in force: " + reason);
    }

    private void applyConfiguration(NodeConfiguration next) {
        if (!next.deploymentIdentity().equals(startConfiguration.deploymentIdentity())) {
            // Discovery and peers would be another customer's: this node's tunnels would go to that
            // customer's hosts.
            rejectConfiguration("it is another deployment's, of " + next.deploymentIdentity());
            return;
        }
        router.tally().count("configurations taken");
        latestConfiguration = next;
        router.reconfigure(extension == null ? next : extension.adapt(next));
        List<String> restartOnly = startConfiguration.changesRequiringRestart(next);
        log.line(
                "configuration taken, discovery at "
                        + Addresses.format(next.discovery())
                        + (restartOnly.isEmpty()
                                ? ""
                                : "; only after a restart: " + String.join(", ", restartOnly)));
    }

    private void printTally() {
        log.lines(router.tally().toString());
    }

    /** Delays the end of the program, as at SIGTERM, until all tunnels are elsewhere. */
    private void shutDownAndWait() {
        boolean isReplaced = siblings != null && siblings.releaseSlot();
        loop.execute(() -> shutDown(isReplaced));
        try {
            stopped.await((long) (maxShutdownSeconds() + 1), TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private double maxShutdownSeconds() {
        double longestClientTimeout =
                startConfiguration.deployment().profiles().stream()
                        .mapToDouble(Deployment.Profile::clientTimeout)
                        .max()
                        .orElse(MAX_CLIENT_WAIT_SECONDS);
        return Math.min(MAX_CLIENT_WAIT_SECONDS, longestClientTimeout) + SHUTDOWN_MARGIN_SECONDS;
    }

    private void shutDown(boolean isReplaced) {
        if (phase == Phase.STARTING) {
            endStart();
        } else if (phase == Phase.SERVING) {
            enter(Phase.LEAVING);
            if (isReplaced) {
                log.line("another process serves at this address");
            }
            shutdownStartedAt = loop.now();
            minShutdownSeconds = isReplaced ? 0 : MIN_SHUTDOWN_SECONDS;
            router.leave(isReplaced);
            if (extension != null) {
                extension.shutDown();
            }
            checkDrained();
        }
    }

    /** Stops a node that waits for its first list of hosts: it has no clients yet. */
    private void endStart() {
        enter(Phase.CLOSING);
        if (extension != null) {
            extension.shutDown();
        }
        router.stop();
        loop.schedule(FLUSH_SECONDS, this::stop);
    }

    private void checkDrained() {
        double elapsed = loop.now() - shutdownStartedAt;
        if (elapsed > maxShutdownSeconds()
                || (elapsed > minShutdownSeconds && router.isDrained())) {
            enter(Phase.CLOSING);
            router.stop();
            loop.schedule(FLUSH_SECONDS, this::stop);
        } else {
            loop.schedule(DRAIN_CHECK_SECONDS, this::checkDrained);
        }
    }

    private void stop() {
        enter(Phase.STOPPED);
        printTally();
        stopped.countDown();
        loop.stop();
    }
}
