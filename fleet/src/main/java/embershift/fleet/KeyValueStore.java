package embershift.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the instances agree on: keys with values and revisions, and the sessions of clients. No I/O,
 * clock or chance: the same commands in the same order make the same record, byte for byte. All
 * bounds are the same everywhere.
 */
public final class KeyValueStore {

    /** Characters of a key, of a value and of a client's name; of all keys and values together. */
    public static final int KEY = 512;

    public static final int VALUE = 1 << 19;
    public static final int ALL = 16 << 20;
    public static final int SESSIONS = 10_000;

    /** Writes and conditions of one command. */
    public static final int PARTS = 1_000;

    /** Answers kept for a session at the most: a client has no more commands out at a time. */
    public static final int RESULTS = 64;

    /** What one key costs beside its characters. */
    private static final int COST = 64;

    /** Changes that watches can begin at. */
    private static final int HISTORY = 10_000;

    private static final int HISTORY_SIZE = 8 << 20;
    private static final double LONGEST_SESSION = 3600;

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final TreeMap<Long, Session> sessions = new TreeMap<>();
    private long revision;
    private long size;

    /** The place of the log up to which this is the record. */
    private long applied;

    /**
     * Not part of the record: the last changes, for watches. What is before {@code gapBefore} is
     * not known here.
     */
    private final Deque<Event> history = new ArrayDeque<>();

    private long historySize;
    private long gapBefore = 1;

    /** Carries out what was agreed at this place of the log. */
    public Result apply(long index, Command command) {
        applied = index;
        if (command instanceof Command.Open open) {
            return open(index, open);
        }
        if (command instanceof Command.End end) {
            return end(end.session());
        }
        return change((Command.Change) command);
    }

    /** A place of the log that holds no command. */
    public void pass(long index) {
        applied = index;
    }

    private Result open(long index, Command.Open open) {
        if (open.client().length() > KEY
                || !(open.seconds() > 0 && open.seconds() <= LONGEST_SESSION)) {
            return Result.refused(
                    Result.Why.TOO_LARGE, "a session lasts over 0 to " + LONGEST_SESSION + " s");
        }
        if (sessions.size() >= SESSIONS) {
            return Result.refused(Result.Why.FULL, "there are " + SESSIONS + " sessions");
        }
        sessions.put(index, new Session(new SessionId(index), open.client(), open.seconds()));
        return Result.done(index);
    }

    private Result end(SessionId id) {
        if (sessions.remove(id.number()) == null) {
            return Result.refused(Result.Why.NO_SESSION, "there is no session " + id.number());
        }
        List<Item> bound =
                items.values().stream().filter(item -> item.session().equals(id)).toList();
        if (!bound.isEmpty()) {
            revision++;
            bound.forEach(item -> write(item.key(), null, SessionId.NONE));
        }
        return Result.done(revision);
    }

    private Result change(Command.Change change) {
        if (change.session().equals(SessionId.NONE)) {
            return carryOut(change);
        }
        Session session = sessions.get(change.session().number());
        if (session == null) {
            return Result.refused(
                    Result.Why.NO_SESSION, "there is no session " + change.session().number());
        }
        Result before = session.results.get(change.number());
        if (before != null) {
            return before;
        }
        if (change.number() < session.open) {
            return Result.refused(
                    Result.Why.FORGOTTEN, "number " + change.number() + " was answered long ago");
        }
        Result result = carryOut(change);
        session.open = Math.max(session.open, change.open());
        session.results.put(change.number(), result);
        session.results.headMap(session.open).clear();
        while (session.results.size() > RESULTS) {
            session.open = session.results.firstKey() + 1;
            session.results.pollFirstEntry();
        }
        return result;
    }

    private Result carryOut(Command.Change change) {
        if (change.conditions().size() > PARTS || change.writes().size() > PARTS) {
            return Result.refused(Result.Why.TOO_LARGE, "over " + PARTS + " writes or conditions");
        }
        for (Condition condition : change.conditions()) {
            Item item = items.get(condition.key());
            long now = item == null ? 0 : item.revision();
            if (condition.revision() == Condition.ANY
                    ? item == null
                    : now != condition.revision()) {
                return Result.refused(
                        Result.Why.CONDITION, condition.key() + " is at revision " + now);
            }
        }
        Map<String, Integer> after = new HashMap<>();
        for (Write write : change.writes()) {
            if (write.key().isEmpty()
                    || write.key().length() > KEY
                    || (write.value() != null && write.value().length() > VALUE)) {
                return Result.refused(
                        Result.Why.TOO_LARGE,
                        "a key has 1 to " + KEY + " characters, a value up to " + VALUE);
            }
            if (write.bound() && change.session().equals(SessionId.NONE)) {
                return Result.refused(Result.Why.NO_SESSION, "nothing can be bound to no session");
            }
            after.put(write.key(), write.value() == null ? 0 : cost(write.key(), write.value()));
        }
        long then = size;
        boolean grows = false;
        for (Map.Entry<String, Integer> write : after.entrySet()) {
            Item item = items.get(write.getKey());
            int now = item == null ? 0 : cost(item.key(), item.value());
            then += write.getValue() - now;
            grows |= write.getValue() > now;
        }
        if (grows && then > ALL) {
            return Result.refused(
                    Result.Why.FULL, "the record holds " + ALL + " characters at the most");
        }
        boolean changes =
                change.writes().stream()
                        .anyMatch(write -> write.value() != null || items.containsKey(write.key()));
        if (changes) {
            revision++;
            for (Write write : change.writes()) {
                write(
                        write.key(),
                        write.value(),
                        write.bound() ? change.session() : SessionId.NONE);
            }
        }
        return Result.done(revision);
    }

    private static int cost(String key, String value) {
        return COST + key.length() + value.length();
    }

    private void write(String key, String value, SessionId session) {
        Item before = items.get(key);
        if (before != null) {
            size -= cost(key, before.value());
        }
        if (value == null) {
            if (items.remove(key) == null) {
                return;
            }
        } else {
            size += cost(key, value);
            items.put(
                    key,
                    new Item(
                            key,
                            value,
                            before == null ? revision : before.created(),
                            revision,
                            session));
        }
        history.add(new Event(revision, key, value));
        historySize += cost(key, value == null ? "" : value);
        while (history.size() > HISTORY || historySize > HISTORY_SIZE) {
            Event gone = history.remove();
            historySize -= cost(gone.key(), gone.value() == null ? "" : gone.value());
            gapBefore = gone.revision() + 1;
        }
    }

    // What may be asked of it.

    public long revision() {
        return revision;
    }

    public long applied() {
        return applied;
    }

    /** Null where there is none. */
    public Item get(String key) {
        return items.get(key);
    }

    /** Those whose keys begin so, in the order of their keys. */
    public Collection<Item> beginning(String prefix) {
        List<Item> some = new ArrayList<>();
        for (Item item : items.tailMap(prefix, true).values()) {
            if (!item.key().startsWith(prefix)) {
                break;
            }
            some.add(item);
        }
        return some;
    }

    /**
     * Changes of keys that begin so, from this revision on; null where some of them are not known
     * any more.
     */
    public List<Event> since(long from, String prefix) {
        if (from < gapBefore) {
            return null;
        }
        return history.stream()
                .filter(event -> event.revision() >= from && event.key().startsWith(prefix))
                .toList();
    }

    /** Sessions with the seconds that each lasts without a word. */
    public Map<SessionId, Double> sessions() {
        Map<SessionId, Double> all = new HashMap<>();
        sessions.forEach((number, session) -> all.put(session.id, session.seconds));
        return all;
    }

    /** Seconds that the session lasts without a word; negative where there is none. */
    public double seconds(SessionId id) {
        Session session = sessions.get(id.number());
        return session == null ? -1 : session.seconds;
    }

    // As bytes.

    /** The same record gives the same bytes. */
    public byte[] bytes() {
        return RecordCodec.bytes(revision, applied, items.values(), sessions.values());
    }

    /**
     * The record that these bytes stand for.
     *
     * @throws RecordCodec.Unreadable where these are no such bytes
     */
    public static KeyValueStore of(byte[] bytes) {
        KeyValueStore record = new KeyValueStore();
        RecordCodec.read(bytes, record::fill);
        return record;
    }

    private void fill(long revisionThen, long appliedThen, List<Item> all, List<Session> open) {
        revision = revisionThen;
        applied = appliedThen;
        gapBefore = revision + 1;
        for (Item item : all) {
            items.put(item.key(), item);
            size += cost(item.key(), item.value());
        }
        open.forEach(session -> sessions.put(session.id.number(), session));
    }
}
