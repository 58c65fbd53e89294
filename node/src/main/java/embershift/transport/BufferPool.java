package embershift.transport;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Buffers of the event loop's thread. All reads share one direct buffer. Buffers for unsent output
 * come from a small pool, so that a connection without pending output holds none.
 */
final class BufferPool {

    static final int BUFFER_BYTES = 16 * 1024;
    private static final int MAX_POOLED = 64;

    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    private final Deque<ByteBuffer> pool = new ArrayDeque<>();

    /**
     * Returns the shared read buffer; its content is valid until the next read of any connection.
     */
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
