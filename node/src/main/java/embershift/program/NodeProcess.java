package embershift.program;

import embershift.model.Deployment;
import embershift.operations.HostEjections;
import embershift.operations.OperatorApi;
import embershift.operations.OperatorServer;
import embershift.protocol.Addresses;
import embershift.protocol.MalformedDataException;
import embershift.protocol.NodeConfiguration;
import embershift.routing.Router;
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

/** A node from its start to its exit. */
public final class NodeProcess {

    /** The phases, in their order; each is entered once, on the loop's thread. */
    enum Phase {
        STARTING,
        SERVING,
        LEAVING,
        CLOSING,
        STOPPED
    }

    /**
     * Seconds for which a node that leaves stays at least: its front goes on sending for a moment.
     */
    private static final double MIN_SHUTDOWN_SECONDS = 0.8;

    /**
     * Seconds beyond the longest client timeout, or beyond LONGEST_WAIT, after which it must be
     * out.
     */
    private static final double SHUTDOWN_MARGIN_SECONDS = 0.45;

    private static final double MAX_CLIENT_WAIT_SECONDS = 3.0;
    private static final double DRAIN_CHECK_SECONDS = 0.02;
    private static final double SIBLING_POLL_SECONDS = 0.1;

    /** Seconds for which last words may still go out. */
    private static final double FLUSH_SECONDS = 0.1;

    /** Where the configuration is read, at the start and whenever it has been replaced. */
    public interface ConfigurationSource {
        NodeConfiguration read() throws MalformedDataException;
    }

    private final ConfigurationSource source;
    private final Log log;
    private final NodeConfiguration startConfiguration;

    /** Null on the platform. */
    private final NodeExtension extension;

    private NodeConfiguration latestConfiguration;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private Phase phase = Phase.STARTING;
    private EventLoop loop;
    private Router router;
    private double shutdownStartedAt;
    private double minShutdownSeconds;
    private HostEjections ejections;

    /** Null where operators have no address, or there is no folder for it. */
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
     * Starts a node with a companion; it then lives on its loop. Returns where it listens; fails
     * where it can't.
     */
    public static InetSocketAddress start(ConfigurationSource source, NodeExtension extension)
            throws IOException, MalformedDataException {
        return new NodeProcess(source, new Log(System.err), extension).start();
    }

    /** Listens, and returns where; the node then lives on its loop. Fails where it can't listen. */
    InetSocketAddress start() throws IOException {
        loop = new EventLoop();
        CompletableFuture<InetSocketAddress> listening = new CompletableFuture<>();
        loop.execute(() -> serve(listening));
        // Before the node can be seen to be ready: unhandled, both signals would end the program.
        if (!Signals.onHangup(this::reload)) {
            // As under nohup: what was ignored before the program began can't be had, and nobody
            // would see why.
            log.line(
                    "SIGHUP is ignored by whoever started this process: a new configuration needs a restart");
        }
        Signals.onUser1(() -> loop.execute(this::printTally));
        // Behind the start on the loop, so that one who leaves finds it over; before its end, as
        // clients may be here by then.
        Runtime.getRuntime().addShutdownHook(new Thread(this::shutDownAndWait, "leave"));
        try {
            return listening.join();
        } catch (CompletionException e) {
            stopped.countDown();
            loop.stop();
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }

    private void serve(CompletableFuture<InetSocketAddress> listening) {
        try {
            router = new Router(loop, startConfiguration, log::line);
            if (startConfiguration.hasManagement()) {
                listenForOperators();
            }
            if (extension != null) {
                startExtension();
            }
            requireNoOtherDeployment();
            InetSocketAddress address = router.listen(startConfiguration.listen());
            if (siblings != null) {
                // Before the yes: at that the other process may be told to leave, and must see who
                // is here.
                siblings.claimSlot();
                requireNoOtherDeployment();
                ejections.applyStored(siblings.read());
                applyStatuses(siblings.exchange(status()));
                loop.schedule(SIBLING_POLL_SECONDS, this::pollSiblings);
            }
            enter(Phase.SERVING);
            log.line("listening on " + Addresses.format(address));
            listening.complete(address);
        } catch (IOException | RuntimeException e) {
            listening.completeExceptionally(e);
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
                        // The end waits for this loop: not on it.
                        new Thread(() -> System.exit(status), "end").start();
                    }
                });
    }

    private boolean isReady() {
        return phase == Phase.SERVING && (extension == null || extension.isReady());
    }

    /** First of all: while the node starts, operators hear a no, not nothing. */
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
        log.line("operators call " + Addresses.format(address));
    }

    /**
     * While another process serves at this address, both go by the same bans and share the
     * descriptors.
     */
    private void pollSiblings() {
        SiblingProcesses.ProcessStatus own = status();
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
                router.claimedDescriptors(), router.tunnelsPerFullHost());
    }

    private void applyStatuses(List<SiblingProcesses.ProcessStatus> others) {
        router.setDescriptorsHeldElsewhere(
                others.stream().mapToInt(SiblingProcesses.ProcessStatus::descriptors).sum(),
                others.size());
        others.forEach(other -> router.learnTunnelsPerFullHost(other.tunnelsToFillHost()));
        if (!others.isEmpty()) {
            ejections.reloadStored();
        }
    }

    private void enter(Phase next) {
        phase = next;
        log.line(startConfiguration.name() + " " + phase.name().toLowerCase(Locale.ROOT));
    }

    /**
     * Reads the configuration again; one after the other, so that the latest reading holds at the
     * end.
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
            // Its discovery and peers are another customer's: this node's tunnels would go to their
            // hosts.
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

    /** Holds up the end of the program, as at SIGTERM, until all tunnels are elsewhere. */
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
        if (phase == Phase.SERVING) {
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
