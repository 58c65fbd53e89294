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
 * Terms of the operators' acceptance that the program did not keep: each case failed before its
 * fault was mended.
 */
public class RouterRegressionTest extends LoopbackTestBase {

    /**
     * Milliseconds within which what must not come would have come, the system's second try to
     * connect included.
     */
    private static final int COMES_UP_MS = 1500;

    private void runOnLoop(Runnable step) throws Exception {
        callOnLoop(
                () -> {
                    step.run();
                    return null;
                });
    }

    /** Nothing is sent after the final answer, whose client may come again by then. */
    @Test
    public void setupThatIsBeingConnectedAtTheStopIsNotSentAfterTheAnswer() throws Exception {
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
        assertNothingReceived(host, COMES_UP_MS);
    }

    /**
     * What may have run is sent again within the window only, which counts when the line goes out
     * and not when that is decided.
     */
    @Test
    public void referencedIsNotSentToAHostThatComesUpAfterItsWindow() throws Exception {
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
        ServerSocket late = openSmallBacklogServerSocket();
        startRouter("1024", first);
        fillBacklog(late);
        Socket watch = accept(discovery);
        readRequest(watch);
        Socket client = connectClient("OPEN i k c=p,d=12000\r\n");
        Socket side = accept(first);
        readLine(side);
        sendOkResponse(watch, rosterJson(2, true, rosterEntry(late, "in_service")));
        readRequest(watch);
        side.close();
        awaitCounter("setups sent", 2);
        accept(late).close();
        accept(late).close();
        assertNothingReceived(late, COMES_UP_MS);
        assertTrue(readLine(client).startsWith("ERR "));
    }

    /**
     * Once its window is over it can neither be sent again nor declined: like a once-only one it is
     * worth the wait.
     */
    @Test
    public void referencedWhoseWindowIsOverFirstIsLeftToItsHostUntilTheClientsTimeIsUp()
            throws Exception {
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
        Socket side = accept(host);
        readLine(side);
        Thread.sleep(1300);
        send(side, "UP late\r\n");
        assertEquals(readLine(client), "UP late");
    }

    /**
     * Connections that the library takes in while the loop stands still hold descriptors that
     * nobody counts.
     */
    @Test
    public void connectionsTakenInWhileTheLoopStandsStillKeepToTheLimit() throws Exception {
        int room = 60;
        int clients = 200;
        startRouter("" + (callOnLoop(loop::openDescriptors) + room));
        Runnable goOn = pauseLoop();
        int before = new File("/proc/self/fd").list().length;
        for (int i = 0; i < clients; i++) {
            connectClient("");
        }
        Thread.sleep(200);
        int taken = new File("/proc/self/fd").list().length - before - clients;
        goOn.run();
        assertTrue(taken <= room, taken + " taken in");
    }

    /**
     * Where nothing is left, others are still served: one that comes in beyond the limit holds up
     * nobody, nor the timers.
     */
    @Test
    public void whatCantBeTakenInKeepsNobodyElseWaiting() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] ends = openTunnel(host);
        runOnLoop(() -> router.setDescriptorsHeldElsewhere(1024 - loop.openDescriptors(), 1));
        try {
            Socket more = connectClient("PING\r\n");
            awaitCounter("connections let in beyond the descriptors", 1);
            send(ends[0], "line\r\n");
            ends[1].setSoTimeout(500);
            assertEquals(heardOrHowOftenRoomWasSought(ends[1]), "line");
            runOnLoop(() -> router.setDescriptorsHeldElsewhere(0, 0));
            assertEquals(readLine(more), "PONG");
        } finally {
            runOnLoop(() -> router.setDescriptorsHeldElsewhere(0, 0));
        }
    }

    private String heardOrHowOftenRoomWasSought(Socket side) throws Exception {
        try {
            return readLine(side);
        } catch (SocketTimeoutException e) {
            return "nothing, room sought " + counter("accepts paused") + " times";
        }
    }

    @DataProvider
    public Object[][] resting() {
        return new Object[][] {{""}, {"PING\r\n"}};
    }

    /**
     * A request that has come by the time at which its connection is ended is one that came in
     * time.
     */
    @Test(dataProvider = "resting")
    public void requestThatLiesUnreadOnARestingConnectionWhoseTimeIsUpIsTaken(String before)
            throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket resting = connectClient(before);
        if (before.isEmpty()) {
            awaitCounter("connections taken in", 1);
        } else {
            assertEquals(readLine(resting), "PONG");
        }
        Runnable goOn = pauseLoop();
        loop.execute(() -> router.unopenedConnections().expire(router.now() + 2));
        send(resting, "OPEN i k c=p,d=3000\r\n");
        goOn.run();
        host.setSoTimeout(1000);
        Socket side = accept(host);
        assertTrue(readLine(side).startsWith("OPEN i k "));
        send(side, "UP r\r\n");
        assertEquals(readLine(resting), "UP r");
    }

    /**
     * The double of the latest list answers no call: the one that is out still waits at discovery.
     */
    @Test
    public void doubleOfTheLatestListIsNoAnswerToTheNextCall() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket watch = accept(discovery);
        readRequest(watch);
        String list = rosterJson(2, true, rosterEntry(host, "in_service"));
        sendOkResponse(watch, list);
        assertEquals(readRequest(watch), "GET /api/targets?after=2&wait_ms=3000 HTTP/1.1");
        sendOkResponse(watch, list);
        // Not a second call on the connection on which the first is out: that one ends, and another
        // is opened.
        assertEquals(readUntilClosed(watch), "");
        assertEquals(
                readRequest(accept(discovery)), "GET /api/targets?after=2&wait_ms=1600 HTTP/1.1");
    }
}
