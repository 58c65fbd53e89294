package embershift.fleet.store;

/**
 * What must hold of a key for a transaction to be executed. The revision of a key is that of the
 * transaction that last wrote it.
 *
 * @param revision the key's revision, {@link #ABSENT} or {@link #ANY_REVISION}
 */
public record Precondition(String key, long revision) {

    /** The key does not exist. */
    public static final long ABSENT = 0;

    /** The key exists. */
    public static final long ANY_REVISION = -1;
}
