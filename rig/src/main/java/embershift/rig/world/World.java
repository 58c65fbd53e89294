package embershift.rig.world;

import embershift.fleet.store.CallResult;
import embershift.fleet.store.KeyValue;
import embershift.fleet.store.KeyValueStore;
import embershift.fleet.store.Mutation;
import embershift.fleet.store.Precondition;
import embershift.fleet.store.ReplicatedStore;
import embershift.fleet.store.SessionId;
import embershift.fleet.store.SnapshotPolicy;
import embershift.fleet.store.StoreCommand;
import embershift.raft.LogEntry;
import embershift.raft.Member;
import embershift.raft.MemberId;
import embershift.raft.Raft;
import embershift.raft.RaftLimits;
import embershift.raft.RaftMessage;
import embershift.raft.RaftMessageCodec;
import embershift.raft.RaftPersistence;
import embershift.raft.RaftTiming;
import embershift.raft.RecoveredState;
import embershift.raft.Snapshot;
import embershift.raft.WriteRequest;
import embershift.rig.history.Linearizable;
import embershift.rig.history.Operation;
import embershift.storage.MemoryDisk;
import embershift.storage.OutOfSpaceException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * A few instances, their disks, the ways between them and their clients in virtual time, with
 * faults; all chance from one seed. What must never happen is looked for after each step, what
 * clients saw at the end.
 */
public final class World {
    private static final List<Operation.Kind> KINDS = List.of(Operation.Kind.values());

    /**
     * What a world came to; {@code broken} is null where all held. Counts say what the world ever
     * reached.
     */
    public record Report(long seed, String broken, Map<String, Long> reached) {}

    private static final double TICK = 0.01;
    private static final SnapshotPolicy HABITS = new SnapshotPolicy(25, 1 << 20, 16);
    private static final long LOG_FILE = 1500;

    /** Seconds of faults, and seconds after them within which all must be in step again. */
    private static final double FAULTS = 4;

    private static final double REST = 4;
    private static final double LAST = 2;

    /** Seconds between two commands that nobody waits for, where a world has them. */
    private static final double NOISE = 0.006;

    private static final int KEYS = 3;
    private static final int CLIENTS = 4;
    private static final double PATIENCE = 0.6;
    private static final long STEPS = 100_000;

    private final long seed;
    private final Random chance;
    private final int size;
    private final List<Fault> faults;
    private final PriorityQueue<Happening> agenda = new PriorityQueue<>();
    private final List<Station> stations = new ArrayList<>();
    private final List<Client> clients = new ArrayList<>();
    private final List<Operation> history = new ArrayList<>();
    private final Map<String, Long> reached = new LinkedHashMap<>();
    private final double loss;
    private final double doubled;
    private final RaftTiming pace;

    /** Small, so that every bound is met and snapshots are needed. */
    private final RaftLimits bounds;

    private final boolean noisy;

    /**
     * How likely one who has just voted ends, and one who has just won is cut off, stopped or
     * ended.
     */
    private final double voterSpite;

    private final double winnerSpite;
    private double now;
    private long happenings;
    private long calls;
    private long ids;
    private String broken;

    // What must hold over all of them.
    private final Map<Long, MemberId> leaders = new HashMap<>();
    private final Map<List<Long>, Integer> written = new HashMap<>();
    private final TreeMap<Long, LogEntry> agreed = new TreeMap<>();

    /** The term in which somebody first knew that the entry was agreed. */
    private final Map<Long, Long> agreedIn = new HashMap<>();

    private final Map<MemberId, Integer> blocked = new HashMap<>();

    private record Happening(double at, long number, Runnable what)
            implements Comparable<Happening> {
        @Override
        public int compareTo(Happening other) {
            int order = Double.compare(at, other.at);
            return order != 0 ? order : Long.compare(number, other.number);
        }
    }

    private World(long seed, List<Fault> given) {
        this.seed = seed;
        Random draw = new Random(seed * 0x9E3779B97F4A7C15L + 1);
        size = 3 + 2 * draw.nextInt(2);
        loss = draw.nextInt(3) == 0 ? 0 : 0.25 * draw.nextDouble() * draw.nextDouble();
        pace = new RaftTiming(3, 9 + 3 * draw.nextInt(3), 30);
        bounds = new RaftLimits(1 << 16, draw.nextBoolean() ? 1 : 600, 4, 20_000, 150, 1 << 20, 6);
        noisy = draw.nextBoolean();
        voterSpite = draw.nextBoolean() ? 0 : 0.2;
        winnerSpite = draw.nextBoolean() ? 0 : 0.5;
        doubled = draw.nextInt(3) == 0 ? 0 : 0.1 * draw.nextDouble();
        List<Fault> drawn = Fault.drawn(draw, size, FAULTS);
        faults = given == null ? drawn : given;
        chance = new Random(seed ^ 0x5DEECE66DL);
    }

    /** Plays the world of a seed. */
    public static Report play(long seed) {
        return new World(seed, null).play();
    }

    /** Plays the world of a seed with these faults in place of its own. */
    public static Report play(long seed, List<Fault> faults) {
        return new World(seed, faults).play();
    }

    /** The faults that the seed itself has. */
    public static List<Fault> faults(long seed) {
        return new World(seed, null).faults;
    }

    private void count(String what) {
        reached.merge(what, 1L, Long::sum);
    }

    private void broken(String what) {
        if (broken == null) {
            broken = String.format(Locale.ROOT, "at %.3f s: %s", now, what);
        }
    }

    private void in(double delay, Runnable what) {
        agenda.add(new Happening(now + delay, ++happenings, what));
    }

    // Instances.

    /** One instance: what is on its disk outlasts its runs. */
    private final class Station implements ReplicatedStore.Environment {
        private final int number;
        private final double rate;
        private MemberId id;
        private MemoryDisk disk = new MemoryDisk();
        private RaftPersistence keeper;
        private ReplicatedStore replica;
        private long run;
        private boolean up;
        private boolean still;
        private double slowUntil;
        private double fullUntil;
        private final List<WriteRequest> orders = new ArrayList<>();
        private boolean writing;
        private final List<Runnable> held = new ArrayList<>();
        private final Map<MemberId, Long> runsHeard = new HashMap<>();
        private final Map<Long, Client> callers = new HashMap<>();
        private long seen;

        Station(int number) {
            this.number = number;
            id = new MemberId(++ids);
            // Clocks run at different rates; none knows the others' time.
            rate = 0.95 + 0.1 * chance.nextDouble();
        }

        Member member(Member.Role role) {
            return new Member(id, "i" + number, "", role);
        }

        double time() {
            return now * rate + 1000 * number;
        }

        void start() {
            try {
                keeper = RaftPersistence.open(disk, LOG_FILE);
                RecoveredState restored = keeper.takeRecovered();
                if (keeper.truncatedBytes() > 0) {
                    count("torn writes cut");
                }
                if (restored.isUntrusted()) {
                    count("started in doubt");
                }
                up = true;
                still = false;
                run++;
                seen = restored.snapshot().map(Snapshot::index).orElse(0L);
                replica =
                        new ReplicatedStore(
                                id, pace, bounds, HABITS, restored, run, chance.nextLong(), this);
                long mine = run;
                in(TICK * chance.nextDouble(), () -> tick(mine));
            } catch (IOException | RuntimeException e) {
                broken("i" + number + " can't start: " + e);
            }
        }

        private void tick(long of) {
            if (up && run == of) {
                if (!still) {
                    reach(() -> replica.tick(time(), 1));
                }
                in(TICK / rate, () -> tick(of));
            }
        }

        /** Has it do something now, or when it goes on; nothing where it is down. */
        void reach(Runnable what) {
            if (!up || broken != null) {
                return;
            }
            if (still) {
                held.add(what);
                return;
            }
            try {
                what.run();
                look();
            } catch (RuntimeException e) {
                StackTraceElement[] trace = e.getStackTrace();
                broken("i" + number + ": " + e + (trace.length > 0 ? " " + trace[0] : ""));
            }
        }

        private void look() {
            Raft raft = replica.raft();
            for (; seen < raft.commitIndex(); seen++) {
                LogEntry entry = raft.entry(seen + 1).orElse(null);
                if (entry == null) {
                    continue;
                }
                LogEntry before = agreed.putIfAbsent(entry.index(), entry);
                agreedIn.putIfAbsent(entry.index(), raft.term());
                if (before != null
                        && (before.term() != entry.term()
                                || !Arrays.equals(before.data(), entry.data()))) {
                    broken("entry " + entry.index() + " was agreed twice, otherwise");
                }
            }
        }

        void crash() {
            if (!up) {
                return;
            }
            up = false;
            still = false;
            held.clear();
            // What was on its way to the disk got there in part, or not.
            disk.setFull(false);
            disk.setCrashing(true);
            try {
                keeper.write(List.copyOf(orders));
            } catch (IOException e) {
                // All the same.
            }
            disk.setCrashing(false);
            disk.crash(chance);
            orders.clear();
            writing = false;
            callers.clear();
            count("crashes");
        }

        void lose() {
            crash();
            blocked.put(id, number);
            disk = new MemoryDisk();
            id = new MemberId(++ids);
            count("folders lost");
        }

        void flip() {
            crash();
            for (String name : disk.fileNames()) {
                if (name.startsWith("log-")
                        && disk.fileNames().stream()
                                .noneMatch(
                                        other ->
                                                other.startsWith("log-")
                                                        && other.compareTo(name) > 0)) {
                    try {
                        byte[] content = disk.read(name);
                        if (content.length > 30) {
                            content[content.length - 1] ^= 1;
                            disk.put(name, content);
                            count("bytes flipped");
                        }
                    } catch (IOException e) {
                        broken(e.toString());
                    }
                }
            }
        }

        void goOn() {
            if (still) {
                still = false;
                List<Runnable> all = List.copyOf(held);
                held.clear();
                all.forEach(this::reach);
            }
        }

        @Override
        public void send(MemberId to, RaftMessage message) {
            Station target = station(to);
            if (target == null) {
                return;
            }
            byte[] bytes = RaftMessageCodec.encode(message);
            if (message instanceof RaftMessage.SnapshotRequest) {
                count("snapshot pieces");
            }
            long ownRun = run;
            long itsRun = target.run;
            MemberId from = id;
            carry(
                    this,
                    target,
                    () -> {
                        // A process gets nothing that was meant for one before it, nor old words
                        // after newer ones of the next.
                        if (target.run == itsRun
                                && target.id.equals(to)
                                && target.runsHeard.getOrDefault(from, 0L) <= ownRun) {
                            target.runsHeard.put(from, ownRun);
                            target.reach(
                                    () ->
                                            target.replica.receive(
                                                    target.time(),
                                                    from,
                                                    RaftMessageCodec.decode(bytes)));
                        }
                    });
        }

        @Override
        public void persist(WriteRequest order) {
            for (LogEntry entry : order.entries()) {
                int hash = Arrays.hashCode(entry.data()) * 31 + entry.kind().name().hashCode();
                long before = replica == null ? -1 : replica.raft().termAt(entry.index() - 1);
                Integer other = written.putIfAbsent(List.of(entry.index(), entry.term()), hash);
                if (other != null && other != hash) {
                    broken("two entries " + entry.index() + " of term " + entry.term());
                }
                if (before >= 0) {
                    Integer link =
                            written.putIfAbsent(
                                    List.of(-entry.index(), entry.term()), (int) before);
                    if (link != null && link != before) {
                        broken("logs that agree on entry " + entry.index() + " differ before it");
                    }
                }
            }
            if (order.snapshot().isPresent()) {
                count(order.replacesLog() ? "snapshots in place of a log" : "snapshots");
            }
            if (!order.entries().isEmpty() && order.entries().get(0).index() <= lastOrdered) {
                count("conflicts cut");
            }
            if (!order.entries().isEmpty()) {
                lastOrdered = order.entries().get(order.entries().size() - 1).index();
            }
            orders.add(order);
            write();
            if (order.hardState().filter(each -> each.votedFor().isPresent()).isPresent()
                    && spiteful(voterSpite)) {
                count("voters ended");
                in(0.012 * chance.nextDouble(), this::crash);
                in(0.015 + 0.02 * chance.nextDouble(), () -> startAgain(this));
            }
        }

        /** What befalls one who has just won. */
        private void spite() {
            double lasts = 0.3 * chance.nextDouble();
            in(
                    0.04 * chance.nextDouble(),
                    () ->
                            befalls(
                                    new Fault(
                                            0,
                                            lasts,
                                            SPITES[chance.nextInt(SPITES.length)],
                                            number,
                                            (number + 1) % size)));
        }

        private long lastOrdered;

        private void write() {
            if (writing) {
                return;
            }
            writing = true;
            long mine = run;
            double delay = 0.0005 + 0.004 * chance.nextDouble() + Math.max(0, slowUntil - now);
            in(delay, () -> written(mine));
        }

        private void written(long mine) {
            if (!up || run != mine) {
                return;
            }
            writing = false;
            List<WriteRequest> batch = List.copyOf(orders);
            if (batch.isEmpty()) {
                return;
            }
            try {
                disk.setFull(now < fullUntil);
                keeper.write(batch);
                orders.subList(0, batch.size()).clear();
                long last = batch.get(batch.size() - 1).number();
                reach(() -> replica.writesCompleted(time(), last));
            } catch (OutOfSpaceException e) {
                count("writes without room");
            } catch (IOException e) {
                broken("i" + number + " can't write: " + e);
            }
            if (!orders.isEmpty()) {
                write();
            }
        }

        @Override
        public void stateTrusted() {
            try {
                keeper.markTrusted();
                count("doubts cleared");
            } catch (IOException e) {
                broken("i" + number + " can't write: " + e);
            }
        }

        @Override
        public void complete(long call, CallResult answer) {
            Client client = callers.remove(call);
            if (client != null) {
                carry(null, null, () -> client.answered(call, answer));
            }
        }

        @Override
        public void roleChanged(boolean leads, long term, Optional<MemberId> leader) {
            if (leads) {
                count("elections won");
                if (spiteful(winnerSpite)) {
                    spite();
                }
                MemberId before = leaders.putIfAbsent(term, id);
                if (before != null && !before.equals(id)) {
                    broken("two leaders in term " + term);
                }
                for (LogEntry entry : agreed.values()) {
                    long have = replica.raft().termAt(entry.index());
                    // One that stood still may win a term that is long over: what came after it, it
                    // can't have.
                    if (agreedIn.get(entry.index()) < term
                            && entry.index() > replica.raft().compactedIndex()
                            && have != entry.term()) {
                        broken(
                                "the leader of term "
                                        + term
                                        + " lacks entry "
                                        + entry.index()
                                        + ", which was agreed");
                    }
                }
            }
        }

        @Override
        public void halt(String why) {
            broken("i" + number + " stops: " + why);
        }
    }

    private static final Fault.Kind[] SPITES = {
        Fault.Kind.CRASH,
        Fault.Kind.UNHEARD,
        Fault.Kind.DEAF,
        Fault.Kind.STOP,
        Fault.Kind.SLOW_DISK,
        Fault.Kind.CUT
    };

    private boolean spiteful(double likely) {
        return faultsFrom > 0 && now < faultsFrom + FAULTS && chance.nextDouble() < likely;
    }

    private Station station(MemberId id) {
        return stations.stream().filter(each -> each.id.equals(id)).findFirst().orElse(null);
    }

    private Station leader() {
        return stations.stream()
                .filter(each -> each.up && each.replica.isLeader())
                .max(
                        (one, other) ->
                                Long.compare(
                                        one.replica.raft().term(), other.replica.raft().term()))
                .orElse(null);
    }

    // Ways. Null ends are clients: their words are late or lost, too.

    private final Set<List<Integer>> cuts = new HashSet<>();

    private void carry(Station from, Station to, Runnable arrives) {
        if (from != null && cuts.contains(List.of(from.number, to.number))) {
            return;
        }
        if (chance.nextDouble() < loss && faultsFrom > 0 && now < faultsFrom + FAULTS) {
            return;
        }
        int times =
                chance.nextDouble() < doubled
                                && faultsFrom > 0
                                && now < faultsFrom + FAULTS
                                && from != null
                        ? 2
                        : 1;
        for (int i = 0; i < times; i++) {
            double delay = 0.0005 + 0.003 * chance.nextDouble();
            if (now < faultsFrom + FAULTS && chance.nextInt(100) == 0) {
                delay += 0.6 * chance.nextDouble();
            }
            in(
                    delay,
                    () -> {
                        if (from == null || !cuts.contains(List.of(from.number, to.number))) {
                            arrives.run();
                        }
                    });
        }
    }

    // Clients.

    /**
     * Does one thing after the other; what it was not answered it sends again under the same
     * number.
     */
    private final class Client {
        private final int number;
        private SessionId session;
        private long last;
        private long call;
        private Station at;
        private int tries;
        private boolean mayHaveBeen;
        private double began;
        private Operation.Kind kind;
        private String key;
        private KeyValue expected;
        private String value;
        private long done;

        Client(int number) {
            this.number = number;
        }

        void begin() {
            if (broken != null) {
                return;
            }
            began = now;
            tries = 0;
            call = 0;
            mayHaveBeen = false;
            if (session != null) {
                last++;
                key = "k" + chance.nextInt(KEYS);
                kind = KINDS.get(chance.nextInt(KINDS.size()));
                value = number + "/" + last + "/" + session.number();
                if (kind == Operation.Kind.SWAP && (expected == null || chance.nextInt(4) == 0)) {
                    kind = Operation.Kind.READ;
                }
                if (kind == Operation.Kind.SWAP) {
                    key = expected.key();
                }
            }
            send();
        }

        private void send() {
            if (at == null || tries > 0) {
                Station leader = leader();
                at =
                        leader != null && chance.nextBoolean()
                                ? leader
                                : stations.get(chance.nextInt(stations.size()));
            }
            long mine = ++calls;
            call = mine;
            tries++;
            Station target = at;
            // As it is now: by the time that it arrives the client may be further.
            StoreCommand command =
                    session == null
                            ? new StoreCommand.OpenSession("c" + number, 1.5)
                            : kind == Operation.Kind.READ
                                    ? null
                                    : new StoreCommand.Transaction(
                                            session,
                                            last,
                                            last,
                                            kind == Operation.Kind.SWAP
                                                    ? List.of(
                                                            new Precondition(
                                                                    key, expected.revision()))
                                                    : List.of(),
                                            List.of(Mutation.put(key, value)));
            String asked = key;
            carry(
                    null,
                    null,
                    () ->
                            target.reach(
                                    () -> {
                                        target.callers.put(mine, this);
                                        if (command == null) {
                                            target.replica.read(target.time(), mine, asked);
                                        } else {
                                            target.replica.submit(target.time(), mine, command);
                                        }
                                    }));
            in(
                    PATIENCE,
                    () -> {
                        if (call == mine) {
                            mayHaveBeen = true;
                            again();
                        }
                    });
        }

        private void again() {
            if (tries > 6) {
                end(Operation.End.UNKNOWN, null);
                session = null;
            } else {
                send();
            }
        }

        private void end(Operation.End end, String found) {
            call = 0;
            if (session != null && (end != Operation.End.UNKNOWN || kind != Operation.Kind.READ)) {
                history.add(
                        new Operation(
                                number,
                                kind,
                                key,
                                kind == Operation.Kind.SWAP ? expected.value() : null,
                                kind == Operation.Kind.READ ? found : value,
                                began,
                                end == Operation.End.UNKNOWN ? Double.POSITIVE_INFINITY : now,
                                end));
                count(kind + " " + end);
            }
            if (end != Operation.End.UNKNOWN) {
                done++;
            }
            if (kind == Operation.Kind.SWAP) {
                expected = null;
            }
            in(
                    0.05 * chance.nextDouble()
                            + (chance.nextInt(40) == 0 && now < faultsFrom + FAULTS ? 2.5 : 0),
                    this::begin);
        }

        /** At the end: what is out may be done yet. */
        void leave() {
            if (call != 0) {
                end(Operation.End.UNKNOWN, null);
            }
        }

        void answered(long of, CallResult answer) {
            if (of != call || broken != null) {
                return;
            }
            if (answer instanceof CallResult.Done opened && session == null) {
                session = new SessionId(opened.number());
                last = 0;
                begin();
            } else if (answer instanceof CallResult.Done) {
                end(Operation.End.DONE, null);
            } else if (answer instanceof CallResult.Found found) {
                KeyValue item = found.keyValues().stream().findFirst().orElse(null);
                expected = item == null ? expected : item;
                end(Operation.End.DONE, item == null ? null : item.value());
            } else if (answer instanceof CallResult.Rejected refused) {
                refused(refused);
            } else {
                mayHaveBeen = true;
                again();
            }
        }

        private void refused(CallResult.Rejected refused) {
            switch (refused.reason()) {
                case PRECONDITION_FAILED -> end(Operation.End.REFUSED, null);
                case UNKNOWN_SESSION, RESULT_FORGOTTEN -> {
                    count("sessions found ended");
                    if (mayHaveBeen) {
                        end(Operation.End.UNKNOWN, null);
                        session = null;
                    } else {
                        session = null;
                        call = 0;
                        in(0.01, this::begin);
                    }
                }
                default -> {
                    call = 0;
                    in(0.02 + 0.05 * chance.nextDouble(), this::again);
                }
            }
        }
    }

    // Those who tend the group: what they ask for is asked until it is so.

    private void tend(int tries, Function<Station, Boolean> step) {
        if (tries > 400 || broken != null) {
            return;
        }
        Station leader = leader();
        if (leader == null || leader.still || !step.apply(leader)) {
            in(0.05, () -> tend(tries + 1, step));
        }
    }

    private void takeOut(MemberId id, Runnable then) {
        tend(
                0,
                leader -> {
                    if (leader.replica.raft().membership().find(id).isEmpty()
                            && leader.replica.raft().commitIndex()
                                    == leader.replica.raft().lastIndex()) {
                        then.run();
                        return true;
                    }
                    leader.reach(() -> leader.replica.removeMember(leader.time(), ++calls, id));
                    return false;
                });
    }

    private void takeIn(Station station, Member.Role role, Runnable then) {
        tend(
                0,
                leader -> {
                    Member member =
                            leader.replica.raft().membership().find(station.id).orElse(null);
                    if (member != null
                            && leader.replica.raft().commitIndex()
                                    == leader.replica.raft().lastIndex()
                            && (member.role() == Member.Role.VOTER
                                    || role == Member.Role.LEARNER)) {
                        count("members taken in");
                        then.run();
                        return true;
                    }
                    if (member == null) {
                        leader.reach(
                                () ->
                                        leader.replica.addMember(
                                                leader.time(), ++calls, station.member(role)));
                    }
                    return false;
                });
    }

    private boolean tending;

    /** When the faults began; 0 before. */
    private double faultsFrom;

    /**
     * Commands to all that think they lead, so that one that is cut off has something to be
     * overruled in.
     */
    private void noise() {
        for (Station station : List.copyOf(stations)) {
            if (station.up && !station.still && station.replica.isLeader()) {
                station.reach(
                        () ->
                                station.replica.submit(
                                        station.time(),
                                        ++calls,
                                        new StoreCommand.Transaction(
                                                SessionId.NONE,
                                                0,
                                                0,
                                                List.of(),
                                                List.of(
                                                        Mutation.put(
                                                                "noise", String.valueOf(calls))))));
            }
        }
        if (now < faultsFrom + FAULTS) {
            in(NOISE, this::noise);
        }
    }

    private void befalls(Fault fault) {
        Station leads = leader();
        Station a =
                fault.a() != Fault.LEADER
                        ? stations.get(fault.a())
                        : leads == null ? stations.get(0) : leads;
        Station b = stations.get(fault.b());
        Runnable over = () -> {};
        switch (fault.kind()) {
            case CRASH -> {
                a.crash();
                over = () -> startAgain(a);
            }
            case FLIPPED -> {
                if (!tending) {
                    tending = true;
                    a.flip();
                    over =
                            () -> {
                                startAgain(a);
                                if (fault.b() % 2 == 0) {
                                    // Again, before it may have been helped.
                                    in(0.02, a::crash);
                                    in(0.04, () -> startAgain(a));
                                }
                                tend(
                                        0,
                                        leader -> {
                                            if (!a.up) {
                                                return true;
                                            }
                                            if (a.replica.raft().isUntrusted()) {
                                                return false;
                                            }
                                            tending = false;
                                            return true;
                                        });
                            };
                }
            }
            case STOP -> {
                a.still = a.up;
                over = a::goOn;
            }
            case CUT -> over = cut(List.of(List.of(a.number, b.number)));
            case UNHEARD, DEAF -> {
                List<List<Integer>> ways = new ArrayList<>();
                stations.forEach(
                        other ->
                                ways.add(
                                        fault.kind() == Fault.Kind.UNHEARD
                                                ? List.of(a.number, other.number)
                                                : List.of(other.number, a.number)));
                over = cut(ways);
            }
            case SPLIT -> {
                List<List<Integer>> ways = new ArrayList<>();
                for (Station one : stations) {
                    for (Station other : stations) {
                        if (one.number <= a.number != other.number <= a.number) {
                            ways.add(List.of(one.number, other.number));
                        }
                    }
                }
                over = cut(ways);
            }
            case SLOW_DISK -> a.slowUntil = now + fault.lasts();
            case FULL_DISK -> a.fullUntil = now + fault.lasts();
            case LOST_FOLDER -> {
                if (!tending && members() >= size) {
                    tending = true;
                    MemberId old = a.id;
                    a.lose();
                    over =
                            () -> {
                                startAgain(a);
                                takeOut(
                                        old,
                                        () -> {
                                            takeIn(a, Member.Role.JOINING, () -> tending = false);
                                        });
                            };
                }
            }
            case REMOVE -> {
                if (!tending && members() >= size) {
                    tending = true;
                    count("members taken out");
                    takeOut(
                            a.id,
                            () -> {
                                // Back under another id and with an empty folder, as one that was
                                // removed must be.
                                a.lose();
                                startAgain(a);
                                takeIn(a, Member.Role.JOINING, () -> tending = false);
                            });
                }
            }
            case LEARNER -> {
                if (stations.size() < size + 1) {
                    Station learner = new Station(stations.size());
                    stations.add(learner);
                    learner.start();
                    takeIn(learner, Member.Role.LEARNER, () -> {});
                }
            }
            case TRANSFER -> {
                Station leader = leader();
                if (leader != null) {
                    count("hand-overs asked for");
                    leader.reach(
                            () -> leader.replica.transferLeadership(leader.time(), ++calls, a.id));
                }
            }
            default -> throw new IllegalStateException();
        }
        in(fault.lasts(), over);
    }

    private int members() {
        Station leader = leader();
        return leader == null ? 0 : leader.replica.raft().membership().voters().size();
    }

    private Runnable cut(List<List<Integer>> ways) {
        List<List<Integer>> fresh = ways.stream().filter(cuts::add).toList();
        return () -> cuts.removeAll(fresh);
    }

    private void startAgain(Station station) {
        if (!station.up) {
            station.start();
        }
    }

    // The whole.

    private Report play() {
        for (int i = 0; i < size; i++) {
            stations.add(new Station(i));
        }
        stations.forEach(Station::start);
        Station first = stations.get(0);
        first.reach(() -> first.replica.bootstrap(first.time(), first.member(Member.Role.VOTER)));
        for (int i = 1; i < size; i++) {
            takeIn(stations.get(i), Member.Role.JOINING, () -> {});
        }
        run(1.5);
        if (members() != size && broken == null) {
            broken("the group did not form");
        }
        faultsFrom = now;
        for (int i = 0; i < CLIENTS; i++) {
            Client client = new Client(i);
            clients.add(client);
            client.begin();
        }
        if (noisy) {
            noise();
        }
        for (Fault fault : faults) {
            agenda.add(new Happening(faultsFrom + fault.at(), ++happenings, () -> befalls(fault)));
        }
        run(faultsFrom + FAULTS);
        cuts.clear();
        stations.forEach(Station::goOn);
        stations.forEach(this::startAgain);
        stations.forEach(
                each -> {
                    each.slowUntil = 0;
                    each.fullUntil = 0;
                });
        double rested = now;
        run(rested + REST);
        long[] before = clients.stream().mapToLong(client -> client.done).toArray();
        run(rested + REST + LAST);
        for (Client client : clients) {
            if (client.done == before[client.number]) {
                broken(
                        "client "
                                + client.number
                                + " gets nothing done though all is well again: "
                                + standing());
            }
        }
        inStep();
        clients.forEach(Client::leave);
        Linearizable.Finding finding = Linearizable.check(history, STEPS);
        if (finding.verdict() == Linearizable.Verdict.NO) {
            broken("no order explains what clients saw: " + finding.text());
        } else if (finding.verdict() == Linearizable.Verdict.GAVE_UP) {
            count("histories too tangled to judge");
        }
        reached.put("operations", (long) history.size());
        reached.put("entries agreed", (long) agreed.size());
        return new Report(seed, broken, reached);
    }

    private String standing() {
        StringBuilder all = new StringBuilder();
        for (Station station : stations) {
            Raft raft = station.replica.raft();
            all.append("; i")
                    .append(station.number)
                    .append(station.up ? " " : " down ")
                    .append(station.id)
                    .append(' ')
                    .append(raft.role())
                    .append(" term ")
                    .append(raft.term())
                    .append(" agreed ")
                    .append(raft.commitIndex())
                    .append(" of ")
                    .append(raft.lastIndex())
                    .append(raft.isUntrusted() ? " in doubt " : " ")
                    .append(
                            raft.membership().members().stream()
                                    .map(member -> member.id() + "=" + member.role())
                                    .toList());
        }
        return all.toString();
    }

    /**
     * Where all is well and the log is agreed at the leader, all members must have the same record
     * before long.
     */
    private void inStep() {
        Station leader = leader();
        if (broken != null) {
            return;
        }
        if (leader == null) {
            broken("nobody leads though all is well again");
            return;
        }
        long least = leader.replica.raft().commitIndex() - 30;
        for (Member member : leader.replica.raft().membership().members()) {
            Station station = station(member.id());
            if (station != null && station.up && station.replica.store().appliedIndex() < least) {
                broken(
                        "i"
                                + station.number
                                + " is at "
                                + station.replica.store().appliedIndex()
                                + ", the leader at "
                                + least);
            }
        }
        Map<Long, Integer> states = new HashMap<>();
        for (Station station : stations) {
            if (station.up) {
                KeyValueStore record = station.replica.store();
                Integer other =
                        states.putIfAbsent(record.appliedIndex(), Arrays.hashCode(record.encode()));
                if (other != null && other != Arrays.hashCode(record.encode())) {
                    broken("two records after entry " + record.appliedIndex());
                }
            }
        }
    }

    private void run(double until) {
        while (broken == null && !agenda.isEmpty() && agenda.peek().at <= until) {
            Happening next = agenda.remove();
            now = next.at;
            next.what.run();
        }
        now = Math.max(now, until);
    }
}
