package embershift.fleet.store;

import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * A client's session, with the results that the client may request again by resending a
 * transaction.
 */
final class ClientSession {

    private final SessionId id;
    private final String client;
    private final double timeoutSeconds;
    private final TreeMap<Long, CommandResult> results = new TreeMap<>();

    /** The lowest sequence number of a transaction that the client may still resend. */
    private long oldestOpenNumber;

    ClientSession(SessionId id, String client, double timeoutSeconds, long oldestOpenNumber) {
        this.id = id;
        this.client = client;
        this.timeoutSeconds = timeoutSeconds;
        this.oldestOpenNumber = oldestOpenNumber;
    }

    SessionId id() {
        return id;
    }

    String client() {
        return client;
    }

    double timeoutSeconds() {
        return timeoutSeconds;
    }

    long oldestOpenNumber() {
        return oldestOpenNumber;
    }

    NavigableMap<Long, CommandResult> results() {
        return results;
    }

    void retain(StoreCommand.Transaction transaction, CommandResult result, int maxResults) {
        oldestOpenNumber = Math.max(oldestOpenNumber, transaction.oldestOpenNumber());
        results.put(transaction.sequenceNumber(), result);
        results.headMap(oldestOpenNumber).clear();
        while (results.size() > maxResults) {
            oldestOpenNumber = results.firstKey() + 1;
            results.pollFirstEntry();
        }
    }
}
