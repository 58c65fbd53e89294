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
    private static final int STOPPED = 3;

    /** Seconds until writes that found no room are tried again. */
    private static final double ROOM_AGAIN = 0.2;

    /** Seconds for which a leader that ends waits until another leads. */
    private static final double HAND_OVER = 1.5;

    private static final double LOOK = 0.02;
    private static final double LOOK_WHERE = 0.2;

    /** Seconds for which one that ends waits for its duties to be given back. */
    private static final double GIVE_BACK = 1;

    private final Installation installation;
    private final EventLoop loop;
    private final Disk disk;
    private final RaftPersistence keeper;
    private final ReplicatedStore replica;
    private final double tick;
    private final int mostTicks;
    private Identity identity;
    private double ticked;
    private final List<WriteRequest> orders = new ArrayList<>();
    private boolean writing;
    private boolean noRoom;
    private final Map<MemberId, Way> ways = new HashMap<>();

    /** The connection that each other instance speaks on: its newest. */
    private final Map<MemberId, Entrance> entrances = new HashMap<>();

    private final Map<Long, Calls.Waiter> calls = new HashMap<>();
    private long lastCall;
    private final Set<Entrance> callers = new LinkedHashSet<>();
    private final TreeMap<String, Long> counts = new TreeMap<>();
    private final CountDownLatch ended = new CountDownLatch(1);

    /** Where this instance itself listens. */
    private InetSocketAddress listens;

    private volatile List<InetSocketAddress> instances = List.of();
    private Duties duties;

    private Instance(Installation installation, EventLoop loop, FileSystemDisk folder)
            throws IOException {
        this.installation = installation;
        this.loop = loop;
        disk = installation.drills() ? new FaultInjectingDisk(folder) : folder;
        identity = Identity.of(disk);
        keeper = RaftPersistence.open(disk, installation.bounds().logFile());
        RecoveredState restored = keeper.takeRecovered();
        tick = installation.pace().tick();
        embershift.raft.RaftTiming pace = installation.pace().inTicks();
        mostTicks = 3 * pace.electionTicks();
        ticked = loop.now();
        if (keeper.truncatedBytes() > 0) {
            LOG.warn(
                    "the end of the log was cut",
                    kv("bytes", keeper.truncatedBytes()),
                    kv("doubt", restored.isUntrusted()));
        }
        replica =
                new ReplicatedStore(
                        identity.id(),
                        pace,
                        installation.bounds().ofRaft(),
                        new SnapshotPolicy(
                                installation.bounds().snapshotEntries(),
                                installation.bounds().snapshotLogBytes(),
                                SnapshotPolicy.DEFAULTS.checksumInterval()),
                        restored,
                        Identity.number(),
                        Identity.number(),
                        this);
        LOG.info(
                "instance",
                kv("name", installation.name()),
                kv("id", identity.id().toString()),
                kv("group", Long.toHexString(identity.group())),
                kv("term", replica.raft().term()),
                kv("entries", replica.raft().lastIndex()),
                kv("members", replica.raft().membership().toString()));
    }

    /** Starts; the program then lives on the loop. */
    static void start(Installation installation) throws IOException {
        FileSystemDisk folder = FileSystemDisk.open(Path.of(installation.folder()));
        EventLoop loop = new EventLoop();
        try {
            Instance instance = new Instance(installation, loop, folder);
            InetSocketAddress address =
                    loop.listen(
                                    TomlSettings.parseAddress(installation.listen()),
                                    instance::room,
                                    link -> loop.execute(() -> instance.new Entrance(link)))
                            .localAddress();
            loop.execute(
                    () -> {
                        instance.listens = address;
                        instance.passTime();
                        instance.lookWhereAllAre();
                        instance.duties =
                                new Duties(
                                        loop,
                                        installation.name(),
                                        installation.fleet(),
                                        instance.replica::store,
                                        () -> instance.instances,
                                        (what, many) ->
                                                instance.counts.merge(what, many, Long::sum),
                                        Identity.number());
                    });
            Runtime.getRuntime().addShutdownHook(new Thread(instance::end, "end"));
            LOG.info("listening", kv("address", address.getHostString() + ":" + address.getPort()));
        } catch (IOException e) {
            loop.stop();
            folder.close();
            throw e;
        }
    }

    private void count(String what) {
        counts.merge(what, 1L, Long::sum);
    }

    // Time.

    /**
     * What the program did not foresee must not be gone on from: what it has promised can't be told
     * any more.
     */
    private void guarded(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException e) {
            LOG.error("fault", e);
            halt("a fault of the program: " + e);
        }
    }

    private void passTime() {
        guarded(this::catchUp);
        loop.schedule(tick, this::passTime);
    }

    /**
     * Before anything that came is looked at: one that stood still must not take old news for new.
     */
    private void catchUp() {
        double now = loop.now();
        int ticks = (int) ((now - ticked) / tick);
        if (ticks > 0) {
            ticked += ticks * tick;
            replica.tick(now, Math.min(ticks, mostTicks));
        }
    }

    /** For those of this instance that ask the record, wherever its leader is. */
    private void lookWhereAllAre() {
        List<InetSocketAddress> all = new ArrayList<>();
        MemberId leader = replica.raft().leader().orElse(MemberId.NONE);
        for (Member member : replica.raft().membership().members()) {
            InetSocketAddress address =
                    member.id().equals(identity.id())
                            ? listens
                            : TomlSettings.parseAddress(
                                    installation
                                            .ways()
                                            .getOrDefault(member.name(), member.address()));
            all.add(member.id().equals(leader) ? 0 : all.size(), address);
        }
        instances = List.copyOf(all);
        loop.schedule(LOOK_WHERE, this::lookWhereAllAre);
    }

    // The disk.

    @Override
    public void persist(WriteRequest order) {
        orders.add(order);
        write();
    }

    private void write() {
        if (writing || orders.isEmpty()) {
            return;
        }
        writing = true;
        // After this turn, so that all that it orders goes together.
        loop.execute(
                () -> {
                    List<WriteRequest> batch = List.copyOf(orders);
                    orders.clear();
                    loop.executeBlocking(() -> keep(batch));
                });
    }

    private void keep(List<WriteRequest> batch) {
        try {
            keeper.write(batch);
            loop.execute(
                    () -> {
                        if (noRoom) {
                            noRoom = false;
                            LOG.info("the disk takes writes again");
                        }
                        writing = false;
                        guarded(
                                () ->
                                        replica.writesCompleted(
                                                loop.now(), batch.get(batch.size() - 1).number()));
                        write();
                    });
        } catch (OutOfSpaceException e) {
            loop.execute(
                    () -> {
                        if (!noRoom) {
                            noRoom = true;
                            LOG.error(
                                    "no room: nothing is answered until there is",
                                    kv("why", e.getMessage()));
                        }
                        count("writes without room");
                        loop.schedule(ROOM_AGAIN, () -> loop.executeBlocking(() -> keep(batch)));
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
                        keeper.markTrusted();
                    } catch (IOException e) {
                        // It will be in doubt again after the next start, which is on the safe
                        // side.
                        LOG.warn("the mark of doubt stays", kv("why", e.getMessage()));
                    }
                });
    }

    @Override
    public void halt(String why) {
        LOG.error("stops", kv("why", why));
        System.err.println("stops: " + why);
        Runtime.getRuntime().halt(STOPPED);
    }

    // The others.

    @Override
    public void send(MemberId to, RaftMessage message) {
        Member member = replica.raft().membership().find(to).orElse(null);
        if (member == null) {
            Entrance entrance = entrances.get(to);
            // Whoever is not known here, as to one that joins nobody is, is answered where it says
            // that it lives.
            member =
                    entrance == null
                            ? null
                            : new Member(to, entrance.name, entrance.address, Member.Role.LEARNER);
        }
        if (member != null) {
            String address = installation.ways().getOrDefault(member.name(), member.address());
            if (TomlSettings.isValidAddress(address)) {
                ways.computeIfAbsent(to, none -> new Way(to)).send(address, message);
            }
        }
    }

    /**
     * The way to another instance: one connection, dialled again when it is lost, on which only
     * this one speaks.
     */
    private final class Way implements TcpConnection.Listener {
        private static final double FIRST_GAP = 0.03;
        private static final double LONGEST_GAP = 0.5;
        private static final double STUCK = 3;
        private static final int MOST_WAITING = 4 << 20;

        private final MemberId to;
        private TcpConnection link;
        private FrameCodec frames;
        private boolean welcome;
        private double gap = FIRST_GAP;
        private double notBefore;
        private double backedUpSince;
        private int waiting;

        Way(MemberId to) {
            this.to = to;
        }

        void send(String address, RaftMessage message) {
            double now = loop.now();
            if (link == null) {
                if (now >= notBefore) {
                    dial(address, now);
                }
                return;
            }
            if (!welcome) {
                return;
            }
            if (link.hasPendingWrites()) {
                if (now - backedUpSince > STUCK) {
                    count("ways given up as stuck");
                    drop(now);
                    return;
                }
            } else {
                waiting = 0;
                backedUpSince = now;
            }
            ByteBuffer piece =
                    FrameCodec.encode(FrameCodec.MESSAGE, RaftMessageCodec.encode(message));
            waiting += piece.remaining();
            if (waiting > MOST_WAITING) {
                count("messages dropped for want of room");
                return;
            }
            count("messages sent");
            if (!link.write(piece)) {
                drop(now);
            }
        }

        private void dial(String address, double now) {
            frames = new FrameCodec();
            welcome = false;
            waiting = 0;
            backedUpSince = now;
            notBefore = now + gap;
            link = loop.connect(TomlSettings.parseAddress(address), this);
            TcpConnection dialled = link;
            loop.schedule(
                    STUCK,
                    () -> {
                        if (link == dialled && !welcome) {
                            drop(loop.now());
                        }
                    });
        }

        private void drop(double now) {
            if (link != null) {
                link.close();
                link = null;
            }
            gap = Math.min(LONGEST_GAP, 2 * gap);
            notBefore = now + gap;
        }

        @Override
        public void connected() {
            link.write(
                    FrameCodec.encode(
                            FrameCodec.HANDSHAKE,
                            Greeting.of(
                                            identity.group(),
                                            identity.id(),
                                            installation.name(),
                                            to,
                                            installation.address())
                                    .bytes()));
        }

        @Override
        public void connectFailed() {
            link = null;
            drop(loop.now());
        }

        @Override
        public void received(ByteBuffer bytes) {
            try {
                frames.decode(
                        bytes,
                        piece -> {
                            if (piece[0] == FrameCodec.HANDSHAKE_ACCEPTED) {
                                welcome = true;
                                gap = FIRST_GAP;
                            } else {
                                String why =
                                        new String(
                                                piece, 1, piece.length - 1, StandardCharsets.UTF_8);
                                LOG.warn("not welcome", kv("at", to.toString()), kv("why", why));
                                count("refused by others");
                                gap = LONGEST_GAP;
                                drop(loop.now());
                            }
                        });
            } catch (FrameCodec.MalformedFrameException e) {
                drop(loop.now());
            }
        }

        @Override
        public void inputEnded() {
            drop(loop.now());
        }

        @Override
        public void connectionLost() {
            drop(loop.now());
        }
    }

    private boolean room() {
        while (callers.size() >= installation.bounds().callers()) {
            Entrance oldest = callers.iterator().next();
            count("callers that gave way");
            oldest.close();
        }
        return true;
    }

    /** A connection that came in: of another instance, or of a caller. */
    final class Entrance implements TcpConnection.Listener {
        private static final int MOST_MISSED = 20;
        private final TcpConnection link;
        private final FrameCodec frames = new FrameCodec();
        private MemberId from;
        private String name = "";
        private String address = "";
        private Nodes.NodeLink node;
        private int backedUp;
        private final Set<Long> waiting = new LinkedHashSet<>();

        Entrance(TcpConnection link) {
            this.link = link;
            callers.add(this);
            link.setListener(this);
        }

        @Override
        public void received(ByteBuffer bytes) {
            guarded(Instance.this::catchUp);
            try {
                frames.decode(bytes, piece -> guarded(() -> piece(piece)));
            } catch (FrameCodec.MalformedFrameException e) {
                count("connections with unreadable bytes");
                close();
            }
        }

        private void piece(byte[] piece) {
            if (link.isClosed() || duties == null) {
                return;
            }
            try {
                switch (piece[0]) {
                    case FrameCodec.HANDSHAKE -> greeted(Greeting.read(piece));
                    case FrameCodec.MESSAGE -> message(piece);
                    case FrameCodec.CALL -> Calls.take(Instance.this, this, piece);
                    case FrameCodec.NODE -> node(JsonMessages.decodeFrame(piece));
                    default ->
                            throw new FrameCodec.MalformedFrameException(
                                    "a piece of kind " + piece[0]);
                }
            } catch (FrameCodec.MalformedFrameException | MalformedBytesException e) {
                count("connections with unreadable bytes");
                close();
            }
        }

        private void node(ObjectNode words) throws FrameCodec.MalformedFrameException {
            if (node == null && words.path("kind").asText().equals("here")) {
                callers.remove(this);
                node = duties.nodes().greeted(this, words);
            } else if (node != null) {
                duties.nodes().heard(node, words);
            } else {
                throw new FrameCodec.MalformedFrameException("a node that has not said who it is");
            }
        }

        /** Says something to a node. */
        void tell(ObjectNode words) {
            if (link.isClosed()) {
                return;
            }
            if (link.hasPendingWrites()
                    || !link.write(JsonMessages.encodeFrame(FrameCodec.ORDER, words))) {
                count("words to nodes dropped");
                // What it misses it is told again, or it comes again.
                backedUp++;
                if (backedUp > MOST_MISSED) {
                    close();
                }
            } else {
                backedUp = 0;
            }
        }

        /** Ends it, once what was written is out. */
        void finish() {
            callers.remove(this);
            link.closeGracefully();
        }

        private void greeted(Greeting greeting) {
            String no = refusal(greeting);
            if (no != null) {
                count("instances refused");
                LOG.warn(
                        "refused",
                        kv("name", greeting.name()),
                        kv("id", greeting.from().toString()),
                        kv("why", no));
                link.write(
                        FrameCodec.encode(
                                FrameCodec.HANDSHAKE_REJECTED,
                                no.getBytes(StandardCharsets.UTF_8)));
                callers.remove(this);
                link.closeGracefully();
                return;
            }
            if (greeting.to().number() != 0) {
                if (identity.group() == 0 && !belong(greeting.group())) {
                    close();
                    return;
                }
                from = greeting.from();
                name = greeting.name();
                address = greeting.address();
                callers.remove(this);
                Entrance older = entrances.put(from, this);
                if (older != null) {
                    // What it still holds is of a run before, or was given up by its sender.
                    older.close();
                }
            }
            link.write(
                    FrameCodec.encode(
                            FrameCodec.HANDSHAKE_ACCEPTED,
                            Greeting.of(
                                            identity.group(),
                                            identity.id(),
                                            installation.name(),
                                            greeting.from(),
                                            installation.address())
                                    .bytes()));
        }

        private String refusal(Greeting greeting) {
            if (Greeting.common(greeting.oldest(), greeting.newest()) == 0) {
                return "versions "
                        + greeting.oldest()
                        + " to "
                        + greeting.newest()
                        + " are not known here, but "
                        + Greeting.OLDEST
                        + " to "
                        + Greeting.NEWEST;
            }
            if (greeting.to().number() == 0) {
                return null;
            }
            if (!greeting.to().equals(identity.id())) {
                return "here is " + identity.id() + ", not " + greeting.to();
            }
            if (identity.group() != 0 && greeting.group() != identity.group()) {
                return "of group "
                        + Long.toHexString(greeting.group())
                        + ", here is "
                        + Long.toHexString(identity.group());
            }
            return greeting.group() == 0 ? "of no group" : null;
        }

        private void message(byte[] piece) throws FrameCodec.MalformedFrameException {
            if (from == null || entrances.get(from) != this) {
                throw new FrameCodec.MalformedFrameException("a message without a greeting");
            }
            count("messages taken");
            replica.receive(
                    loop.now(),
                    from,
                    RaftMessageCodec.decode(Arrays.copyOfRange(piece, 1, piece.length)));
        }

        void answer(ObjectNode answer) {
            if (!link.isClosed()) {
                link.write(FrameCodec.encode(FrameCodec.ANSWER, JsonMessages.encode(answer)));
            }
        }

        long waits(Calls.Waiter waiter) {
            long call = ++lastCall;
            calls.put(call, waiter);
            waiting.add(call);
            return call;
        }

        void answered(long call) {
            waiting.remove(call);
        }

        void close() {
            callers.remove(this);
            if (from != null) {
                entrances.remove(from, this);
            }
            if (node != null) {
                duties.nodes().gone(node);
            }
            waiting.forEach(
                    call -> {
                        calls.remove(call);
                        replica.cancelCall(call);
                    });
            waiting.clear();
            link.close();
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
    private boolean belong(long group) {
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

    Map<String, Long> counts() {
        return counts;
    }

    String name() {
        return installation.name();
    }

    int logFiles() {
        return keeper.logFileCount();
    }

    /** Begins a group with this instance as its only one. */
    String found() {
        if (identity.group() != 0 || replica.raft().lastIndex() > 0) {
            return "this instance belongs to group "
                    + Long.toHexString(identity.group())
                    + " already";
        }
        if (!belong(Identity.number())) {
            return "the disk takes nothing";
        }
        replica.bootstrap(
                loop.now(),
                new Member(
                        identity.id(),
                        installation.name(),
                        installation.address(),
                        Member.Role.VOTER));
        return null;
    }

    /** Asks who is at an address, then takes that one in. */
    void add(long call, String address, Member.Role role) {
        FrameCodec frames = new FrameCodec();
        TcpConnection[] link = new TcpConnection[1];
        EventLoop.Timer[] timer = new EventLoop.Timer[1];
        Consumer<String> no =
                why -> {
                    timer[0].cancel();
                    link[0].close();
                    complete(call, new CallResult.Rejected(CallResult.Reason.MEMBERSHIP, why));
                };
        timer[0] = loop.schedule(2, () -> no.accept("nobody answers at " + address));
        link[0] =
                loop.connect(
                        TomlSettings.parseAddress(address),
                        new TcpConnection.Listener() {
                            @Override
                            public void connected() {
                                link[0].write(
                                        FrameCodec.encode(
                                                FrameCodec.HANDSHAKE,
                                                Greeting.of(
                                                                identity.group(),
                                                                identity.id(),
                                                                installation.name(),
                                                                new MemberId(0),
                                                                installation.address())
                                                        .bytes()));
                            }

                            @Override
                            public void connectFailed() {
                                no.accept("nobody is at " + address);
                            }

                            @Override
                            public void received(ByteBuffer bytes) {
                                try {
                                    frames.decode(
                                            bytes,
                                            piece -> {
                                                try {
                                                    met(Greeting.read(piece));
                                                } catch (FrameCodec.MalformedFrameException e) {
                                                    no.accept(e.getMessage());
                                                }
                                            });
                                } catch (FrameCodec.MalformedFrameException e) {
                                    no.accept(e.getMessage());
                                }
                            }

                            private void met(Greeting other) {
                                if (other.group() != 0 && other.group() != identity.group()) {
                                    no.accept(
                                            other.name()
                                                    + " belongs to group "
                                                    + Long.toHexString(other.group()));
                                    return;
                                }
                                timer[0].cancel();
                                link[0].close();
                                replica.addMember(
                                        loop.now(),
                                        call,
                                        new Member(other.from(), other.name(), address, role));
                            }

                            @Override
                            public void inputEnded() {
                                no.accept("who is at " + address + " ended the connection");
                            }

                            @Override
                            public void connectionLost() {
                                no.accept("who is at " + address + " broke the connection");
                            }
                        });
    }

    @Override
    public void complete(long call, CallResult answer) {
        Calls.Waiter waiter = calls.remove(call);
        if (waiter != null) {
            waiter.hears(call, answer);
        }
    }

    @Override
    public void roleChanged(boolean leads, long term, Optional<MemberId> leader) {
        // Called while the replica is made, too.
        String leaderName =
                replica == null
                        ? ""
                        : leader.flatMap(replica.raft().membership()::find)
                                .map(Member::name)
                                .orElse("");
        LOG.info(leads ? "leads" : "follows", kv("term", term), kv("leader", leaderName));
        count(leads ? "terms led" : "changes of leader");
    }

    // The end.

    /**
     * At SIGTERM: hands over first, its duties and then the lead, so that nobody waits for it to be
     * missed.
     */
    private void end() {
        loop.execute(
                () -> {
                    LOG.info("ends", kv("counts", counts.toString()));
                    awaitDutiesGivenBack(loop.now() + GIVE_BACK);
                });
        try {
            ended.await((long) (1000 * (GIVE_BACK + HAND_OVER + 1)), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitDutiesGivenBack(double until) {
        if (duties != null && !duties.leave() && loop.now() < until) {
            loop.schedule(LOOK, () -> awaitDutiesGivenBack(until));
            return;
        }
        Optional<MemberId> heir =
                replica.isLeader() ? replica.raft().bestTransferTarget() : Optional.empty();
        if (heir.isEmpty()) {
            ended.countDown();
            return;
        }
        replica.transferLeadership(loop.now(), ++lastCall, heir.get());
        awaitFollower(loop.now() + HAND_OVER);
    }

    private void awaitFollower(double until) {
        if (!replica.isLeader() || loop.now() > until) {
            LOG.info("ended", kv("led", replica.isLeader()));
            ended.countDown();
        } else {
            loop.schedule(LOOK, () -> awaitFollower(until));
        }
    }
}
