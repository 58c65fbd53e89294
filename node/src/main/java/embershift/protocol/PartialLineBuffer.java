package embershift.protocol;

import java.nio.ByteBuffer;
import java.util.function.Consumer;

/**
 * Holds back an incomplete line until its end arrives, so that the forwarded stream always stops at
 * a line end and a client can be told to move at any time. Data that exceeds the maximum line
 * length is forwarded as it arrives.
 */
public final class PartialLineBuffer {

    private byte[] partialLine;

    /** Consumes all bytes and forwards the complete lines in order. */
    public void forward(ByteBuffer bytes, Consumer<ByteBuffer> target) {
        int limit = bytes.limit();
        int end = LineCodec.endOfLastLine(bytes);
        int partialLength =
                limit
                        - end
                        + (end == bytes.position() && partialLine != null ? partialLine.length : 0);
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
            int oldLength = partialLine == null ? 0 : partialLine.length;
            byte[] grown = new byte[oldLength + bytes.remaining()];
            if (partialLine != null) {
                System.arraycopy(partialLine, 0, grown, 0, oldLength);
            }
            bytes.get(grown, oldLength, bytes.remaining());
            partialLine = grown;
        }
    }

    /** Returns what is held back and forgets it; null if there is nothing. */
    public ByteBuffer takeRemainder() {
        ByteBuffer remainder = partialLine == null ? null : ByteBuffer.wrap(partialLine);
        partialLine = null;
        return remainder;
    }
}
