package embershift.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Incremental parser of one HTTP/1.1 response. */
public final class HttpResponseParser extends HttpMessageParser {

    private static final int MAX_BODY_BYTES = 4 << 20;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream(512);
    private int status;
    private boolean keepAlive = true;

    @Override
    boolean parseStartLine(String line) throws MalformedDataException {
        String[] parts = line.split(" ", 3);
        if (parts.length < 2 || !parts[0].startsWith("HTTP/1.")) {
            throw new MalformedDataException("not an HTTP/1.x response");
        }
        status = (int) parseNumber(parts[1], 10);
        keepAlive = !parts[0].equals("HTTP/1.0");
        return true;
    }

    @Override
    void handleField(String name, String value) {
        if (name.equals("connection")) {
            keepAlive = !value.equalsIgnoreCase("close");
        }
    }

    @Override
    boolean endHeader() {
        return status / 100 != 1;
    }

    @Override
    boolean hasNoBody() {
        return status == 204 || status == 304;
    }

    @Override
    boolean bodyRunsToEnd() {
        keepAlive = false;
        return true;
    }

    @Override
    void handleBody(ByteBuffer bytes) throws MalformedDataException {
        if (body.size() + bytes.remaining() > MAX_BODY_BYTES) {
            throw new MalformedDataException("response body over " + MAX_BODY_BYTES + " bytes");
        }
        byte[] chunk = new byte[bytes.remaining()];
        bytes.get(chunk);
        body.write(chunk, 0, chunk.length);
    }

    /** Returns the status code of the response. */
    public int status() {
        return status;
    }

    /** Whether the server keeps the connection open for another request. */
    public boolean keepAlive() {
        return keepAlive;
    }

    /** Returns the body received so far. */
    public String body() {
        return body.toString(StandardCharsets.UTF_8);
    }
}
