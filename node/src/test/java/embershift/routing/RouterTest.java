package embershift.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import embershift.LoopbackTestBase;
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
public class RouterTest extends LoopbackTestBase {

    @Test
    public void linesPassUnchangedOnceAHostIsUp() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,x=1,d=3000,y=2\r\nahead\r\n");
        Socket side = accept(host);
        String line = readLine(side);
        assertTrue(line.matches("OPEN i k c=p,x=1,d=[12]\\d{3},y=2"), line);
        send(side, "UP  r-1 ");
        send(side, "z\r\nfirst\r\nsec");
        assertEquals(readLine(client), "UP  r-1 z");
        assertEquals(readLine(client), "first");
        send(side, "ond\r\n");
        assertEquals(readLine(client), "second");
        assertEquals(readLine(side), "ahead");
    }

    @Test
    public void firstLineMayComeInPiecesAndAfterPings() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket client = connectClient("PING\r\nPI");
        assertEquals(readLine(client), "PONG");
        send(client, "NG\r\nOPEN i k c=p,");
        assertEquals(readLine(client), "PONG");
        send(client, "d=3000\r\n");
        assertTrue(readLine(accept(host)).startsWith("OPEN i k c=p,d="));
    }

    @Test
    public void whatIsNoFirstLineIsToldSo() throws Exception {
        startRouter("1024");
        for (String words :
                List.of("GET / HTTP/1.1\r\n", "OPEN x\r\n", "OPEN i k c=unheard,d=5\r\n")) {
            Socket client = connectClient(words);
            assertTrue(readLine(client).startsWith("ERR "));
            assertEquals(readLine(client), null);
        }
    }

    @Test
    public void idOfAnOpenTunnelIsTurnedAwayAndTheFirstIsUntouched() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket first = connectClient("OPEN same k c=p,d=3000\r\n");
        Socket side = accept(host);
        readLine(side);
        assertTrue(readLine(connectClient("OPEN same k c=p,d=3000\r\n")).startsWith("ERR "));
        send(side, "UP r\r\n");
        assertEquals(readLine(first), "UP r");
        assertTrue(readLine(connectClient("OPEN same k c=p,d=3000\r\n")).startsWith("ERR "));
        send(first, "line\r\n");
        assertEquals(readLine(side), "line");
    }

    @Test
    public void clientThatSendsWithoutAnEndHearsWhyAndIsClosed() throws Exception {
        startRouter("1024");
        Socket endless = connectClient("");
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
        assertEquals(readLine(endless), "ERR line over 4096 bytes");
        sending.get(3, java.util.concurrent.TimeUnit.SECONDS);
    }

    @Test
    public void hostThatIsBusyOrRefusesIsFollowedByAnother() throws Exception {
        ServerSocket gone = openServerSocket();
        ServerSocket one = openServerSocket();
        ServerSocket other = openServerSocket();
        startRouter("1024", gone, one, other);
        gone.close();
        Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
        CompletableFuture<Socket> first = new CompletableFuture<>();
        for (ServerSocket host : List.of(one, other)) {
            new Thread(
                            () -> {
                                try {
                                    Socket side = accept(host);
                                    readLine(side);
                                    boolean earliest = first.complete(side);
                                    send(side, earliest ? "BUSY\r\n" : "UP second\r\n");
                                } catch (IOException e) {
                                    first.completeExceptionally(e);
                                }
                            })
                    .start();
        }
        assertEquals(readLine(client), "UP second");
        assertEquals(readLine(first.get()), null);
    }

    @Test
    public void tunnelThatNoHostTakesIsDeclined() throws Exception {
        startRouter("1024");
        Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
        assertTrue(readLine(client).startsWith("BUSY"));
        assertEquals(readLine(client), null);
    }

    @Test
    public void setupGivenUpHasEndedBeforeTheNextIsSent() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
        Socket first = accept(host);
        readLine(first);
        // The host says nothing: after three setup goals the node ends its sending.
        assertEquals(readLine(first), null);
        Socket second = accept(host);
        assertTrue(readLine(second).startsWith("OPEN i "));
        send(first, "UP late\r\n");
        send(second, "UP second\r\n");
        assertEquals(readLine(client), "UP second");
    }

    @Test
    public void silentHostLeavesTimeForAnAnswer() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        long from = System.nanoTime();
        Socket client = connectClient("OPEN i k c=p,d=400\r\n");
        assertTrue(readLine(client).matches("ERR.*|BUSY.*"));
        assertTrue((System.nanoTime() - from) / 1e6 < 450, "answered after the client timeout");
    }

    @Test
    public void unknownHostOfAStandingTunnelIsAnsweredInTime() throws Exception {
        startRouter("1024");
        assertTrue(readLine(connectClient("OPEN i k c=p,d=300,at=nobody\r\n")).startsWith("ERR"));
    }

    @Test
    public void standingTunnelGoesToItsHost() throws Exception {
        ServerSocket host = openServerSocket();
        ServerSocket other = openServerSocket();
        startRouter("1024", host, other);
        for (int i = 0; i < 8; i++) {
            Socket client =
                    connectClient("OPEN i" + i + " k c=p,d=3000,at=" + instanceId(other) + "\r\n");
            Socket side = accept(other);
            assertTrue(readLine(side).endsWith("at=" + instanceId(other)));
            send(side, "UP r\r\n");
            assertEquals(readLine(client), "UP r");
        }
    }

    @Test
    public void standingTunnelIsSentAgainWhileItsHostProvablyDidNotTakeIt() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,d=3000,at=" + instanceId(host) + "\r\n");
        for (int i = 0; i < 2; i++) {
            Socket side = accept(host);
            readLine(side);
            send(side, "BUSY\r\n");
        }
        Socket side = accept(host);
        readLine(side);
        send(side, "UP third\r\n");
        assertEquals(readLine(client), "UP third");
    }

    @Test
    public void endByTheHostIsPassedOn() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] ends = openTunnel(host);
        send(ends[1], "BYE\r\n");
        ends[1].close();
        assertEquals(readLine(ends[0]), "BYE");
        assertEquals(readLine(ends[0]), null);
    }

    @Test
    public void hostThatSaysByeAndResetsHasEndedAllTheSame() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] ends = openTunnel(host);
        send(ends[1], "BYE\r\n");
        assertEquals(readLine(ends[0]), "BYE");
        reset(ends[1]);
        assertEquals(readLine(ends[0]), null);
        assertTrue(
                callOnLoop(() -> router.tally().toString()).contains("setups ended completed 1"));
    }

    @Test
    public void endByTheClientIsPassedOnAndTheHostsLastWordsComeBack() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] ends = openTunnel(host);
        send(ends[0], "last\r\n");
        ends[0].shutdownOutput();
        assertEquals(readLine(ends[1]), "last");
        assertEquals(readLine(ends[1]), null);
        send(ends[1], "BYE\r\n");
        assertEquals(readLine(ends[0]), "BYE");
    }

    @Test
    public void resetsArePassedOnAsResets() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] ends = openTunnel(host);
        reset(ends[1]);
        assertThrows(SocketException.class, () -> readLine(ends[0]));
        Socket[] others = openTunnel(host);
        reset(others[0]);
        assertThrows(SocketException.class, () -> readLine(others[1]));
    }

    @Test
    public void clientThatLeavesEarlyFreesItsSetup() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
        Socket side = accept(host);
        readLine(side);
        client.close();
        assertEquals(readLine(side), null);
        assertTrue(callOnLoop(router::isDrained));
    }

    @Test
    public void slowReaderGetsAllThatItsHostSentInOrder() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] ends = openTunnel(host);
        int lines = 400_000;
        CompletableFuture<Void> sent =
                CompletableFuture.runAsync(
                        () -> {
                            try {
                                StringBuilder many = new StringBuilder();
                                for (int i = 0; i < lines; i++) {
                                    many.append("line ").append(1_000_000 + i).append("\r\n");
                                }
                                send(ends[1], many.toString());
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
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] ends = openTunnel(host);
        send(ends[1], "whole\r\nha");
        assertEquals(readLine(ends[0]), "whole");
        callOnLoop(
                () -> {
                    router.leave(false);
                    return null;
                });
        // Declined only after the node knows that it leaves; its moves then come half a second
        // later.
        assertTrue(readLine(connectClient("OPEN j k c=p,d=3000\r\n")).startsWith("BUSY "));
        assertTrue(readLine(connectClient("PING\r\n")).startsWith("ERR "));
        // The host is in the middle of a line, which may never end: of that the client hears
        // nothing.
        assertEquals(readLine(ends[0]), "MOVE");
        assertEquals(readLine(ends[0]), null);
        assertEquals(readLine(ends[1]), null);
    }

    @Test
    public void hostThatEchoesNothingLosesItsTunnelButWhoSentHalfALineKeepsTheirs()
            throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] half = openTunnel(host);
        Socket[] ends = openTunnel(host);
        long from = System.nanoTime();
        send(half[0], "half");
        send(ends[0], "anyone\r\n");
        assertEquals(readLine(ends[0]), "MOVE");
        assertTrue((System.nanoTime() - from) / 1e9 < 6);
        send(half[0], " a line\r\n");
        assertEquals(readLine(half[1]), "half a line");
        send(half[1], "HALF A LINE\r\n");
        assertEquals(readLine(half[0]), "HALF A LINE");
    }

    @Test
    public void tunnelsAreDeclinedBeforeDescriptorsRunOut() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("" + (callOnLoop(loop::openDescriptors) + 24), host);
        assertEquals(readLine(connectClient("OPEN i k c=p,d=3000\r\n")), "BUSY");
    }

    @Test
    public void connectionsWithoutAFirstLineMakeRoomAndEndInTime() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("" + (callOnLoop(loop::openDescriptors) + 48), host);
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            silent.add(connectClient(i % 2 == 0 ? "" : "OPEN half"));
        }
        openTunnel(host);
        long from = System.nanoTime();
        for (Socket each : silent) {
            assertTrue(List.of("BUSY", "ERR no first line came").contains(readLine(each)));
            assertEquals(readLine(each), null);
        }
        Socket asking = connectClient("PING\r\n");
        assertEquals(readLine(asking), "PONG");
        assertEquals(readLine(asking), null);
        assertTrue((System.nanoTime() - from) / 1e9 < 6);
    }

    @Test
    public void changedListMovesWhatStandsAtADrainingHost() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] ends = openTunnel(host);
        Socket watch = accept(discovery);
        assertEquals(readLine(watch), "GET /api/targets?after=1&wait_ms=1600 HTTP/1.1");
        sendOkResponse(
                watch,
                "{\"generation\":2,\"reset\":false,\"instances\":["
                        + rosterEntry(host, "terminating")
                        + "]}");
        assertEquals(readLine(ends[0]), "MOVE");
        while (!readLine(watch).startsWith("GET /api/targets?after=2")) {
            // The rest of the first call, and the watch that goes on.
        }
    }

    @Test
    public void watchGoesOnAtOnceWhereDiscoveryHasMoved() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] ends = openTunnel(host);
        Socket watch = accept(discovery);
        readLine(watch);
        ServerSocket before = discovery;
        discovery = openServerSocket();
        reconfigure();
        Socket next = accept(discovery);
        // Versions are the old one's own, so the whole list is asked for.
        assertEquals(readLine(next), "GET /api/targets HTTP/1.1");
        while (readLine(watch) != null) {
            // The rest of the call that is given up.
        }
        sendOkResponse(
                next,
                "{\"generation\":1,\"reset\":true,\"instances\":["
                        + rosterEntry(host, "terminating")
                        + "]}");
        assertEquals(readLine(ends[0]), "MOVE");
        // Moved there and back while the first call is not even answered.
        ServerSocket third = discovery;
        discovery = before;
        reconfigure();
        assertEquals(readLine(accept(before)), "GET /api/targets HTTP/1.1");
        discovery = third;
        reconfigure();
        assertEquals(readLine(accept(third)), "GET /api/targets HTTP/1.1");
        assertFalse(callOnLoop(() -> router.tally().toString()).contains("roster calls failed"));
    }

    @Test
    public void callThatFailsIsMadeAgain() throws Exception {
        startRouter("1024");
        Socket first = accept(discovery);
        readLine(first);
        send(first, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        Socket second = accept(discovery);
        readLine(second);
        reset(second);
        sendOkResponse(accept(discovery), "no list");
        assertTrue(readLine(accept(discovery)).startsWith("GET "));
    }

    @Test
    public void moduleThatWakesWithoutAPauseLetsTheSocketsBeRead() throws Exception {
        rosterOnRequest = false;
        startRouter("1024");
        // Told of a loss that it has no time to wait after, the module asks for the next round at
        // once.
        callOnLoop(
                () -> {
                    router.enqueueNews(NodeEvents::rosterWatchLost);
                    return null;
                });
        assertEquals(readLine(connectClient("PING\r\n")), "PONG");
    }

    @Test
    public void rosterThatIsToComeUnaskedIsWatchedAllTheSame() throws Exception {
        rosterOnRequest = false;
        ServerSocket host = openServerSocket();
        startRouter("1024");
        reset(accept(discovery));
        Socket watch = accept(discovery);
        assertTrue(readLine(watch).startsWith("GET /api/targets"));
        sendOkResponse(
                watch,
                "{\"generation\":2,\"reset\":true,\"instances\":["
                        + rosterEntry(host, "in_service")
                        + "]}");
        assertTrue(readLine(watch).length() > 0);
        openTunnel(host);
    }

    @Test
    public void strangeDatagramsAreDropped() throws Exception {
        startRouter("1024");
        InetSocketAddress peers = callOnLoop(router::peerListenAddress);
        try (DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            for (int size : new int[] {5, 0, 300}) {
                stranger.send(new DatagramPacket(new byte[size], size, peers));
            }
            while (!callOnLoop(() -> router.tally().toString()).contains("datagrams dropped 3")) {
                Thread.onSpinWait();
            }
        }
        assertFalse(callOnLoop(() -> router.tally().toString()).contains("faults"));
    }
}
