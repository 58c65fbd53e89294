package embershift.fleet.store;

/**
 * When to write the state as a snapshot and to compare it with that of other members.
 *
 * @param maxEntries number of entries applied since the last snapshot
 * @param maxBytes size of the entries applied since the last snapshot
 * @param checksumInterval number of entries between two comparisons
 */
public record SnapshotPolicy(int maxEntries, long maxBytes, int checksumInterval) {

    /** The default policy. */
    public static final SnapshotPolicy DEFAULTS = new SnapshotPolicy(10_000, 16L << 20, 4096);
}
