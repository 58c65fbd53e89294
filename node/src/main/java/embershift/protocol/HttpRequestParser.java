package embershift.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Incremental parser of one HTTP/1.1 request. A body is read and discarded, as no operation needs
 * one. A request that cannot be accepted fails with {@link RejectedException}, which holds the
 * status of the response.
 */
public final class HttpRequestParser extends HttpMessageParser {

    /** Limit of the header including the request line. */
    private static final int MAX_HEADER_BYTES = 16 * 1024;

    /** Limit of the discarded body. */
    private static final int MAX_BODY_BYTES = 64 * 1024;

    /** Thrown when a request is rejected; the message states the reason. */
    public static final class RejectedException extends Exception {

        private static final long serialVersionUID = 1;
        private final int status;

        RejectedException(int status, String message) {
            super(message, null, false, false);
            this.status = status;
        }

        /** Returns the HTTP status code of the response to the request. */
        public int status() {
            return status;
        }
    }

    private String method;
    private List<String> path = List.of();
    private boolean expectsContinue;
    private int headerBytes;
    private long bodyBytes;
    private int rejectionStatus = 400;

    /** Does the same as {@link #feed}, but reports an error together with its status. */
    public boolean parse(ByteBuffer bytes) throws RejectedException {
        try {
            return feed(bytes);
        } catch (MalformedDataException e) {
            throw new RejectedException(rejectionStatus, e.getMessage());
        }
    }

    private MalformedDataException reject(int status, String message) {
        rejectionStatus = status;
        return new MalformedDataException(message);
    }

    @Override
    byte[] nextLine(LineCodec from, ByteBuffer bytes) throws MalformedDataException {
        int before = bytes.remaining();
        byte[] line;
        try {
            line = from.next(bytes);
        } catch (MalformedDataException e) {
            throw reject(431, e.getMessage());
        }
        headerBytes += before - bytes.remaining();
        if (headerBytes > MAX_HEADER_BYTES) {
            throw reject(431, "header over " + MAX_HEADER_BYTES + " bytes");
        }
        return line;
    }

    @Override
    boolean parseStartLine(String line) throws MalformedDataException {
        if (line.isEmpty()) {
            // Empty lines before the request line are to be ignored (RFC 9112, section 2.2).
            return false;
        }
        String[] parts = line.split(" ", -1);
        if (parts.length != 3 || parts[0].isEmpty() || parts[1].isEmpty()) {
            throw new MalformedDataException(
                    "a request begins with a method, a path and a version");
        }
        if (!parts[2].matches("HTTP/\\d\\.\\d")) {
            throw new MalformedDataException("'" + printable(parts[2]) + "' is no version of HTTP");
        }
        if (!parts[2].startsWith("HTTP/1.")) {
            throw reject(505, "this is HTTP/1.1");
        }
        method = parts[0];
        path = segments(parts[1]);
        return true;
    }

    /** Splits the path and decodes each segment, so that an encoded slash stays in its segment. */
    private static List<String> segments(String target) throws MalformedDataException {
        String text = target;
        int scheme = text.indexOf("://");
        if (!text.startsWith("/") && scheme > 0) {
            int slash = text.indexOf('/', scheme + 3);
            text = slash < 0 ? "/" : text.substring(slash);
        }
        if (!text.startsWith("/")) {
            throw new MalformedDataException("a path begins with /");
        }
        int query = text.indexOf('?');
        List<String> segments = new ArrayList<>();
        for (String part :
                (query < 0 ? text : text.substring(0, query)).substring(1).split("/", -1)) {
            segments.add(decoded(part));
        }
        return List.copyOf(segments);
    }

    private static String decoded(String part) throws MalformedDataException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(part.length());
        for (int i = 0; i < part.length(); i++) {
            char character = part.charAt(i);
            if (character == '%') {
                boolean complete = i + 2 < part.length();
                int high = complete ? Character.digit(part.charAt(i + 1), 16) : -1;
                int low = complete ? Character.digit(part.charAt(i + 2), 16) : -1;
                if (high < 0 || low < 0) {
                    throw new MalformedDataException("a percent sign without its two digits");
                }
                bytes.write(high * 16 + low);
                i += 2;
            } else {
                bytes.write(character);
            }
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private static String printable(String text) {
        return text.replaceAll("[^ -~]", "?");
    }

    @Override
    void handleField(String name, String value) throws MalformedDataException {
        if (name.equals("expect")) {
            expectsContinue = value.equalsIgnoreCase("100-continue");
        } else if (name.equals("transfer-encoding") && !value.equalsIgnoreCase("chunked")) {
            throw reject(501, "no transfer encoding but chunked is known here");
        }
    }

    @Override
    boolean endHeader() throws MalformedDataException {
        if (isChunked() && hasContentLength()) {
            throw new MalformedDataException("a body both counted and in chunks");
        }
        return true;
    }

    /**
     * A client that sent {@code Expect: 100-continue} is answered immediately, as no body is
     * needed.
     */
    @Override
    boolean hasNoBody() {
        return expectsContinue;
    }

    @Override
    boolean bodyRunsToEnd() {
        return false;
    }

    @Override
    void handleBody(ByteBuffer bytes) throws MalformedDataException {
        bodyBytes += bytes.remaining();
        if (bodyBytes > MAX_BODY_BYTES) {
            throw reject(413, "body over " + MAX_BODY_BYTES + " bytes");
        }
    }

    /** Returns the method as the client wrote it; HTTP methods are case-sensitive. */
    public String method() {
        return method;
    }

    /** Returns the decoded segments of the path, without the query. */
    public List<String> path() {
        return path;
    }
}
