package embershift.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * One member of a group that agrees on a log: Raft as of Ongaro's thesis (2014), with votes asked
 * for ahead (9.6), a leader that steps down without a majority (6.2), reads by a round of
 * heartbeats (6.4), hand-over (3.10) and changes of one member at a time (4.1), the last with its
 * correction: none before an entry of the own term is agreed.
 *
 * <p>No I/O, no clock, no threads: fed ticks, messages and the news of what is on disk. Nothing is
 * promised to others before it is on disk.
 */
public final class Raft {

    /** What a member is just now. */
    public enum Role {
        FOLLOWER,
        LOOKING_AHEAD,
        CANDIDATE,
        LEADER
    }

    /** Why something was not taken. */
    public enum Refusal {
        NOT_LEADER,
        HANDING_OVER,
        TOO_MUCH,
        TOO_LARGE,
        NOT_YET,
        ALREADY,
        NAME_TAKEN,
        NO_SUCH_MEMBER,
        LAST_VOTER,
        TOO_FEW
    }

    /** What became of a proposal: the place it was given, or a refusal with {@code index} 0. */
    public record Taken(long index, long term, Refusal refusal) {
        static Taken not(Refusal refusal) {
            return new Taken(0, 0, refusal);
        }
    }

    private record Batch(long number, int tick) {}

    private record Promise(long number, Runnable kept) {}

    private record Reading(long ticket, long index) {}

    private final MemberId self;
    private final Pace pace;
    private final Bounds bounds;
    private final Random chance;
    private final Outside outside;
    private final long run;

    private Role role = Role.FOLLOWER;
    private long term;
    private MemberId votedFor;
    private MemberId leader;
    private final Entries log;
    private Snapshot snapshot;

    /** The members as of the places where they changed; the last ones hold, agreed or not. */
    private final TreeMap<Long, Members> memberships = new TreeMap<>();

    private long commit;
    private long handedOut;
    private boolean doubtful;

    private int ticks;

    /** Ticks since a leader was heard, or since this member last stood. */
    private int quiet;

    private int patience;
    private final Set<MemberId> granted = new HashSet<>();
    private final Set<MemberId> denied = new HashSet<>();

    private long issued;
    private final Deque<Batch> outstanding = new ArrayDeque<>();
    private final Deque<Promise> promises = new ArrayDeque<>();

    /**
     * The last place on disk here; of each outstanding batch, the last place that it will bring
     * there.
     */
    private long onDisk;

    private final TreeMap<Long, Long> reaching = new TreeMap<>();

    private final TreeMap<MemberId, Progress> others = new TreeMap<>();
    private long firstOfTerm;
    private int waitingBytes;
    private int sinceBeat;
    private int sinceCheck;
    private MemberId heir;
    private int sinceHanding;
    private long round;
    private List<Reading> reading = List.of();
    private long readingRound;
    private final List<Reading> nextReading = new ArrayList<>();

    private Install partial;

    private record Install(long index, long term, int sum, byte[] data, int[] have) {}

    /**
     * {@code run}: another number at each start of this member; {@code seed}: of all its chance.
     */
    public Raft(
            MemberId self,
            Pace pace,
            Bounds bounds,
            Restored restored,
            long run,
            long seed,
            Outside outside) {
        this.self = self;
        this.pace = pace;
        this.bounds = bounds;
        this.run = run;
        this.outside = outside;
        chance = new Random(seed);
        term = restored.vote().term();
        votedFor = restored.vote().candidate();
        snapshot = restored.snapshot();
        long base = snapshot == null ? 0 : snapshot.index();
        log = new Entries(base, snapshot == null ? 0 : snapshot.term());
        memberships.put(base, snapshot == null ? Members.NONE : snapshot.members());
        for (Entry entry : restored.entries()) {
            if (entry.index() > base) {
                add(entry);
            }
        }
        onDisk = log.last();
        commit = base;
        handedOut = base;
        doubtful = restored.doubtful();
        patience = newPatience();
    }

    private int newPatience() {
        return pace.election() + chance.nextInt(pace.election());
    }

    // What others may see.

    public MemberId self() {
        return self;
    }

    public Role role() {
        return role;
    }

    public long term() {
        return term;
    }

    /** Null while none is known. */
    public MemberId leader() {
        return leader;
    }

    public long commit() {
        return commit;
    }

    public long last() {
        return log.last();
    }

    /** The last place that is not in memory any more. */
    public long base() {
        return log.base();
    }

    public long termOf(long index) {
        return log.term(index);
    }

    /** The entry at this place, or null where it is not in memory. */
    public Entry entry(long index) {
        return index > log.base() && index <= log.last() ? log.get(index) : null;
    }

    /** The members that hold now, agreed or not. */
    public Members members() {
        return memberships.lastEntry().getValue();
    }

    /** The members as of a place of the log. */
    public Members members(long index) {
        return memberships.floorEntry(index).getValue();
    }

    /** Whether this member may have lost what it once promised, and waits for a leader's help. */
    public boolean doubtful() {
        return doubtful;
    }

    /** The last place that a member is known to have, by this leader. */
    public long matchOf(MemberId id) {
        Progress progress = others.get(id);
        return id.equals(self) ? onDisk : progress == null ? 0 : progress.match;
    }

    /** Whether this leader has heard of the member since it last looked, or just before. */
    public boolean heardOf(MemberId id) {
        Progress progress = others.get(id);
        return id.equals(self) || (progress != null && (progress.heard || progress.heardBefore));
    }

    // What is fed in.

    /** A tick has passed. */
    public void tick() {
        ticks++;
        if (role == Role.LEADER) {
            lead();
        } else if (++quiet >= patience && mayStand()) {
            stand(false);
        }
        handOut();
    }

    private boolean mayStand() {
        return members().votes(self) && !stalled() && !(doubtful && members().voters().size() > 1);
    }

    private boolean stalled() {
        return !outstanding.isEmpty() && ticks - outstanding.peek().tick >= pace.stall();
    }

    /** All up to this number is on disk. */
    public void durable(long number) {
        while (!outstanding.isEmpty() && outstanding.peek().number <= number) {
            Batch batch = outstanding.remove();
            Long reached = reaching.remove(batch.number);
            if (reached != null) {
                onDisk = Math.max(onDisk, reached);
            }
        }
        while (!promises.isEmpty() && promises.peek().number <= number) {
            promises.remove().kept.run();
        }
        if (role == Role.LEADER) {
            agree();
        }
        handOut();
    }

    /** A message of another member, or of one that is not known here yet. */
    public void receive(MemberId from, Message message) {
        if (take(from, message)) {
            if (message instanceof Message.Ask ask) {
                asked(from, ask);
            } else if (message instanceof Message.AskReply reply) {
                answered(from, reply);
            } else if (message instanceof Message.Append append) {
                append(from, append);
            } else if (message instanceof Message.AppendReply reply) {
                appended(from, reply);
            } else if (message instanceof Message.Install install) {
                install(from, install);
            } else if (message instanceof Message.InstallReply reply) {
                installed(from, reply);
            } else if (message instanceof Message.Stand) {
                if (members().votes(self) && role != Role.LEADER && !stalled() && !doubtful) {
                    stand(true);
                }
            } else if (message instanceof Message.Aside aside) {
                outside.aside(from, aside.words());
            }
        }
        handOut();
    }

    /** Brings the term up to date; whether the message is to be looked at. */
    private boolean take(MemberId from, Message message) {
        if (message instanceof Message.Aside) {
            return true;
        }
        if (message.term() > term) {
            if (message instanceof Message.Ask ask) {
                if (!ask.forced() && leader != null && quiet < pace.election()) {
                    // A leader is heard here: who doesn't hear it must not unseat it.
                    return false;
                }
                if (ask.ahead()) {
                    return true;
                }
            }
            if (message instanceof Message.AskReply reply && reply.ahead() && reply.granted()) {
                return true;
            }
            follow(
                    message.term(),
                    message instanceof Message.Append || message instanceof Message.Install
                            ? from
                            : null);
            return true;
        }
        if (message.term() < term) {
            if (message instanceof Message.Append || message instanceof Message.Install) {
                // So that a leader of the past learns that it is one.
                promise(from, new Message.AppendReply(term, false, 0, 0, 0, 0, run));
            } else if (message instanceof Message.Ask ask && ask.ahead()) {
                promise(from, new Message.AskReply(term, false, true));
            }
            return false;
        }
        return true;
    }

    // What is on disk, and what waits for it.

    private void persist(boolean vote, Snapshot whole, boolean alone, List<Entry> entries) {
        long number = ++issued;
        outstanding.add(new Batch(number, ticks));
        long reached =
                entries.isEmpty()
                        ? whole == null ? 0 : whole.index()
                        : entries.get(entries.size() - 1).index();
        if (reached > 0) {
            reaching.put(number, reached);
        }
        outside.persist(number, vote ? new Vote(term, votedFor) : null, whole, alone, entries);
    }

    /** Says it once all that this member has had persisted until now is on disk. */
    private void promise(MemberId to, Message message) {
        onceDurable(() -> outside.send(to, message));
    }

    private void onceDurable(Runnable kept) {
        if (outstanding.isEmpty()) {
            kept.run();
        } else {
            promises.add(new Promise(issued, kept));
        }
    }

    private void add(Entry entry) {
        log.add(entry);
        if (entry.kind() == Entry.Kind.MEMBERS) {
            memberships.put(entry.index(), Codec.members(entry.data()));
        }
    }

    private void cutFrom(long index) {
        log.cutFrom(index);
        memberships.tailMap(index, true).clear();
        onDisk = Math.min(onDisk, index - 1);
        reaching.replaceAll((number, reached) -> Math.min(reached, index - 1));
    }

    // Elections.

    private void follow(long newTerm, MemberId newLeader) {
        boolean news =
                newTerm > term || role != Role.FOLLOWER || !Objects.equals(leader, newLeader);
        if (newTerm > term) {
            term = newTerm;
            votedFor = null;
            persist(true, null, false, List.of());
        }
        if (role == Role.LEADER) {
            others.clear();
            heir = null;
            waitingBytes = 0;
            reading.forEach(each -> outside.unreadable(each.ticket));
            nextReading.forEach(each -> outside.unreadable(each.ticket));
            reading = List.of();
            nextReading.clear();
        }
        if (role != Role.FOLLOWER) {
            quiet = 0;
            patience = newPatience();
        }
        role = Role.FOLLOWER;
        leader = newLeader;
        if (newLeader != null) {
            quiet = 0;
        }
        if (news) {
            outside.follows(term, leader);
        }
    }

    private void stand(boolean forced) {
        quiet = 0;
        patience = newPatience();
        if (forced) {
            candidate(true);
            return;
        }
        role = Role.LOOKING_AHEAD;
        leader = null;
        granted.clear();
        denied.clear();
        granted.add(self);
        outside.follows(term, null);
        if (granted.size() >= members().majority()) {
            candidate(false);
            return;
        }
        ask(new Message.Ask(term + 1, log.last(), log.lastTerm(), true, false));
    }

    private void ask(Message.Ask ask) {
        for (MemberId voter : members().voters()) {
            if (!voter.equals(self)) {
                outside.send(voter, ask);
            }
        }
    }

    private void candidate(boolean forced) {
        role = Role.CANDIDATE;
        leader = null;
        term++;
        votedFor = self;
        granted.clear();
        denied.clear();
        long now = term;
        persist(true, null, false, List.of());
        outside.follows(term, null);
        onceDurable(
                () -> {
                    if (term == now && role == Role.CANDIDATE) {
                        ask(new Message.Ask(term, log.last(), log.lastTerm(), false, forced));
                        granted.add(self);
                        count();
                    }
                });
    }

    private void count() {
        if (granted.stream().filter(members()::votes).count() >= members().majority()) {
            if (role == Role.LOOKING_AHEAD) {
                candidate(false);
            } else {
                win();
            }
        } else if (denied.stream().filter(members()::votes).count() >= members().majority()) {
            follow(term, null);
        }
    }

    private void asked(MemberId from, Message.Ask ask) {
        boolean free =
                (ask.ahead() && ask.term() > term)
                        || from.equals(votedFor)
                        || (votedFor == null && leader == null);
        boolean current =
                ask.lastTerm() > log.lastTerm()
                        || (ask.lastTerm() == log.lastTerm() && ask.lastIndex() >= log.last());
        if (!free || !current || doubtful || role == Role.LEADER) {
            promise(from, new Message.AskReply(term, false, ask.ahead()));
        } else if (ask.ahead()) {
            promise(from, new Message.AskReply(ask.term(), true, true));
        } else {
            quiet = 0;
            if (votedFor == null) {
                votedFor = from;
                persist(true, null, false, List.of());
            }
            promise(from, new Message.AskReply(term, true, false));
        }
    }

    private void answered(MemberId from, Message.AskReply reply) {
        boolean mine =
                reply.ahead()
                        ? role == Role.LOOKING_AHEAD
                                && (!reply.granted() || reply.term() == term + 1)
                        : role == Role.CANDIDATE;
        if (mine) {
            (reply.granted() ? granted : denied).add(from);
            count();
        }
    }

    private void win() {
        role = Role.LEADER;
        leader = self;
        others.clear();
        for (Member member : members().all()) {
            if (!member.id().equals(self)) {
                others.put(member.id(), new Progress(log.last() + 1));
            }
        }
        sinceBeat = 0;
        sinceCheck = 0;
        heir = null;
        waitingBytes = 0;
        firstOfTerm = log.last() + 1;
        outside.leads(term);
        extend(Entry.Kind.NOTHING, new byte[0]);
    }

    // Leading.

    private void lead() {
        if (stalled()) {
            // Its followers go on without it: it can promise nothing more itself.
            follow(term, null);
            return;
        }
        if (++sinceCheck >= pace.election()) {
            sinceCheck = 0;
            long heard =
                    members().voters().stream()
                            .filter(id -> id.equals(self) || others.get(id).heard)
                            .count();
            if (heard < members().majority()) {
                follow(term, null);
                return;
            }
            others.values().forEach(Progress::lookAgain);
        }
        if (heir != null && ++sinceHanding >= pace.election()) {
            heir = null;
        }
        if (++sinceBeat >= pace.heartbeat()) {
            beat();
        }
        others.values().forEach(progress -> progress.sincePiece++);
        bringIn();
    }

    private void beat() {
        sinceBeat = 0;
        others.forEach(
                (id, progress) -> {
                    if (progress.way == Progress.Way.SNAPSHOT) {
                        outside.send(
                                id,
                                new Message.Append(term, 0, 0, List.of(), 0, log.last(), round));
                        if (progress.sincePiece >= pace.election()) {
                            piece(id, progress);
                        }
                    } else if (progress.way == Progress.Way.PROBING) {
                        progress.waits = false;
                        advance(id, progress);
                    } else {
                        // Refused where what was sent ahead got lost.
                        outside.send(id, appendAfter(progress.next - 1, List.of()));
                    }
                });
    }

    private Message.Append appendAfter(long before, List<Entry> entries) {
        return new Message.Append(
                term, before, log.term(before), entries, commit, log.last(), round);
    }

    /** Those that join become voters once they have all. */
    private void bringIn() {
        if (changing()) {
            return;
        }
        for (Member member : members().all()) {
            Progress progress = others.get(member.id());
            if (member.role() == Member.Role.JOINING
                    && progress != null
                    && progress.heard
                    && progress.match >= Math.max(commit, firstOfTerm)) {
                extend(
                        Entry.Kind.MEMBERS,
                        Codec.bytes(members().with(member.as(Member.Role.VOTER))));
                return;
            }
        }
    }

    private boolean changing() {
        return commit < firstOfTerm || memberships.lastKey() > commit || heir != null;
    }

    private Taken extend(Entry.Kind kind, byte[] data) {
        Entry entry = new Entry(log.last() + 1, term, kind, data);
        add(entry);
        waitingBytes += entry.cost();
        persist(false, null, false, List.of(entry));
        if (kind == Entry.Kind.MEMBERS) {
            others.keySet().removeIf(id -> members().get(id) == null);
            for (Member member : members().all()) {
                if (!member.id().equals(self) && !others.containsKey(member.id())) {
                    Progress progress = new Progress(log.last());
                    progress.heard = true;
                    others.put(member.id(), progress);
                }
            }
        }
        others.forEach(this::advance);
        agree();
        return new Taken(entry.index(), term, null);
    }

    /** Sends a member what it lacks, as far as may be out to it. */
    private void advance(MemberId id, Progress progress) {
        while (progress.way != Progress.Way.SNAPSHOT && !progress.waits) {
            if (log.term(progress.next - 1) < 0) {
                progress.way = Progress.Way.SNAPSHOT;
                progress.snapshot = snapshot;
                progress.offset = 0;
                piece(id, progress);
                return;
            }
            if (progress.way == Progress.Way.AHEAD
                    && (progress.next > log.last() || progress.flight.size() >= bounds.flight())) {
                return;
            }
            List<Entry> entries = log.from(progress.next, bounds.message());
            outside.send(id, appendAfter(progress.next - 1, entries));
            if (progress.way == Progress.Way.PROBING) {
                progress.waits = true;
            } else {
                progress.next += entries.size();
                progress.flight.add(progress.next - 1);
            }
        }
    }

    private void piece(MemberId id, Progress progress) {
        Snapshot whole = progress.snapshot;
        int from = (int) progress.offset;
        byte[] piece =
                Arrays.copyOfRange(
                        whole.data(), from, Math.min(whole.data().length, from + bounds.chunk()));
        progress.sincePiece = 0;
        outside.send(
                id,
                new Message.Install(
                        term,
                        whole.index(),
                        whole.term(),
                        whole.members(),
                        from,
                        piece,
                        whole.data().length,
                        whole.sum(),
                        round));
    }

    private Progress heard(MemberId from, long itsRun, long itsRound) {
        Progress progress = others.get(from);
        if (role != Role.LEADER || progress == null) {
            return null;
        }
        if (progress.run != itsRun) {
            // It started anew: what it had promised it may have lost.
            if (progress.run != 0) {
                progress.match = 0;
                progress.probe(Math.min(progress.next, log.last() + 1));
            }
            progress.run = itsRun;
        }
        progress.heard = true;
        progress.round = Math.max(progress.round, itsRound);
        return progress;
    }

    private void appended(MemberId from, Message.AppendReply reply) {
        Progress progress = heard(from, reply.run(), reply.round());
        if (progress == null) {
            return;
        }
        if (reply.ok()) {
            boolean further = reply.index() > progress.match;
            progress.acknowledged(reply.index());
            if ((progress.way == Progress.Way.PROBING && reply.index() > 0)
                    || (further
                            && progress.way == Progress.Way.SNAPSHOT
                            && progress.match >= progress.snapshot.index())) {
                progress.probe(progress.match + 1);
                progress.way = Progress.Way.AHEAD;
            }
            if (further) {
                agree();
            }
            if (role == Role.LEADER) {
                advance(from, progress);
                handOver();
            }
        } else if (progress.way != Progress.Way.SNAPSHOT
                && reply.index() > progress.match
                && (progress.way == Progress.Way.AHEAD || reply.index() == progress.next - 1)) {
            long agreed = log.lastNotAfter(reply.hint(), reply.hintTerm());
            progress.probe(Math.min(reply.index(), agreed + 1));
            advance(from, progress);
        }
        read();
    }

    private void installed(MemberId from, Message.InstallReply reply) {
        Progress progress = heard(from, reply.run(), reply.round());
        if (progress != null
                && progress.way == Progress.Way.SNAPSHOT
                && progress.snapshot.index() == reply.index()
                && reply.offset() < progress.snapshot.data().length) {
            progress.offset = reply.offset();
            piece(from, progress);
        }
        read();
    }

    /**
     * What a majority has on disk is agreed, if it is of this term, and all before it with that.
     */
    private void agree() {
        List<MemberId> voters = members().voters();
        long[] places = voters.stream().mapToLong(this::matchOf).sorted().toArray();
        if (places.length == 0) {
            return;
        }
        long place = places[places.length - members().majority()];
        if (place > commit && log.term(place) == term) {
            for (long i = commit + 1; i <= place; i++) {
                waitingBytes -= log.get(i).cost();
            }
            waitingBytes = Math.max(0, waitingBytes);
            commit = place;
            if (!members().votes(self) && memberships.lastKey() <= commit) {
                // It has led its own removal to the end; the others are to hear of that.
                beat();
                others.forEach(
                        (id, progress) ->
                                outside.send(
                                        id,
                                        appendAfter(Math.min(progress.match, commit), List.of())));
                Progress best =
                        others.values().stream()
                                .max((one, other) -> Long.compare(one.match, other.match))
                                .orElse(null);
                others.forEach(
                        (id, progress) -> {
                            if (progress == best) {
                                outside.send(id, new Message.Stand(term));
                            }
                        });
                follow(term, null);
                return;
            }
            startReading();
        }
    }

    // What is asked of it.

    /** Takes a command to be agreed. What became of it shows at its index, or never. */
    public Taken propose(byte[] command) {
        Refusal refusal = refusal();
        if (refusal == null && command.length > bounds.command()) {
            refusal = Refusal.TOO_LARGE;
        }
        if (refusal == null && waitingBytes + command.length > bounds.waiting()) {
            refusal = Refusal.TOO_MUCH;
        }
        Taken taken = refusal == null ? extend(Entry.Kind.COMMAND, command) : Taken.not(refusal);
        handOut();
        return taken;
    }

    private Refusal refusal() {
        return role != Role.LEADER
                ? Refusal.NOT_LEADER
                : heir != null ? Refusal.HANDING_OVER : null;
    }

    /** Takes one member in, as one that joins or as a learner. */
    public Taken add(Member member) {
        Refusal refusal = refusal();
        if (refusal == null && members().get(member.id()) != null) {
            refusal = Refusal.ALREADY;
        }
        if (refusal == null && members().named(member.name()) != null) {
            refusal = Refusal.NAME_TAKEN;
        }
        if (refusal == null && members().size() >= Members.MOST) {
            refusal = Refusal.TOO_MUCH;
        }
        return change(refusal, members().with(member));
    }

    /** Takes one member out, this leader among them. */
    public Taken remove(MemberId id) {
        Refusal refusal = refusal();
        if (refusal == null && members().get(id) == null) {
            refusal = Refusal.NO_SUCH_MEMBER;
        }
        if (refusal == null && members().votes(id) && members().voters().size() == 1) {
            refusal = Refusal.LAST_VOTER;
        }
        if (refusal == null && !changing() && !bears(members().without(id))) {
            refusal = Refusal.TOO_FEW;
        }
        return change(refusal, members().without(id));
    }

    /**
     * Whether a majority of those that were left is here and up to date: else the group could lose
     * itself by the change.
     */
    private boolean bears(Members left) {
        return left.voters().stream()
                        .filter(id -> heardOf(id) && (id.equals(self) || matchOf(id) >= commit))
                        .count()
                >= left.majority();
    }

    private Taken change(Refusal early, Members changed) {
        Refusal refusal = early == null && changing() ? Refusal.NOT_YET : early;
        Taken taken =
                refusal == null
                        ? extend(Entry.Kind.MEMBERS, Codec.bytes(changed))
                        : Taken.not(refusal);
        handOut();
        return taken;
    }

    /** The first of a group: makes this member, of an empty folder, its only voter. */
    public void found(Member first) {
        if (log.last() > 0 || term > 0 || !first.id().equals(self)) {
            throw new IllegalStateException("only an empty member founds a group");
        }
        term = 1;
        persist(true, null, false, List.of());
        Entry entry =
                new Entry(
                        1,
                        1,
                        Entry.Kind.MEMBERS,
                        Codec.bytes(Members.of(List.of(first.as(Member.Role.VOTER)))));
        add(entry);
        persist(false, null, false, List.of(entry));
        quiet = patience;
        handOut();
    }

    /** Hands over to another voter, once that has all; given up after an election's time. */
    public Refusal transfer(MemberId to) {
        Refusal refusal = refusal();
        if (refusal != null) {
            return refusal;
        }
        if (!members().votes(to)) {
            return Refusal.NO_SUCH_MEMBER;
        }
        if (to.equals(self)) {
            return Refusal.ALREADY;
        }
        heir = to;
        sinceHanding = 0;
        advance(to, others.get(to));
        handOver();
        return null;
    }

    /** The voter that would be the best to hand over to, or null. */
    public MemberId bestHeir() {
        MemberId best = null;
        for (MemberId voter : members().voters()) {
            Progress progress = others.get(voter);
            if (progress != null
                    && progress.heard
                    && (best == null || progress.match > others.get(best).match)) {
                best = voter;
            }
        }
        return best;
    }

    private void handOver() {
        if (heir != null && others.containsKey(heir) && others.get(heir).match == log.last()) {
            outside.send(heir, new Message.Stand(term));
        }
    }

    /** Asks which state answers a read that comes now; the answer bears the ticket. */
    public void read(long ticket) {
        if (role != Role.LEADER) {
            outside.unreadable(ticket);
        } else {
            nextReading.add(new Reading(ticket, commit));
            startReading();
        }
        handOut();
    }

    /** One round of heartbeats at a time, for all reads that came before it. */
    private void startReading() {
        if (!reading.isEmpty() || nextReading.isEmpty() || commit < firstOfTerm) {
            // A leader that has agreed on nothing in its term may not know all that was agreed
            // before.
            return;
        }
        reading = nextReading.stream().map(each -> new Reading(each.ticket, commit)).toList();
        nextReading.clear();
        readingRound = ++round;
        beat();
        read();
    }

    private void read() {
        while (!reading.isEmpty() && role == Role.LEADER) {
            long have =
                    members().voters().stream()
                            .filter(id -> id.equals(self) || others.get(id).round >= readingRound)
                            .count();
            if (have < members().majority()) {
                return;
            }
            List<Reading> done = reading;
            reading = List.of();
            done.forEach(each -> outside.readable(each.ticket, each.index));
            startReading();
        }
    }

    /** Words to another member beside the agreement. */
    public void tell(MemberId to, byte[] words) {
        outside.send(to, new Message.Aside(term, words));
    }

    // Following.

    private void append(MemberId from, Message.Append message) {
        if (role == Role.LEADER) {
            throw new IllegalStateException("two leaders in term " + term);
        }
        follow(term, from);
        long before = message.before();
        if (before > log.last()
                || (before >= log.base() && log.term(before) != message.beforeTerm())) {
            long hint = Math.min(before, log.last());
            hint = log.lastNotAfter(hint, message.beforeTerm());
            promise(
                    from,
                    new Message.AppendReply(
                            term, false, before, hint, log.term(hint), message.round(), run));
            return;
        }
        List<Entry> fresh = new ArrayList<>();
        for (Entry entry : message.entries()) {
            if (entry.index() <= log.base()) {
                continue;
            }
            if (entry.index() <= log.last() && log.term(entry.index()) != entry.term()) {
                if (entry.index() <= commit) {
                    throw new IllegalStateException(
                            "entry " + entry.index() + " was agreed otherwise");
                }
                cutFrom(entry.index());
            }
            if (entry.index() > log.last()) {
                add(entry);
                fresh.add(entry);
            }
        }
        if (!fresh.isEmpty()) {
            persist(false, null, false, fresh);
        }
        long match = before + message.entries().size();
        commit = Math.max(commit, Math.min(message.commit(), match));
        if (doubtful && match >= message.last()) {
            onceDurable(
                    () -> {
                        if (doubtful) {
                            doubtful = false;
                            outside.sure();
                        }
                    });
        }
        promise(from, new Message.AppendReply(term, true, match, 0, 0, message.round(), run));
    }

    private void install(MemberId from, Message.Install message) {
        if (role == Role.LEADER) {
            throw new IllegalStateException("two leaders in term " + term);
        }
        follow(term, from);
        if (message.index() <= commit) {
            promise(
                    from,
                    new Message.AppendReply(
                            term, true, message.index(), 0, 0, message.round(), run));
            return;
        }
        if (message.size() > bounds.snapshot()) {
            return;
        }
        if (partial == null
                || partial.index != message.index()
                || partial.term != message.indexTerm()
                || partial.sum != message.sum()
                || partial.data.length != message.size()) {
            partial =
                    new Install(
                            message.index(),
                            message.indexTerm(),
                            message.sum(),
                            new byte[message.size()],
                            new int[1]);
        }
        int have = partial.have[0];
        if (message.offset() <= have && message.offset() + message.piece().length > have) {
            System.arraycopy(
                    message.piece(),
                    0,
                    partial.data,
                    (int) message.offset(),
                    message.piece().length);
            partial.have[0] = (int) message.offset() + message.piece().length;
        }
        if (partial.have[0] < message.size()) {
            promise(
                    from,
                    new Message.InstallReply(
                            term, message.index(), partial.have[0], message.round(), run));
            return;
        }
        Snapshot whole =
                new Snapshot(
                        message.index(),
                        message.indexTerm(),
                        message.members(),
                        partial.data,
                        message.sum());
        partial = null;
        if (Snapshot.sum(whole.data()) != whole.sum()) {
            promise(from, new Message.InstallReply(term, message.index(), 0, message.round(), run));
            return;
        }
        boolean alone = log.term(whole.index()) != whole.term();
        snapshot = whole;
        if (alone) {
            log.reset(whole.index(), whole.term());
            memberships.clear();
            onDisk = 0;
            reaching.clear();
        } else {
            log.dropThrough(whole.index());
            memberships.headMap(whole.index(), true).clear();
        }
        memberships.put(whole.index(), whole.members());
        commit = whole.index();
        handedOut = whole.index();
        persist(false, whole, alone, List.of());
        outside.restore(whole);
        promise(
                from,
                new Message.AppendReply(term, true, whole.index(), 0, 0, message.round(), run));
    }

    /**
     * A snapshot of this member's own state after an entry that was handed out: it is kept, and
     * once that is on disk the log before it goes, but for a trail.
     */
    public void compact(Snapshot whole) {
        if (whole.index() <= (snapshot == null ? 0 : snapshot.index())) {
            return;
        }
        persist(false, whole, false, List.of());
        onceDurable(
                () -> {
                    if (snapshot == null || whole.index() > snapshot.index()) {
                        snapshot = whole;
                        long through = Math.min(whole.index(), log.last()) - bounds.trail();
                        if (through > log.base()) {
                            Members then = members(through);
                            log.dropThrough(through);
                            memberships.headMap(through, true).clear();
                            memberships.put(through, then);
                        }
                    }
                });
        handOut();
    }

    private void handOut() {
        while (handedOut < commit) {
            handedOut++;
            outside.commit(log.get(handedOut));
        }
    }
}
