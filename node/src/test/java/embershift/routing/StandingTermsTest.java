package embershift.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import embershift.Loopback;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The terms of the operators' acceptance that no other test forces, each by what clients, hosts and
 * discovery received.
 */
public class StandingTermsTest extends Loopback {

    /** Milliseconds within which what must not come would have come. */
    private static final int NOTHING_MS = 400;

    private static final String ONCE_ONLY = "\"at_most_once\"";
    private static final String REPEATABLE = "\"idempotent\"";

    /**
     * Of a window, in seconds, that a short test can wait for, and not a busy machine's pause ends.
     */
    private static final double WINDOW = 1.5;

    private static final String REFERENCED =
            "\"deduplicated\",\"dedup-scope\":\"all\",\"dedup-window-s\":" + WINDOW;

    private void effect(String repeat, String... others) {
        List<String> all = new ArrayList<>(List.of("repeat", repeat));
        all.addAll(List.of(others));
        settings = all.toArray(new String[0]);
    }

    private void onLoop(Runnable step) throws Exception {
        on(
                () -> {
                    step.run();
                    return null;
                });
    }

    // ---- Answers cut, doubled and without an end ----

    @DataProvider
    public Object[][] cut() {
        return new Object[][] {{""}, {"U"}, {"UP r"}, {"UP r\r"}, {"BUSY"}, {"HTTP/1.1 5"}};
    }

    @Test(dataProvider = "cut")
    public void answerCutShortServesNobodyAndTheSetupMayHaveRun(String part) throws Exception {
        for (String repeat : List.of(REPEATABLE, REFERENCED, ONCE_ONLY)) {
            ServerSocket host = listening();
            effect(repeat);
            start("1024", host);
            Socket client = client("OPEN i k c=p,d=3000\r\n");
            Socket side = accept(host);
            hear(side);
            say(side, part);
            side.close();
            if (repeat.equals(ONCE_ONLY)) {
                assertTrue(hear(client).startsWith("ERR "));
                assertNothingComes(host, NOTHING_MS);
            } else {
                Socket next = accept(host);
                assertTrue(hear(next).startsWith("OPEN i k "));
                say(next, "UP second\r\n");
                assertEquals(hear(client), "UP second");
            }
        }
    }

    @Test
    public void answerWithoutAnEndIsGivenUpBeforeTheClientsTimeIsUp() throws Exception {
        ServerSocket host = listening();
        effect(ONCE_ONLY);
        start("1024", host);
        Socket client = client("OPEN i k c=p,d=3000\r\n");
        Socket side = accept(host);
        hear(side);
        long from = System.nanoTime();
        CompletableFuture<Void> endless =
                CompletableFuture.runAsync(
                        () -> {
                            try {
                                say(side, "UP ");
                                while (true) {
                                    say(side, "x".repeat(1000));
                                }
                            } catch (IOException e) {
                                // The node has closed.
                            }
                        });
        assertTrue(hear(client).startsWith("ERR "));
        assertTrue((System.nanoTime() - from) / 1e9 < 2.5, "answered only when its time was up");
        endless.get(PATIENCE_MS, TimeUnit.MILLISECONDS);
        assertNothingComes(host, NOTHING_MS);
    }

    @Test
    public void secondAnswerOfAHostThatTurnedATunnelAwayServesNobody() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket client = client("OPEN i k c=p,d=3000\r\n");
        Socket side = accept(host);
        hear(side);
        Runnable goOn = hold();
        // Both lie there when the node reads.
        say(side, "BUSY\r\nUP first\r\n");
        goOn.run();
        Socket next = accept(host);
        assertTrue(hear(next).startsWith("OPEN i k "));
        try {
            say(side, "UP late\r\n");
        } catch (IOException e) {
            // That connection has ended, as it should.
        }
        say(next, "UP second\r\n");
        assertEquals(hear(client), "UP second");
    }

    // ---- Effects and windows ----

    @Test
    public void referencedIsSentAgainWithinItsWindowAndNeitherSentNorDeclinedPastIt()
            throws Exception {
        ServerSocket host = listening();
        effect(REFERENCED);
        start("1024", host);
        Socket client = client("OPEN i k c=p,d=3000\r\n");
        Socket side = accept(host);
        hear(side);
        side.close();
        Socket again = accept(host);
        assertTrue(hear(again).startsWith("OPEN i k "));
        Thread.sleep((long) (WINDOW * 1000));
        again.close();
        assertTrue(hear(client).startsWith("ERR "));
        assertNothingComes(host, NOTHING_MS);
    }

    @DataProvider
    public Object[][] effects() {
        return new Object[][] {{REPEATABLE}, {REFERENCED}, {ONCE_ONLY}};
    }

    @Test(dataProvider = "effects")
    public void whoseHostsNeverCameUpIsDeclinedAndNothingComesThereLater(String repeat)
            throws Exception {
        ServerSocket host = comesUpLate();
        effect(repeat);
        start("1024", host);
        fill(host);
        Socket client = client("OPEN i k c=p,d=3000\r\n");
        // Never sent, so to come again is harmless, and no failure.
        assertTrue(hear(client).startsWith("BUSY"));
        accept(host).close();
        accept(host).close();
        // The system would have tried again after a second.
        assertNothingComes(host, 1300);
    }

    // ---- Bytes in the moment of an end ----

    @Test
    public void requestOnAConnectionThatTheNodeHasEndedIsNotSentOn() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket resting = client("");
        awaitCounted("connections taken in", 1);
        onLoop(() -> router.strangers().expire(router.now() + 2));
        say(resting, "OPEN i k c=p,d=3000\r\n");
        assertEquals(hear(resting), "ERR no first line came");
        assertNull(hear(resting));
        assertNothingComes(host, NOTHING_MS);
        assertEquals(counted("tunnels taken"), 0);
    }

    @Test
    public void wordsOfTheEndArriveThoughMuchLiesUnread() throws Exception {
        start("1024");
        Socket resting = client("");
        Socket begun = client("OPEN i ");
        awaitCounted("connections taken in", 2);
        Runnable goOn = hold();
        loop.execute(() -> router.strangers().expire(router.now() + 2));
        for (Socket each : List.of(resting, begun)) {
            say(each, "line sent ahead\r\n".repeat(2000));
        }
        goOn.run();
        for (Socket each : List.of(resting, begun)) {
            assertTrue(hear(each).startsWith("ERR "));
            assertNull(hear(each));
        }
    }

    @Test
    public void moveArrivesThoughBothSidesHaveSentMoreByThen() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket[] ends = opened(host);
        Runnable goOn = hold();
        loop.execute(router::stop);
        say(ends[0], "line of the client's\r\n".repeat(1000));
        say(ends[1], "half a line");
        goOn.run();
        assertEquals(hear(ends[0]), "MOVE");
        assertNull(hear(ends[0]));
    }

    @Test
    public void whoComesWhileTheNodeClosesIsAnswered() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        onLoop(
                () -> {
                    router.leave(false);
                    router.stop();
                });
        assertTrue(hear(client("OPEN i k c=p,d=3000\r\n")).startsWith("BUSY"));
        assertNothingComes(host, NOTHING_MS);
    }

    // ---- Floods ----

    @Test
    public void clientsThatSendMuchAtOnceAndGoTakeNothingFromASoundOne() throws Exception {
        ServerSocket host = listening();
        int before = on(loop::openDescriptors);
        start("" + (before + 80), host);
        byte[] much = "no first line of ours\r\n".repeat(1000).getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < 200; i++) {
            Socket bad = new Socket(address.getAddress(), address.getPort());
            try {
                bad.getOutputStream().write(much);
            } catch (IOException e) {
                // The node was sooner.
            }
            if (i % 2 == 0) {
                reset(bad);
            } else {
                bad.close();
            }
        }
        Socket[] ends = opened(host);
        say(ends[0], "line\r\n");
        assertEquals(hear(ends[1]), "line");
        // Its two sides, the listener, discovery's and the datagrams'.
        for (long until = System.nanoTime() + PATIENCE_MS * 1_000_000L;
                on(loop::openDescriptors) > before + 5; ) {
            assertTrue(
                    System.nanoTime() < until,
                    on(loop::openDescriptors) + " held, " + before + " before");
            Thread.sleep(5);
        }
        assertEquals(counted("faults"), 0);
    }

    @Test
    public void manyCommandsSentWithTheFirstLineReachTheHostOnceEachInOrder() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        int many = 350;
        StringBuilder commands = new StringBuilder("OPEN i k c=p,d=3000\r\n");
        for (int i = 0; i < many; i++) {
            commands.append("command no ").append(1000 + i).append("\r\n");
        }
        Socket client = client(commands.toString());
        Socket side = accept(host);
        hear(side);
        side.setSoTimeout(NOTHING_MS);
        // Nothing is sent on before the host's answer.
        assertThrows(SocketTimeoutException.class, () -> side.getInputStream().read());
        side.setSoTimeout(PATIENCE_MS);
        say(side, "UP r\r\n");
        assertEquals(hear(client), "UP r");
        for (int i = 0; i < many; i++) {
            assertEquals(hear(side), "command no " + (1000 + i));
        }
        client.shutdownOutput();
        assertNull(hear(side));
    }

    // ---- Lists ----

    private static String indented(String list) {
        return list.replace("{", "{\r\n\t  ")
                        .replace(",", ",\n    ")
                        .replace(":", " :  ")
                        .replace("127.0.0.1 :  ", "127.0.0.1:")
                        .replace("]", "\n ]")
                + "\n";
    }

    @Test
    public void indentedListInPiecesAndChunksIsTaken() throws Exception {
        ServerSocket host = listening();
        start("1024");
        Socket watch = accept(discovery);
        call(watch);
        String body = indented(list(2, true, entry(host, "in_service")));
        assertTrue(
                body.contains("\"hostPort\" :  \"127.0.0.1:" + host.getLocalPort() + "\""), body);
        StringBuilder chunks =
                new StringBuilder("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        for (int at = 0; at < body.length(); at += 33) {
            String piece = body.substring(at, Math.min(body.length(), at + 33));
            chunks.append(Integer.toHexString(piece.length()))
                    .append("\r\n")
                    .append(piece)
                    .append("\r\n");
        }
        String all = chunks + "0\r\n\r\n";
        for (int at = 0; at < all.length(); at += 50) {
            say(watch, all.substring(at, Math.min(all.length(), at + 50)));
            Thread.sleep(2);
        }
        assertEquals(call(watch), "GET /api/targets?after=2&wait_ms=3000 HTTP/1.1");
        opened(host);
        page(watch, indented(list(3, false, entry(host, "terminating"))));
        call(watch);
        assertTrue(hear(client("OPEN j k c=p,d=500\r\n")).startsWith("BUSY"));
        assertEquals(counted("roster entries unreadable"), 0);
    }

    @Test
    public void pushedListsAreHadInFourSecondsFromAReloadThoughTwoCallsFail() throws Exception {
        rosterOnRequest = false;
        ServerSocket host = listening();
        start("1024", host);
        Socket watch = accept(discovery);
        call(watch);
        page(watch, list(9, true, entry(host, "in_service")));
        call(watch);
        discovery = listening();
        long from = System.nanoTime();
        reconfigure();
        reset(accept(discovery));
        Socket refused = accept(discovery);
        call(refused);
        say(refused, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        Socket next = accept(discovery);
        assertEquals(call(next), "GET /api/targets HTTP/1.1");
        page(next, list(1, true, entry(host, "terminating")));
        call(next);
        assertTrue((System.nanoTime() - from) / 1e9 < 4);
        assertTrue(hear(client("OPEN j k c=p,d=500\r\n")).startsWith("BUSY"));
        assertNothingComes(host, NOTHING_MS);
    }
}
