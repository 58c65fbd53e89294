package embershift.protocol;

import java.nio.ByteBuffer;
import java.util.function.Consumer;

/**
 * Holds back an incomplete line until its end arrives, so that the forwarded stream always stops at
 * a line end and a client can be told to move at any time. Data that exceeds the maximum line
 * length is forwarded as it arrives.
 */
public final class PartialLineBuffer {

    private byte[] held;

    /** Consumes all bytes and forwards the complete lines in order. */
    public void forward(ByteBuffer bytes, Consumer<ByteBuffer> target) {
        int limit = bytes.limit();
        int end = LineCodec.endOfLastLine(bytes);
        int partialLength =
                limit - end + (end == bytes.position() && held != null ? held.length : 0);
        if (partialLength > LineCodec.MAX_LENGTH) {
            end = limit;
        }
        if (end > bytes.position()) {
            ByteBuffer earlier = takeRemainder();
            if (earlier != null) {
                target.accept(earlier);
            }
            target.accept(bytes.limit(end));
            bytes.limit(limit).position(end);
        }
        if (bytes.hasRemaining()) {
            int heldLength = held == null ? 0 : held.length;
            byte[] grown = new byte[heldLength + bytes.remaining()];
            if (held != null) {
                System.arraycopy(held, 0, grown, 0, heldLength);
            }
            bytes.get(grown, heldLength, bytes.remaining());
            held = grown;
        }
    }

    /** Returns what is held back and forgets it; null if there is nothing. */
    public ByteBuffer takeRemainder() {
        ByteBuffer remainder = held == null ? null : ByteBuffer.wrap(held);
        held = null;
        return remainder;
    }
}
