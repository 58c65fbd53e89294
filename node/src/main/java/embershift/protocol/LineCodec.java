package embershift.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Cuts lines out of bytes that come in any split. A line that came in parts is kept until its end;
 * while none is in hand nothing is held.
 */
public final class LineCodec {

    /** The longest line, with its end. */
    public static final int MAX_LENGTH = 4096;

    private byte[] partial;
    private int partialLength;

    /**
     * The next line with the end that it came with, or null where the bytes hold none yet; all
     * bytes up to there are taken.
     */
    public byte[] next(ByteBuffer bytes) throws MalformedDataException {
        int start = bytes.position();
        int end = start;
        while (end < bytes.limit() && bytes.get(end) != '\n') {
            end++;
        }
        boolean whole = end < bytes.limit();
        int many = end - start + (whole ? 1 : 0);
        if (partialLength + many > MAX_LENGTH) {
            throw new MalformedDataException("line over " + MAX_LENGTH + " bytes");
        }
        if (!whole) {
            if (many > 0) {
                byte[] grown = new byte[partialLength + many];
                if (partial != null) {
                    System.arraycopy(partial, 0, grown, 0, partialLength);
                }
                bytes.get(grown, partialLength, many);
                partial = grown;
                partialLength = grown.length;
            }
            return null;
        }
        byte[] line = new byte[partialLength + many];
        if (partial != null) {
            System.arraycopy(partial, 0, line, 0, partialLength);
        }
        bytes.get(line, partialLength, many);
        partial = null;
        partialLength = 0;
        return line;
    }

    /** Whether a line has begun that is not yet ended. */
    public boolean hasPartialLine() {
        return partialLength > 0;
    }

    /** Whether a line ends in these bytes; their position stays. */
    public static boolean containsLineEnd(ByteBuffer bytes) {
        return endOfLastLine(bytes) > bytes.position();
    }

    /**
     * Where the last line that ends in these bytes has ended, or their position where none does.
     */
    static int endOfLastLine(ByteBuffer bytes) {
        int end = bytes.limit();
        while (end > bytes.position() && bytes.get(end - 1) != '\n') {
            end--;
        }
        return end;
    }

    /** The line's text without its end. */
    public static String decode(byte[] line) {
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
    public static ByteBuffer encode(String text) {
        return ByteBuffer.wrap((text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }
}
