package embershift.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Cuts lines out of bytes that come in any split. A line that came in parts is kept until its end;
 * while none is in hand nothing is held.
 */
public final class Line {

    /** The longest line, with its end. */
    public static final int LONGEST = 4096;

    private byte[] part;
    private int held;

    /**
     * The next line with the end that it came with, or null where the bytes hold none yet; all
     * bytes up to there are taken.
     */
    public byte[] next(ByteBuffer bytes) throws Unreadable {
        int start = bytes.position();
        int end = start;
        while (end < bytes.limit() && bytes.get(end) != '\n') {
            end++;
        }
        boolean whole = end < bytes.limit();
        int many = end - start + (whole ? 1 : 0);
        if (held + many > LONGEST) {
            throw new Unreadable("line over " + LONGEST + " bytes");
        }
        if (!whole) {
            if (many > 0) {
                byte[] grown = new byte[held + many];
                if (part != null) {
                    System.arraycopy(part, 0, grown, 0, held);
                }
                bytes.get(grown, held, many);
                part = grown;
                held = grown.length;
            }
            return null;
        }
        byte[] line = new byte[held + many];
        if (part != null) {
            System.arraycopy(part, 0, line, 0, held);
        }
        bytes.get(line, held, many);
        part = null;
        held = 0;
        return line;
    }

    /** Whether a line has begun that is not yet ended. */
    public boolean begun() {
        return held > 0;
    }

    /** Whether a line ends in these bytes; their position stays. */
    public static boolean endsIn(ByteBuffer bytes) {
        return afterLastEnd(bytes) > bytes.position();
    }

    /**
     * Where the last line that ends in these bytes has ended, or their position where none does.
     */
    static int afterLastEnd(ByteBuffer bytes) {
        int end = bytes.limit();
        while (end > bytes.position() && bytes.get(end - 1) != '\n') {
            end--;
        }
        return end;
    }

    /** The line's text without its end. */
    public static String text(byte[] line) {
        int end = line.length;
        if (end > 0 && line[end - 1] == '\n') {
            end--;
        }
        if (end > 0 && line[end - 1] == '\r') {
            end--;
        }
        return new String(line, 0, end, StandardCharsets.ISO_8859_1);
    }

    /** The bytes of a line that this node says itself. */
    public static ByteBuffer of(String text) {
        return ByteBuffer.wrap((text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }
}
