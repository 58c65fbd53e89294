package embershift.program;

import embershift.model.Deployment;
import embershift.operations.Bans;
import embershift.operations.Callers;
import embershift.operations.Desk;
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
public final class Service {

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
    private static final double LEAST_STAY = 0.8;

    /**
     * Seconds beyond the longest client timeout, or beyond LONGEST_WAIT, after which it must be
     * out.
     */
    private static final double MOST_STAY = 0.45;

    private static final double LONGEST_WAIT = 3.0;
    private static final double LOOK = 0.02;
    private static final double LOOK_AT_NEIGHBOURS = 0.1;

    /** Seconds for which last words may still go out. */
    private static final double LAST_WORDS = 0.1;

    /** Where the configuration is read, at the start and whenever it has been replaced. */
    public interface Source {
        NodeConfiguration read() throws MalformedDataException;
    }

    private final Source source;
    private final Log log;
    private final NodeConfiguration configuration;

    /** Null on the platform. */
    private final Companion companion;

    private NodeConfiguration latest;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private Phase phase = Phase.STARTING;
    private EventLoop loop;
    private Router router;
    private double leavingSince;
    private double leastStay;
    private Bans bans;

    /** Null where operators have no address, or there is no folder for it. */
    private volatile Neighbours neighbours;

    Service(Source source, Log log) throws MalformedDataException {
        this(source, log, null);
    }

    private Service(Source source, Log log, Companion companion) throws MalformedDataException {
        this.source = source;
        this.log = log;
        this.companion = companion;
        configuration = source.read();
        latest = configuration;
    }

    /**
     * Starts a node with a companion; it then lives on its loop. Returns where it listens; fails
     * where it can't.
     */
    public static InetSocketAddress start(Source source, Companion companion)
            throws IOException, MalformedDataException {
        return new Service(source, new Log(System.err), companion).start();
    }

    /** Listens, and returns where; the node then lives on its loop. Fails where it can't listen. */
    InetSocketAddress start() throws IOException {
        loop = new EventLoop();
        CompletableFuture<InetSocketAddress> serving = new CompletableFuture<>();
        loop.execute(() -> serve(serving));
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
        Runtime.getRuntime().addShutdownHook(new Thread(this::leaveAndWait, "leave"));
        try {
            return serving.join();
        } catch (CompletionException e) {
            stopped.countDown();
            loop.stop();
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }

    private void serve(CompletableFuture<InetSocketAddress> serving) {
        try {
            router = new Router(loop, configuration, log::line);
            if (configuration.hasManagement()) {
                listenForOperators();
            }
            if (companion != null) {
                accompany();
            }
            mindOthers();
            InetSocketAddress address = router.listen(configuration.listen());
            if (neighbours != null) {
                // Before the yes: at that the other process may be told to leave, and must see who
                // is here.
                neighbours.serve();
                mindOthers();
                bans.follow(neighbours.read());
                heed(neighbours.exchange(word()));
                loop.schedule(LOOK_AT_NEIGHBOURS, this::lookAtNeighbours);
            }
            enter(Phase.SERVING);
            log.line("listening on " + Addresses.format(address));
            serving.complete(address);
        } catch (IOException | RuntimeException e) {
            serving.completeExceptionally(e);
        }
    }

    private void mindOthers() throws IOException {
        if (neighbours != null && neighbours.othersHere()) {
            throw new IOException(
                    "can't listen on "
                            + Addresses.format(configuration.listen())
                            + ": a node of another deployment serves there");
        }
    }

    private void accompany() {
        Bans known = bans == null ? new Bans(loop, router, null) : bans;
        companion.begin(
                new Companion.Node() {
                    @Override
                    public EventLoop loop() {
                        return loop;
                    }

                    @Override
                    public Router router() {
                        return router;
                    }

                    @Override
                    public Bans bans() {
                        return known;
                    }

                    @Override
                    public NodeConfiguration configuration() {
                        return latest;
                    }

                    @Override
                    public boolean serving() {
                        return phase == Phase.SERVING;
                    }

                    @Override
                    public void log(String line) {
                        log.line(line);
                    }

                    @Override
                    public void end(int status) {
                        // The end waits for this loop: not on it.
                        new Thread(() -> System.exit(status), "end").start();
                    }
                });
    }

    private boolean ready() {
        return phase == Phase.SERVING && (companion == null || companion.ready());
    }

    /** First of all: while the node starts, operators hear a no, not nothing. */
    private void listenForOperators() throws IOException {
        neighbours =
                Neighbours.in(
                        System.getenv("TMPDIR"),
                        Addresses.format(configuration.listen()),
                        configuration.deploymentIdentity(),
                        log::line);
        bans = new Bans(loop, router, neighbours);
        Desk desk = new Desk(router, bans, this::ready);
        InetSocketAddress address =
                new Callers(loop, desk, router.tally()).listen(configuration.management());
        log.line("operators call " + Addresses.format(address));
    }

    /**
     * While another process serves at this address, both go by the same bans and share the
     * descriptors.
     */
    private void lookAtNeighbours() {
        Neighbours.Word mine = word();
        loop.executeBlocking(
                () -> {
                    List<Neighbours.Word> others = neighbours.exchange(mine);
                    loop.execute(
                            () -> {
                                heed(others);
                                loop.schedule(LOOK_AT_NEIGHBOURS, this::lookAtNeighbours);
                            });
                });
    }

    private Neighbours.Word word() {
        return new Neighbours.Word(router.claimedDescriptors(), router.tunnelsThatFill());
    }

    private void heed(List<Neighbours.Word> others) {
        router.heldElsewhere(
                others.stream().mapToInt(Neighbours.Word::descriptors).sum(), others.size());
        others.forEach(other -> router.toldOfFilling(other.filling()));
        if (!others.isEmpty()) {
            bans.readAgain();
        }
    }

    private void enter(Phase next) {
        phase = next;
        log.line(configuration.name() + " " + phase.name().toLowerCase(Locale.ROOT));
    }

    /**
     * Reads the configuration again; one after the other, so that the latest reading holds at the
     * end.
     */
    private synchronized void reload() {
        try {
            NodeConfiguration next = source.read();
            loop.execute(() -> goBy(next));
        } catch (MalformedDataException e) {
            loop.execute(() -> refuse(e.getMessage()));
        }
    }

    private void refuse(String why) {
        router.tally().count("configurations refused");
        log.line("the configuration before stays in force: " + why);
    }

    private void goBy(NodeConfiguration next) {
        if (!next.deploymentIdentity().equals(configuration.deploymentIdentity())) {
            // Its discovery and peers are another customer's: this node's tunnels would go to their
            // hosts.
            refuse("it is another deployment's, of " + next.deploymentIdentity());
            return;
        }
        router.tally().count("configurations taken");
        latest = next;
        router.reconfigure(companion == null ? next : companion.adapt(next));
        List<String> fixed = configuration.changesRequiringRestart(next);
        log.line(
                "configuration taken, discovery at "
                        + Addresses.format(next.discovery())
                        + (fixed.isEmpty()
                                ? ""
                                : "; only after a restart: " + String.join(", ", fixed)));
    }

    private void printTally() {
        log.lines(router.tally().toString());
    }

    /** Holds up the end of the program, as at SIGTERM, until all tunnels are elsewhere. */
    private void leaveAndWait() {
        boolean replaced = neighbours != null && neighbours.replacesThis();
        loop.execute(() -> leave(replaced));
        try {
            stopped.await((long) (mostStay() + 1), TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private double mostStay() {
        double longest =
                configuration.deployment().profiles().stream()
                        .mapToDouble(Deployment.Profile::clientTimeout)
                        .max()
                        .orElse(LONGEST_WAIT);
        return Math.min(LONGEST_WAIT, longest) + MOST_STAY;
    }

    private void leave(boolean replaced) {
        if (phase == Phase.SERVING) {
            enter(Phase.LEAVING);
            if (replaced) {
                log.line("another process serves at this address");
            }
            leavingSince = loop.now();
            leastStay = replaced ? 0 : LEAST_STAY;
            router.leave(replaced);
            if (companion != null) {
                companion.leaves();
            }
            lookWhetherEmpty();
        }
    }

    private void lookWhetherEmpty() {
        double stayed = loop.now() - leavingSince;
        if (stayed > mostStay() || (stayed > leastStay && router.empty())) {
            enter(Phase.CLOSING);
            router.stop();
            loop.schedule(LAST_WORDS, this::stop);
        } else {
            loop.schedule(LOOK, this::lookWhetherEmpty);
        }
    }

    private void stop() {
        enter(Phase.STOPPED);
        printTally();
        stopped.countDown();
        loop.stop();
    }
}
