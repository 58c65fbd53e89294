package embershift.fleet.store;

/**
 * A condition on a key under which a transaction is executed. The revision of a key is that of the
 * transaction that last wrote it.
 *
 * @param revision the required revision, {@link #ABSENT} or {@link #ANY_REVISION}
 */
public record Precondition(String key, long revision) {

    /** Requires that the key does not exist. */
    public static final long ABSENT = 0;

    /** Requires that the key exists. */
    public static final long ANY_REVISION = -1;
}
