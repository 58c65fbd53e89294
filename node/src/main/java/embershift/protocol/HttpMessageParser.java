package embershift.protocol;

import java.nio.ByteBuffer;
import java.util.Locale;

/**
 * Incremental parser for what HTTP/1.1 requests and responses have in common (RFC 9112): a start
 * line, header fields, and a body delimited by Content-Length, chunked encoding or the end of the
 * connection. The input may be split at any byte.
 */
abstract class HttpMessageParser {

    private enum State {
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

    private final LineCodec lines = new LineCodec();
    private State state = State.FIRST_LINE;
    private long remaining = -1;
    private boolean chunked;
    private boolean started;

    /** Consumes the bytes that belong to this message; returns true once it is complete. */
    public final boolean feed(ByteBuffer bytes) throws MalformedDataException {
        started |= bytes.hasRemaining();
        while (state != State.DONE && bytes.hasRemaining()) {
            switch (state) {
                case BODY, CHUNK ->
                        consumeBody(bytes, (int) Math.min(remaining, bytes.remaining()));
                case TO_END -> consumeBody(bytes, bytes.remaining());
                default -> {
                    byte[] line = nextLine(lines, bytes);
                    if (line == null) {
                        return false;
                    }
                    parseLine(LineCodec.decode(line));
                }
            }
        }
        return state == State.DONE;
    }

    byte[] nextLine(LineCodec from, ByteBuffer bytes) throws MalformedDataException {
        return from.next(bytes);
    }

    private void consumeBody(ByteBuffer bytes, int count) throws MalformedDataException {
        handleBody(bytes.slice().limit(count));
        bytes.position(bytes.position() + count);
        if (state != State.TO_END) {
            remaining -= count;
            if (remaining == 0) {
                state = state == State.BODY ? State.DONE : State.CHUNK_END;
            }
        }
    }

    private void parseLine(String line) throws MalformedDataException {
        switch (state) {
            case FIRST_LINE -> state = parseStartLine(line) ? State.FIELDS : State.FIRST_LINE;
            case FIELDS -> {
                if (line.isEmpty()) {
                    beginBody();
                } else {
                    parseFieldLine(line);
                }
            }
            case CHUNK_SIZE -> {
                int end = line.indexOf(';');
                remaining = parseNumber((end < 0 ? line : line.substring(0, end)).trim(), 16);
                state = remaining == 0 ? State.TRAILER : State.CHUNK;
            }
            case CHUNK_END -> {
                if (!line.isEmpty()) {
                    throw new MalformedDataException("a chunk is longer than it says");
                }
                state = State.CHUNK_SIZE;
            }
            case TRAILER -> state = line.isEmpty() ? State.DONE : State.TRAILER;
            default -> throw new IllegalStateException(state.name());
        }
    }

    private void parseFieldLine(String line) throws MalformedDataException {
        int colon = line.indexOf(':');
        if (colon < 1) {
            throw new MalformedDataException("header line without a name");
        }
        String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
        String value = line.substring(colon + 1).trim();
        switch (name) {
            case "content-length" -> {
                long length = parseNumber(value, 10);
                if (remaining >= 0 && remaining != length) {
                    throw new MalformedDataException("two lengths for one body");
                }
                remaining = length;
            }
            case "transfer-encoding" ->
                    chunked = value.toLowerCase(Locale.ROOT).endsWith("chunked");
            default -> {}
        }
        handleField(name, value);
    }

    private void beginBody() throws MalformedDataException {
        if (!endHeader()) {
            state = State.FIRST_LINE;
        } else if (hasNoBody()) {
            state = State.DONE;
        } else if (chunked) {
            state = State.CHUNK_SIZE;
        } else if (remaining > 0) {
            state = State.BODY;
        } else {
            state = remaining < 0 && bodyRunsToEnd() ? State.TO_END : State.DONE;
        }
    }

    static long parseNumber(String digits, int radix) throws MalformedDataException {
        try {
            long value = Long.parseLong(digits, radix);
            if (value >= 0 && Character.digit(digits.charAt(0), radix) >= 0) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw new MalformedDataException("no number where one belongs in HTTP");
    }

    /** Notes that the connection has ended; returns whether the message is complete. */
    public final boolean endOfInput() {
        if (state == State.TO_END) {
            state = State.DONE;
        }
        return state == State.DONE;
    }

    /** Returns whether any byte of this message has been received. */
    public final boolean hasStarted() {
        return started;
    }

    boolean isChunked() {
        return chunked;
    }

    boolean hasContentLength() {
        return remaining >= 0;
    }

    /** Parses the start line; returns false if the line is to be skipped. */
    abstract boolean parseStartLine(String line) throws MalformedDataException;

    /** Handles one header field; its name is in lower case. */
    abstract void handleField(String name, String value) throws MalformedDataException;

    /**
     * Called at the end of the header; returns false if another message follows in place of this
     * one.
     */
    abstract boolean endHeader() throws MalformedDataException;

    /** Returns whether no body follows, regardless of the header fields. */
    abstract boolean hasNoBody();

    /** Returns whether a body without a length extends to the end of the connection. */
    abstract boolean bodyRunsToEnd();

    abstract void handleBody(ByteBuffer bytes) throws MalformedDataException;
}
