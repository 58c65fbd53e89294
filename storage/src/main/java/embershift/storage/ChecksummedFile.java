package embershift.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * A small file that is written and read as a whole. Layout, big-endian: magic, version, content
 * length and CRC-32C of the content, each four bytes, then the content.
 */
public final class ChecksummedFile {

    private static final int MAGIC = 0x454d4253;
    private static final int VERSION = 1;
    private static final int HEADER_BYTES = 16;

    private ChecksummedFile() {}

    /**
     * Replaces a file's content atomically; durable when this returns.
     *
     * @throws OutOfSpaceException if the disk is full; the old content is unchanged
     */
    public static void write(Disk disk, String name, byte[] content) throws IOException {
        ByteBuffer file = ByteBuffer.allocate(HEADER_BYTES + content.length);
        file.putInt(MAGIC).putInt(VERSION).putInt(content.length).putInt(Crc32c.of(content));
        file.put(content);
        disk.replace(name, file.array());
    }

    /**
     * Reads a file's content.
     *
     * @throws CorruptDataException if it is corrupt, truncated or of an unsupported version
     */
    public static byte[] read(Disk disk, String name) throws IOException {
        byte[] file = disk.read(name);
        ByteBuffer header = ByteBuffer.wrap(file);
        if (file.length < HEADER_BYTES || header.getInt() != MAGIC) {
            throw new CorruptDataException(name + ": corrupt file header");
        }
        int version = header.getInt();
        if (version != VERSION) {
            throw new CorruptDataException(
                    name + ": file version " + version + " is not supported");
        }
        int contentLength = file.length - HEADER_BYTES;
        if (header.getInt() != contentLength
                || header.getInt() != Crc32c.of(file, HEADER_BYTES, contentLength)) {
            throw new CorruptDataException(name + ": content is corrupt or truncated");
        }
        return Arrays.copyOfRange(file, HEADER_BYTES, file.length);
    }
}
