package embershift.fleet.store;

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
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A replica of the {@link KeyValueStore} on one member of a Raft group, with the calls that wait
 * for it. A state machine without I/O, clock or threads: it is fed time (in seconds, never
 * decreasing), messages, calls and completed writes, and acts through its {@link Environment}.
 */
public final class ReplicatedStore {

    /**
     * What a replica needs done for it. It is called from within the replica's methods and must not
     * call back.
     */
    public interface Environment {

        /** See {@link RaftEnvironment#sendRequest}. */
        void send(MemberId to, RaftMessage message);

        /** Writes to disk; {@link ReplicatedStore#writesCompleted} is owed for each, in order. */
        void persist(WriteRequest request);

        /** See {@link RaftEnvironment#stateTrusted}. */
        void stateTrusted();

        /** Completes a call: each at most once; one not completed in time is unknown. */
        void complete(long call, CallResult result);

        /**
         * This member leads or follows from now on; {@code leader} is empty while none is known.
         */
        void roleChanged(boolean isLeader, long term, Optional<MemberId> leader);

        /** This replica must do nothing more; {@code reason} is one line. */
        void halt(String reason);
    }

    private record PendingCall(long call, long term) {}

    private final Raft raft;
    private final Environment environment;
    private final SnapshotPolicy snapshotPolicy;
    private final TreeMap<Long, PendingCall> pendingByIndex = new TreeMap<>();
    private final LinearizableReads reads = new LinearizableReads();
    private final Watches watches = new Watches();
    private final SessionExpiry sessionExpiry = new SessionExpiry();
    private final StateChecksums checksums;
    private KeyValueStore store;
    private double now;
    private long lastSnapshotIndex;
    private long bytesSinceSnapshot;
    private boolean hasChanged;
    private boolean isHalted;

    /**
     * Creates a replica from what is on its disk.
     *
     * @param incarnation another number at each start
     * @param seed of its election timeouts
     */
    public ReplicatedStore(
            MemberId self,
            RaftTiming timing,
            RaftLimits limits,
            SnapshotPolicy snapshotPolicy,
            RecoveredState recovered,
            long incarnation,
            long seed,
            Environment environment) {
        this.environment = environment;
        this.snapshotPolicy = snapshotPolicy;
        checksums = new StateChecksums(self);
        store =
                recovered
                        .snapshot()
                        .map(snapshot -> KeyValueStore.decode(snapshot.data()))
                        .orElseGet(KeyValueStore::new);
        lastSnapshotIndex = recovered.snapshot().map(Snapshot::index).orElse(0L);
        raft =
                new Raft(
                        self,
                        timing,
                        limits,
                        recovered,
                        incarnation,
                        seed,
                        new MemberEnvironment());
    }

    /** Returns the Raft member, to look at: it must be fed through this replica alone. */
    public Raft raft() {
        return raft;
    }

    /** Returns the state as this replica has it; it may be far behind the leader's. */
    public KeyValueStore store() {
        return store;
    }

    /** Whether this member leads. */
    public boolean isLeader() {
        return raft.role() == Raft.Role.LEADER;
    }

    private final class MemberEnvironment implements RaftEnvironment {

        @Override
        public void send(MemberId to, RaftMessage message) {
            environment.send(to, message);
        }

        @Override
        public void persist(WriteRequest request) {
            environment.persist(request);
        }

        @Override
        public void stateTrusted() {
            environment.stateTrusted();
        }

        @Override
        public void committed(LogEntry entry) {
            apply(entry);
        }

        @Override
        public void restored(Snapshot snapshot) {
            restore(snapshot);
        }

        @Override
        public void readReady(long ticket, long index) {
            reads.confirmed(ticket, index);
        }

        @Override
        public void readRejected(long ticket) {
            reads.rejected(ticket, call -> environment.complete(call, notLeader()));
        }

        @Override
        public void becameLeader(long term) {
            sessionExpiry.restart(now, store);
            environment.roleChanged(true, term, Optional.of(raft.self()));
        }

        @Override
        public void becameFollower(long term, Optional<MemberId> leader) {
            sessionExpiry.clear();
            environment.roleChanged(false, term, leader);
        }

        @Override
        public void applicationMessage(MemberId from, byte[] payload) {
            checksums
                    .receive(from, payload, raft.membership())
                    .ifPresent(ReplicatedStore.this::halt);
        }
    }

    private CallResult.Rejected notLeader() {
        String leader = raft.leader().flatMap(raft.membership()::find).map(Member::name).orElse("");
        return new CallResult.Rejected(CallResult.Reason.NOT_LEADER, leader);
    }

    private void restore(Snapshot snapshot) {
        store = KeyValueStore.decode(snapshot.data());
        lastSnapshotIndex = snapshot.index();
        bytesSinceSnapshot = 0;
        pendingByIndex
                .headMap(snapshot.index(), true)
                .values()
                .forEach(
                        each ->
                                environment.complete(
                                        each.call,
                                        new CallResult.Unknown(
                                                "the others went on without this instance")));
        pendingByIndex.headMap(snapshot.index(), true).clear();
        checksums.forgetThrough(snapshot.index());
        hasChanged = true;
    }

    private void apply(LogEntry entry) {
        bytesSinceSnapshot += entry.sizeBytes();
        CallResult result = new CallResult.Done(0);
        if (entry.kind() == LogEntry.Kind.COMMAND) {
            StoreCommand command;
            try {
                command = StoreCodec.decodeCommand(entry.data());
            } catch (MalformedCommandException e) {
                halt(
                        "entry "
                                + entry.index()
                                + " can't be carried out by this program: "
                                + e.getMessage());
                return;
            }
            result = apply(entry.index(), command);
        } else {
            store.skipEntry(entry.index());
        }
        if (entry.index() % snapshotPolicy.checksumInterval() == 0) {
            int checksum = Snapshot.checksum(store.encode());
            checksums.addOwn(entry.index(), checksum, raft.membership()).ifPresent(this::halt);
        }
        completeCall(entry, result);
    }

    private CallResult apply(long index, StoreCommand command) {
        CommandResult result = store.apply(index, command);
        hasChanged = true;
        if (isLeader()) {
            renewSessionOf(command, result);
        }
        return CallResult.of(result);
    }

    private void renewSessionOf(StoreCommand command, CommandResult result) {
        if (command instanceof StoreCommand.OpenSession
                && result instanceof CommandResult.Done opened) {
            sessionExpiry.renew(now, new SessionId(opened.number()), store);
        } else if (command instanceof StoreCommand.EndSession end) {
            sessionExpiry.remove(end.session());
        } else if (command instanceof StoreCommand.Transaction transaction) {
            sessionExpiry.renew(now, transaction.session(), store);
        }
    }

    private void completeCall(LogEntry entry, CallResult result) {
        PendingCall pending = pendingByIndex.remove(entry.index());
        if (pending != null) {
            boolean isOwnEntry = pending.term == entry.term();
            environment.complete(
                    pending.call,
                    isOwnEntry
                            ? result
                            : new CallResult.Rejected(
                                    CallResult.Reason.NOT_LEADER,
                                    "another leader came before it was agreed"));
        }
    }

    private void halt(String reason) {
        if (!isHalted) {
            isHalted = true;
            environment.halt(reason);
        }
    }

    /** Feeds the protocol; then does whatever has become possible. */
    private void run(double time, Runnable input) {
        now = time;
        if (!isHalted) {
            input.run();
        }
        if (!isHalted) {
            reads.answerReady(store);
            if (hasChanged) {
                hasChanged = false;
                watches.answer(store, environment::complete);
            }
            if (isLeader()) {
                sessionExpiry.endExpired(now, this::proposeSessionEnd);
            }
            checksums.sendNew(raft);
            takeSnapshotIfDue();
        }
    }

    private boolean proposeSessionEnd(SessionId session) {
        byte[] command = StoreCodec.encode(new StoreCommand.EndSession(session));
        return raft.propose(command) instanceof ProposeResult.Accepted;
    }

    private void takeSnapshotIfDue() {
        long applied = store.appliedIndex();
        if (applied - lastSnapshotIndex >= snapshotPolicy.maxEntries()
                || bytesSinceSnapshot >= snapshotPolicy.maxBytes()) {
            lastSnapshotIndex = applied;
            bytesSinceSnapshot = 0;
            raft.compact(
                    Snapshot.of(
                            applied,
                            raft.termAt(applied),
                            raft.membershipAt(applied),
                            store.encode()));
        }
    }

    /** Ticks of the protocol have passed. */
    public void tick(double time, int ticks) {
        run(
                time,
                () -> {
                    for (int i = 0; i < ticks && !isHalted; i++) {
                        raft.tick();
                    }
                });
    }

    /** Takes a message of another member. */
    public void receive(double time, MemberId from, RaftMessage message) {
        run(time, () -> raft.receive(from, message));
    }

    /** All writes up to that number are durable. */
    public void writesCompleted(double time, long number) {
        run(time, () -> raft.writesCompleted(number));
    }

    /** Submits a command. */
    public void submit(double time, long call, StoreCommand command) {
        run(time, () -> completeOnCommit(call, raft.propose(StoreCodec.encode(command))));
    }

    private void completeOnCommit(long call, ProposeResult result) {
        if (result instanceof ProposeResult.Accepted accepted) {
            pendingByIndex.put(accepted.index(), new PendingCall(call, accepted.term()));
        } else if (result instanceof ProposeResult.Rejected rejected) {
            environment.complete(call, rejected(rejected.reason()));
        }
    }

    private CallResult.Rejected rejected(RejectionReason reason) {
        return switch (reason) {
            case NOT_LEADER, TRANSFERRING_LEADERSHIP -> notLeader();
            case OVERLOADED ->
                    new CallResult.Rejected(CallResult.Reason.BUSY, "too much waits to be agreed");
            case TOO_LARGE -> new CallResult.Rejected(CallResult.Reason.TOO_LARGE, "too large");
            case CHANGE_IN_PROGRESS ->
                    new CallResult.Rejected(
                            CallResult.Reason.BUSY,
                            "another change of the members is not agreed yet");
            case ALREADY_DONE -> membershipRejected("it is so already");
            case NAME_TAKEN ->
                    membershipRejected("another of that name belongs to the group: remove it");
            case UNKNOWN_MEMBER -> membershipRejected("no such member, or not one that votes");
            case QUORUM_AT_RISK ->
                    membershipRejected("too few of those left are here and up to date");
            case LAST_VOTER -> membershipRejected("the last one that votes can't go");
        };
    }

    private static CallResult.Rejected membershipRejected(String message) {
        return new CallResult.Rejected(CallResult.Reason.MEMBERSHIP, message);
    }

    /** Reads one key, by a state that is no older than this call. */
    public void read(double time, long call, String key) {
        read(time, call, state -> state.find(key).map(List::of).orElseGet(List::of));
    }

    /** Reads all keys with a prefix, by a state that is no older than this call. */
    public void readPrefix(double time, long call, String prefix) {
        read(time, call, state -> state.findByPrefix(prefix));
    }

    private void read(double time, long call, KeySelector selector) {
        beginRead(
                time,
                call,
                state ->
                        environment.complete(
                                call,
                                new CallResult.Found(state.revision(), selector.select(state))));
    }

    private interface KeySelector {
        Collection<KeyValue> select(KeyValueStore state);
    }

    private void beginRead(double time, long call, Consumer<KeyValueStore> action) {
        run(time, () -> reads.begin(raft, call, action));
    }

    /**
     * Renews a session: done if it lasts its whole timeout from now on. That takes a confirmed
     * leader: one of an earlier term must not promise what the next one does not keep.
     */
    public void renewSession(double time, long call, SessionId session) {
        beginRead(
                time,
                call,
                state -> {
                    boolean isOpen =
                            state.sessionTimeout(session).isPresent()
                                    && !sessionExpiry.isEnding(session);
                    if (isOpen) {
                        sessionExpiry.renew(now, session, state);
                    }
                    environment.complete(
                            call,
                            isOpen
                                    ? new CallResult.Done(session.number())
                                    : new CallResult.Rejected(
                                            CallResult.Reason.UNKNOWN_SESSION,
                                            "there is no session " + session.number()));
                });
    }

    /**
     * Waits for the next change of keys with a prefix, from a revision on. Any member answers that,
     * as soon as it knows.
     */
    public void watch(double time, long call, String prefix, long fromRevision) {
        run(
                time,
                () -> {
                    watches.add(call, prefix, fromRevision)
                            .ifPresent(rejected -> environment.complete(call, rejected));
                    hasChanged = true;
                });
    }

    /** Nobody waits for the result of this call any more. */
    public void cancelCall(long call) {
        watches.remove(call);
        pendingByIndex.values().removeIf(each -> each.call == call);
    }

    /** Adds a member to the group. */
    public void addMember(double time, long call, Member member) {
        run(time, () -> completeOnCommit(call, raft.addMember(member)));
    }

    /** Removes a member from the group. */
    public void removeMember(double time, long call, MemberId id) {
        run(time, () -> completeOnCommit(call, raft.removeMember(id)));
    }

    /** Begins to hand over leadership; done says only that it has begun. */
    public void transferLeadership(double time, long call, MemberId target) {
        run(
                time,
                () -> {
                    Optional<RejectionReason> rejection = raft.transferLeadership(target);
                    environment.complete(
                            call,
                            rejection
                                    .<CallResult>map(this::rejected)
                                    .orElseGet(() -> new CallResult.Done(0)));
                });
    }

    /**
     * Begins a group with this member, whose directory is empty.
     *
     * @throws IllegalStateException if its directory is not empty
     */
    public void bootstrap(double time, Member first) {
        run(time, () -> raft.bootstrap(first));
    }
}
