package embershift.hosted;

import embershift.raft.MemberId;
import embershift.storage.Damaged;
import embershift.storage.Disk;
import embershift.storage.Sealed;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.security.SecureRandom;

/**
 * Who an instance is, as its folder says; {@code group} 0: it belongs to none yet. A lost folder
 * loses it for good.
 */
record Identity(MemberId id, long group) {

    private static final String FILE = "identity";

    /** Of a folder that has none, a new one. */
    static Identity of(Disk disk) throws IOException {
        if (disk.names().contains(FILE)) {
            byte[] content = Sealed.read(disk, FILE);
            if (content.length != 2 * Long.BYTES) {
                throw new Damaged(FILE + ": of another program or version");
            }
            ByteBuffer in = ByteBuffer.wrap(content);
            return new Identity(new MemberId(in.getLong()), in.getLong());
        }
        if (disk.names().stream()
                .anyMatch(name -> name.startsWith("log-") || name.startsWith("snapshot-"))) {
            throw new Damaged(FILE + ": it is gone, and the folder is not empty");
        }
        Identity fresh = new Identity(new MemberId(number()), 0);
        fresh.write(disk);
        return fresh;
    }

    static long number() {
        return new SecureRandom().nextLong() >>> 1 | 1;
    }

    void write(Disk disk) throws IOException {
        Sealed.write(
                disk,
                FILE,
                ByteBuffer.allocate(2 * Long.BYTES).putLong(id.number()).putLong(group).array());
    }
}
