package embershift.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * A file that is written whole: magic, version, length, CRC32C, content. A changed one is never
 * taken for a sound one.
 */
public final class Sealed {

    private static final int MAGIC = 0x454d4253;
    private static final int VERSION = 1;
    private static final int HEADER = 16;

    private Sealed() {}

    public static void write(Disk disk, String name, byte[] content) throws IOException {
        disk.replace(
                name,
                ByteBuffer.allocate(HEADER + content.length)
                        .putInt(MAGIC)
                        .putInt(VERSION)
                        .putInt(content.length)
                        .putInt(checksum(content, 0))
                        .put(content)
                        .array());
    }

    /**
     * Reads the content of a file.
     *
     * @throws Damaged where it was changed, cut, or written by another version
     */
    public static byte[] read(Disk disk, String name) throws IOException {
        byte[] all = disk.read(name);
        ByteBuffer header = ByteBuffer.wrap(all);
        if (all.length < HEADER || header.getInt() != MAGIC) {
            throw new Damaged(name + ": its beginning was changed");
        }
        int version = header.getInt();
        if (version != VERSION) {
            throw new Damaged(name + ": of version " + version + ", which this program can't read");
        }
        if (header.getInt() != all.length - HEADER || header.getInt() != checksum(all, HEADER)) {
            throw new Damaged(name + ": it was changed or cut");
        }
        return Arrays.copyOfRange(all, HEADER, all.length);
    }

    /** The CRC32C of all from this place on. */
    public static int checksum(byte[] bytes, int from) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, bytes.length - from);
        return (int) crc.getValue();
    }
}
