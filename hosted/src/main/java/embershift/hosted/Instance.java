package embershift.hosted;

import static net.logstash.logback.argument.StructuredArguments.kv;

import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.FrameCodec;
import embershift.door.JsonMessages;
import embershift.door.TomlSettings;
import embershift.fleet.store.CallResult;
import embershift.fleet.store.ReplicatedStore;
import embershift.fleet.store.SnapshotPolicy;
import embershift.raft.MalformedBytesException;
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
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One instance: sockets, timers and the disk round a {@link ReplicatedStore}. All on one loop; what
 * waits for the disk is done aside, and what was ordered meanwhile goes there together.
 */
final class Instance implements ReplicatedStore.Environment {

    private static final Logger LOG = LoggerFactory.getLogger(Instance.class);
    private static final int EXIT_HALTED = 3;

    /** Seconds until writes that found no room are tried again. */
    private static final double FULL_DISK_RETRY_SECONDS = 0.2;

    /** Seconds for which a leader that ends waits until another leads. */
    private static final double LEADERSHIP_TRANSFER_SECONDS = 1.5;

    private static final double SHUTDOWN_POLL_SECONDS = 0.02;
    private static final double ADDRESS_REFRESH_SECONDS = 0.2;

    /** Seconds for which one that ends waits for its duties to be given back. */
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

    /** The connection that each other instance speaks on: its newest. */
    private final Map<MemberId, InboundConnection> inboundPeers = new HashMap<>();

    private final Map<Long, CallHandler.ResultListener> pendingCalls = new HashMap<>();
    private long lastCallId;
    private final Set<InboundConnection> callers = new LinkedHashSet<>();
    private final TreeMap<String, Long> counters = new TreeMap<>();
    private final CountDownLatch shutdownComplete = new CountDownLatch(1);

    /** Where this instance itself listens. */
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
        tickSeconds = settings.timing().tickSeconds();
        embershift.raft.RaftTiming timing = settings.timing().toRaftTiming();
        maxCatchUpTicks = 3 * timing.electionTicks();
        lastTickAt = loop.now();
        if (persistence.truncatedBytes() > 0) {
            LOG.warn(
                    "the end of the log was cut",
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

    /** Starts; the program then lives on the loop. */
    static void start(InstanceSettings settings) throws IOException {
        FileSystemDisk directory = FileSystemDisk.open(Path.of(settings.directory()));
        EventLoop loop = new EventLoop();
        try {
            Instance instance = new Instance(settings, loop, directory);
            InetSocketAddress address =
                    loop.listen(
                                    TomlSettings.socket(settings.listenAddress()),
                                    instance::makeRoomForConnection,
                                    connection ->
                                            loop.execute(
                                                    () ->
                                                            instance
                                                            .new InboundConnection(connection)))
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

    private void count(String counter) {
        counters.merge(counter, 1L, Long::sum);
    }

    // Time.

    /**
     * What the program did not foresee must not be gone on from: what it has promised can't be told
     * any more.
     */
    private void runGuarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOG.error("fault", e);
            halt("a fault of the program: " + e);
        }
    }

    private void tickPeriodically() {
        runGuarded(this::catchUpTicks);
        loop.schedule(tickSeconds, this::tickPeriodically);
    }

    /**
     * Before anything that came is looked at: one that stood still must not take old news for new.
     */
    private void catchUpTicks() {
        double now = loop.now();
        int ticks = (int) ((now - lastTickAt) / tickSeconds);
        if (ticks > 0) {
            lastTickAt += ticks * tickSeconds;
            replica.tick(now, Math.min(ticks, maxCatchUpTicks));
        }
    }

    /** For those of this instance that ask the record, wherever its leader is. */
    private void refreshAddresses() {
        List<InetSocketAddress> addresses = new ArrayList<>();
        MemberId leader = replica.raft().leader().orElse(MemberId.NONE);
        for (Member member : replica.raft().membership().members()) {
            InetSocketAddress address =
                    member.id().equals(identity.id())
                            ? listenAddress
                            : TomlSettings.socket(
                                    settings.peerAddresses()
                                            .getOrDefault(member.name(), member.address()));
            addresses.add(member.id().equals(leader) ? 0 : addresses.size(), address);
        }
        instanceAddresses = List.copyOf(addresses);
        loop.schedule(ADDRESS_REFRESH_SECONDS, this::refreshAddresses);
    }

    // The disk.

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
        // After this turn, so that all that it orders goes together.
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
                            LOG.info("the disk takes writes again");
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
                                    "no room: nothing is answered until there is",
                                    kv("why", e.getMessage()));
                        }
                        count("writes without room");
                        loop.schedule(
                                FULL_DISK_RETRY_SECONDS,
                                () -> loop.executeBlocking(() -> writeBatch(batch)));
                    });
        } catch (IOException | RuntimeException e) {
            halt("the disk failed, and what is on it can't be told: " + e);
        }
    }

    @Override
    public void stateTrusted() {
        LOG.info("has all again that it was in doubt of");
        loop.executeBlocking(
                () -> {
                    try {
                        persistence.markTrusted();
                    } catch (IOException e) {
                        // It will be in doubt again after the next start, which is on the safe
                        // side.
                        LOG.warn("the mark of doubt stays", kv("why", e.getMessage()));
                    }
                });
    }

    @Override
    public void halt(String reason) {
        LOG.error("stops", kv("why", reason));
        System.err.println("stops: " + reason);
        Runtime.getRuntime().halt(EXIT_HALTED);
    }

    // The others.

    @Override
    public void send(MemberId to, RaftMessage message) {
        Member member = replica.raft().membership().find(to).orElse(null);
        if (member == null) {
            InboundConnection inbound = inboundPeers.get(to);
            // Whoever is not known here, as to one that joins nobody is, is answered where it says
            // that it lives.
            member =
                    inbound == null
                            ? null
                            : new Member(
                                    to, inbound.peerName, inbound.peerAddress, Member.Role.LEARNER);
        }
        if (member != null) {
            String address = settings.peerAddresses().getOrDefault(member.name(), member.address());
            if (TomlSettings.isAddress(address)) {
                peers.computeIfAbsent(to, key -> new PeerConnection(to)).send(address, message);
            }
        }
    }

    /**
     * The way to another instance: one connection, dialled again when it is lost, on which only
     * this one speaks.
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
            connection = loop.connect(TomlSettings.socket(address), this);
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
                frames.take(
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
                                        "not welcome",
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
        while (callers.size() >= settings.limits().maxCallers()) {
            InboundConnection oldest = callers.iterator().next();
            count("callers that gave way");
            oldest.close();
        }
        return true;
    }

    /** A connection that came in: of another instance, or of a caller. */
    final class InboundConnection implements TcpConnection.Listener {
        private static final int MAX_CONSECUTIVE_DROPS = 20;
        private final TcpConnection connection;
        private final FrameCodec frames = new FrameCodec();
        private MemberId peer;
        private String peerName = "";
        private String peerAddress = "";
        private NodeConnections.NodeConnection node;
        private int consecutiveDrops;
        private final Set<Long> openCallIds = new LinkedHashSet<>();

        InboundConnection(TcpConnection connection) {
            this.connection = connection;
            callers.add(this);
            connection.setListener(this);
        }

        @Override
        public void received(ByteBuffer bytes) {
            runGuarded(Instance.this::catchUpTicks);
            try {
                frames.take(bytes, frame -> runGuarded(() -> handleFrame(frame)));
            } catch (FrameCodec.MalformedFrameException e) {
                count("connections with unreadable bytes");
                close();
            }
        }

        private void handleFrame(byte[] frame) {
            if (connection.isClosed() || tasks == null) {
                return;
            }
            try {
                switch (frame[0]) {
                    case FrameCodec.HANDSHAKE -> handleHandshake(Handshake.decode(frame));
                    case FrameCodec.MESSAGE -> handleRaftMessage(frame);
                    case FrameCodec.CALL -> CallHandler.handle(Instance.this, this, frame);
                    case FrameCodec.NODE -> handleNodeMessage(JsonMessages.read(frame));
                    default ->
                            throw new FrameCodec.MalformedFrameException(
                                    "a piece of kind " + frame[0]);
                }
            } catch (FrameCodec.MalformedFrameException | MalformedBytesException e) {
                count("connections with unreadable bytes");
                close();
            }
        }

        private void handleNodeMessage(ObjectNode message)
                throws FrameCodec.MalformedFrameException {
            if (node == null && message.path("kind").asText().equals("here")) {
                callers.remove(this);
                node = tasks.nodes().handleHello(this, message);
            } else if (node != null) {
                tasks.nodes().handleMessage(node, message);
            } else {
                throw new FrameCodec.MalformedFrameException("a node that has not said who it is");
            }
        }

        /** Says something to a node. */
        void sendToNode(ObjectNode message) {
            if (connection.isClosed()) {
                return;
            }
            if (connection.hasPendingWrites()
                    || !connection.write(JsonMessages.frame(FrameCodec.ORDER, message))) {
                count("words to nodes dropped");
                // What it misses it is told again, or it comes again.
                consecutiveDrops++;
                if (consecutiveDrops > MAX_CONSECUTIVE_DROPS) {
                    close();
                }
            } else {
                consecutiveDrops = 0;
            }
        }

        /** Ends it, once what was written is out. */
        void closeGracefully() {
            callers.remove(this);
            connection.closeGracefully();
        }

        private void handleHandshake(Handshake handshake) {
            String rejection = rejectionReason(handshake);
            if (rejection != null) {
                count("instances refused");
                LOG.warn(
                        "refused",
                        kv("name", handshake.senderName()),
                        kv("id", handshake.sender().toString()),
                        kv("why", rejection));
                connection.write(
                        FrameCodec.encode(
                                FrameCodec.HANDSHAKE_REJECTED,
                                rejection.getBytes(StandardCharsets.UTF_8)));
                callers.remove(this);
                connection.closeGracefully();
                return;
            }
            if (handshake.recipient().number() != 0) {
                if (identity.group() == 0 && !joinGroup(handshake.group())) {
                    close();
                    return;
                }
                peer = handshake.sender();
                peerName = handshake.senderName();
                peerAddress = handshake.senderAddress();
                callers.remove(this);
                InboundConnection previous = inboundPeers.put(peer, this);
                if (previous != null) {
                    // What it still holds is of a run before, or was given up by its sender.
                    previous.close();
                }
            }
            connection.write(
                    FrameCodec.encode(
                            FrameCodec.HANDSHAKE_ACCEPTED,
                            Handshake.of(
                                            identity.group(),
                                            identity.id(),
                                            settings.name(),
                                            handshake.sender(),
                                            settings.advertisedAddress())
                                    .encode()));
        }

        private String rejectionReason(Handshake handshake) {
            if (Handshake.negotiatedVersion(handshake.oldestVersion(), handshake.newestVersion())
                    == 0) {
                return "versions "
                        + handshake.oldestVersion()
                        + " to "
                        + handshake.newestVersion()
                        + " are not known here, but "
                        + Handshake.OLDEST_VERSION
                        + " to "
                        + Handshake.NEWEST_VERSION;
            }
            if (handshake.recipient().number() == 0) {
                return null;
            }
            if (!handshake.recipient().equals(identity.id())) {
                return "here is " + identity.id() + ", not " + handshake.recipient();
            }
            if (identity.group() != 0 && handshake.group() != identity.group()) {
                return "of group "
                        + Long.toHexString(handshake.group())
                        + ", here is "
                        + Long.toHexString(identity.group());
            }
            return handshake.group() == 0 ? "of no group" : null;
        }

        private void handleRaftMessage(byte[] frame) throws FrameCodec.MalformedFrameException {
            if (peer == null || inboundPeers.get(peer) != this) {
                throw new FrameCodec.MalformedFrameException("a message without a greeting");
            }
            count("messages taken");
            replica.receive(
                    loop.now(),
                    peer,
                    RaftMessageCodec.decode(Arrays.copyOfRange(frame, 1, frame.length)));
        }

        void sendAnswer(ObjectNode answer) {
            if (!connection.isClosed()) {
                connection.write(FrameCodec.encode(FrameCodec.ANSWER, JsonMessages.bytes(answer)));
            }
        }

        long registerCall(CallHandler.ResultListener listener) {
            long callId = ++lastCallId;
            pendingCalls.put(callId, listener);
            openCallIds.add(callId);
            return callId;
        }

        void callAnswered(long callId) {
            openCallIds.remove(callId);
        }

        void close() {
            callers.remove(this);
            if (peer != null) {
                inboundPeers.remove(peer, this);
            }
            if (node != null) {
                tasks.nodes().remove(node);
            }
            openCallIds.forEach(
                    callId -> {
                        pendingCalls.remove(callId);
                        replica.abandon(callId);
                    });
            openCallIds.clear();
            connection.close();
        }

        @Override
        public void inputEnded() {
            close();
        }

        @Override
        public void connectionLost() {
            close();
        }
    }

    /**
     * From now on of this group; whether that is on disk. Only once, before anything is promised.
     */
    private boolean joinGroup(long group) {
        Identity next = new Identity(identity.id(), group);
        try {
            next.write(disk);
            identity = next;
            LOG.info("belongs", kv("group", Long.toHexString(group)));
            return true;
        } catch (IOException e) {
            LOG.error("can't note its group", kv("why", e.getMessage()));
            return false;
        }
    }

    // Calls.

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

    /** Begins a group with this instance as its only one. */
    String createGroup() {
        if (identity.group() != 0 || replica.raft().lastIndex() > 0) {
            return "this instance belongs to group "
                    + Long.toHexString(identity.group())
                    + " already";
        }
        if (!joinGroup(Identity.randomId())) {
            return "the disk takes nothing";
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

    /** Asks who is at an address, then takes that one in. */
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
        timer[0] = loop.schedule(2, () -> reject.accept("nobody answers at " + address));
        connection[0] =
                loop.connect(
                        TomlSettings.socket(address),
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
                                    frames.take(
                                            bytes,
                                            frame -> {
                                                try {
                                                    met(Handshake.decode(frame));
                                                } catch (FrameCodec.MalformedFrameException e) {
                                                    reject.accept(e.getMessage());
                                                }
                                            });
                                } catch (FrameCodec.MalformedFrameException e) {
                                    reject.accept(e.getMessage());
                                }
                            }

                            private void met(Handshake other) {
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
                                reject.accept("who is at " + address + " ended the connection");
                            }

                            @Override
                            public void connectionLost() {
                                reject.accept("who is at " + address + " broke the connection");
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
        // Called while the replica is made, too.
        String leaderName =
                replica == null
                        ? ""
                        : leader.flatMap(replica.raft().membership()::find)
                                .map(Member::name)
                                .orElse("");
        LOG.info(isLeader ? "leads" : "follows", kv("term", term), kv("leader", leaderName));
        count(isLeader ? "terms led" : "changes of leader");
    }

    // The end.

    /**
     * At SIGTERM: hands over first, its duties and then the lead, so that nobody waits for it to be
     * missed.
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
