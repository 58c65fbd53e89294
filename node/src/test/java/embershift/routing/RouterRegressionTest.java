package embershift.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import embershift.LoopbackTestBase;
import java.io.File;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Regression tests for acceptance criteria of the operators that the program once violated. Each
 * case failed before its fault was fixed.
 */
public class RouterRegressionTest extends LoopbackTestBase {

    /**
     * Milliseconds within which unwanted data would have arrived, including after the operating
     * system's second attempt to connect.
     */
    private static final int QUIET_PERIOD_MS = 1500;

    private void runOnLoop(Runnable task) throws Exception {
        callOnLoop(
                () -> {
                    task.run();
                    return null;
                });
    }

    /** No setup may be sent after the final answer: by then its client may have retried. */
    @Test
    public void connectingSetupIsNotSentAfterFinalAnswerAtStop() throws Exception {
        settingOverrides = new String[] {"connect-timeout-s", "9", "client-timeout-s", "12"};
        ServerSocket host = openSmallBacklogServerSocket();
        startRouter("1024", host);
        fillBacklog(host);
        Socket client = connectClient("OPEN i k c=p,d=12000\r\n");
        awaitCounter("setups sent", 1);
        runOnLoop(router::stop);
        assertTrue(readLine(client).startsWith("ERR "));
        accept(host).close();
        accept(host).close();
        assertNothingReceived(host, QUIET_PERIOD_MS);
    }

    /**
     * A setup that may have been executed may be sent again only within its dedup window. What
     * counts is when its line is written, not when the retry is decided.
     */
    @Test
    public void referencedSetupIsNotSentOnceDedupWindowHasPassed() throws Exception {
        settingOverrides =
                new String[] {
                    "repeat",
                    "\"deduplicated\",\"dedup-scope\":\"all\",\"dedup-window-s\":0.8",
                    "connect-timeout-s",
                    "9",
                    "client-timeout-s",
                    "12"
                };
        ServerSocket first = openServerSocket();
        ServerSocket lateHost = openSmallBacklogServerSocket();
        startRouter("1024", first);
        fillBacklog(lateHost);
        Socket watch = accept(discovery);
        readRequest(watch);
        Socket client = connectClient("OPEN i k c=p,d=12000\r\n");
        Socket hostSocket = accept(first);
        readLine(hostSocket);
        sendOkResponse(watch, rosterJson(2, true, rosterEntry(lateHost, "in_service")));
        readRequest(watch);
        hostSocket.close();
        awaitCounter("setups sent", 2);
        accept(lateHost).close();
        accept(lateHost).close();
        assertNothingReceived(lateHost, QUIET_PERIOD_MS);
        assertTrue(readLine(client).startsWith("ERR "));
    }

    /**
     * After its dedup window a referenced setup can neither be sent again nor declined, so the node
     * waits for the host's answer as it does for a once-only one.
     */
    @Test
    public void referencedSetupPastWindowWaitsForHostUntilClientTimeout() throws Exception {
        settingOverrides =
                new String[] {
                    "repeat",
                    "\"deduplicated\",\"dedup-scope\":\"all\",\"dedup-window-s\":0.6",
                    "setup-goal-s",
                    "0.3"
                };
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
        Socket hostSocket = accept(host);
        readLine(hostSocket);
        Thread.sleep(1300);
        send(hostSocket, "UP late\r\n");
        assertEquals(readLine(client), "UP late");
    }

    /**
     * Connections that the I/O library accepts while the loop is paused hold descriptors that were
     * not counted.
     */
    @Test
    public void connectionsAcceptedWhileLoopIsPausedStayWithinLimit() throws Exception {
        int spare = 60;
        int clients = 200;
        startRouter("" + (callOnLoop(loop::openDescriptors) + spare));
        Runnable resume = pauseLoop();
        int before = new File("/proc/self/fd").list().length;
        for (int i = 0; i < clients; i++) {
            connectClient("");
        }
        Thread.sleep(200);
        int accepted = new File("/proc/self/fd").list().length - before - clients;
        resume.run();
        assertTrue(accepted <= spare, accepted + " accepted");
    }

    /**
     * With no descriptors left the others are still served: a connection accepted beyond the limit
     * delays neither them nor the timers.
     */
    @Test
    public void connectionBeyondLimitDoesNotDelayOthers() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] tunnel = openTunnel(host);
        runOnLoop(() -> router.setDescriptorsHeldElsewhere(1024 - loop.openDescriptors(), 1));
        try {
            Socket extra = connectClient("PING\r\n");
            awaitCounter("connections let in beyond the descriptors", 1);
            send(tunnel[0], "line\r\n");
            tunnel[1].setSoTimeout(500);
            assertEquals(readLineOrDiagnose(tunnel[1]), "line");
            runOnLoop(() -> router.setDescriptorsHeldElsewhere(0, 0));
            assertEquals(readLine(extra), "PONG");
        } finally {
            runOnLoop(() -> router.setDescriptorsHeldElsewhere(0, 0));
        }
    }

    private String readLineOrDiagnose(Socket hostSocket) throws Exception {
        try {
            return readLine(hostSocket);
        } catch (SocketTimeoutException e) {
            return "no line, accepts paused " + counter("accepts paused") + " times";
        }
    }

    @DataProvider
    public Object[][] preambles() {
        return new Object[][] {{""}, {"PING\r\n"}};
    }

    /**
     * A request that has arrived by the time its connection expires is in time, even if it has not
     * been read yet.
     */
    @Test(dataProvider = "preambles")
    public void unreadRequestOnExpiringConnectionIsAccepted(String preamble) throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket idle = connectClient(preamble);
        if (preamble.isEmpty()) {
            awaitCounter("connections taken in", 1);
        } else {
            assertEquals(readLine(idle), "PONG");
        }
        Runnable resume = pauseLoop();
        loop.execute(() -> router.unopenedConnections().expire(router.now() + 2));
        send(idle, "OPEN i k c=p,d=3000\r\n");
        resume.run();
        host.setSoTimeout(1000);
        Socket hostSocket = accept(host);
        assertTrue(readLine(hostSocket).startsWith("OPEN i k "));
        send(hostSocket, "UP r\r\n");
        assertEquals(readLine(idle), "UP r");
    }

    /**
     * A duplicate of the latest roster must not be taken for the answer to the pending call, which
     * still waits at discovery.
     */
    @Test
    public void duplicateOfLatestRosterIsNotTakenForNextCall() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket watch = accept(discovery);
        readRequest(watch);
        String roster = rosterJson(2, true, rosterEntry(host, "in_service"));
        sendOkResponse(watch, roster);
        assertEquals(readRequest(watch), "GET /api/targets?after=2&wait_ms=3000 HTTP/1.1");
        sendOkResponse(watch, roster);
        // No second call is made on the connection of the pending one: the node closes it and opens
        // another.
        assertEquals(readUntilClosed(watch), "");
        assertEquals(
                readRequest(accept(discovery)), "GET /api/targets?after=2&wait_ms=1600 HTTP/1.1");
    }
}
