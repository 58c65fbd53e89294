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

/** Tests a router on loopback sockets; the tests act as its clients, hosts and discovery. */
public class RouterTest extends LoopbackTestBase {

    @Test
    public void linesAreRelayedUnchangedOnceHostIsUp() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,x=1,d=3000,y=2\r\nahead\r\n");
        Socket hostSocket = accept(host);
        String line = readLine(hostSocket);
        assertTrue(line.matches("OPEN i k c=p,x=1,d=[12]\\d{3},y=2"), line);
        send(hostSocket, "UP  r-1 ");
        send(hostSocket, "z\r\nfirst\r\nsec");
        assertEquals(readLine(client), "UP  r-1 z");
        assertEquals(readLine(client), "first");
        send(hostSocket, "ond\r\n");
        assertEquals(readLine(client), "second");
        assertEquals(readLine(hostSocket), "ahead");
    }

    @Test
    public void firstLineMayBeFragmentedAndFollowPings() throws Exception {
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
    public void invalidFirstLineGetsError() throws Exception {
        startRouter("1024");
        for (String text :
                List.of("GET / HTTP/1.1\r\n", "OPEN x\r\n", "OPEN i k c=unheard,d=5\r\n")) {
            Socket client = connectClient(text);
            assertTrue(readLine(client).startsWith("ERR "));
            assertEquals(readLine(client), null);
        }
    }

    @Test
    public void duplicateTunnelIdIsRejectedWithoutAffectingFirst() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket first = connectClient("OPEN same k c=p,d=3000\r\n");
        Socket hostSocket = accept(host);
        readLine(hostSocket);
        assertTrue(readLine(connectClient("OPEN same k c=p,d=3000\r\n")).startsWith("ERR "));
        send(hostSocket, "UP r\r\n");
        assertEquals(readLine(first), "UP r");
        assertTrue(readLine(connectClient("OPEN same k c=p,d=3000\r\n")).startsWith("ERR "));
        send(first, "line\r\n");
        assertEquals(readLine(hostSocket), "line");
    }

    @Test
    public void endlessFirstLineGetsErrorAndIsClosed() throws Exception {
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
                                // The node has closed the connection and rejects further data.
                            }
                        });
        assertEquals(readLine(endless), "ERR line over 4096 bytes");
        sending.get(3, java.util.concurrent.TimeUnit.SECONDS);
    }

    @Test
    public void busyOrRefusingHostIsFollowedByAnother() throws Exception {
        ServerSocket refusing = openServerSocket();
        ServerSocket one = openServerSocket();
        ServerSocket other = openServerSocket();
        startRouter("1024", refusing, one, other);
        refusing.close();
        Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
        CompletableFuture<Socket> first = new CompletableFuture<>();
        for (ServerSocket host : List.of(one, other)) {
            new Thread(
                            () -> {
                                try {
                                    Socket hostSocket = accept(host);
                                    readLine(hostSocket);
                                    boolean isFirst = first.complete(hostSocket);
                                    send(hostSocket, isFirst ? "BUSY\r\n" : "UP second\r\n");
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
    public void abandonedSetupEndsBeforeNextIsSent() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
        Socket first = accept(host);
        readLine(first);
        // The host stays silent: after three setup goals the node half-closes the connection.
        assertEquals(readLine(first), null);
        Socket second = accept(host);
        assertTrue(readLine(second).startsWith("OPEN i "));
        send(first, "UP late\r\n");
        send(second, "UP second\r\n");
        assertEquals(readLine(client), "UP second");
    }

    @Test
    public void silentHostLeavesTimeToAnswerClient() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        long start = System.nanoTime();
        Socket client = connectClient("OPEN i k c=p,d=400\r\n");
        assertTrue(readLine(client).matches("ERR.*|BUSY.*"));
        assertTrue((System.nanoTime() - start) / 1e6 < 450, "answered after the client timeout");
    }

    @Test
    public void standingTunnelAtUnknownHostIsAnsweredInTime() throws Exception {
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
            Socket hostSocket = accept(other);
            assertTrue(readLine(hostSocket).endsWith("at=" + instanceId(other)));
            send(hostSocket, "UP r\r\n");
            assertEquals(readLine(client), "UP r");
        }
    }

    @Test
    public void standingTunnelIsRetriedWhileHostProvablyDidNotAcceptIt() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,d=3000,at=" + instanceId(host) + "\r\n");
        for (int i = 0; i < 2; i++) {
            Socket hostSocket = accept(host);
            readLine(hostSocket);
            send(hostSocket, "BUSY\r\n");
        }
        Socket hostSocket = accept(host);
        readLine(hostSocket);
        send(hostSocket, "UP third\r\n");
        assertEquals(readLine(client), "UP third");
    }

    @Test
    public void closeByHostIsForwarded() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] tunnel = openTunnel(host);
        send(tunnel[1], "BYE\r\n");
        tunnel[1].close();
        assertEquals(readLine(tunnel[0]), "BYE");
        assertEquals(readLine(tunnel[0]), null);
    }

    @Test
    public void resetAfterByeCountsAsCompleted() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] tunnel = openTunnel(host);
        send(tunnel[1], "BYE\r\n");
        assertEquals(readLine(tunnel[0]), "BYE");
        reset(tunnel[1]);
        assertEquals(readLine(tunnel[0]), null);
        assertTrue(
                callOnLoop(() -> router.tally().toString()).contains("setups ended completed 1"));
    }

    @Test
    public void halfCloseByClientIsForwardedAndHostCanStillReply() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] tunnel = openTunnel(host);
        send(tunnel[0], "last\r\n");
        tunnel[0].shutdownOutput();
        assertEquals(readLine(tunnel[1]), "last");
        assertEquals(readLine(tunnel[1]), null);
        send(tunnel[1], "BYE\r\n");
        assertEquals(readLine(tunnel[0]), "BYE");
    }

    @Test
    public void resetsAreForwardedAsResets() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] tunnel = openTunnel(host);
        reset(tunnel[1]);
        assertThrows(SocketException.class, () -> readLine(tunnel[0]));
        Socket[] otherTunnel = openTunnel(host);
        reset(otherTunnel[0]);
        assertThrows(SocketException.class, () -> readLine(otherTunnel[1]));
    }

    @Test
    public void clientThatLeavesEarlyReleasesItsSetup() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
        Socket hostSocket = accept(host);
        readLine(hostSocket);
        client.close();
        assertEquals(readLine(hostSocket), null);
        assertTrue(callOnLoop(router::isDrained));
    }

    @Test
    public void slowReaderReceivesAllHostDataInOrder() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] tunnel = openTunnel(host);
        int lines = 400_000;
        CompletableFuture<Void> sent =
                CompletableFuture.runAsync(
                        () -> {
                            try {
                                StringBuilder text = new StringBuilder();
                                for (int i = 0; i < lines; i++) {
                                    text.append("line ").append(1_000_000 + i).append("\r\n");
                                }
                                send(tunnel[1], text.toString());
                                tunnel[1].close();
                            } catch (IOException e) {
                                throw new IllegalStateException(e);
                            }
                        });
        byte[] received = tunnel[0].getInputStream().readAllBytes();
        sent.get();
        assertEquals(received.length, lines * 14);
        for (int i = 0; i < lines; i++) {
            assertEquals(
                    new String(received, i * 14, 14, StandardCharsets.ISO_8859_1),
                    "line " + (1_000_000 + i) + "\r\n");
        }
    }

    @Test
    public void moveIsSentBetweenLines() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] tunnel = openTunnel(host);
        send(tunnel[1], "whole\r\nha");
        assertEquals(readLine(tunnel[0]), "whole");
        callOnLoop(
                () -> {
                    router.leave(false);
                    return null;
                });
        // A decline shows that the node has begun to leave; its moves come half a second later.
        assertTrue(readLine(connectClient("OPEN j k c=p,d=3000\r\n")).startsWith("BUSY "));
        assertTrue(readLine(connectClient("PING\r\n")).startsWith("ERR "));
        // The host is in the middle of a line, which may never end: the client gets no part of it.
        assertEquals(readLine(tunnel[0]), "MOVE");
        assertEquals(readLine(tunnel[0]), null);
        assertEquals(readLine(tunnel[1]), null);
    }

    @Test
    public void tunnelAtSilentHostIsMovedUnlessItsClientSentHalfALine() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] halfLineTunnel = openTunnel(host);
        Socket[] tunnel = openTunnel(host);
        long start = System.nanoTime();
        send(halfLineTunnel[0], "half");
        send(tunnel[0], "anyone\r\n");
        assertEquals(readLine(tunnel[0]), "MOVE");
        assertTrue((System.nanoTime() - start) / 1e9 < 6);
        send(halfLineTunnel[0], " a line\r\n");
        assertEquals(readLine(halfLineTunnel[1]), "half a line");
        send(halfLineTunnel[1], "HALF A LINE\r\n");
        assertEquals(readLine(halfLineTunnel[0]), "HALF A LINE");
    }

    @Test
    public void tunnelsAreDeclinedBeforeDescriptorsRunOut() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("" + (callOnLoop(loop::openDescriptors) + 24), host);
        assertEquals(readLine(connectClient("OPEN i k c=p,d=3000\r\n")), "BUSY");
    }

    @Test
    public void connectionsWithoutFirstLineMakeRoomAndTimeOut() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("" + (callOnLoop(loop::openDescriptors) + 48), host);
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            silent.add(connectClient(i % 2 == 0 ? "" : "OPEN half"));
        }
        openTunnel(host);
        long start = System.nanoTime();
        for (Socket each : silent) {
            assertTrue(List.of("BUSY", "ERR no first line came").contains(readLine(each)));
            assertEquals(readLine(each), null);
        }
        Socket pinging = connectClient("PING\r\n");
        assertEquals(readLine(pinging), "PONG");
        assertEquals(readLine(pinging), null);
        assertTrue((System.nanoTime() - start) / 1e9 < 6);
    }

    @Test
    public void rosterChangeMovesTunnelsOfDrainingHost() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] tunnel = openTunnel(host);
        Socket watch = accept(discovery);
        assertEquals(readLine(watch), "GET /api/targets?after=1&wait_ms=1600 HTTP/1.1");
        sendOkResponse(
                watch,
                "{\"generation\":2,\"reset\":false,\"instances\":["
                        + rosterEntry(host, "terminating")
                        + "]}");
        assertEquals(readLine(tunnel[0]), "MOVE");
        while (!readLine(watch).startsWith("GET /api/targets?after=2")) {
            // Skips the rest of the first call until the watch continues.
        }
    }

    @Test
    public void watchContinuesAtOnceAtNewDiscoveryAddress() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] tunnel = openTunnel(host);
        Socket watch = accept(discovery);
        readLine(watch);
        ServerSocket previousDiscovery = discovery;
        discovery = openServerSocket();
        reconfigure();
        Socket next = accept(discovery);
        // Generations belong to the old discovery, so the whole roster is requested.
        assertEquals(readLine(next), "GET /api/targets HTTP/1.1");
        while (readLine(watch) != null) {
            // Skips the rest of the abandoned call.
        }
        sendOkResponse(
                next,
                "{\"generation\":1,\"reset\":true,\"instances\":["
                        + rosterEntry(host, "terminating")
                        + "]}");
        assertEquals(readLine(tunnel[0]), "MOVE");
        // Moves to the old address and back before the first call is answered.
        ServerSocket nextDiscovery = discovery;
        discovery = previousDiscovery;
        reconfigure();
        assertEquals(readLine(accept(previousDiscovery)), "GET /api/targets HTTP/1.1");
        discovery = nextDiscovery;
        reconfigure();
        assertEquals(readLine(accept(nextDiscovery)), "GET /api/targets HTTP/1.1");
        assertFalse(callOnLoop(() -> router.tally().toString()).contains("roster calls failed"));
    }

    @Test
    public void failedRosterCallIsRetried() throws Exception {
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
    public void policyThatWakesContinuouslyLetsSocketsBeRead() throws Exception {
        rosterOnRequest = false;
        startRouter("1024");
        // Without a time to wait after a lost roster call the policy asks for the next round at
        // once.
        callOnLoop(
                () -> {
                    router.enqueueEvent(NodeEvents::rosterWatchLost);
                    return null;
                });
        assertEquals(readLine(connectClient("PING\r\n")), "PONG");
    }

    @Test
    public void unsolicitedRosterIsWatchedToo() throws Exception {
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
    public void unknownDatagramsAreDropped() throws Exception {
        startRouter("1024");
        InetSocketAddress peers = callOnLoop(router::peerListenAddress);
        try (DatagramSocket sender = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            for (int size : new int[] {5, 0, 300}) {
                sender.send(new DatagramPacket(new byte[size], size, peers));
            }
            while (!callOnLoop(() -> router.tally().toString()).contains("datagrams dropped 3")) {
                Thread.onSpinWait();
            }
        }
        assertFalse(callOnLoop(() -> router.tally().toString()).contains("faults"));
    }
}
