package embershift.transport;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Buffers of the loop's thread. One is shared by all reads; those that hold what a peer has not yet
 * taken come from a small pool, so that a link with nothing in hand holds none.
 */
final class BufferPool {

    static final int BUFFER_BYTES = 16 * 1024;
    private static final int MAX_POOLED = 64;

    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    private final Deque<ByteBuffer> pool = new ArrayDeque<>();

    /** The buffer into which a link reads; its content holds until the next read of any link. */
    ByteBuffer readBuffer() {
        return readBuffer.clear();
    }

    ByteBuffer acquire() {
        ByteBuffer buffer = pool.poll();
        return buffer == null ? ByteBuffer.allocate(BUFFER_BYTES) : buffer.clear();
    }

    void release(ByteBuffer buffer) {
        if (pool.size() < MAX_POOLED) {
            pool.push(buffer);
        }
    }
}
