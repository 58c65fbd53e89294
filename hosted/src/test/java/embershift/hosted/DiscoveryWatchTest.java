package embershift.hosted;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import embershift.transport.EventLoop;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The control plane's watch at discovery, whose answers may be delivered twice. */
public class DiscoveryWatchTest {

    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
    private EventLoop loop;
    private ServerSocket server;
    private volatile DiscoveryWatch watch;

    @BeforeMethod
    public void startWatch() throws IOException {
        answers.clear();
        loop = new EventLoop();
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        server.setSoTimeout(10_000);
        loop.execute(
                () ->
                        watch =
                                new DiscoveryWatch(
                                        loop,
                                        new InetSocketAddress(
                                                server.getInetAddress(), server.getLocalPort()),
                                        (generation, isComplete, isRestarted) ->
                                                answers.add(
                                                        generation
                                                                + " "
                                                                + isComplete.values()
                                                                + " "
                                                                + isRestarted)));
    }

    @AfterMethod
    public void stopWatch() throws IOException {
        loop.stop();
        server.close();
    }

    private Socket acceptCall() throws IOException {
        Socket call = server.accept();
        call.setSoTimeout(10_000);
        return call;
    }

    private static String readRequest(BufferedReader lines) throws IOException {
        String first = lines.readLine();
        for (String line = lines.readLine();
                line != null && !line.isEmpty();
                line = lines.readLine()) {
            // The other lines of the request are not checked.
        }
        return first;
    }

    private static BufferedReader lines(Socket call) throws IOException {
        return new BufferedReader(
                new InputStreamReader(call.getInputStream(), StandardCharsets.US_ASCII));
    }

    private static void send(Socket call, String text) throws IOException {
        call.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String response(int generation, boolean isComplete, String state) {
        String body =
                "{\"generation\":"
                        + generation
                        + ",\"reset\":"
                        + isComplete
                        + ",\"instances\":[{\"instanceId\":\"s\",\"lifecycle\":\""
                        + state
                        + "\"}]}";
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private String nextAnswer() throws InterruptedException {
        return String.valueOf(answers.poll(10, TimeUnit.SECONDS));
    }

    @Test
    public void repeatedOlderRosterIsNotTakenForTheLatest() throws Exception {
        Socket call = acceptCall();
        BufferedReader lines = lines(call);
        readRequest(lines);
        send(call, response(2, true, "in_service"));
        assertTrue(nextAnswer().contains("in_service"));
        readRequest(lines);
        send(call, response(3, false, "terminating"));
        assertTrue(nextAnswer().contains("terminating"));
        readRequest(lines);
        send(call, response(2, true, "in_service"));
        Socket nextCall = acceptCall();
        assertEquals(
                readRequest(lines(nextCall)), "GET /api/targets?after=3&wait_ms=1600 HTTP/1.1");
        assertEquals(answers.size(), 0);
    }

    @Test
    public void surplusDataIsNotTakenForTheNextAnswer() throws Exception {
        Socket call = acceptCall();
        readRequest(lines(call));
        send(
                call,
                response(2, true, "in_service") + response(2, true, "in_service").substring(0, 30));
        assertTrue(nextAnswer().startsWith("2 "));
        Socket nextCall = acceptCall();
        assertEquals(
                readRequest(lines(nextCall)), "GET /api/targets?after=2&wait_ms=1600 HTTP/1.1");
        send(nextCall, response(3, false, "terminating"));
        assertTrue(nextAnswer().startsWith("3 "));
    }

    @Test
    public void callWithoutAnswerIsRetriedInTime() throws Exception {
        Socket call = acceptCall();
        readRequest(lines(call));
        send(call, response(2, true, "in_service").substring(0, 60));
        CompletableFuture<Long> calls = new CompletableFuture<>();
        // The call is abandoned after 3.8 s. Measured by the event loop's clock, because a busy
        // machine delays both.
        loop.execute(() -> loop.schedule(4.4, () -> calls.complete(watch.callCount())));
        Socket nextCall = acceptCall();
        assertEquals((long) calls.get(), 2);
        readRequest(lines(nextCall));
        send(nextCall, response(2, true, "terminating"));
        assertTrue(nextAnswer().contains("terminating"));
    }

    @Test
    public void restartedGenerationsAreAcceptedOnNewConnection() throws Exception {
        Socket call = acceptCall();
        readRequest(lines(call));
        send(call, response(40, true, "in_service"));
        assertTrue(nextAnswer().startsWith("40 "));
        call.close();
        Socket nextCall = acceptCall();
        readRequest(lines(nextCall));
        send(nextCall, response(2, true, "terminating"));
        assertTrue(nextAnswer().endsWith(" true"));
    }

    /**
     * Guards against a restart of discovery that is forgotten before the complete list is there.
     */
    @Test
    public void restartIsReportedWithTheCompleteListHoweverLateThatComes() throws Exception {
        Socket call = acceptCall();
        readRequest(lines(call));
        send(call, response(40, true, "in_service"));
        assertTrue(nextAnswer().startsWith("40 "));
        call.close();
        Socket next = acceptCall();
        BufferedReader lines = lines(next);
        readRequest(lines);
        send(next, response(3, false, "in_service"));
        assertEquals(readRequest(lines), "GET /api/targets HTTP/1.1");
        send(next, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        Socket retry = acceptCall();
        assertEquals(readRequest(lines(retry)), "GET /api/targets HTTP/1.1");
        send(retry, response(3, true, "terminating"));
        String answer = nextAnswer();
        assertTrue(answer.contains("terminating") && answer.endsWith(" true"), answer);
    }

    /** Guards against a duplicate of a partial answer that is taken for the complete list. */
    @Test
    public void duplicateOfPartialAnswerIsNotTakenForTheCompleteList() throws Exception {
        Socket call = acceptCall();
        readRequest(lines(call));
        send(call, response(40, true, "in_service"));
        assertTrue(nextAnswer().startsWith("40 "));
        call.close();
        Socket next = acceptCall();
        BufferedReader lines = lines(next);
        readRequest(lines);
        send(next, response(3, false, "in_service"));
        assertEquals(readRequest(lines), "GET /api/targets HTTP/1.1");
        send(next, response(3, false, "in_service"));
        assertEquals(readRequest(lines(acceptCall())), "GET /api/targets HTTP/1.1");
        assertEquals(answers.size(), 0);
    }
}
