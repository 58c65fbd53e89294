package embershift.fleet.store;

/**
 * When the state is written as a snapshot and compared with that of other members.
 *
 * @param maxEntries applied since the snapshot before
 * @param maxBytes of entries applied since the snapshot before
 * @param checksumInterval entries between two comparisons
 */
public record SnapshotPolicy(int maxEntries, long maxBytes, int checksumInterval) {

    /** The policy of an instance whose settings name none. */
    public static final SnapshotPolicy DEFAULTS = new SnapshotPolicy(10_000, 16L << 20, 4096);
}
