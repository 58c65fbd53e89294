package embershift.door;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/**
 * Length-prefixed framing of a connection: length, CRC32C, content, whose first byte is the frame's
 * type. Decodes bytes in any split; a frame that was changed ends the connection, as nothing behind
 * it can be trusted.
 */
public final class FrameCodec {

    /** The first frame of an instance to another. */
    public static final byte HANDSHAKE = 1;

    /** The other instance takes part. */
    public static final byte HANDSHAKE_ACCEPTED = 2;

    /** The other instance does not, with a reason for operators. */
    public static final byte HANDSHAKE_REJECTED = 3;

    /** A Raft message. */
    public static final byte MESSAGE = 4;

    /** A client's call. */
    public static final byte CALL = 5;

    /** The answer to a call. */
    public static final byte ANSWER = 6;

    /** A message of a node to an instance. */
    public static final byte NODE = 7;

    /** A message of an instance to a node. */
    public static final byte ORDER = 8;

    /** The most bytes of a frame's type and content. */
    public static final int MAX_CONTENT_BYTES = 4 << 20;

    private static final int HEADER_BYTES = 2 * Integer.BYTES;
    private static final int INITIAL_BUFFER_BYTES = 256;

    /** Bytes that are no frame. */
    public static final class MalformedFrameException extends Exception {

        private static final long serialVersionUID = 1;

        /** Creates an exception; the message tells what is wrong with the bytes. */
        public MalformedFrameException(String message) {
            super(message);
        }
    }

    private ByteBuffer buffered = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);

    /** Decodes what has come, and hands on the type and content of each complete frame. */
    public void decode(ByteBuffer bytes, Consumer<byte[]> receiver) throws MalformedFrameException {
        reserve(bytes.remaining());
        buffered.put(bytes).flip();
        while (buffered.remaining() >= HEADER_BYTES) {
            int length = buffered.getInt(buffered.position());
            if (length < 1 || length > MAX_CONTENT_BYTES) {
                throw new MalformedFrameException("a piece of " + length + " bytes");
            }
            if (buffered.remaining() < HEADER_BYTES + length) {
                break;
            }
            receiver.accept(nextContent(length));
        }
        buffered.compact();
    }

    private void reserve(int bytes) {
        if (buffered.remaining() < bytes) {
            int needed = buffered.position() + bytes;
            int doubled = Math.min(2 * buffered.capacity(), MAX_CONTENT_BYTES);
            buffered = ByteBuffer.allocate(Math.max(needed, doubled)).put(buffered.flip());
        }
    }

    private byte[] nextContent(int length) throws MalformedFrameException {
        int expected = buffered.getInt(buffered.position() + Integer.BYTES);
        byte[] content = new byte[length];
        buffered.position(buffered.position() + HEADER_BYTES).get(content);
        if (expected != checksum(content)) {
            throw new MalformedFrameException("a piece that was changed on its way");
        }
        return content;
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
