package embershift.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** One reply of an HTTP/1.1 server, read from bytes that come in any split. */
public final class HttpReply {

    private static final int LARGEST = 8 << 20;

    private enum Part { STATUS, FIELDS, BODY, TO_END, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILER, DONE }

    private final Line lines = new Line();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(512);
    private Part part = Part.STATUS;
    private int status;
    private long left = -1;
    private boolean chunked;
    private boolean keptOpen = true;
    private boolean begun;

    /** Takes what belongs to this reply; true once it is whole. */
    public boolean take(ByteBuffer bytes) throws Unreadable {
        begun |= bytes.hasRemaining();
        while (part != Part.DONE && bytes.hasRemaining()) {
            switch (part) {
                case BODY, CHUNK -> copy(bytes, (int) Math.min(left, bytes.remaining()));
                case TO_END -> copy(bytes, bytes.remaining());
                default -> {
                    byte[] line = lines.next(bytes);
                    if (line == null) {
                        return false;
                    }
                    takeLine(Line.text(line));
                }
            }
        }
        return part == Part.DONE;
    }

    private void copy(ByteBuffer bytes, int many) throws Unreadable {
        if (body.size() + many > LARGEST) {
            throw new Unreadable("reply over " + LARGEST + " bytes");
        }
        byte[] taken = new byte[many];
        bytes.get(taken);
        body.write(taken, 0, many);
        if (part != Part.TO_END) {
            left -= many;
            if (left == 0) {
                part = part == Part.BODY ? Part.DONE : Part.CHUNK_END;
            }
        }
    }

    private void takeLine(String line) throws Unreadable {
        switch (part) {
            case STATUS -> {
                String[] words = line.split(" ", 3);
                if (words.length < 2 || !words[0].startsWith("HTTP/1.")) {
                    throw new Unreadable("not an HTTP/1.1 reply");
                }
                status = (int) whole(words[1], 10);
                keptOpen = !words[0].equals("HTTP/1.0");
                part = Part.FIELDS;
            }
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
            case CHUNK_END -> part = Part.CHUNK_SIZE;
            case TRAILER -> part = line.isEmpty() ? Part.DONE : Part.TRAILER;
            default -> throw new IllegalStateException(part.name());
        }
    }

    private void takeField(String line) throws Unreadable {
        int colon = line.indexOf(':');
        if (colon < 1) {
            throw new Unreadable("header line without a name");
        }
        String value = line.substring(colon + 1).trim();
        switch (line.substring(0, colon).toLowerCase(Locale.ROOT)) {
            case "content-length" -> left = whole(value, 10);
            case "transfer-encoding" -> chunked = value.toLowerCase(Locale.ROOT).endsWith("chunked");
            case "connection" -> keptOpen = !value.equalsIgnoreCase("close");
            default -> { }
        }
    }

    private void beginBody() {
        if (status / 100 == 1) {
            part = Part.STATUS;
        } else if (chunked) {
            part = Part.CHUNK_SIZE;
        } else if (left == 0 || status == 204 || status == 304) {
            part = Part.DONE;
        } else if (left > 0) {
            part = Part.BODY;
        } else {
            keptOpen = false;
            part = Part.TO_END;
        }
    }

    private static long whole(String digits, int radix) throws Unreadable {
        try {
            long value = Long.parseLong(digits, radix);
            if (value >= 0) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Told below.
        }
        throw new Unreadable("no number where one belongs in an HTTP reply");
    }

    /** The connection has ended: whether the reply is whole by that. */
    public boolean end() {
        if (part == Part.TO_END) {
            part = Part.DONE;
        }
        return part == Part.DONE;
    }

    public boolean begun() {
        return begun;
    }

    public int status() {
        return status;
    }

    public boolean keptOpen() {
        return keptOpen;
    }

    public String body() {
        return body.toString(StandardCharsets.UTF_8);
    }
}
