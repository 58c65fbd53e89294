package embershift.hosted;

import embershift.raft.MemberId;
import embershift.storage.ChecksummedFile;
import embershift.storage.CorruptDataException;
import embershift.storage.Disk;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.security.SecureRandom;

/**
 * The identity of an instance, stored in its directory; {@code group} is 0 while it belongs to
 * none. If the directory is lost, the identity is lost for good.
 */
record Identity(MemberId id, long group) {

    private static final String FILE = "identity";

    /** Loads the identity; creates one in an empty directory. */
    static Identity loadOrCreate(Disk disk) throws IOException {
        if (disk.fileNames().contains(FILE)) {
            byte[] content = ChecksummedFile.read(disk, FILE);
            if (content.length != 2 * Long.BYTES) {
                throw new CorruptDataException(FILE + ": written by another program or version");
            }
            ByteBuffer in = ByteBuffer.wrap(content);
            return new Identity(new MemberId(in.getLong()), in.getLong());
        }
        if (disk.fileNames().stream()
                .anyMatch(name -> name.startsWith("log-") || name.startsWith("snapshot-"))) {
            throw new CorruptDataException(FILE + ": missing, although the directory is not empty");
        }
        Identity created = new Identity(new MemberId(randomId()), 0);
        created.write(disk);
        return created;
    }

    static long randomId() {
        return new SecureRandom().nextLong() >>> 1 | 1;
    }

    void write(Disk disk) throws IOException {
        ChecksummedFile.write(
                disk,
                FILE,
                ByteBuffer.allocate(2 * Long.BYTES).putLong(id.number()).putLong(group).array());
    }
}
