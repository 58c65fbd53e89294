package embershift.policy;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/** Chance that is the same again for the same seed: a checksum over it and a counter. */
public final class SeededRandom {

    private final long seed;
    private long draws;

    public SeededRandom(long seed) {
        this.seed = seed;
    }

    /** A number from [0, 1). */
    public double nextDouble() {
        return nextChecksum() / (double) (1L << 32);
    }

    /**
     * The same for numbers that are added up. Two nodes' checksums differ by the same bits at each
     * draw, so that what one waits less now it often waits more next time, and who called together
     * would again; multiplied and folded they don't.
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
