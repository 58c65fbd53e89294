package embershift.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import embershift.Loopback;
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
public class StandingFaultsTest extends Loopback {

    /**
     * Milliseconds within which what must not come would have come, the system's second try to
     * connect included.
     */
    private static final int COMES_UP_MS = 1500;

    private void onLoop(Runnable step) throws Exception {
        on(
                () -> {
                    step.run();
                    return null;
                });
    }

    /** Nothing is sent after the final answer, whose client may come again by then. */
    @Test
    public void setupThatIsBeingConnectedAtTheStopIsNotSentAfterTheAnswer() throws Exception {
        settings = new String[] {"connect-timeout-s", "9", "client-timeout-s", "12"};
        ServerSocket host = comesUpLate();
        start("1024", host);
        fill(host);
        Socket client = client("OPEN i k c=p,d=12000\r\n");
        awaitCounted("setups sent", 1);
        onLoop(router::stop);
        assertTrue(hear(client).startsWith("ERR "));
        accept(host).close();
        accept(host).close();
        assertNothingComes(host, COMES_UP_MS);
    }

    /**
     * What may have run is sent again within the window only, which counts when the line goes out
     * and not when that is decided.
     */
    @Test
    public void referencedIsNotSentToAHostThatComesUpAfterItsWindow() throws Exception {
        settings =
                new String[] {
                    "repeat",
                    "\"deduplicated\",\"dedup-scope\":\"all\",\"dedup-window-s\":0.8",
                    "connect-timeout-s",
                    "9",
                    "client-timeout-s",
                    "12"
                };
        ServerSocket first = listening();
        ServerSocket late = comesUpLate();
        start("1024", first);
        fill(late);
        Socket watch = accept(discovery);
        call(watch);
        Socket client = client("OPEN i k c=p,d=12000\r\n");
        Socket side = accept(first);
        hear(side);
        page(watch, list(2, true, entry(late, "in_service")));
        call(watch);
        side.close();
        awaitCounted("setups sent", 2);
        accept(late).close();
        accept(late).close();
        assertNothingComes(late, COMES_UP_MS);
        assertTrue(hear(client).startsWith("ERR "));
    }

    /**
     * Once its window is over it can neither be sent again nor declined: like a once-only one it is
     * worth the wait.
     */
    @Test
    public void referencedWhoseWindowIsOverFirstIsLeftToItsHostUntilTheClientsTimeIsUp()
            throws Exception {
        settings =
                new String[] {
                    "repeat",
                    "\"deduplicated\",\"dedup-scope\":\"all\",\"dedup-window-s\":0.6",
                    "setup-goal-s",
                    "0.3"
                };
        ServerSocket host = listening();
        start("1024", host);
        Socket client = client("OPEN i k c=p,d=3000\r\n");
        Socket side = accept(host);
        hear(side);
        Thread.sleep(1300);
        say(side, "UP late\r\n");
        assertEquals(hear(client), "UP late");
    }

    /**
     * Connections that the library takes in while the loop stands still hold descriptors that
     * nobody counts.
     */
    @Test
    public void connectionsTakenInWhileTheLoopStandsStillKeepToTheLimit() throws Exception {
        int room = 60;
        int clients = 200;
        start("" + (on(loop::openDescriptors) + room));
        Runnable goOn = hold();
        int before = new File("/proc/self/fd").list().length;
        for (int i = 0; i < clients; i++) {
            client("");
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
        ServerSocket host = listening();
        start("1024", host);
        Socket[] ends = opened(host);
        onLoop(() -> router.heldElsewhere(1024 - loop.openDescriptors(), 1));
        try {
            Socket more = client("PING\r\n");
            awaitCounted("connections let in beyond the descriptors", 1);
            say(ends[0], "line\r\n");
            ends[1].setSoTimeout(500);
            assertEquals(heardOrHowOftenRoomWasSought(ends[1]), "line");
            onLoop(() -> router.heldElsewhere(0, 0));
            assertEquals(hear(more), "PONG");
        } finally {
            onLoop(() -> router.heldElsewhere(0, 0));
        }
    }

    private String heardOrHowOftenRoomWasSought(Socket side) throws Exception {
        try {
            return hear(side);
        } catch (SocketTimeoutException e) {
            return "nothing, room sought " + counted("accepts paused") + " times";
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
        ServerSocket host = listening();
        start("1024", host);
        Socket resting = client(before);
        if (before.isEmpty()) {
            awaitCounted("connections taken in", 1);
        } else {
            assertEquals(hear(resting), "PONG");
        }
        Runnable goOn = hold();
        loop.execute(() -> router.strangers().expire(router.now() + 2));
        say(resting, "OPEN i k c=p,d=3000\r\n");
        goOn.run();
        host.setSoTimeout(1000);
        Socket side = accept(host);
        assertTrue(hear(side).startsWith("OPEN i k "));
        say(side, "UP r\r\n");
        assertEquals(hear(resting), "UP r");
    }

    /**
     * The double of the latest list answers no call: the one that is out still waits at discovery.
     */
    @Test
    public void doubleOfTheLatestListIsNoAnswerToTheNextCall() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket watch = accept(discovery);
        call(watch);
        String list = list(2, true, entry(host, "in_service"));
        page(watch, list);
        assertEquals(call(watch), "GET /api/targets?after=2&wait_ms=3000 HTTP/1.1");
        page(watch, list);
        // Not a second call on the connection on which the first is out: that one ends, and another
        // is opened.
        assertEquals(heard(watch), "");
        assertEquals(call(accept(discovery)), "GET /api/targets?after=2&wait_ms=1600 HTTP/1.1");
    }
}
