package embershift.fleet;

import embershift.raft.LogEntry;
import embershift.raft.Member;
import embershift.raft.MemberId;
import embershift.raft.ProposeResult;
import embershift.raft.Raft;
import embershift.raft.RaftEnvironment;
import embershift.raft.RaftLimits;
import embershift.raft.RaftMessage;
import embershift.raft.RaftTiming;
import embershift.raft.RecoveredState;
import embershift.raft.RejectionReason;
import embershift.raft.Snapshot;
import embershift.raft.WriteRequest;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * An instance without its sockets and its disk: a member of the group that agrees, the record, and
 * the calls that wait. Fed time, messages, calls and the news of what is on disk; decides only.
 */
public final class Replica {

    /**
     * What an instance has done for it; may be called back from within any call, and must not call
     * in itself.
     */
    public interface Port {

        void send(MemberId to, RaftMessage message);

        /** {@link Replica#durable} is owed for each, in order. */
        void persist(WriteRequest request);

        /** See {@link RaftEnvironment#stateTrusted}. */
        void sure();

        /** Each call is answered once at the most; one that is not within its time is unknown. */
        void answer(long call, Answer answer);

        /**
         * This member leads from now on, or follows; {@code leader} is empty where nobody is known
         * to lead.
         */
        void role(boolean leads, long term, Optional<MemberId> leader);

        /** Nothing more may be done here: one line that says why. */
        void stop(String why);
    }

    /**
     * When a snapshot is made: after so many entries, or bytes of entries, since the one before;
     * and after how many entries states are compared.
     */
    public record Habits(int entries, long bytes, int sums) {

        public static final Habits USUAL = new Habits(10_000, 16L << 20, 4096);
    }

    private interface Call {
        void at(KeyValueStore state);
    }

    private record Pending(long call, long term) {}

    private record Waiting(long index, Call call) {}

    private record Watch(long call, String prefix, long from) {}

    private static final int MOST_WATCHES = 4096;

    /** States of the past that are remembered to be compared. */
    private static final int MOST_SUMS = 8;

    private static final byte SUM = 1;

    private final Raft raft;
    private final Port port;
    private final Habits habits;
    private KeyValueStore record;
    private double now;
    private long tickets;
    private final TreeMap<Long, Pending> pending = new TreeMap<>();
    private final Map<Long, Call> asked = new HashMap<>();
    private final Map<Long, Long> askers = new HashMap<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private long snapshotAt;
    private long bytesSince;
    private boolean changed;
    private boolean stopped;

    /** When each session ends, by this leader's time; kept by nobody else. */
    private final Map<SessionId, Double> ends = new HashMap<>();

    private final TreeMap<Long, Map<MemberId, Integer>> sums = new TreeMap<>();
    private final List<Long> sumsToTell = new ArrayList<>();

    public Replica(
            MemberId self,
            RaftTiming pace,
            RaftLimits bounds,
            Habits habits,
            RecoveredState restored,
            long run,
            long seed,
            Port port) {
        this.port = port;
        this.habits = habits;
        record =
                restored.snapshot()
                        .map(snapshot -> KeyValueStore.of(snapshot.data()))
                        .orElseGet(KeyValueStore::new);
        snapshotAt = restored.snapshot().map(Snapshot::index).orElse(0L);
        raft = new Raft(self, pace, bounds, restored, run, seed, new Side());
    }

    /** What others may see of the agreement; not to be fed. */
    public Raft raft() {
        return raft;
    }

    /**
     * What others may see of the record as this instance has it; behind the leader's, maybe far.
     */
    public KeyValueStore record() {
        return record;
    }

    public boolean leads() {
        return raft.role() == Raft.Role.LEADER;
    }

    private final class Side implements RaftEnvironment {

        @Override
        public void send(MemberId to, RaftMessage message) {
            port.send(to, message);
        }

        @Override
        public void persist(WriteRequest request) {
            port.persist(request);
        }

        @Override
        public void stateTrusted() {
            port.sure();
        }

        @Override
        public void committed(LogEntry entry) {
            apply(entry);
        }

        @Override
        public void restored(Snapshot snapshot) {
            record = KeyValueStore.of(snapshot.data());
            snapshotAt = snapshot.index();
            bytesSince = 0;
            pending.headMap(snapshot.index(), true)
                    .values()
                    .forEach(
                            each ->
                                    port.answer(
                                            each.call,
                                            new Answer.Unknown(
                                                    "the others went on without this instance")));
            pending.headMap(snapshot.index(), true).clear();
            sums.headMap(snapshot.index(), true).clear();
            changed = true;
        }

        @Override
        public void readReady(long ticket, long index) {
            Call call = asked.remove(ticket);
            askers.remove(ticket);
            if (call != null) {
                waiting.add(new Waiting(index, call));
            }
        }

        @Override
        public void readRejected(long ticket) {
            asked.remove(ticket);
            Long asker = askers.remove(ticket);
            if (asker != null) {
                port.answer(asker, notLeader());
            }
        }

        @Override
        public void becameLeader(long term) {
            // Whatever was left of each session by the leader before: it is counted from the start
            // again.
            ends.clear();
            record.sessions().forEach((id, seconds) -> ends.put(id, now + seconds));
            port.role(true, term, Optional.of(raft.self()));
        }

        @Override
        public void becameFollower(long term, Optional<MemberId> leader) {
            ends.clear();
            port.role(false, term, leader);
        }

        @Override
        public void applicationMessage(MemberId from, byte[] words) {
            heardSum(from, words);
        }
    }

    private Answer.Refused notLeader() {
        String leader = raft.leader().flatMap(raft.membership()::find).map(Member::name).orElse("");
        return new Answer.Refused(Answer.Reason.NOT_LEADER, leader);
    }

    private void apply(LogEntry entry) {
        bytesSince += entry.sizeBytes();
        Result result = null;
        if (entry.kind() == LogEntry.Kind.COMMAND) {
            Command command;
            try {
                command = RecordCodec.command(entry.data());
            } catch (RecordCodec.Unreadable e) {
                halt(
                        "entry "
                                + entry.index()
                                + " can't be carried out by this program: "
                                + e.getMessage());
                return;
            }
            result = record.apply(entry.index(), command);
            changed = true;
            heardOfSession(command, result);
        } else {
            record.pass(entry.index());
        }
        if (entry.index() % habits.sums() == 0) {
            keepSum(entry.index(), raft.self(), Snapshot.checksum(record.bytes()));
            sumsToTell.add(entry.index());
        }
        Pending call = pending.remove(entry.index());
        if (call != null) {
            port.answer(
                    call.call,
                    call.term != entry.term()
                            ? new Answer.Refused(
                                    Answer.Reason.NOT_LEADER,
                                    "another leader came before it was agreed")
                            : answer(result));
        }
    }

    private static Answer answer(Result result) {
        if (result == null || result.done()) {
            return new Answer.Done(result == null ? 0 : result.number());
        }
        return new Answer.Refused(Answer.Reason.valueOf(result.why().name()), result.text());
    }

    private void heardOfSession(Command command, Result result) {
        if (!leads()) {
            return;
        }
        if (command instanceof Command.Open && result.done()) {
            renew(new SessionId(result.number()));
        } else if (command instanceof Command.End end) {
            ends.remove(end.session());
        } else if (command instanceof Command.Change change) {
            renew(change.session());
        }
    }

    private void renew(SessionId session) {
        double seconds = record.seconds(session);
        // One that is being ended stays so: the command is on its way.
        if (seconds > 0 && !Double.valueOf(Double.POSITIVE_INFINITY).equals(ends.get(session))) {
            ends.put(session, now + seconds);
        }
    }

    private void halt(String why) {
        if (!stopped) {
            stopped = true;
            port.stop(why);
        }
    }

    // What is fed in. The time is in seconds and never runs backwards.

    /** Time has passed, so many ticks of it. */
    public void tick(double time, int ticks) {
        now = time;
        for (int i = 0; i < ticks && !stopped; i++) {
            raft.tick();
        }
        settle();
    }

    public void receive(double time, MemberId from, RaftMessage message) {
        now = time;
        if (!stopped) {
            raft.receive(from, message);
        }
        settle();
    }

    public void durable(double time, long number) {
        now = time;
        if (!stopped) {
            raft.writesCompleted(number);
        }
        settle();
    }

    /** A command to be agreed. */
    public void change(double time, long call, Command command) {
        now = time;
        if (!stopped) {
            propose(call, command);
        }
        settle();
    }

    private void propose(long call, Command command) {
        took(call, raft.propose(RecordCodec.bytes(command)));
    }

    private void took(long call, ProposeResult result) {
        if (result instanceof ProposeResult.Accepted accepted) {
            pending.put(accepted.index(), new Pending(call, accepted.term()));
        } else if (result instanceof ProposeResult.Rejected rejected) {
            port.answer(call, refused(rejected.reason()));
        }
    }

    private Answer refused(RejectionReason refusal) {
        return switch (refusal) {
            case NOT_LEADER, TRANSFERRING_LEADERSHIP -> notLeader();
            case OVERLOADED ->
                    new Answer.Refused(Answer.Reason.BUSY, "too much waits to be agreed");
            case TOO_LARGE -> new Answer.Refused(Answer.Reason.TOO_LARGE, "too large");
            case CHANGE_IN_PROGRESS ->
                    new Answer.Refused(
                            Answer.Reason.BUSY, "another change of the members is not agreed yet");
            case ALREADY_DONE -> new Answer.Refused(Answer.Reason.MEMBERS, "it is so already");
            case NAME_TAKEN ->
                    new Answer.Refused(
                            Answer.Reason.MEMBERS,
                            "another of that name belongs to the group: remove it");
            case UNKNOWN_MEMBER ->
                    new Answer.Refused(
                            Answer.Reason.MEMBERS, "no such member, or not one that votes");
            case QUORUM_AT_RISK ->
                    new Answer.Refused(
                            Answer.Reason.MEMBERS, "too few of those left are here and up to date");
            case LAST_VOTER ->
                    new Answer.Refused(Answer.Reason.MEMBERS, "the last one that votes can't go");
        };
    }

    /**
     * Reads keys, all that begin so or the one; answered by a state that is no older than this
     * call.
     */
    public void read(double time, long call, String key, boolean prefix) {
        now = time;
        if (!stopped) {
            ask(
                    call,
                    state -> {
                        Item item = prefix ? null : state.get(key);
                        port.answer(
                                call,
                                new Answer.Found(
                                        state.revision(),
                                        prefix
                                                ? state.beginning(key)
                                                : item == null ? List.of() : List.of(item)));
                    });
        }
        settle();
    }

    /**
     * Says that a session's client is alive; done where the session lasts its whole time from now
     * on.
     */
    public void renew(double time, long call, SessionId session) {
        now = time;
        if (!stopped) {
            // A round of all, as for a read: a leader of the past must not promise what the next
            // one does not keep.
            ask(
                    call,
                    state -> {
                        if (state.seconds(session) < 0
                                || Double.valueOf(Double.POSITIVE_INFINITY)
                                        .equals(ends.get(session))) {
                            port.answer(
                                    call,
                                    new Answer.Refused(
                                            Answer.Reason.NO_SESSION,
                                            "there is no session " + session.number()));
                        } else {
                            renew(session);
                            port.answer(call, new Answer.Done(session.number()));
                        }
                    });
        }
        settle();
    }

    private void ask(long call, Call then) {
        long ticket = ++tickets;
        asked.put(ticket, then);
        askers.put(ticket, call);
        raft.read(ticket);
    }

    /**
     * Answers once something that begins so has changed, from this revision on; at any instance,
     * maybe late.
     */
    public void watch(double time, long call, String prefix, long from) {
        now = time;
        if (watches.size() >= MOST_WATCHES) {
            port.answer(
                    call,
                    new Answer.Refused(
                            Answer.Reason.BUSY, "there are " + MOST_WATCHES + " watches"));
        } else if (!stopped) {
            watches.add(new Watch(call, prefix, from));
            changed = true;
        }
        settle();
    }

    /** Nobody waits for this call any more. */
    public void forget(long call) {
        watches.removeIf(watch -> watch.call == call);
        pending.values().removeIf(each -> each.call == call);
    }

    public void add(double time, long call, Member member) {
        now = time;
        if (!stopped) {
            took(call, raft.addMember(member));
        }
        settle();
    }

    public void remove(double time, long call, MemberId id) {
        now = time;
        if (!stopped) {
            took(call, raft.removeMember(id));
        }
        settle();
    }

    /** Begins to hand over; done says only that it has begun. */
    public void transfer(double time, long call, MemberId to) {
        now = time;
        if (!stopped) {
            Optional<RejectionReason> rejection = raft.transferLeadership(to);
            port.answer(call, rejection.map(this::refused).orElseGet(() -> new Answer.Done(0)));
        }
        settle();
    }

    /** Makes this instance, of an empty folder, the first of a group. */
    public void found(double time, Member first) {
        now = time;
        raft.bootstrap(first);
        settle();
    }

    // What follows from it.

    private void settle() {
        if (stopped) {
            return;
        }
        answerReads();
        if (changed) {
            changed = false;
            answerWatches();
        }
        endSessions();
        tellSums();
        if (record.applied() - snapshotAt >= habits.entries() || bytesSince >= habits.bytes()) {
            snapshotAt = record.applied();
            bytesSince = 0;
            raft.compact(
                    Snapshot.of(
                            snapshotAt,
                            raft.termAt(snapshotAt),
                            raft.membershipAt(snapshotAt),
                            record.bytes()));
        }
    }

    private void answerReads() {
        if (!waiting.isEmpty()) {
            List<Waiting> ready =
                    waiting.stream().filter(each -> each.index <= record.applied()).toList();
            waiting.removeAll(ready);
            ready.forEach(each -> each.call.at(record));
        }
    }

    private void answerWatches() {
        for (Iterator<Watch> each = watches.iterator(); each.hasNext(); ) {
            Watch watch = each.next();
            List<Event> events = record.since(watch.from, watch.prefix);
            if (events == null) {
                each.remove();
                port.answer(
                        watch.call,
                        new Answer.Refused(
                                Answer.Reason.GAP,
                                "changes before revision "
                                        + record.revision()
                                        + " are not known here any more"));
            } else if (!events.isEmpty()) {
                each.remove();
                port.answer(watch.call, new Answer.Seen(events, record.revision() + 1));
            }
        }
    }

    private void endSessions() {
        if (!leads()) {
            return;
        }
        for (Map.Entry<SessionId, Double> end : List.copyOf(ends.entrySet())) {
            if (now > end.getValue()) {
                if (raft.propose(RecordCodec.bytes(new Command.End(end.getKey())))
                        instanceof ProposeResult.Accepted) {
                    ends.put(end.getKey(), Double.POSITIVE_INFINITY);
                }
            }
        }
    }

    // States are compared: the same entries must have made the same of them everywhere.

    private void tellSums() {
        for (long index : sumsToTell) {
            Map<MemberId, Integer> own = sums.get(index);
            if (own != null) {
                byte[] words =
                        ByteBuffer.allocate(1 + Long.BYTES + Integer.BYTES)
                                .put(SUM)
                                .putLong(index)
                                .putInt(own.get(raft.self()))
                                .array();
                raft.membership().voters().stream()
                        .filter(voter -> !voter.equals(raft.self()))
                        .forEach(voter -> raft.sendApplicationMessage(voter, words));
            }
        }
        sumsToTell.clear();
    }

    private void heardSum(MemberId from, byte[] words) {
        if (words.length == 1 + Long.BYTES + Integer.BYTES
                && words[0] == SUM
                && raft.membership().isVoter(from)) {
            ByteBuffer in = ByteBuffer.wrap(words, 1, Long.BYTES + Integer.BYTES);
            keepSum(in.getLong(), from, in.getInt());
        }
    }

    private void keepSum(long index, MemberId of, int sum) {
        Map<MemberId, Integer> all = sums.computeIfAbsent(index, none -> new HashMap<>());
        all.put(of, sum);
        while (sums.size() > MOST_SUMS) {
            sums.pollFirstEntry();
        }
        Integer own = all.get(raft.self());
        if (own != null) {
            all.values().stream()
                    .filter(other -> !other.equals(own))
                    .filter(
                            other ->
                                    all.entrySet().stream()
                                                    .filter(
                                                            each ->
                                                                    raft.membership()
                                                                                    .isVoter(
                                                                                            each
                                                                                                    .getKey())
                                                                            && each.getValue()
                                                                                    .equals(other))
                                                    .count()
                                            >= raft.membership().quorum())
                    .findFirst()
                    .ifPresent(
                            other ->
                                    halt(
                                            "the state after entry "
                                                    + index
                                                    + " differs from that of most others: "
                                                    + Integer.toHexString(own)
                                                    + ", theirs "
                                                    + Integer.toHexString(other)));
        }
    }
}
