package embershift.transport;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Buffers of the loop's thread. One is shared by all reads; those that hold what a peer has not yet
 * taken come from a small pool, so that a link with nothing in hand holds none.
 */
final class Buffers {

    static final int SIZE = 16 * 1024;
    private static final int KEPT = 64;

    private final ByteBuffer reading = ByteBuffer.allocateDirect(SIZE);
    private final Deque<ByteBuffer> spare = new ArrayDeque<>();

    /** The buffer into which a link reads; its content holds until the next read of any link. */
    ByteBuffer reading() {
        return reading.clear();
    }

    ByteBuffer take() {
        ByteBuffer buffer = spare.poll();
        return buffer == null ? ByteBuffer.allocate(SIZE) : buffer.clear();
    }

    void giveBack(ByteBuffer buffer) {
        if (spare.size() < KEPT) {
            spare.push(buffer);
        }
    }
}
