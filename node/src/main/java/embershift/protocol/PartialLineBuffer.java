package embershift.protocol;

import java.nio.ByteBuffer;
import java.util.function.Consumer;

/**
 * Holds the beginning of a line back until its end has come, so that what was passed on ends with
 * the end of a line: a client can then be told to move at any time. What is longer than a line may
 * be is passed on as it comes.
 */
public final class PartialLineBuffer {

    private byte[] held;

    /** Takes all bytes, and passes on what is whole, in the order in which it came. */
    public void forward(ByteBuffer bytes, Consumer<ByteBuffer> on) {
        int limit = bytes.limit();
        int end = LineCodec.endOfLastLine(bytes);
        int begun = limit - end + (end == bytes.position() && held != null ? held.length : 0);
        if (begun > LineCodec.MAX_LENGTH) {
            end = limit;
        }
        if (end > bytes.position()) {
            ByteBuffer before = takeRemainder();
            if (before != null) {
                on.accept(before);
            }
            on.accept(bytes.limit(end));
            bytes.limit(limit).position(end);
        }
        if (bytes.hasRemaining()) {
            int already = held == null ? 0 : held.length;
            byte[] grown = new byte[already + bytes.remaining()];
            if (held != null) {
                System.arraycopy(held, 0, grown, 0, already);
            }
            bytes.get(grown, already, bytes.remaining());
            held = grown;
        }
    }

    /** What is held back, and is no more; null for nothing. */
    public ByteBuffer takeRemainder() {
        ByteBuffer rest = held == null ? null : ByteBuffer.wrap(held);
        held = null;
        return rest;
    }
}
