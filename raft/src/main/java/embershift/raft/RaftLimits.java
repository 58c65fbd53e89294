package embershift.raft;

/**
 * Limits on the data that a member keeps and sends.
 *
 * @param maxCommandBytes size of one command
 * @param maxMessageBytes total size of the entries in one message
 * @param maxInflightMessages unacknowledged messages to one follower
 * @param maxUncommittedBytes total size of the entries that a leader has accepted but not committed
 *     yet
 * @param snapshotChunkBytes size of the snapshot data in one message
 * @param maxSnapshotBytes size of a snapshot
 * @param retainedEntries entries kept in the log before a snapshot, for followers that lag slightly
 */
public record RaftLimits(
        int maxCommandBytes,
        int maxMessageBytes,
        int maxInflightMessages,
        int maxUncommittedBytes,
        int snapshotChunkBytes,
        int maxSnapshotBytes,
        int retainedEntries) {

    /** The limits used when the settings specify none. */
    public static final RaftLimits DEFAULTS =
            new RaftLimits(1 << 20, 64 << 10, 32, 8 << 20, 64 << 10, 64 << 20, 5000);
}
