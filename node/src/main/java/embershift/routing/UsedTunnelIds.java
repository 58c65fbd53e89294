package embershift.routing;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * Ids of tunnels that must not be set up twice and whose setup is in progress or may have run, in
 * memory that several processes may share. A table without locks: no process waits for another one,
 * which may be stopped. Ids are kept as hashes, in buckets of a fixed number of slots; the oldest
 * id of a bucket gives way to a new one.
 */
public final class UsedTunnelIds {

    private static final int BUCKETS = 4096;
    private static final int SLOTS_PER_BUCKET = 16;
    private static final int HEADER_BYTES = 64;
    private static final int SLOT_BYTES = 2 * Long.BYTES;

    /** Size of the memory, in bytes. */
    public static final int SIZE_BYTES = HEADER_BYTES + BUCKETS * SLOTS_PER_BUCKET * SLOT_BYTES;

    /** Attempts to take a slot that other processes take at the same time. */
    private static final int MAX_ATTEMPTS = 64;

    private static final VarHandle LONGS =
            MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    /** The hash of a slot that is free. */
    private static final long FREE = 0;

    private final ByteBuffer memory;
    private final long hashKey;

    /**
     * Creates a view of the ids in this memory.
     *
     * @param memory a direct buffer of {@link #SIZE_BYTES} bytes, with a number of {@link
     *     Long#BYTES} bytes at its beginning that the ids' hashes depend on; the rest is 0 at first
     */
    public UsedTunnelIds(ByteBuffer memory) {
        this.memory = memory;
        hashKey = (long) LONGS.getVolatile(memory, 0);
    }

    /** Creates a table for this process alone. */
    public static UsedTunnelIds ofThisProcess() {
        return new UsedTunnelIds(
                ByteBuffer.allocateDirect(SIZE_BYTES + Long.BYTES).alignedSlice(Long.BYTES));
    }

    /**
     * Claims an id; returns false if it is claimed already, by whichever process. Of several that
     * claim the same id at the same moment, one is successful or none.
     *
     * @param now seconds since the epoch
     */
    boolean claim(String id, double now) {
        long hash = hash(id);
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            if (count(hash) > 0) {
                return false;
            }
            int slot = slotToTake(hash);
            long previous = hashAt(slot);
            boolean isFreeOrOldest = previous == FREE || slot == slotToTake(hash);
            if (isFreeOrOldest && LONGS.compareAndSet(memory, slot, previous, hash)) {
                LONGS.setVolatile(memory, slot + Long.BYTES, (long) (now * 1000));
                if (count(hash) == 1) {
                    return true;
                }
                // Another process has claimed it in another slot meanwhile.
                LONGS.compareAndSet(memory, slot, hash, FREE);
                return false;
            }
        }
        return false;
    }

    /** Gives up a claim, as the tunnel has ended and its setup provably never ran. */
    void release(String id) {
        long hash = hash(id);
        int bucket = bucketOf(hash);
        for (int i = 0; i < SLOTS_PER_BUCKET; i++) {
            LONGS.compareAndSet(memory, bucket + i * SLOT_BYTES, hash, FREE);
        }
    }

    /**
     * Forgets all ids that were claimed earlier than a time. For a process that serves alone.
     *
     * @param time seconds since the epoch
     */
    public void forgetBefore(double time) {
        for (int slot = HEADER_BYTES; slot < SIZE_BYTES; slot += SLOT_BYTES) {
            if (timeAt(slot) < time * 1000) {
                LONGS.setVolatile(memory, slot, FREE);
            }
        }
    }

    private int count(long hash) {
        int bucket = bucketOf(hash);
        int count = 0;
        for (int i = 0; i < SLOTS_PER_BUCKET; i++) {
            count += hashAt(bucket + i * SLOT_BYTES) == hash ? 1 : 0;
        }
        return count;
    }

    /** The first free slot of the bucket, or the one with the oldest id. */
    private int slotToTake(long hash) {
        int oldest = bucketOf(hash);
        for (int i = 0; i < SLOTS_PER_BUCKET; i++) {
            int slot = bucketOf(hash) + i * SLOT_BYTES;
            if (hashAt(slot) == FREE) {
                return slot;
            }
            oldest = timeAt(slot) < timeAt(oldest) ? slot : oldest;
        }
        return oldest;
    }

    private long hashAt(int slot) {
        return (long) LONGS.getVolatile(memory, slot);
    }

    private long timeAt(int slot) {
        return (long) LONGS.getVolatile(memory, slot + Long.BYTES);
    }

    private static int bucketOf(long hash) {
        return HEADER_BYTES + (int) (hash >>> 32 & BUCKETS - 1) * SLOTS_PER_BUCKET * SLOT_BYTES;
    }

    /** A hash of 64 bits that is never {@link #FREE}. */
    private long hash(String id) {
        long hash = hashKey;
        for (int i = 0; i < id.length(); i++) {
            hash = mix(hash ^ id.charAt(i));
        }
        return hash == FREE ? 1 : hash;
    }

    /** The finalizer of SplitMix64, which spreads each bit over all others. */
    private static long mix(long value) {
        long mixed = value + 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ mixed >>> 30) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 31;
    }
}
