package embershift.storage;

import java.io.IOException;
import java.util.NavigableSet;
import java.util.Optional;

/**
 * Keeps the latest snapshot of a state. Each is a {@link ChecksummedFile} named by an increasing
 * number; a new one takes the place of those before it.
 */
public final class SnapshotStore {

    private static final NumberedFileName NAMES = new NumberedFileName("snapshot-");

    private final Disk disk;

    /** Creates a store on a disk, which may also hold other files. */
    public SnapshotStore(Disk disk) {
        this.disk = disk;
    }

    /**
     * Reads the latest snapshot. Does not fall back to an older one, as the log starts after the
     * latest.
     *
     * @throws CorruptDataException if it is corrupt or of an unsupported version
     */
    public Optional<byte[]> latest() throws IOException {
        NavigableSet<String> names = NAMES.listFiles(disk);
        return names.isEmpty()
                ? Optional.empty()
                : Optional.of(ChecksummedFile.read(disk, names.last()));
    }

    /**
     * Writes a snapshot, durable when this returns, then deletes those with lower numbers.
     *
     * @throws OutOfSpaceException if the disk is full; the previous snapshot is unchanged
     */
    public void write(long number, byte[] content) throws IOException {
        String name = NAMES.of(number);
        ChecksummedFile.write(disk, name, content);
        disk.delete(NAMES.listFiles(disk).headSet(name, false));
    }
}
