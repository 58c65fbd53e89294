package embershift.hosted;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/**
 * What goes over a connection, cut into pieces: length, CRC32C, content, whose first byte tells its kind. Fed bytes in any
 * split; a piece that was changed ends the connection, as nothing behind it can be trusted.
 */
final class Frames {

    /** What the first byte of a piece says. */
    static final byte HELLO = 1;
    static final byte WELCOME = 2;
    static final byte NO = 3;
    static final byte MESSAGE = 4;
    static final byte CALL = 5;
    static final byte ANSWER = 6;

    /** Bytes of one piece at the most. */
    static final int LONGEST = 4 << 20;
    private static final int HEAD = 8;

    /** Bytes that are no such pieces. */
    static final class Unreadable extends Exception {

        private static final long serialVersionUID = 1;

        Unreadable(String message) {
            super(message);
        }
    }

    private ByteBuffer waiting = ByteBuffer.allocate(256);

    /** Hands on each whole piece. */
    void take(ByteBuffer bytes, Consumer<byte[]> piece) throws Unreadable {
        if (waiting.remaining() < bytes.remaining()) {
            int wanted = waiting.position() + bytes.remaining();
            waiting = ByteBuffer.allocate(Math.max(wanted, Math.min(2 * waiting.capacity(), LONGEST)))
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

    static ByteBuffer piece(byte kind, byte[] content) {
        byte[] whole = new byte[1 + content.length];
        whole[0] = kind;
        System.arraycopy(content, 0, whole, 1, content.length);
        return ByteBuffer.allocate(HEAD + whole.length).putInt(whole.length).putInt(checksum(whole)).put(whole).flip();
    }

    private static int checksum(byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(content, 0, content.length);
        return (int) crc.getValue();
    }
}
