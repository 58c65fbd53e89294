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

/** The fleet's watch at discovery, whose answers may come twice. */
public class DiscoveryWatchTest {

    private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
    private EventLoop loop;
    private ServerSocket server;
    private volatile DiscoveryWatch discovery;

    @BeforeMethod
    public void begin() throws IOException {
        heard.clear();
        loop = new EventLoop();
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        server.setSoTimeout(10_000);
        loop.execute(
                () ->
                        discovery =
                                new DiscoveryWatch(
                                        loop,
                                        new InetSocketAddress(
                                                server.getInetAddress(), server.getLocalPort()),
                                        (generation, whole, anew) ->
                                                heard.add(
                                                        generation
                                                                + " "
                                                                + whole.values()
                                                                + " "
                                                                + anew)));
    }

    @AfterMethod
    public void end() throws IOException {
        loop.stop();
        server.close();
    }

    private Socket called() throws IOException {
        Socket call = server.accept();
        call.setSoTimeout(10_000);
        return call;
    }

    private static String call(BufferedReader lines) throws IOException {
        String first = lines.readLine();
        for (String line = lines.readLine();
                line != null && !line.isEmpty();
                line = lines.readLine()) {
            // Its other lines.
        }
        return first;
    }

    private static BufferedReader lines(Socket call) throws IOException {
        return new BufferedReader(
                new InputStreamReader(call.getInputStream(), StandardCharsets.US_ASCII));
    }

    private static void say(Socket call, String words) throws IOException {
        call.getOutputStream().write(words.getBytes(StandardCharsets.US_ASCII));
    }

    private static String answer(int generation, boolean whole, String state) {
        String body =
                "{\"generation\":"
                        + generation
                        + ",\"reset\":"
                        + whole
                        + ",\"instances\":[{\"instanceId\":\"s\",\"lifecycle\":\""
                        + state
                        + "\"}]}";
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private String next() throws InterruptedException {
        return String.valueOf(heard.poll(10, TimeUnit.SECONDS));
    }

    @Test
    public void olderListThatComesOnceMoreIsNotTakenForTheNewest() throws Exception {
        Socket call = called();
        BufferedReader lines = lines(call);
        call(lines);
        say(call, answer(2, true, "in_service"));
        assertTrue(next().contains("in_service"));
        call(lines);
        say(call, answer(3, false, "terminating"));
        assertTrue(next().contains("terminating"));
        call(lines);
        say(call, answer(2, true, "in_service"));
        Socket again = called();
        assertEquals(call(lines(again)), "GET /api/targets?after=3&wait_ms=1600 HTTP/1.1");
        assertEquals(heard.size(), 0);
    }

    @Test
    public void whatComesWithAnAnswerIsNoAnswerToTheNextCall() throws Exception {
        Socket call = called();
        call(lines(call));
        say(call, answer(2, true, "in_service") + answer(2, true, "in_service").substring(0, 30));
        assertTrue(next().startsWith("2 "));
        Socket again = called();
        assertEquals(call(lines(again)), "GET /api/targets?after=2&wait_ms=1600 HTTP/1.1");
        say(again, answer(3, false, "terminating"));
        assertTrue(next().startsWith("3 "));
    }

    @Test
    public void callThatBringsNothingIsMadeAnewWhileThereIsTimeForItsAnswer() throws Exception {
        Socket call = called();
        call(lines(call));
        say(call, answer(2, true, "in_service").substring(0, 60));
        CompletableFuture<Long> calls = new CompletableFuture<>();
        // It is given up after 3.8 s. On the loop's own clock: a busy machine holds up both.
        loop.execute(() -> loop.schedule(4.4, () -> calls.complete(discovery.callCount())));
        Socket again = called();
        assertEquals((long) calls.get(), 2);
        call(lines(again));
        say(again, answer(2, true, "terminating"));
        assertTrue(next().contains("terminating"));
    }

    @Test
    public void versionsThatBeginAnewOnAnotherConnectionAreTaken() throws Exception {
        Socket call = called();
        call(lines(call));
        say(call, answer(40, true, "in_service"));
        assertTrue(next().startsWith("40 "));
        call.close();
        Socket again = called();
        call(lines(again));
        say(again, answer(2, true, "terminating"));
        assertTrue(next().endsWith(" true"));
    }
}
