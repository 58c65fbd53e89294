package embershift.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Parsing of operators' HTTP requests. */
public class HttpRequestParserTest {

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @DataProvider
    public Object[][] validRequests() {
        return new Object[][] {
            {"GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n", "GET", List.of("api", "ready")},
            {
                "\r\nGET /api/telemetry?all=1/2 HTTP/1.0\nhost:a\n\n",
                "GET",
                List.of("api", "telemetry")
            },
            {
                "POST /api/exclude/s%2D1%2f%C3%A9 HTTP/1.1\r\ncOnTeNt-LeNgTh: 5\r\n\r\nabcde",
                "POST",
                List.of("api", "exclude", "s-1/\u00e9")
            },
            {
                "POST http://n:1/api/include/x HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nT: 1\r\n\r\n",
                "POST",
                List.of("api", "include", "x")
            },
            {
                "POST /api/include/x HTTP/1.1\r\nContent-Length: 9999\r\nExpect: 100-continue\r\n\r\n",
                "POST",
                List.of("api", "include", "x")
            },
        };
    }

    @Test(dataProvider = "validRequests")
    public void requestIsParsedTheSameHoweverItIsSplit(
            String text, String method, List<String> path) throws Exception {
        for (int cut = 0; cut < text.length(); cut++) {
            HttpRequestParser request = new HttpRequestParser();
            assertFalse(request.parse(bytes(text.substring(0, cut))), text.substring(0, cut));
            assertTrue(request.parse(bytes(text.substring(cut))));
            assertEquals(request.method(), method);
            assertEquals(request.path(), path);
        }
        HttpRequestParser request = new HttpRequestParser();
        for (int i = 0; i < text.length(); i++) {
            assertEquals(request.parse(bytes(text.substring(i, i + 1))), i == text.length() - 1);
        }
    }

    @DataProvider
    public Object[][] invalidRequests() {
        String post = "POST / HTTP/1.1\r\n";
        return new Object[][] {
            {"GET\r\n", 400},
            {"GET  / HTTP/1.1\r\n", 400},
            {"GET / HTTP/1.1 \r\n", 400},
            {"GET / FTP/1.1\r\n", 400},
            {"GET x HTTP/1.1\r\n", 400},
            {"GET /%2 HTTP/1.1\r\n", 400},
            {"GET /%+1 HTTP/1.1\r\n", 400},
            {"GET / HTTP/2.0\r\n", 505},
            {post + "nothing\r\n", 400},
            {post + ": x\r\n", 400},
            {post + "Content-Length: -1\r\n", 400},
            {post + "Content-Length: +1\r\n", 400},
            {post + "Content-Length: 99999999999999999999\r\n", 400},
            {post + "Content-Length: 1\r\nContent-Length: 2\r\n", 400},
            {post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
            {post + "Transfer-Encoding: gzip\r\n", 501},
            {post + "Transfer-Encoding: chunked\r\n\r\nx\r\n", 400},
            {post + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", 400},
            {"GET /" + "x".repeat(5000), 431},
            {post + "a: b\r\n".repeat(5000), 431},
            {post + "Content-Length: 99999\r\n\r\n" + "x".repeat(99999), 413},
        };
    }

    @Test(dataProvider = "invalidRequests")
    public void invalidRequestIsRejectedWithItsStatus(String text, int status) {
        assertEquals(
                expectThrows(
                                HttpRequestParser.RejectedException.class,
                                () -> new HttpRequestParser().parse(bytes(text)))
                        .status(),
                status);
    }

    @Test
    public void quotesAndControlCharactersAreEscapedToValidJson() throws Exception {
        String name = "a\"b\\c{}\n\u0000\u00e9\u2028";
        assertEquals(Json.parse(Json.quote(name)), name);
        assertEquals(
                HttpResponse.error(404, name).encode().remaining(),
                HttpResponse.error(404, name).encode().array().length);
    }
}
