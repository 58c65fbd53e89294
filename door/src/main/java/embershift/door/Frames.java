package embershift.door;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/**
 * What goes over a connection, cut into pieces: length, CRC32C, content, whose first byte tells its
 * kind. Fed bytes in any split; a piece that was changed ends the connection, as nothing behind it
 * can be trusted.
 */
public final class Frames {

    /** What the first byte of a piece says. */
    public static final byte HELLO = 1;

    public static final byte WELCOME = 2;
    public static final byte NO = 3;
    public static final byte MESSAGE = 4;
    public static final byte CALL = 5;
    public static final byte ANSWER = 6;

    /** From a node to an instance, and back: see {@link Words}. */
    public static final byte NODE = 7;

    public static final byte ORDER = 8;

    /** Bytes of one piece at the most. */
    public static final int LONGEST = 4 << 20;

    private static final int HEAD = 8;

    /** Bytes that are no such pieces. */
    public static final class Unreadable extends Exception {

        private static final long serialVersionUID = 1;

        public Unreadable(String message) {
            super(message);
        }
    }

    private ByteBuffer waiting = ByteBuffer.allocate(256);

    /** Hands on each whole piece. */
    public void take(ByteBuffer bytes, Consumer<byte[]> piece) throws Unreadable {
        if (waiting.remaining() < bytes.remaining()) {
            int wanted = waiting.position() + bytes.remaining();
            waiting =
                    ByteBuffer.allocate(Math.max(wanted, Math.min(2 * waiting.capacity(), LONGEST)))
                            .put(waiting.flip());
        }
        waiting.put(bytes).flip();
        while (waiting.remaining() >= HEAD) {
            int length = waiting.getInt(waiting.position());
            if (length < 1 || length > LONGEST) {
                throw new Unreadable("a piece of " + length + " bytes");
            }
            if (waiting.remaining() < HEAD + length) {
                break;
            }
            int sum = waiting.getInt(waiting.position() + Integer.BYTES);
            byte[] content = new byte[length];
            waiting.position(waiting.position() + HEAD).get(content);
            if (sum != checksum(content)) {
                throw new Unreadable("a piece that was changed on its way");
            }
            piece.accept(content);
        }
        waiting.compact();
    }

    public static ByteBuffer piece(byte kind, byte[] content) {
        return ByteBuffer.wrap(bytes(kind, content));
    }

    /** A piece, for who writes arrays. */
    public static byte[] bytes(byte kind, byte[] content) {
        byte[] whole = new byte[1 + content.length];
        whole[0] = kind;
        System.arraycopy(content, 0, whole, 1, content.length);
        return ByteBuffer.allocate(HEAD + whole.length)
                .putInt(whole.length)
                .putInt(checksum(whole))
                .put(whole)
                .array();
    }

    private static int checksum(byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(content, 0, content.length);
        return (int) crc.getValue();
    }
}
