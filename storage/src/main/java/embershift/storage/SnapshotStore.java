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

    /** Creates a store on a disk, which may hold other files too. */
    public SnapshotStore(Disk disk) {
        this.disk = disk;
    }

    /**
     * Reads the latest snapshot. An older one would be no substitute for it, as the log begins
     * later.
     *
     * @throws CorruptDataException if it can't be what was written
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
     * @throws OutOfSpaceException if the disk is full; the snapshot before is still there
     */
    public void write(long number, byte[] content) throws IOException {
        String name = NAMES.of(number);
        ChecksummedFile.write(disk, name, content);
        disk.delete(NAMES.listFiles(disk).headSet(name, false));
    }
}
