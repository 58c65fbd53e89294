package embershift.fleet.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The state machine that the instances replicate: keys with values and revisions, and clients'
 * sessions. No I/O, clock or chance: the same commands in the same order make the same state, byte
 * for byte.
 */
public final class KeyValueStore {

    /** The longest key and the longest name of a client, in characters. */
    public static final int MAX_KEY_CHARS = 512;

    /** The longest value, in characters. */
    public static final int MAX_VALUE_CHARS = 1 << 19;

    /** The most that all keys and values may take up, in characters. */
    public static final int MAX_TOTAL_CHARS = 16 << 20;

    /** The most sessions at a time. */
    public static final int MAX_SESSIONS = 10_000;

    /** The most mutations, and the most preconditions, of one transaction. */
    public static final int MAX_TRANSACTION_PARTS = 1_000;

    /** The most results kept for one session: a client has no more transactions in flight. */
    public static final int MAX_RETAINED_RESULTS = 64;

    /** What a key counts for beside its characters. */
    private static final int KEY_OVERHEAD_CHARS = 64;

    private static final double MAX_SESSION_SECONDS = 3600;

    private final TreeMap<String, KeyValue> keyValues = new TreeMap<>();
    private final TreeMap<Long, ClientSession> sessions = new TreeMap<>();
    private ChangeHistory history = new ChangeHistory(1);
    private long revision;
    private long totalChars;
    private long appliedIndex;

    /** Executes the command that was committed at an index of the log. */
    public CommandResult apply(long index, StoreCommand command) {
        appliedIndex = index;
        if (command instanceof StoreCommand.OpenSession open) {
            return openSession(index, open);
        }
        if (command instanceof StoreCommand.EndSession end) {
            return endSession(end.session());
        }
        return apply((StoreCommand.Transaction) command);
    }

    /** Notes an index of the log that holds no command. */
    public void skipEntry(long index) {
        appliedIndex = index;
    }

    private CommandResult openSession(long index, StoreCommand.OpenSession open) {
        double seconds = open.timeoutSeconds();
        boolean isValid = seconds > 0 && seconds <= MAX_SESSION_SECONDS;
        if (open.client().length() > MAX_KEY_CHARS || !isValid) {
            return new CommandResult.Rejected(
                    CommandResult.Reason.TOO_LARGE,
                    "a session lasts over 0 to " + MAX_SESSION_SECONDS + " s");
        }
        if (sessions.size() >= MAX_SESSIONS) {
            return new CommandResult.Rejected(
                    CommandResult.Reason.STORE_FULL, "there are " + MAX_SESSIONS + " sessions");
        }
        sessions.put(index, new ClientSession(new SessionId(index), open.client(), seconds, 1));
        return new CommandResult.Done(index);
    }

    private CommandResult endSession(SessionId id) {
        if (sessions.remove(id.number()) == null) {
            return unknownSession(id);
        }
        List<KeyValue> bound =
                keyValues.values().stream().filter(each -> each.session().equals(id)).toList();
        if (!bound.isEmpty()) {
            revision++;
            bound.forEach(each -> execute(Mutation.delete(each.key()), SessionId.NONE));
        }
        return new CommandResult.Done(revision);
    }

    private static CommandResult unknownSession(SessionId id) {
        return new CommandResult.Rejected(
                CommandResult.Reason.UNKNOWN_SESSION, "there is no session " + id.number());
    }

    private CommandResult apply(StoreCommand.Transaction transaction) {
        if (transaction.session().equals(SessionId.NONE)) {
            return execute(transaction);
        }
        ClientSession session = sessions.get(transaction.session().number());
        if (session == null) {
            return unknownSession(transaction.session());
        }
        CommandResult previous = session.results().get(transaction.sequenceNumber());
        if (previous != null) {
            return previous;
        }
        if (transaction.sequenceNumber() < session.oldestOpenNumber()) {
            return new CommandResult.Rejected(
                    CommandResult.Reason.RESULT_FORGOTTEN,
                    "number " + transaction.sequenceNumber() + " was answered long ago");
        }
        CommandResult result = execute(transaction);
        session.retain(transaction, result, MAX_RETAINED_RESULTS);
        return result;
    }

    private CommandResult execute(StoreCommand.Transaction transaction) {
        Optional<CommandResult.Rejected> rejection =
                checkSize(transaction)
                        .or(() -> checkPreconditions(transaction.preconditions()))
                        .or(() -> checkMutations(transaction))
                        .or(() -> checkCapacity(transaction.mutations()));
        if (rejection.isPresent()) {
            return rejection.get();
        }
        boolean hasEffect =
                transaction.mutations().stream()
                        .anyMatch(
                                each ->
                                        each.value().isPresent()
                                                || keyValues.containsKey(each.key()));
        if (hasEffect) {
            revision++;
            transaction.mutations().forEach(each -> execute(each, transaction.session()));
        }
        return new CommandResult.Done(revision);
    }

    private static Optional<CommandResult.Rejected> checkSize(
            StoreCommand.Transaction transaction) {
        boolean isTooLarge =
                transaction.preconditions().size() > MAX_TRANSACTION_PARTS
                        || transaction.mutations().size() > MAX_TRANSACTION_PARTS;
        return isTooLarge
                ? Optional.of(
                        new CommandResult.Rejected(
                                CommandResult.Reason.TOO_LARGE,
                                "over " + MAX_TRANSACTION_PARTS + " writes or conditions"))
                : Optional.empty();
    }

    private Optional<CommandResult.Rejected> checkPreconditions(List<Precondition> preconditions) {
        for (Precondition precondition : preconditions) {
            long current = find(precondition.key()).map(KeyValue::revision).orElse(0L);
            boolean holds =
                    precondition.revision() == Precondition.ANY_REVISION
                            ? current != Precondition.ABSENT
                            : current == precondition.revision();
            if (!holds) {
                return Optional.of(
                        new CommandResult.Rejected(
                                CommandResult.Reason.PRECONDITION_FAILED,
                                precondition.key() + " is at revision " + current));
            }
        }
        return Optional.empty();
    }

    private static Optional<CommandResult.Rejected> checkMutations(
            StoreCommand.Transaction transaction) {
        for (Mutation mutation : transaction.mutations()) {
            int keyLength = mutation.key().length();
            boolean isKeyValid = keyLength > 0 && keyLength <= MAX_KEY_CHARS;
            if (!isKeyValid || mutation.value().orElse("").length() > MAX_VALUE_CHARS) {
                return Optional.of(
                        new CommandResult.Rejected(
                                CommandResult.Reason.TOO_LARGE,
                                "a key has 1 to "
                                        + MAX_KEY_CHARS
                                        + " characters, a value up to "
                                        + MAX_VALUE_CHARS));
            }
            if (mutation.sessionBound() && transaction.session().equals(SessionId.NONE)) {
                return Optional.of(
                        new CommandResult.Rejected(
                                CommandResult.Reason.UNKNOWN_SESSION,
                                "nothing can be bound to no session"));
            }
        }
        return Optional.empty();
    }

    /**
     * Of several mutations of one key the last one counts. What shrinks the store is always taken.
     */
    private Optional<CommandResult.Rejected> checkCapacity(List<Mutation> mutations) {
        Map<String, Integer> sizesAfter = new HashMap<>();
        for (Mutation mutation : mutations) {
            int size = mutation.value().map(value -> size(mutation.key(), value)).orElse(0);
            sizesAfter.put(mutation.key(), size);
        }
        long total = totalChars;
        boolean grows = false;
        for (Map.Entry<String, Integer> sizeAfter : sizesAfter.entrySet()) {
            int previous = find(sizeAfter.getKey()).map(KeyValueStore::size).orElse(0);
            total += sizeAfter.getValue() - previous;
            grows |= sizeAfter.getValue() > previous;
        }
        return grows && total > MAX_TOTAL_CHARS
                ? Optional.of(
                        new CommandResult.Rejected(
                                CommandResult.Reason.STORE_FULL,
                                "the record holds " + MAX_TOTAL_CHARS + " characters at the most"))
                : Optional.empty();
    }

    static int size(String key, String value) {
        return KEY_OVERHEAD_CHARS + key.length() + value.length();
    }

    private static int size(KeyValue keyValue) {
        return size(keyValue.key(), keyValue.value());
    }

    private void execute(Mutation mutation, SessionId session) {
        String key = mutation.key();
        KeyValue previous = keyValues.remove(key);
        if (previous != null) {
            totalChars -= size(previous);
        }
        if (mutation.value().isPresent()) {
            String value = mutation.value().get();
            totalChars += size(key, value);
            long createRevision = previous == null ? revision : previous.createRevision();
            SessionId boundTo = mutation.sessionBound() ? session : SessionId.NONE;
            keyValues.put(key, new KeyValue(key, value, createRevision, revision, boundTo));
        } else if (previous == null) {
            return;
        }
        history.add(new WatchEvent(revision, key, mutation.value()));
    }

    /** Returns the revision of the last transaction that changed a key. */
    public long revision() {
        return revision;
    }

    /** Returns the last index of the log whose entry this state includes. */
    public long appliedIndex() {
        return appliedIndex;
    }

    /** Returns a key with its value. */
    public Optional<KeyValue> find(String key) {
        return Optional.ofNullable(keyValues.get(key));
    }

    /** Returns all keys that begin with a prefix, in their order. */
    public Collection<KeyValue> findByPrefix(String prefix) {
        List<KeyValue> found = new ArrayList<>();
        for (KeyValue keyValue : keyValues.tailMap(prefix, true).values()) {
            if (!keyValue.key().startsWith(prefix)) {
                break;
            }
            found.add(keyValue);
        }
        return found;
    }

    /**
     * Returns changes of keys that begin with a prefix, from a revision on; empty if some of them
     * are not known any more.
     */
    public Optional<List<WatchEvent>> eventsSince(long from, String prefix) {
        return history.since(from, prefix);
    }

    /** Returns the timeout of each session, in seconds. */
    public Map<SessionId, Double> sessions() {
        Map<SessionId, Double> timeouts = new HashMap<>();
        sessions.values().forEach(each -> timeouts.put(each.id(), each.timeoutSeconds()));
        return timeouts;
    }

    /** Returns the timeout of a session, in seconds; empty where there is none. */
    public Optional<Double> sessionTimeout(SessionId id) {
        return Optional.ofNullable(sessions.get(id.number())).map(ClientSession::timeoutSeconds);
    }

    /** Encodes this state as a snapshot; the same state always gives the same bytes. */
    public byte[] encode() {
        return StoreCodec.encodeSnapshot(
                revision, appliedIndex, keyValues.values(), sessions.values());
    }

    /**
     * Decodes a snapshot.
     *
     * @throws MalformedCommandException if these bytes are none
     */
    public static KeyValueStore decode(byte[] bytes) {
        KeyValueStore store = new KeyValueStore();
        StoreCodec.decodeSnapshot(bytes, store::restore);
        return store;
    }

    private void restore(
            long restoredRevision,
            long restoredIndex,
            List<KeyValue> restoredKeys,
            List<ClientSession> restoredSessions) {
        revision = restoredRevision;
        appliedIndex = restoredIndex;
        history = new ChangeHistory(revision + 1);
        for (KeyValue keyValue : restoredKeys) {
            keyValues.put(keyValue.key(), keyValue);
            totalChars += size(keyValue);
        }
        restoredSessions.forEach(session -> sessions.put(session.id().number(), session));
    }
}
