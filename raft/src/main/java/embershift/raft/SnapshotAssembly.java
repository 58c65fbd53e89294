package embershift.raft;

import java.util.Optional;

/** Assembles a snapshot from its chunks; a chunk of a different snapshot starts over. */
final class SnapshotAssembly {

    private RaftMessage.SnapshotRequest first;
    private byte[] data;
    private int receivedBytes;

    /** Adds a chunk; returns the snapshot once it is complete. */
    Optional<Snapshot> add(RaftMessage.SnapshotRequest request) {
        if (!isSameSnapshot(request)) {
            first = request;
            data = new byte[request.totalBytes()];
            receivedBytes = 0;
        }
        int length = request.chunk().length;
        if (request.offset() <= receivedBytes && request.offset() + length > receivedBytes) {
            System.arraycopy(request.chunk(), 0, data, (int) request.offset(), length);
            receivedBytes = (int) request.offset() + length;
        }
        if (receivedBytes < request.totalBytes()) {
            return Optional.empty();
        }
        Snapshot complete =
                new Snapshot(
                        request.snapshotIndex(),
                        request.snapshotTerm(),
                        request.membership(),
                        data,
                        request.checksum());
        first = null;
        data = null;
        return Optional.of(complete);
    }

    private boolean isSameSnapshot(RaftMessage.SnapshotRequest request) {
        return first != null
                && first.snapshotIndex() == request.snapshotIndex()
                && first.snapshotTerm() == request.snapshotTerm()
                && first.checksum() == request.checksum()
                && first.totalBytes() == request.totalBytes();
    }

    /** The offset of the first missing byte. */
    int receivedBytes() {
        return receivedBytes;
    }
}
