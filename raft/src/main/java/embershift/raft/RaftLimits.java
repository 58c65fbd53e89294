package embershift.raft;

/**
 * Bounds on what a member keeps and sends.
 *
 * @param maxCommandBytes of one command
 * @param maxMessageBytes of the entries in one message
 * @param maxInflightMessages to one follower without a reply
 * @param maxUncommittedBytes that a leader has accepted and not committed yet
 * @param snapshotChunkBytes of one message of a snapshot
 * @param maxSnapshotBytes of a whole snapshot
 * @param retainedEntries kept behind a snapshot, for followers that are a little late
 */
public record RaftLimits(
        int maxCommandBytes,
        int maxMessageBytes,
        int maxInflightMessages,
        int maxUncommittedBytes,
        int snapshotChunkBytes,
        int maxSnapshotBytes,
        int retainedEntries) {

    /** The limits of a group whose settings name none. */
    public static final RaftLimits DEFAULTS =
            new RaftLimits(1 << 20, 64 << 10, 32, 8 << 20, 64 << 10, 64 << 20, 5000);
}
