package embershift.policy;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/** Chance that is the same again for the same seed: a checksum over it and a counter. */
final class Chance {

    private final long seed;
    private long draws;

    Chance(long seed) {
        this.seed = seed;
    }

    /** A number from [0, 1). */
    double next() {
        CRC32 crc = new CRC32();
        crc.update(ByteBuffer.allocate(16).putLong(seed).putLong(draws++).array());
        return crc.getValue() / (double) (1L << 32);
    }
}
