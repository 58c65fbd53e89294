package embershift.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** What a server says to one request: a status and a JSON text. The connection ends with it. */
public record HttpResponse(int status, String json, String allow) {

    public static HttpResponse of(int status, String json) {
        return new HttpResponse(status, json, null);
    }

    /** An answer that says in one line what was wrong. */
    public static HttpResponse error(int status, String why) {
        return of(status, "{\"error\":" + Json.quote(why) + "}");
    }

    public static HttpResponse methodNotAllowed(String method) {
        return new HttpResponse(405, error(405, "only by " + method).json, method);
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
