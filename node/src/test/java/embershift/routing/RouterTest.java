package embershift.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import embershift.Loopback;
import embershift.model.NodeEvents;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

/** A router on loopback sockets; the tests play its clients, hosts and discovery themselves. */
public class RouterTest extends Loopback {

    @Test
    public void linesPassUnchangedOnceAHostIsUp() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket client = client("OPEN i k c=p,x=1,d=3000,y=2\r\nahead\r\n");
        Socket side = accept(host);
        String line = hear(side);
        assertTrue(line.matches("OPEN i k c=p,x=1,d=[12]\\d{3},y=2"), line);
        say(side, "UP  r-1 ");
        say(side, "z\r\nfirst\r\nsec");
        assertEquals(hear(client), "UP  r-1 z");
        assertEquals(hear(client), "first");
        say(side, "ond\r\n");
        assertEquals(hear(client), "second");
        assertEquals(hear(side), "ahead");
    }

    @Test
    public void firstLineMayComeInPiecesAndAfterPings() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket client = client("PING\r\nPI");
        assertEquals(hear(client), "PONG");
        say(client, "NG\r\nOPEN i k c=p,");
        assertEquals(hear(client), "PONG");
        say(client, "d=3000\r\n");
        assertTrue(hear(accept(host)).startsWith("OPEN i k c=p,d="));
    }

    @Test
    public void whatIsNoFirstLineIsToldSo() throws Exception {
        start("1024");
        for (String words :
                List.of("GET / HTTP/1.1\r\n", "OPEN x\r\n", "OPEN i k c=unheard,d=5\r\n")) {
            Socket client = client(words);
            assertTrue(hear(client).startsWith("ERR "));
            assertEquals(hear(client), null);
        }
    }

    @Test
    public void idOfAnOpenTunnelIsTurnedAwayAndTheFirstIsUntouched() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket first = client("OPEN same k c=p,d=3000\r\n");
        Socket side = accept(host);
        hear(side);
        assertTrue(hear(client("OPEN same k c=p,d=3000\r\n")).startsWith("ERR "));
        say(side, "UP r\r\n");
        assertEquals(hear(first), "UP r");
        assertTrue(hear(client("OPEN same k c=p,d=3000\r\n")).startsWith("ERR "));
        say(first, "line\r\n");
        assertEquals(hear(side), "line");
    }

    @Test
    public void clientThatSendsWithoutAnEndHearsWhyAndIsClosed() throws Exception {
        start("1024");
        Socket endless = client("");
        CompletableFuture<Void> sending =
                CompletableFuture.runAsync(
                        () -> {
                            try {
                                while (true) {
                                    endless.getOutputStream().write(new byte[1 << 16]);
                                }
                            } catch (IOException e) {
                                // The node has closed: what is sent on is refused.
                            }
                        });
        assertEquals(hear(endless), "ERR line over 4096 bytes");
        sending.get(3, java.util.concurrent.TimeUnit.SECONDS);
    }

    @Test
    public void hostThatIsBusyOrRefusesIsFollowedByAnother() throws Exception {
        ServerSocket gone = listening();
        ServerSocket one = listening();
        ServerSocket other = listening();
        start("1024", gone, one, other);
        gone.close();
        Socket client = client("OPEN i k c=p,d=3000\r\n");
        CompletableFuture<Socket> first = new CompletableFuture<>();
        for (ServerSocket host : List.of(one, other)) {
            new Thread(
                            () -> {
                                try {
                                    Socket side = accept(host);
                                    hear(side);
                                    boolean earliest = first.complete(side);
                                    say(side, earliest ? "BUSY\r\n" : "UP second\r\n");
                                } catch (IOException e) {
                                    first.completeExceptionally(e);
                                }
                            })
                    .start();
        }
        assertEquals(hear(client), "UP second");
        assertEquals(hear(first.get()), null);
    }

    @Test
    public void tunnelThatNoHostTakesIsDeclined() throws Exception {
        start("1024");
        Socket client = client("OPEN i k c=p,d=3000\r\n");
        assertTrue(hear(client).startsWith("BUSY"));
        assertEquals(hear(client), null);
    }

    @Test
    public void setupGivenUpHasEndedBeforeTheNextIsSent() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket client = client("OPEN i k c=p,d=3000\r\n");
        Socket first = accept(host);
        hear(first);
        // The host says nothing: after three setup goals the node ends its sending.
        assertEquals(hear(first), null);
        Socket second = accept(host);
        assertTrue(hear(second).startsWith("OPEN i "));
        say(first, "UP late\r\n");
        say(second, "UP second\r\n");
        assertEquals(hear(client), "UP second");
    }

    @Test
    public void silentHostLeavesTimeForAnAnswer() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        long from = System.nanoTime();
        Socket client = client("OPEN i k c=p,d=400\r\n");
        assertTrue(hear(client).matches("ERR.*|BUSY.*"));
        assertTrue((System.nanoTime() - from) / 1e6 < 450, "answered after the client timeout");
    }

    @Test
    public void unknownHostOfAStandingTunnelIsAnsweredInTime() throws Exception {
        start("1024");
        assertTrue(hear(client("OPEN i k c=p,d=300,at=nobody\r\n")).startsWith("ERR"));
    }

    @Test
    public void standingTunnelGoesToItsHost() throws Exception {
        ServerSocket host = listening();
        ServerSocket other = listening();
        start("1024", host, other);
        for (int i = 0; i < 8; i++) {
            Socket client = client("OPEN i" + i + " k c=p,d=3000,at=" + name(other) + "\r\n");
            Socket side = accept(other);
            assertTrue(hear(side).endsWith("at=" + name(other)));
            say(side, "UP r\r\n");
            assertEquals(hear(client), "UP r");
        }
    }

    @Test
    public void standingTunnelIsSentAgainWhileItsHostProvablyDidNotTakeIt() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket client = client("OPEN i k c=p,d=3000,at=" + name(host) + "\r\n");
        for (int i = 0; i < 2; i++) {
            Socket side = accept(host);
            hear(side);
            say(side, "BUSY\r\n");
        }
        Socket side = accept(host);
        hear(side);
        say(side, "UP third\r\n");
        assertEquals(hear(client), "UP third");
    }

    @Test
    public void endByTheHostIsPassedOn() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket[] ends = opened(host);
        say(ends[1], "BYE\r\n");
        ends[1].close();
        assertEquals(hear(ends[0]), "BYE");
        assertEquals(hear(ends[0]), null);
    }

    @Test
    public void hostThatSaysByeAndResetsHasEndedAllTheSame() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket[] ends = opened(host);
        say(ends[1], "BYE\r\n");
        assertEquals(hear(ends[0]), "BYE");
        reset(ends[1]);
        assertEquals(hear(ends[0]), null);
        assertTrue(on(() -> router.tally().toString()).contains("setups ended completed 1"));
    }

    @Test
    public void endByTheClientIsPassedOnAndTheHostsLastWordsComeBack() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket[] ends = opened(host);
        say(ends[0], "last\r\n");
        ends[0].shutdownOutput();
        assertEquals(hear(ends[1]), "last");
        assertEquals(hear(ends[1]), null);
        say(ends[1], "BYE\r\n");
        assertEquals(hear(ends[0]), "BYE");
    }

    @Test
    public void resetsArePassedOnAsResets() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket[] ends = opened(host);
        reset(ends[1]);
        assertThrows(SocketException.class, () -> hear(ends[0]));
        Socket[] others = opened(host);
        reset(others[0]);
        assertThrows(SocketException.class, () -> hear(others[1]));
    }

    @Test
    public void clientThatLeavesEarlyFreesItsSetup() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket client = client("OPEN i k c=p,d=3000\r\n");
        Socket side = accept(host);
        hear(side);
        client.close();
        assertEquals(hear(side), null);
        assertTrue(on(router::empty));
    }

    @Test
    public void slowReaderGetsAllThatItsHostSentInOrder() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket[] ends = opened(host);
        int lines = 400_000;
        CompletableFuture<Void> sent =
                CompletableFuture.runAsync(
                        () -> {
                            try {
                                StringBuilder many = new StringBuilder();
                                for (int i = 0; i < lines; i++) {
                                    many.append("line ").append(1_000_000 + i).append("\r\n");
                                }
                                say(ends[1], many.toString());
                                ends[1].close();
                            } catch (IOException e) {
                                throw new IllegalStateException(e);
                            }
                        });
        byte[] all = ends[0].getInputStream().readAllBytes();
        sent.get();
        assertEquals(all.length, lines * 14);
        for (int i = 0; i < lines; i++) {
            assertEquals(
                    new String(all, i * 14, 14, StandardCharsets.ISO_8859_1),
                    "line " + (1_000_000 + i) + "\r\n");
        }
    }

    @Test
    public void moveComesBetweenTwoLines() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket[] ends = opened(host);
        say(ends[1], "whole\r\nha");
        assertEquals(hear(ends[0]), "whole");
        on(
                () -> {
                    router.leave(false);
                    return null;
                });
        // Declined only after the node knows that it leaves; its moves then come half a second
        // later.
        assertTrue(hear(client("OPEN j k c=p,d=3000\r\n")).startsWith("BUSY "));
        assertTrue(hear(client("PING\r\n")).startsWith("ERR "));
        // The host is in the middle of a line, which may never end: of that the client hears
        // nothing.
        assertEquals(hear(ends[0]), "MOVE");
        assertEquals(hear(ends[0]), null);
        assertEquals(hear(ends[1]), null);
    }

    @Test
    public void hostThatEchoesNothingLosesItsTunnelButWhoSentHalfALineKeepsTheirs()
            throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket[] half = opened(host);
        Socket[] ends = opened(host);
        long from = System.nanoTime();
        say(half[0], "half");
        say(ends[0], "anyone\r\n");
        assertEquals(hear(ends[0]), "MOVE");
        assertTrue((System.nanoTime() - from) / 1e9 < 6);
        say(half[0], " a line\r\n");
        assertEquals(hear(half[1]), "half a line");
        say(half[1], "HALF A LINE\r\n");
        assertEquals(hear(half[0]), "HALF A LINE");
    }

    @Test
    public void tunnelsAreDeclinedBeforeDescriptorsRunOut() throws Exception {
        ServerSocket host = listening();
        start("" + (on(loop::descriptors) + 24), host);
        assertEquals(hear(client("OPEN i k c=p,d=3000\r\n")), "BUSY");
    }

    @Test
    public void connectionsWithoutAFirstLineMakeRoomAndEndInTime() throws Exception {
        ServerSocket host = listening();
        start("" + (on(loop::descriptors) + 48), host);
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            silent.add(client(i % 2 == 0 ? "" : "OPEN half"));
        }
        opened(host);
        long from = System.nanoTime();
        for (Socket each : silent) {
            assertTrue(List.of("BUSY", "ERR no first line came").contains(hear(each)));
            assertEquals(hear(each), null);
        }
        Socket asking = client("PING\r\n");
        assertEquals(hear(asking), "PONG");
        assertEquals(hear(asking), null);
        assertTrue((System.nanoTime() - from) / 1e9 < 6);
    }

    @Test
    public void changedListMovesWhatStandsAtADrainingHost() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket[] ends = opened(host);
        Socket watch = accept(discovery);
        assertEquals(hear(watch), "GET /api/targets?after=1&wait_ms=1600 HTTP/1.1");
        page(
                watch,
                "{\"generation\":2,\"reset\":false,\"instances\":["
                        + entry(host, "terminating")
                        + "]}");
        assertEquals(hear(ends[0]), "MOVE");
        while (!hear(watch).startsWith("GET /api/targets?after=2")) {
            // The rest of the first call, and the watch that goes on.
        }
    }

    @Test
    public void watchGoesOnAtOnceWhereDiscoveryHasMoved() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket[] ends = opened(host);
        Socket watch = accept(discovery);
        hear(watch);
        ServerSocket before = discovery;
        discovery = listening();
        reconfigure();
        Socket next = accept(discovery);
        // Versions are the old one's own, so the whole list is asked for.
        assertEquals(hear(next), "GET /api/targets HTTP/1.1");
        while (hear(watch) != null) {
            // The rest of the call that is given up.
        }
        page(
                next,
                "{\"generation\":1,\"reset\":true,\"instances\":["
                        + entry(host, "terminating")
                        + "]}");
        assertEquals(hear(ends[0]), "MOVE");
        // Moved there and back while the first call is not even answered.
        ServerSocket third = discovery;
        discovery = before;
        reconfigure();
        assertEquals(hear(accept(before)), "GET /api/targets HTTP/1.1");
        discovery = third;
        reconfigure();
        assertEquals(hear(accept(third)), "GET /api/targets HTTP/1.1");
        assertFalse(on(() -> router.tally().toString()).contains("roster calls failed"));
    }

    @Test
    public void callThatFailsIsMadeAgain() throws Exception {
        start("1024");
        Socket first = accept(discovery);
        hear(first);
        say(first, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        Socket second = accept(discovery);
        hear(second);
        reset(second);
        page(accept(discovery), "no list");
        assertTrue(hear(accept(discovery)).startsWith("GET "));
    }

    @Test
    public void moduleThatWakesWithoutAPauseLetsTheSocketsBeRead() throws Exception {
        rosterOnRequest = false;
        start("1024");
        // Told of a loss that it has no time to wait after, the module asks for the next round at
        // once.
        on(
                () -> {
                    router.hear(NodeEvents::rosterWatchLost);
                    return null;
                });
        assertEquals(hear(client("PING\r\n")), "PONG");
    }

    @Test
    public void rosterThatIsToComeUnaskedIsWatchedAllTheSame() throws Exception {
        rosterOnRequest = false;
        ServerSocket host = listening();
        start("1024");
        reset(accept(discovery));
        Socket watch = accept(discovery);
        assertTrue(hear(watch).startsWith("GET /api/targets"));
        page(
                watch,
                "{\"generation\":2,\"reset\":true,\"instances\":["
                        + entry(host, "in_service")
                        + "]}");
        assertTrue(hear(watch).length() > 0);
        opened(host);
    }

    @Test
    public void strangeDatagramsAreDropped() throws Exception {
        start("1024");
        InetSocketAddress peers = on(router::peerAddress);
        try (DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            for (int size : new int[] {5, 0, 300}) {
                stranger.send(new DatagramPacket(new byte[size], size, peers));
            }
            while (!on(() -> router.tally().toString()).contains("datagrams dropped 3")) {
                Thread.onSpinWait();
            }
        }
        assertFalse(on(() -> router.tally().toString()).contains("faults"));
    }
}
