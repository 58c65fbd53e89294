package embershift.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import embershift.LoopbackTestBase;
import java.net.ServerSocket;
import java.net.Socket;
import org.testng.annotations.Test;

/**
 * Tunnels whose client has ended its sending and reads on. Guards against review/9: the node ended
 * both connections 0.8 s after a half-close, and the answer of a slow host was lost.
 */
public class HalfClosedTunnelTest extends LoopbackTestBase {

    /** Milliseconds that a host takes for a line: 8.5 times the usual 145. */
    private static final int SLOW_LINE_MS = 1230;

    private Socket[] openHalfClosedTunnel(ServerSocket host, String lastLine) throws Exception {
        Socket client = connectClient("OPEN id-" + lastLine.strip() + " k c=p,d=3000\r\n");
        Socket hostSocket = accept(host);
        readLine(hostSocket);
        send(hostSocket, "UP r\r\n");
        assertEquals(readLine(client), "UP r");
        send(client, lastLine);
        client.shutdownOutput();
        return new Socket[] {client, hostSocket};
    }

    @Test
    public void answersOfSlowHostReachClientThatHasEndedItsSending() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] tunnel = openHalfClosedTunnel(host, "last\r\n");
        assertEquals(readLine(tunnel[1]), "last");
        assertEquals(readLine(tunnel[1]), null);
        for (int i = 0; i < 4; i++) {
            Thread.sleep(SLOW_LINE_MS);
            send(tunnel[1], "answer " + i + "\r\n");
            assertEquals(readLine(tunnel[0]), "answer " + i);
        }
        Thread.sleep(SLOW_LINE_MS);
        send(tunnel[1], "BYE\r\n");
        tunnel[1].close();
        assertEquals(readLine(tunnel[0]), "BYE");
        assertEquals(readLine(tunnel[0]), null);
        assertTrue(callOnLoop(router::isDrained));
    }

    /** A host that vanishes must not keep the connections of clients that have left for ever. */
    @Test
    public void halfClosedClientsOfSilentHostAreMovedAndBothSidesClosed() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] unanswered = openHalfClosedTunnel(host, "last\r\n");
        Socket[] idle = openHalfClosedTunnel(host, "");
        assertEquals(readLine(unanswered[1]), "last");
        for (Socket[] tunnel : new Socket[][] {unanswered, idle}) {
            assertEquals(readLine(tunnel[1]), null);
            assertEquals(readLine(tunnel[0]), "MOVE");
            assertEquals(readLine(tunnel[0]), null);
        }
        assertTrue(callOnLoop(router::isDrained));
    }

    @Test
    public void clientThatReadsLateGetsAllLinesAfterItsHalfClose() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] tunnel = openHalfClosedTunnel(host, "last\r\n");
        assertEquals(readLine(tunnel[1]), "last");
        assertEquals(readLine(tunnel[1]), null);
        int lines = 500_000;
        Thread sender =
                new Thread(
                        () -> {
                            try {
                                for (int i = 0; i < lines; i += 1000) {
                                    send(tunnel[1], "0123456789abc\r\n".repeat(1000));
                                }
                                tunnel[1].close();
                            } catch (java.io.IOException e) {
                                // The client then misses lines.
                            }
                        });
        sender.start();
        // Longer than a host may be silent.
        Thread.sleep(4500);
        String line = readLine(tunnel[0]);
        int count = 0;
        while (line != null) {
            assertEquals(line, "0123456789abc");
            count++;
            line = readLine(tunnel[0]);
        }
        sender.join();
        assertEquals(count, lines);
    }
}
