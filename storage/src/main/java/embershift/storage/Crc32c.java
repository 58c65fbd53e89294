package embershift.storage;

import java.util.zip.CRC32C;

/** CRC-32C checksums of byte arrays, as a signed 32-bit number. */
final class Crc32c {

    private Crc32c() {}

    /** Returns the checksum of all of {@code bytes}. */
    static int of(byte[] bytes) {
        return of(bytes, 0, bytes.length);
    }

    /**
     * Returns the checksum of {@code length} bytes from {@code offset} on.
     *
     * @throws ArrayIndexOutOfBoundsException if the range is outside of {@code bytes}
     */
    static int of(byte[] bytes, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }
}
