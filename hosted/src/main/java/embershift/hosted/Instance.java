package embershift.hosted;

import static net.logstash.logback.argument.StructuredArguments.kv;

import embershift.door.FrameCodec;
import embershift.door.TomlSettings;
import embershift.fleet.store.CallResult;
import embershift.fleet.store.ReplicatedStore;
import embershift.fleet.store.SnapshotPolicy;
import embershift.raft.Member;
import embershift.raft.MemberId;
import embershift.raft.RaftMessage;
import embershift.raft.RaftMessageCodec;
import embershift.raft.RaftPersistence;
import embershift.raft.RecoveredState;
import embershift.raft.WriteRequest;
import embershift.storage.Disk;
import embershift.storage.FaultInjectingDisk;
import embershift.storage.FileSystemDisk;
import embershift.storage.OutOfSpaceException;
import embershift.transport.EventLoop;
import embershift.transport.TcpConnection;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One control-plane instance: the sockets, timers and disk around a {@link ReplicatedStore}. All
 * state is confined to one event loop; blocking disk writes run outside of it, and the writes
 * requested meanwhile form the next batch.
 */
final class Instance implements ReplicatedStore.Environment {

    private static final Logger LOG = LoggerFactory.getLogger(Instance.class);

    /** Exit status of an instance that halts because it can't go on safely. */
    private static final int EXIT_HALTED = 3;

    /** Seconds until writes are retried that failed on a full disk. */
    private static final double FULL_DISK_RETRY_SECONDS = 0.2;

    /** Seconds for which a leader that shuts down waits until another instance leads. */
    private static final double LEADERSHIP_TRANSFER_SECONDS = 1.5;

    private static final double SHUTDOWN_POLL_SECONDS = 0.02;

    /** Seconds between two updates of the addresses of the leader and the other members. */
    private static final double ADDRESS_REFRESH_SECONDS = 0.2;

    /** Seconds for which an instance that shuts down waits until its leases are released. */
    private static final double TASK_RELEASE_SECONDS = 1;

    private final InstanceSettings settings;
    private final EventLoop loop;
    private final Disk disk;
    private final RaftPersistence persistence;
    private final ReplicatedStore replica;
    private final double tickSeconds;
    private final int maxCatchUpTicks;
    private Identity identity;
    private double lastTickAt;
    private final List<WriteRequest> pendingWrites = new ArrayList<>();
    private boolean isWriting;
    private boolean isDiskFull;
    private final Map<MemberId, PeerConnection> peers = new HashMap<>();

    private final Map<Long, CallHandler.ResultListener> pendingCalls = new HashMap<>();
    private long lastCallId;
    private final InboundConnections inboundConnections;
    private final TreeMap<String, Long> counters = new TreeMap<>();
    private final CountDownLatch shutdownComplete = new CountDownLatch(1);

    /** The address that this instance itself listens on. */
    private InetSocketAddress listenAddress;

    private volatile List<InetSocketAddress> instanceAddresses = List.of();
    private LeasedTasks tasks;

    private Instance(InstanceSettings settings, EventLoop loop, FileSystemDisk directory)
            throws IOException {
        this.settings = settings;
        this.loop = loop;
        disk = settings.faultInjection() ? new FaultInjectingDisk(directory) : directory;
        identity = Identity.loadOrCreate(disk);
        persistence = RaftPersistence.open(disk, settings.limits().maxLogFileBytes());
        RecoveredState recovered = persistence.takeRecovered();
        inboundConnections =
                new InboundConnections(
                        settings.limits().maxCallers(), Runtime.getRuntime().maxMemory());
        tickSeconds = settings.timing().tickSeconds();
        embershift.raft.RaftTiming timing = settings.timing().toRaftTiming();
        maxCatchUpTicks = 3 * timing.electionTicks();
        lastTickAt = loop.now();
        if (persistence.truncatedBytes() > 0) {
            LOG.warn(
                    "damaged end of the log truncated",
                    kv("bytes", persistence.truncatedBytes()),
                    kv("doubt", recovered.isUntrusted()));
        }
        replica =
                new ReplicatedStore(
                        identity.id(),
                        timing,
                        settings.limits().toRaftLimits(),
                        new SnapshotPolicy(
                                settings.limits().snapshotEntries(),
                                settings.limits().snapshotLogBytes(),
                                SnapshotPolicy.DEFAULTS.checksumInterval()),
                        recovered,
                        Identity.randomId(),
                        Identity.randomId(),
                        this);
        LOG.info(
                "instance",
                kv("name", settings.name()),
                kv("id", identity.id().toString()),
                kv("group", Long.toHexString(identity.group())),
                kv("term", replica.raft().term()),
                kv("entries", replica.raft().lastIndex()),
                kv("members", replica.raft().membership().toString()));
    }

    /** Starts an instance; its event loop keeps the process alive. */
    static void start(InstanceSettings settings) throws IOException {
        FileSystemDisk directory = FileSystemDisk.open(Path.of(settings.directory()));
        EventLoop loop = new EventLoop();
        try {
            Instance instance = new Instance(settings, loop, directory);
            InetSocketAddress address =
                    loop.listen(
                                    TomlSettings.parseAddress(settings.listenAddress()),
                                    instance::makeRoomForConnection,
                                    connection ->
                                            loop.execute(
                                                    () ->
                                                            new InboundConnection(
                                                                    instance, connection)))
                            .localAddress();
            loop.execute(
                    () -> {
                        instance.listenAddress = address;
                        instance.tickPeriodically();
                        instance.refreshAddresses();
                        instance.tasks =
                                new LeasedTasks(
                                        loop,
                                        settings.name(),
                                        settings.fleet(),
                                        instance.replica::store,
                                        () -> instance.instanceAddresses,
                                        (counter, amount) ->
                                                instance.counters.merge(counter, amount, Long::sum),
                                        Identity.randomId());
                    });
            Runtime.getRuntime().addShutdownHook(new Thread(instance::shutDown, "end"));
            LOG.info("listening", kv("address", address.getHostString() + ":" + address.getPort()));
        } catch (IOException e) {
            loop.stop();
            directory.close();
            throw e;
        }
    }

    void count(String counter) {
        counters.merge(counter, 1L, Long::sum);
    }

    // Time

    /**
     * Runs an action and halts the process on an unexpected exception: after it nobody can tell
     * whether what this instance has promised to others still holds.
     */
    void runGuarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOG.error("fault", e);
            halt("unexpected exception: " + e);
        }
    }

    private void tickPeriodically() {
        runGuarded(this::catchUpTicks);
        loop.schedule(tickSeconds, this::tickPeriodically);
    }

    /**
     * Applies the ticks that are due. Runs before any received data is handled, so that an instance
     * that was paused does not take old messages for recent ones.
     */
    void catchUpTicks() {
        double now = loop.now();
        int ticks = (int) ((now - lastTickAt) / tickSeconds);
        if (ticks > 0) {
            lastTickAt += ticks * tickSeconds;
            replica.tick(now, Math.min(ticks, maxCatchUpTicks));
        }
    }

    /** Updates the addresses that this instance's own store clients use, the leader's first. */
    private void refreshAddresses() {
        List<InetSocketAddress> addresses = new ArrayList<>();
        MemberId leader = replica.raft().leader().orElse(MemberId.NONE);
        for (Member member : replica.raft().membership().members()) {
            InetSocketAddress address =
                    member.id().equals(identity.id())
                            ? listenAddress
                            : TomlSettings.parseAddress(
                                    settings.peerAddresses()
                                            .getOrDefault(member.name(), member.address()));
            addresses.add(member.id().equals(leader) ? 0 : addresses.size(), address);
        }
        instanceAddresses = List.copyOf(addresses);
        inboundConnections.closeOverdue(loop.now());
        loop.schedule(ADDRESS_REFRESH_SECONDS, this::refreshAddresses);
    }

    // Disk

    @Override
    public void persist(WriteRequest request) {
        pendingWrites.add(request);
        writePending();
    }

    private void writePending() {
        if (isWriting || pendingWrites.isEmpty()) {
            return;
        }
        isWriting = true;
        // Deferred to the next turn of the loop, so that all writes of this turn go in one batch.
        loop.execute(
                () -> {
                    List<WriteRequest> batch = List.copyOf(pendingWrites);
                    pendingWrites.clear();
                    loop.executeBlocking(() -> writeBatch(batch));
                });
    }

    private void writeBatch(List<WriteRequest> batch) {
        try {
            persistence.write(batch);
            loop.execute(
                    () -> {
                        if (isDiskFull) {
                            isDiskFull = false;
                            LOG.info("disk has space again");
                        }
                        isWriting = false;
                        runGuarded(
                                () ->
                                        replica.writesCompleted(
                                                loop.now(), batch.get(batch.size() - 1).number()));
                        writePending();
                    });
        } catch (OutOfSpaceException e) {
            loop.execute(
                    () -> {
                        if (!isDiskFull) {
                            isDiskFull = true;
                            LOG.error(
                                    "disk is full; calls are not answered until writes succeed",
                                    kv("why", e.getMessage()));
                        }
                        count("writes without room");
                        loop.schedule(
                                FULL_DISK_RETRY_SECONDS,
                                () -> loop.executeBlocking(() -> writeBatch(batch)));
                    });
        } catch (IOException | RuntimeException e) {
            halt("disk write failed, the stored state is undefined: " + e);
        }
    }

    @Override
    public void stateTrusted() {
        LOG.info("state is trusted again");
        loop.executeBlocking(
                () -> {
                    try {
                        persistence.markTrusted();
                    } catch (IOException e) {
                        // The state is then untrusted again after the next start, which is safe.
                        LOG.warn(
                                "could not remove the mark of untrusted state",
                                kv("why", e.getMessage()));
                    }
                });
    }

    @Override
    public void halt(String reason) {
        LOG.error("stops", kv("why", reason));
        System.err.println("stops: " + reason);
        Runtime.getRuntime().halt(EXIT_HALTED);
    }

    // Other instances

    @Override
    public void send(MemberId to, RaftMessage message) {
        Member member = replica.raft().membership().find(to).orElse(null);
        if (member == null) {
            InboundConnection inbound = inboundConnections.peer(to);
            // An instance that is still joining knows no members: it answers at the address that
            // the sender gave in its handshake.
            member =
                    inbound == null
                            ? null
                            : new Member(
                                    to,
                                    inbound.peerName(),
                                    inbound.peerAddress(),
                                    Member.Role.LEARNER);
        }
        if (member != null) {
            String address = settings.peerAddresses().getOrDefault(member.name(), member.address());
            if (TomlSettings.isValidAddress(address)) {
                peers.computeIfAbsent(to, key -> new PeerConnection(to)).send(address, message);
            }
        }
    }

    /**
     * The outgoing connection to another instance, reopened when it is lost. Raft messages go one
     * way only: the other instance answers on a connection of its own.
     */
    private final class PeerConnection implements TcpConnection.Listener {
        private static final double MIN_RECONNECT_SECONDS = 0.03;
        private static final double MAX_RECONNECT_SECONDS = 0.5;
        private static final double STALL_TIMEOUT_SECONDS = 3;
        private static final int MAX_QUEUED_BYTES = 4 << 20;

        private final MemberId peer;
        private TcpConnection connection;
        private FrameCodec frames;
        private boolean isAccepted;
        private double reconnectDelay = MIN_RECONNECT_SECONDS;
        private double reconnectAt;
        private double blockedSince;
        private int queuedBytes;

        PeerConnection(MemberId peer) {
            this.peer = peer;
        }

        void send(String address, RaftMessage message) {
            double now = loop.now();
            if (connection == null) {
                if (now >= reconnectAt) {
                    connect(address, now);
                }
                return;
            }
            if (!isAccepted) {
                return;
            }
            if (connection.hasPendingWrites()) {
                if (now - blockedSince > STALL_TIMEOUT_SECONDS) {
                    count("ways given up as stuck");
                    disconnect(now);
                    return;
                }
            } else {
                queuedBytes = 0;
                blockedSince = now;
            }
            ByteBuffer frame =
                    FrameCodec.encode(FrameCodec.MESSAGE, RaftMessageCodec.encode(message));
            queuedBytes += frame.remaining();
            if (queuedBytes > MAX_QUEUED_BYTES) {
                count("messages dropped for want of room");
                return;
            }
            count("messages sent");
            if (!connection.write(frame)) {
                disconnect(now);
            }
        }

        private void connect(String address, double now) {
            frames = new FrameCodec();
            isAccepted = false;
            queuedBytes = 0;
            blockedSince = now;
            reconnectAt = now + reconnectDelay;
            connection = loop.connect(TomlSettings.parseAddress(address), this);
            TcpConnection attempt = connection;
            loop.schedule(
                    STALL_TIMEOUT_SECONDS,
                    () -> {
                        if (connection == attempt && !isAccepted) {
                            disconnect(loop.now());
                        }
                    });
        }

        private void disconnect(double now) {
            if (connection != null) {
                connection.close();
                connection = null;
            }
            reconnectDelay = Math.min(MAX_RECONNECT_SECONDS, 2 * reconnectDelay);
            reconnectAt = now + reconnectDelay;
        }

        @Override
        public void connected() {
            connection.write(
                    FrameCodec.encode(
                            FrameCodec.HANDSHAKE,
                            Handshake.of(
                                            identity.group(),
                                            identity.id(),
                                            settings.name(),
                                            peer,
                                            settings.advertisedAddress())
                                    .encode()));
        }

        @Override
        public void connectFailed() {
            connection = null;
            disconnect(loop.now());
        }

        @Override
        public void received(ByteBuffer bytes) {
            try {
                frames.decode(
                        bytes,
                        frame -> {
                            if (frame[0] == FrameCodec.HANDSHAKE_ACCEPTED) {
                                isAccepted = true;
                                reconnectDelay = MIN_RECONNECT_SECONDS;
                            } else {
                                String reason =
                                        new String(
                                                frame, 1, frame.length - 1, StandardCharsets.UTF_8);
                                LOG.warn(
                                        "handshake rejected by the other instance",
                                        kv("at", peer.toString()),
                                        kv("why", reason));
                                count("refused by others");
                                reconnectDelay = MAX_RECONNECT_SECONDS;
                                disconnect(loop.now());
                            }
                        });
            } catch (FrameCodec.MalformedFrameException e) {
                disconnect(loop.now());
            }
        }

        @Override
        public void inputEnded() {
            disconnect(loop.now());
        }

        @Override
        public void connectionLost() {
            disconnect(loop.now());
        }
    }

    private boolean makeRoomForConnection() {
        for (int closed = inboundConnections.makeRoomForCaller(); closed > 0; closed--) {
            count("callers that gave way");
        }
        return true;
    }

    /**
     * Joins a group and returns whether that is on disk. Done only once, before this instance has
     * promised anything to other members.
     */
    boolean joinGroup(long group) {
        Identity next = new Identity(identity.id(), group);
        try {
            next.write(disk);
            identity = next;
            LOG.info("belongs", kv("group", Long.toHexString(group)));
            return true;
        } catch (IOException e) {
            LOG.error("could not store the group", kv("why", e.getMessage()));
            return false;
        }
    }

    // Calls

    long registerCall(CallHandler.ResultListener listener) {
        long callId = ++lastCallId;
        pendingCalls.put(callId, listener);
        return callId;
    }

    void cancelCall(long callId) {
        pendingCalls.remove(callId);
        replica.cancelCall(callId);
    }

    InboundConnections inboundConnections() {
        return inboundConnections;
    }

    Set<MemberId> members() {
        return replica.raft().membership().members().stream()
                .map(Member::id)
                .collect(Collectors.toSet());
    }

    /** Runs an action on the event loop after the work in progress. */
    void executeLater(Runnable action) {
        loop.execute(action);
    }

    /** The tasks, or null at the very start. */
    LeasedTasks tasks() {
        return tasks;
    }

    InstanceSettings settings() {
        return settings;
    }

    ReplicatedStore replica() {
        return replica;
    }

    double now() {
        return loop.now();
    }

    Identity identity() {
        return identity;
    }

    Map<String, Long> counters() {
        return counters;
    }

    String name() {
        return settings.name();
    }

    int logFileCount() {
        return persistence.logFileCount();
    }

    /** Creates a group with this instance as its only member; returns the error, or null. */
    String createGroup() {
        if (identity.group() != 0 || replica.raft().lastIndex() > 0) {
            return "this instance belongs to group "
                    + Long.toHexString(identity.group())
                    + " already";
        }
        if (!joinGroup(Identity.randomId())) {
            return "the group could not be stored on disk";
        }
        replica.bootstrap(
                loop.now(),
                new Member(
                        identity.id(),
                        settings.name(),
                        settings.advertisedAddress(),
                        Member.Role.VOTER));
        return null;
    }

    /** Adds the instance at an address to the group, after a handshake that tells its identity. */
    void addMember(long callId, String address, Member.Role role) {
        FrameCodec frames = new FrameCodec();
        TcpConnection[] connection = new TcpConnection[1];
        EventLoop.Timer[] timer = new EventLoop.Timer[1];
        Consumer<String> reject =
                reason -> {
                    timer[0].cancel();
                    connection[0].close();
                    complete(callId, new CallResult.Rejected(CallResult.Reason.MEMBERSHIP, reason));
                };
        timer[0] = loop.schedule(2, () -> reject.accept("no answer from " + address));
        connection[0] =
                loop.connect(
                        TomlSettings.parseAddress(address),
                        new TcpConnection.Listener() {
                            @Override
                            public void connected() {
                                connection[0].write(
                                        FrameCodec.encode(
                                                FrameCodec.HANDSHAKE,
                                                Handshake.of(
                                                                identity.group(),
                                                                identity.id(),
                                                                settings.name(),
                                                                new MemberId(0),
                                                                settings.advertisedAddress())
                                                        .encode()));
                            }

                            @Override
                            public void connectFailed() {
                                reject.accept("nobody is at " + address);
                            }

                            @Override
                            public void received(ByteBuffer bytes) {
                                try {
                                    frames.decode(
                                            bytes,
                                            frame -> {
                                                try {
                                                    handshakeCompleted(Handshake.decode(frame));
                                                } catch (FrameCodec.MalformedFrameException e) {
                                                    reject.accept(e.getMessage());
                                                }
                                            });
                                } catch (FrameCodec.MalformedFrameException e) {
                                    reject.accept(e.getMessage());
                                }
                            }

                            private void handshakeCompleted(Handshake other) {
                                if (other.group() != 0 && other.group() != identity.group()) {
                                    reject.accept(
                                            other.senderName()
                                                    + " belongs to group "
                                                    + Long.toHexString(other.group()));
                                    return;
                                }
                                timer[0].cancel();
                                connection[0].close();
                                replica.addMember(
                                        loop.now(),
                                        callId,
                                        new Member(
                                                other.sender(), other.senderName(), address, role));
                            }

                            @Override
                            public void inputEnded() {
                                reject.accept(
                                        "the instance at " + address + " closed the connection");
                            }

                            @Override
                            public void connectionLost() {
                                reject.accept("the connection to " + address + " was lost");
                            }
                        });
    }

    @Override
    public void complete(long callId, CallResult result) {
        CallHandler.ResultListener listener = pendingCalls.remove(callId);
        if (listener != null) {
            listener.completed(callId, result);
        }
    }

    @Override
    public void roleChanged(boolean isLeader, long term, Optional<MemberId> leader) {
        // Also called from the constructor of the replica, while the field is still null.
        String leaderName =
                replica == null
                        ? ""
                        : leader.flatMap(replica.raft().membership()::find)
                                .map(Member::name)
                                .orElse("");
        LOG.info(isLeader ? "leads" : "follows", kv("term", term), kv("leader", leaderName));
        count(isLeader ? "terms led" : "changes of leader");
    }

    // Shutdown

    /**
     * Releases the leases and then transfers the leadership at SIGTERM, so that no other instance
     * has to wait for a timeout to take over.
     */
    private void shutDown() {
        loop.execute(
                () -> {
                    LOG.info("ends", kv("counts", counters.toString()));
                    awaitTasksReleased(loop.now() + TASK_RELEASE_SECONDS);
                });
        try {
            shutdownComplete.await(
                    (long) (1000 * (TASK_RELEASE_SECONDS + LEADERSHIP_TRANSFER_SECONDS + 1)),
                    TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitTasksReleased(double deadline) {
        if (tasks != null && !tasks.releaseAll() && loop.now() < deadline) {
            loop.schedule(SHUTDOWN_POLL_SECONDS, () -> awaitTasksReleased(deadline));
            return;
        }
        Optional<MemberId> target =
                replica.isLeader() ? replica.raft().bestTransferTarget() : Optional.empty();
        if (target.isEmpty()) {
            shutdownComplete.countDown();
            return;
        }
        replica.transferLeadership(loop.now(), ++lastCallId, target.get());
        awaitLeadershipTransfer(loop.now() + LEADERSHIP_TRANSFER_SECONDS);
    }

    private void awaitLeadershipTransfer(double deadline) {
        if (!replica.isLeader() || loop.now() > deadline) {
            LOG.info("ended", kv("led", replica.isLeader()));
            shutdownComplete.countDown();
        } else {
            loop.schedule(SHUTDOWN_POLL_SECONDS, () -> awaitLeadershipTransfer(deadline));
        }
    }
}
