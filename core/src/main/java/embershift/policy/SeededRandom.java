package embershift.policy;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/** Random numbers that are reproducible from a seed: a checksum of the seed and a counter. */
public final class SeededRandom {

    private final long seed;
    private long draws;

    /** Creates a generator whose numbers depend only on the seed. */
    public SeededRandom(long seed) {
        this.seed = seed;
    }

    /** A number from [0, 1). */
    public double nextDouble() {
        return nextChecksum() / (double) (1L << 32);
    }

    /**
     * A number from [0, 1) for draws that are added up. The checksums of two nodes differ by the
     * same bits at each draw, so that a node that waits less in one draw often waits more in the
     * next, and nodes that called together would do so again. Multiplying and folding the checksum
     * prevents that.
     */
    public double nextDecorrelatedDouble() {
        int mixed = (int) nextChecksum() * 0x9E3779B1;
        mixed = (mixed ^ mixed >>> 15) * 0x85EBCA6B;
        return ((mixed ^ mixed >>> 16) & 0xFFFFFFFFL) / (double) (1L << 32);
    }

    private long nextChecksum() {
        CRC32 crc = new CRC32();
        crc.update(ByteBuffer.allocate(16).putLong(seed).putLong(draws++).array());
        return crc.getValue();
    }
}
