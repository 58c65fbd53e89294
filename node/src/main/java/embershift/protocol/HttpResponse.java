package embershift.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** An HTTP/1.1 response with a JSON body. The connection is closed after it. */
public record HttpResponse(int status, String json, String allow) {

    /** Creates a response with this status and body, and no {@code Allow} field. */
    public static HttpResponse of(int status, String json) {
        return new HttpResponse(status, json, null);
    }

    /** Creates an error response; the message is the value of {@code error} in the body. */
    public static HttpResponse error(int status, String message) {
        return of(status, "{\"error\":" + Json.quote(message) + "}");
    }

    /** Creates a 405 response that names the one allowed method. */
    public static HttpResponse methodNotAllowed(String allowed) {
        return new HttpResponse(405, error(405, "only by " + allowed).json, allowed);
    }

    private String reason() {
        return switch (status) {
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 408 -> "Request Timeout";
            case 413 -> "Content Too Large";
            case 431 -> "Request Header Fields Too Large";
            case 501 -> "Not Implemented";
            case 503 -> "Service Unavailable";
            case 505 -> "HTTP Version Not Supported";
            default -> "Error";
        };
    }

    /** Returns the bytes of the whole response; the body must be ASCII. */
    public ByteBuffer encode() {
        String body = json + "\n";
        return ByteBuffer.wrap(
                ("HTTP/1.1 "
                                + status
                                + " "
                                + reason()
                                + "\r\nContent-Type: application/json\r\n"
                                + (allow == null ? "" : "Allow: " + allow + "\r\n")
                                + "Content-Length: "
                                + body.length()
                                + "\r\nConnection: close\r\n\r\n"
                                + body)
                        .getBytes(StandardCharsets.US_ASCII));
    }
}
