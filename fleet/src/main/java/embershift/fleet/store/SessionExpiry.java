package embershift.fleet.store;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * When each session ends, by the leader's time; kept in the leader's memory alone. A new leader
 * counts each from the start again, as it does not know when its client was last heard.
 */
final class SessionExpiry {

    /** In place of a time: the command that ends the session is in the log. */
    private static final double END_PROPOSED = Double.POSITIVE_INFINITY;

    private final Map<SessionId, Double> expiryTimes = new HashMap<>();

    void clear() {
        expiryTimes.clear();
    }

    void restart(double now, KeyValueStore store) {
        expiryTimes.clear();
        store.sessions().forEach((id, seconds) -> expiryTimes.put(id, now + seconds));
    }

    void remove(SessionId session) {
        expiryTimes.remove(session);
    }

    boolean isEnding(SessionId session) {
        Double expiry = expiryTimes.get(session);
        return expiry != null && expiry == END_PROPOSED;
    }

    /** The session's client was heard of; a session that is ending stays so. */
    void renew(double now, SessionId session, KeyValueStore store) {
        if (!isEnding(session)) {
            store.sessionTimeout(session)
                    .ifPresent(seconds -> expiryTimes.put(session, now + seconds));
        }
    }

    /** Has the sessions ended whose time is over; {@code end} returns whether that is under way. */
    void endExpired(double now, Predicate<SessionId> end) {
        for (Map.Entry<SessionId, Double> each : List.copyOf(expiryTimes.entrySet())) {
            if (now > each.getValue() && end.test(each.getKey())) {
                expiryTimes.put(each.getKey(), END_PROPOSED);
            }
        }
    }
}
