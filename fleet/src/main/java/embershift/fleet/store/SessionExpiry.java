package embershift.fleet.store;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Expiry times of the sessions, by the leader's clock and in its memory only. A new leader restarts
 * all timeouts, as it does not know when each client last called.
 */
final class SessionExpiry {

    /** Stands for the expiry time of a session whose end has been proposed to the log. */
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

    /**
     * Restarts a session's timeout after a call of its client; a session that is ending is not
     * renewed.
     */
    void renew(double now, SessionId session, KeyValueStore store) {
        if (!isEnding(session)) {
            store.sessionTimeout(session)
                    .ifPresent(seconds -> expiryTimes.put(session, now + seconds));
        }
    }

    /**
     * Ends the expired sessions; {@code end} returns whether it has proposed the end of a session.
     */
    void endExpired(double now, Predicate<SessionId> end) {
        for (Map.Entry<SessionId, Double> each : List.copyOf(expiryTimes.entrySet())) {
            if (now > each.getValue() && end.test(each.getKey())) {
                expiryTimes.put(each.getKey(), END_PROPOSED);
            }
        }
    }
}
