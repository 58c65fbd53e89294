package embershift.protocol;

import java.nio.ByteBuffer;
import java.util.Locale;

/**
 * What requests and replies of HTTP/1.1 have in common (RFC 9112): a first line, header lines, and
 * a body that is counted, in chunks or runs to the end. Fed bytes in any split.
 */
abstract class HttpMessage {

    private enum Part {
        FIRST_LINE,
        FIELDS,
        BODY,
        TO_END,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        DONE
    }

    private final Line lines = new Line();
    private Part part = Part.FIRST_LINE;
    private long left = -1;
    private boolean chunked;
    private boolean begun;

    /** Takes what belongs to this message; true once it is whole. */
    public final boolean take(ByteBuffer bytes) throws Unreadable {
        begun |= bytes.hasRemaining();
        while (part != Part.DONE && bytes.hasRemaining()) {
            switch (part) {
                case BODY, CHUNK -> copy(bytes, (int) Math.min(left, bytes.remaining()));
                case TO_END -> copy(bytes, bytes.remaining());
                default -> {
                    byte[] line = nextLine(lines, bytes);
                    if (line == null) {
                        return false;
                    }
                    takeLine(Line.text(line));
                }
            }
        }
        return part == Part.DONE;
    }

    byte[] nextLine(Line from, ByteBuffer bytes) throws Unreadable {
        return from.next(bytes);
    }

    private void copy(ByteBuffer bytes, int many) throws Unreadable {
        takeBody(bytes.slice().limit(many));
        bytes.position(bytes.position() + many);
        if (part != Part.TO_END) {
            left -= many;
            if (left == 0) {
                part = part == Part.BODY ? Part.DONE : Part.CHUNK_END;
            }
        }
    }

    private void takeLine(String line) throws Unreadable {
        switch (part) {
            case FIRST_LINE -> part = takeFirst(line) ? Part.FIELDS : Part.FIRST_LINE;
            case FIELDS -> {
                if (line.isEmpty()) {
                    beginBody();
                } else {
                    takeField(line);
                }
            }
            case CHUNK_SIZE -> {
                int end = line.indexOf(';');
                left = whole((end < 0 ? line : line.substring(0, end)).trim(), 16);
                part = left == 0 ? Part.TRAILER : Part.CHUNK;
            }
            case CHUNK_END -> {
                if (!line.isEmpty()) {
                    throw new Unreadable("a chunk is longer than it says");
                }
                part = Part.CHUNK_SIZE;
            }
            case TRAILER -> part = line.isEmpty() ? Part.DONE : Part.TRAILER;
            default -> throw new IllegalStateException(part.name());
        }
    }

    private void takeField(String line) throws Unreadable {
        int colon = line.indexOf(':');
        if (colon < 1) {
            throw new Unreadable("header line without a name");
        }
        String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
        String value = line.substring(colon + 1).trim();
        switch (name) {
            case "content-length" -> {
                long said = whole(value, 10);
                if (left >= 0 && left != said) {
                    throw new Unreadable("two lengths for one body");
                }
                left = said;
            }
            case "transfer-encoding" ->
                    chunked = value.toLowerCase(Locale.ROOT).endsWith("chunked");
            default -> {}
        }
        takeField(name, value);
    }

    private void beginBody() throws Unreadable {
        if (!headerEnds()) {
            part = Part.FIRST_LINE;
        } else if (bodyless()) {
            part = Part.DONE;
        } else if (chunked) {
            part = Part.CHUNK_SIZE;
        } else if (left > 0) {
            part = Part.BODY;
        } else {
            part = left < 0 && runsToEnd() ? Part.TO_END : Part.DONE;
        }
    }

    static long whole(String digits, int radix) throws Unreadable {
        try {
            long value = Long.parseLong(digits, radix);
            if (value >= 0 && Character.digit(digits.charAt(0), radix) >= 0) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Told below.
        }
        throw new Unreadable("no number where one belongs in HTTP");
    }

    /** The connection has ended: whether the message is whole by that. */
    public final boolean end() {
        if (part == Part.TO_END) {
            part = Part.DONE;
        }
        return part == Part.DONE;
    }

    public final boolean begun() {
        return begun;
    }

    boolean chunked() {
        return chunked;
    }

    boolean counted() {
        return left >= 0;
    }

    /** Reads the first line; false where it is to be passed over. */
    abstract boolean takeFirst(String line) throws Unreadable;

    /** One header line, its name in small letters. */
    abstract void takeField(String name, String value) throws Unreadable;

    /** The header is whole: false where another message follows that replaces this one. */
    abstract boolean headerEnds() throws Unreadable;

    /** Whether no body follows, whatever the header says of one. */
    abstract boolean bodyless();

    /** Whether a body without a length goes on until the connection ends. */
    abstract boolean runsToEnd();

    abstract void takeBody(ByteBuffer bytes) throws Unreadable;
}
