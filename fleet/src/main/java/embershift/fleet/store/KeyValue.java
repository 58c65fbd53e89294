package embershift.fleet.store;

/**
 * A key with its value.
 *
 * @param createRevision the revision of the transaction that created the key
 * @param revision the revision of the transaction that last wrote it
 * @param session the session with which the key is deleted, or {@link SessionId#NONE}
 */
public record KeyValue(
        String key, String value, long createRevision, long revision, SessionId session) {}
