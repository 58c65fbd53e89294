package embershift.door;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/**
 * Length-prefixed framing of a connection: length, CRC32C and content, whose first byte is the
 * frame's type. Decodes bytes in any fragmentation. A frame with a wrong checksum ends the
 * connection, as no data after it can be trusted.
 */
public final class FrameCodec {

    /** The first frame that an instance sends to another. */
    public static final byte HANDSHAKE = 1;

    /** The other instance has accepted the handshake. */
    public static final byte HANDSHAKE_ACCEPTED = 2;

    /** The other instance has rejected the handshake, with a reason for operators. */
    public static final byte HANDSHAKE_REJECTED = 3;

    /** A Raft message. */
    public static final byte MESSAGE = 4;

    /** A client's call. */
    public static final byte CALL = 5;

    /** The answer to a client's call. */
    public static final byte ANSWER = 6;

    /** A message from a node to an instance. */
    public static final byte NODE = 7;

    /** A message from an instance to a node. */
    public static final byte ORDER = 8;

    /** Maximum size of a frame's type and content, in bytes. */
    public static final int MAX_CONTENT_BYTES = 4 << 20;

    private static final int HEADER_BYTES = 2 * Integer.BYTES;
    private static final int INITIAL_BUFFER_BYTES = 256;

    /** Maximum size of a buffer that is kept while it is empty. */
    private static final int MAX_IDLE_BUFFER_BYTES = 4096;

    /** Thrown when received bytes are not a valid frame. */
    public static final class MalformedFrameException extends Exception {

        private static final long serialVersionUID = 1;

        /** Creates an exception whose message tells what is wrong with the bytes. */
        public MalformedFrameException(String message) {
            super(message);
        }
    }

    /** Received bytes; those before {@link #readIndex} have been returned already. */
    private ByteBuffer buffered = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);

    private int readIndex;

    /**
     * Decodes received bytes; {@code receiver} gets the type and content of each complete frame.
     */
    public void decode(ByteBuffer bytes, Consumer<byte[]> receiver) throws MalformedFrameException {
        append(bytes);
        for (byte[] frame = next(); frame != null; frame = next()) {
            receiver.accept(frame);
        }
    }

    /** Takes received bytes, for {@link #next}. */
    public void append(ByteBuffer bytes) {
        reserve(bytes.remaining());
        buffered.put(bytes);
    }

    private void reserve(int bytes) {
        if (buffered.remaining() < bytes) {
            buffered.limit(buffered.position()).position(readIndex);
            int needed = buffered.remaining() + bytes;
            int doubled = Math.min(2 * buffered.capacity(), MAX_CONTENT_BYTES);
            buffered =
                    needed <= buffered.capacity()
                            ? buffered.compact()
                            : ByteBuffer.allocate(Math.max(needed, doubled)).put(buffered);
            readIndex = 0;
        }
    }

    /** Returns the type and content of the next frame; null if it is not complete yet. */
    public byte[] next() throws MalformedFrameException {
        int available = buffered.position() - readIndex;
        if (available == 0) {
            reset();
        }
        if (available < HEADER_BYTES) {
            return null;
        }
        int length = buffered.getInt(readIndex);
        if (length < 1 || length > MAX_CONTENT_BYTES) {
            throw new MalformedFrameException("invalid frame length of " + length + " bytes");
        }
        if (available < HEADER_BYTES + length) {
            return null;
        }
        int expected = buffered.getInt(readIndex + Integer.BYTES);
        byte[] content = new byte[length];
        buffered.get(readIndex + HEADER_BYTES, content);
        readIndex += HEADER_BYTES + length;
        if (expected != checksum(content)) {
            throw new MalformedFrameException("frame checksum mismatch");
        }
        return content;
    }

    private void reset() {
        readIndex = 0;
        if (buffered.capacity() > MAX_IDLE_BUFFER_BYTES) {
            buffered = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
        } else {
            buffered.clear();
        }
    }

    /**
     * Returns the memory that received bytes take; 0 if there are none and only what an idle
     * connection may keep.
     */
    public int allocatedBytes() {
        boolean isIdle =
                buffered.position() == readIndex && buffered.capacity() <= MAX_IDLE_BUFFER_BYTES;
        return isIdle ? 0 : buffered.capacity();
    }

    /** Encodes a frame. */
    public static ByteBuffer encode(byte type, byte[] content) {
        return ByteBuffer.wrap(encodeToArray(type, content));
    }

    /** Encodes a frame, for callers that write arrays. */
    public static byte[] encodeToArray(byte type, byte[] content) {
        byte[] typed = new byte[1 + content.length];
        typed[0] = type;
        System.arraycopy(content, 0, typed, 1, content.length);
        return ByteBuffer.allocate(HEADER_BYTES + typed.length)
                .putInt(typed.length)
                .putInt(checksum(typed))
                .put(typed)
                .array();
    }

    private static int checksum(byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(content, 0, content.length);
        return (int) crc.getValue();
    }
}
