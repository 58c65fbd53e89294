package embershift.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Encodes lines, and splits received bytes into lines. The input may be split at any byte: an
 * incomplete line is kept until its end arrives, and no memory is held while there is none.
 */
public final class LineCodec {

    /** Maximum length of a line in bytes, including the line end. */
    public static final int MAX_LENGTH = 4096;

    private byte[] partial;
    private int partialLength;

    /**
     * Returns the next line including its line end, or null if the bytes do not complete one. The
     * bytes up to that point are consumed.
     */
    public byte[] next(ByteBuffer bytes) throws MalformedDataException {
        int start = bytes.position();
        int end = start;
        while (end < bytes.limit() && bytes.get(end) != '\n') {
            end++;
        }
        boolean complete = end < bytes.limit();
        int count = end - start + (complete ? 1 : 0);
        if (partialLength + count > MAX_LENGTH) {
            throw new MalformedDataException("line over " + MAX_LENGTH + " bytes");
        }
        if (!complete) {
            if (count > 0) {
                byte[] grown = new byte[partialLength + count];
                if (partial != null) {
                    System.arraycopy(partial, 0, grown, 0, partialLength);
                }
                bytes.get(grown, partialLength, count);
                partial = grown;
                partialLength = grown.length;
            }
            return null;
        }
        byte[] line = new byte[partialLength + count];
        if (partial != null) {
            System.arraycopy(partial, 0, line, 0, partialLength);
        }
        bytes.get(line, partialLength, count);
        partial = null;
        partialLength = 0;
        return line;
    }

    /** Returns whether an incomplete line has been received. */
    public boolean hasPartialLine() {
        return partialLength > 0;
    }

    /** Returns whether a line ends in these bytes; the buffer's position is unchanged. */
    public static boolean containsLineEnd(ByteBuffer bytes) {
        return endOfLastLine(bytes) > bytes.position();
    }

    /**
     * Returns the index after the last line end in these bytes, or the buffer's position if there
     * is none.
     */
    static int endOfLastLine(ByteBuffer bytes) {
        int end = bytes.limit();
        while (end > bytes.position() && bytes.get(end - 1) != '\n') {
            end--;
        }
        return end;
    }

    /** Returns the text of a line without its line end. */
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

    /** Returns the bytes of a line with this text, including the line end. */
    public static ByteBuffer encode(String text) {
        return ByteBuffer.wrap((text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }
}
