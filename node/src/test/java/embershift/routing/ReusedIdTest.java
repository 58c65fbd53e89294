package embershift.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import embershift.LoopbackTestBase;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import org.testng.annotations.Test;

/**
 * A client's id that comes again on another connection. Guards against issue 67 (c): an id of a
 * class that may not run twice ran twice, as it came again after its client had left.
 */
public class ReusedIdTest extends LoopbackTestBase {

    private static final String OPEN = "OPEN i k c=p,d=3000\r\n";

    private ServerSocket startWithHost(String repeat) throws Exception {
        settingOverrides = new String[] {"repeat", "\"" + repeat + "\""};
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        return host;
    }

    private void leave(Socket client) throws Exception {
        long before = counter("tunnels left early");
        client.close();
        awaitCounter("tunnels left early", before + 1);
    }

    @Test
    public void idThatComesAgainAfterItsClientLeftIsNotSentToHostTwice() throws Exception {
        ServerSocket host = startWithHost("at_most_once");
        Socket client = connectClient(OPEN);
        assertTrue(readLine(accept(host)).startsWith("OPEN i "));
        leave(client);
        assertTrue(readLine(connectClient(OPEN)).startsWith("ERR "));
        assertNothingReceived(host, 300);
    }

    @Test
    public void idThatComesAgainAfterItsTunnelEndedIsNotSentToHostTwice() throws Exception {
        ServerSocket host = startWithHost("at_most_once");
        Socket client = connectClient(OPEN);
        Socket hostSocket = accept(host);
        readLine(hostSocket);
        send(hostSocket, "UP r\r\n");
        assertEquals(readLine(client), "UP r");
        send(hostSocket, "BYE\r\n");
        hostSocket.close();
        assertEquals(readLine(client), "BYE");
        assertEquals(readLine(client), null);
        assertTrue(readLine(connectClient(OPEN)).startsWith("ERR "));
        assertNothingReceived(host, 300);
    }

    @Test
    public void idWhoseSetupNeverRanMayComeAgain() throws Exception {
        ServerSocket host = startWithHost("at_most_once");
        Thread busyHost =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    Socket connection = accept(host);
                                    readLine(connection);
                                    send(connection, "BUSY\r\n");
                                    connection.close();
                                }
                            } catch (IOException e) {
                                // The end of the test has closed the socket.
                            }
                        });
        busyHost.setDaemon(true);
        busyHost.start();
        for (int i = 0; i < 2; i++) {
            String answer = readLine(connectClient(OPEN));
            assertFalse(answer.startsWith("UP "), answer);
            assertNotEquals(answer, "ERR this id has been used");
        }
        assertEquals(counter("first lines refused"), 0);
    }

    @Test
    public void idOfRepeatableSetupMayComeAgain() throws Exception {
        ServerSocket host = startWithHost("idempotent");
        Socket client = connectClient(OPEN);
        readLine(accept(host));
        leave(client);
        Socket again = connectClient(OPEN);
        Socket hostSocket = accept(host);
        assertTrue(readLine(hostSocket).startsWith("OPEN i "));
        send(hostSocket, "UP r\r\n");
        assertEquals(readLine(again), "UP r");
    }
}
