package embershift.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import embershift.Loopback;
import embershift.model.HostId;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Where two events cross: each test forces one order of them, and looks at what clients, hosts and
 * discovery received.
 */
public class CrossingsTest extends Loopback {

    /** Milliseconds within which nothing more may reach a host for a client that has left. */
    private static final int SENT_ON_MS = 300;

    private static final String LEFT = "tunnels left early";

    // ---- A client that leaves while it waits ----

    private enum Leaving {
        END,
        RESET,
        MUCH_THEN_END,
        MUCH_THEN_RESET
    }

    private static void leave(Socket client, Leaving how) throws IOException {
        if (how == Leaving.MUCH_THEN_END || how == Leaving.MUCH_THEN_RESET) {
            say(client, "line sent ahead\r\n".repeat(300));
        }
        if (how == Leaving.RESET || how == Leaving.MUCH_THEN_RESET) {
            reset(client);
        } else {
            client.close();
        }
    }

    /** No first line comes there on a connection that is made from now on. */
    private void assertNothingComes(ServerSocket host) throws IOException {
        assertNothingComes(host, 2 * SENT_ON_MS);
    }

    @DataProvider
    public Object[][] ways() {
        Object[][] ways = new Object[Leaving.values().length][];
        for (int i = 0; i < ways.length; i++) {
            ways[i] = new Object[] {Leaving.values()[i]};
        }
        return ways;
    }

    @Test(dataProvider = "ways")
    public void whoLeftWhileTheHostWasReachedIsNotSentOnWhenItComesUp(Leaving how)
            throws Exception {
        settings = new String[] {"connect-timeout-s", "9", "client-timeout-s", "12"};
        ServerSocket host = comesUpLate();
        start("1024", host);
        fill(host);
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            clients.add(client("OPEN i" + i + " k c=p,d=12000\r\n"));
        }
        awaitCounted("setups sent", 4);
        Runnable goOn = hold();
        for (Socket client : clients) {
            leave(client, how);
        }
        Socket up = comesUp(host);
        // Up and left, and the loop has seen neither: it is to find both at once.
        goOn.run();
        assertEquals(heard(up), "");
        awaitCounted(LEFT + " while a host was reached", 4);
        assertNothingComes(host);
    }

    @Test(dataProvider = "ways")
    public void whoLeftWhileTheLoopStoodStillIsNotSentOn(Leaving how) throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Runnable goOn = hold();
        for (int i = 0; i < 8; i++) {
            leave(client("OPEN i" + i + " k c=p,d=3000\r\n"), how);
        }
        goOn.run();
        assertNothingComes(host);
        assertTrue(on(router::empty));
    }

    @Test(dataProvider = "ways")
    public void whoLeftWhileAHostWasAskedIsGivenUpThereAndNotSentOn(Leaving how) throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket client = client("OPEN i k c=p,d=3000\r\n");
        Socket side = accept(host);
        hear(side);
        leave(client, how);
        assertEquals(heard(side), "");
        assertNothingComes(host);
        assertEquals(counted(LEFT + " while a host was asked"), 1);
    }

    @Test(dataProvider = "ways")
    public void whoLeftWhileASetupEndedIsNotSentAgain(Leaving how) throws Exception {
        settings = new String[] {"setup-goal-s", "0.1", "connect-timeout-s", "1"};
        ServerSocket host = listening();
        start("1024", host);
        Socket client = client("OPEN i k c=p,d=3000\r\n");
        Socket side = accept(host);
        hear(side);
        assertEquals(hear(side), null);
        leave(client, how);
        assertNothingComes(host);
        assertEquals(counted(LEFT + " while a setup ended"), 1);
    }

    @Test(dataProvider = "ways")
    public void whoLeftWhileItsHostWasUnknownIsNotSentThereOnceItIsKnown(Leaving how)
            throws Exception {
        ServerSocket host = listening();
        start("1024");
        Socket watch = accept(discovery);
        call(watch);
        Socket client = client("OPEN i k c=p,d=3000,at=" + name(host) + "\r\n");
        awaitCounted("tunnels taken", 1);
        leave(client, how);
        awaitCounted(LEFT + " unplaced", 1);
        page(watch, list(2, true, entry(host, "in_service")));
        call(watch);
        assertNothingComes(host);
        assertTrue(on(router::empty));
    }

    @Test(dataProvider = "ways")
    public void whoStoodAtAHostAndLeftBeforeItsNextTryIsNotSentThere(Leaving how) throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket client = client("OPEN i k c=p,d=3000,at=" + name(host) + "\r\n");
        Socket side = accept(host);
        hear(side);
        say(side, "BUSY\r\n");
        assertEquals(heard(side), "");
        leave(client, how);
        assertNothingComes(host);
        assertEquals(counted(LEFT + " standing before"), 1);
    }

    @Test(dataProvider = "ways")
    public void whoLeftWhileAHostWasAskedForItsLoadIsNotSentOn(Leaving how) throws Exception {
        settings = new String[] {"may-probe", "true", "columns", "[\"x0\"]"};
        ServerSocket host = listening();
        start("1024", host);
        // The module asks all hosts from its first tunnel on, and the tunnel waits for the answer.
        Socket client = client("OPEN i k c=p,d=3000\r\n");
        Socket asked = accept(host);
        assertEquals(hear(asked), "STATS");
        leave(client, how);
        awaitCounted(LEFT + " unplaced", 1);
        say(asked, "PONG x0=0.1\r\n");
        assertNothingComes(host);
        assertTrue(on(router::empty));
    }

    @Test
    public void whoSendsTooMuchAheadHearsSoAndItsSetupIsGivenUp() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket client = client("OPEN i k c=p,d=3000\r\n");
        Socket side = accept(host);
        hear(side);
        say(client, "line sent ahead\r\n".repeat(600));
        assertEquals(hear(client), "ERR too much before the answer");
        assertEquals(hear(client), null);
        assertEquals(heard(side), "");
        assertNothingComes(host);
        assertTrue(on(router::empty));
    }

    @DataProvider
    public Object[][] tidings() {
        return new Object[][] {{"terminating"}, {"terminated"}, {"by hand"}};
    }

    @Test(dataProvider = "tidings")
    public void hostThatIsToTakeNothingNewByTheTimeItIsReachedGetsNothing(String told)
            throws Exception {
        settings = new String[] {"connect-timeout-s", "9", "client-timeout-s", "12"};
        ServerSocket host = comesUpLate();
        start("1024", host);
        Socket watch = accept(discovery);
        call(watch);
        fill(host);
        Socket client = client("OPEN i k c=p,d=12000\r\n");
        awaitCounted("setups sent", 1);
        if (told.equals("by hand")) {
            onLoop(() -> router.byHand(new HostId(name(host)), true, () -> {}));
        } else {
            page(watch, list(2, false, entry(host, told)));
            call(watch);
        }
        assertEquals(heard(comesUp(host)), "");
        // Never sent, so the module places it anew: nowhere, as there is no other host.
        assertTrue(hear(client).startsWith("BUSY"));
        assertNothingComes(host);
    }

    // ---- Ids and late news ----

    @Test
    public void lateEndOfASetupReachesNoOtherTunnelOfItsId() throws Exception {
        settings = new String[] {"setup-goal-s", "0.1", "connect-timeout-s", "1"};
        ServerSocket host = listening();
        start("1024", host);
        Socket first = client("OPEN same k c=p,d=3000\r\n");
        Socket late = accept(host);
        hear(late);
        // Given up, and out until the host ends it or for 0.4 s.
        assertEquals(hear(late), null);
        first.close();
        awaitCounted(LEFT, 1);
        Socket second = client("OPEN same k c=p,d=3000\r\n");
        Socket side = accept(host);
        assertTrue(hear(side).startsWith("OPEN same "));
        late.close();
        awaitCounted("setups ended timed_out", 1);
        // The module still knows the second one: it is sent on where its host turns it away.
        say(side, "BUSY\r\n");
        assertTrue(hear(accept(host)).startsWith("OPEN same "));
        assertFalse(on(router::empty));
        second.close();
    }

    // ---- Questions to hosts ----

    private Socket asked(ServerSocket host) throws Exception {
        settings = new String[] {"may-probe", "true", "columns", "[\"x0\"]"};
        start("1024", host);
        probe(host);
        Socket side = accept(host);
        assertEquals(hear(side), "STATS");
        return side;
    }

    private void probe(ServerSocket host) throws Exception {
        on(
                () -> {
                    router.probe(new HostId(name(host)));
                    return null;
                });
    }

    @Test
    public void secondAnswerOfAHostIsNotTakenForTheNextOne() throws Exception {
        ServerSocket host = listening();
        Socket side = asked(host);
        say(side, "PONG x0=0.1\r\n");
        awaitCounted("probes answered", 1);
        probe(host);
        say(side, "PONG x0=0.1\r\n");
        Socket next = accept(host);
        assertEquals(hear(next), "STATS");
        assertEquals(counted("probes answered"), 1);
        assertEquals(counted("probe connections out of step"), 1);
        say(next, "PONG x0=0.2\r\n");
        awaitCounted("probes answered", 2);
        assertEquals(counted("probes failed"), 0);
    }

    @Test
    public void restOfAnAnswerInPiecesIsNotTakenForTheNextOne() throws Exception {
        ServerSocket host = listening();
        Socket side = asked(host);
        say(side, "PONG x0=0.1\r\nPO");
        awaitCounted("probes answered", 1);
        probe(host);
        Socket next = accept(host);
        assertEquals(hear(next), "STATS");
        assertEquals(heard(side), "");
        assertEquals(counted("probes answered"), 1);
    }

    @Test
    public void questionThatCrossesWithTheEndOfAKeptConnectionIsAskedAgain() throws Exception {
        ServerSocket host = listening();
        for (int times = 0; times < 2; times++) {
            Socket side = times == 0 ? asked(host) : accept(host);
            say(side, "PONG x0=0.1\r\n");
            awaitCounted("probes answered", times + 1);
            Thread.sleep(100);
            Runnable goOn = hold();
            loop.execute(() -> router.probe(new HostId(name(host))));
            if (times == 0) {
                side.close();
            } else {
                reset(side);
            }
            // The question goes out behind the end that nobody has read yet.
            goOn.run();
        }
        Socket last = accept(host);
        assertEquals(hear(last), "STATS");
        say(last, "PONG x0=0.3\r\n");
        awaitCounted("probes answered", 3);
        assertEquals(counted("probes failed"), 0);
    }

    @Test
    public void questionThatIsOutWhenAHostsAddressChangesIsAskedThere() throws Exception {
        ServerSocket host = listening();
        ServerSocket there = listening();
        Socket side = asked(host);
        Socket watch = accept(discovery);
        call(watch);
        page(
                watch,
                list(
                        2,
                        false,
                        entry(host, "in_service")
                                .replace(
                                        ":" + host.getLocalPort() + "\"",
                                        ":" + there.getLocalPort() + "\"")));
        Socket next = accept(there);
        assertEquals(hear(next), "STATS");
        assertEquals(heard(side), "");
        say(next, "PONG x0=0.1\r\n");
        awaitCounted("probes answered", 1);
        assertEquals(counted("probes failed"), 0);
    }

    @Test
    public void answerWithoutAnEndLeavesTheNextQuestionAConnectionOfItsOwn() throws Exception {
        ServerSocket host = listening();
        Socket side = asked(host);
        say(side, "PONG x0=0.1".repeat(500));
        awaitCounted("probes failed", 1);
        assertEquals(heard(side), "");
        probe(host);
        assertEquals(hear(accept(host)), "STATS");
    }

    // ---- Watches ----

    @Test
    public void firstWatchThatFellSilentAtOnceIsCalledAnewBeforeWhatItMissedCountsAsTold()
            throws Exception {
        settings = new String[] {"must-ask-in-s", "10"};
        start("1024");
        Socket watch = accept(discovery);
        long fellSilent = System.nanoTime();
        call(watch);
        call(accept(discovery));
        double after = (System.nanoTime() - fellSilent) / 1e9;
        assertTrue(after < 6, "called anew after " + after + " s");
    }

    @Test
    public void watchThatFellSilentRightAfterAnAnswerIsCalledAnewInTime() throws Exception {
        settings = new String[] {"must-ask-in-s", "10"};
        start("1024");
        Socket watch = accept(discovery);
        call(watch);
        page(watch, list(2, true));
        assertEquals(call(watch), "GET /api/targets?after=2&wait_ms=3000 HTTP/1.1");
        long fellSilent = System.nanoTime();
        call(accept(discovery));
        double after = (System.nanoTime() - fellSilent) / 1e9;
        assertTrue(after < 6, "called anew after " + after + " s");
    }

    @Test
    public void olderListThatComesOnceMoreChangesNothing() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket watch = accept(discovery);
        call(watch);
        String first = list(2, true, entry(host, "in_service"));
        page(watch, first);
        call(watch);
        page(watch, list(3, false, entry(host, "terminating")));
        call(watch);
        page(watch, first);
        assertEquals(call(accept(discovery)), "GET /api/targets?after=3&wait_ms=1600 HTTP/1.1");
        assertTrue(hear(client("OPEN i k c=p,d=500\r\n")).startsWith("BUSY"));
        assertNothingComes(host);
    }

    @Test
    public void secondAnswerThatComesWithTheFirstIsNoAnswerToTheNextCall() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket watch = accept(discovery);
        call(watch);
        String first = answer(list(2, true, entry(host, "in_service")));
        say(watch, first + first.substring(0, 40));
        Socket next = accept(discovery);
        assertEquals(call(next), "GET /api/targets?after=2&wait_ms=1600 HTTP/1.1");
        assertEquals(hear(watch), null);
        page(next, list(3, false, entry(host, "terminating")));
        call(next);
        assertEquals(counted("roster calls failed"), 0);
    }

    @Test
    public void versionsThatBeginAnewAreAskedForAsAWhole() throws Exception {
        start("1024");
        Socket watch = accept(discovery);
        call(watch);
        page(watch, list(40, true));
        call(watch);
        watch.close();
        Socket next = accept(discovery);
        assertEquals(call(next), "GET /api/targets?after=40&wait_ms=1600 HTTP/1.1");
        page(next, list(2, false));
        assertEquals(call(next), "GET /api/targets HTTP/1.1");
    }

    @Test
    public void wholeListWantedDuringAWatchIsAskedForAfterIt() throws Exception {
        start("1024");
        Socket watch = accept(discovery);
        call(watch);
        on(
                () -> {
                    router.requestRoster();
                    return null;
                });
        page(watch, list(2, false));
        assertEquals(call(watch), "GET /api/targets HTTP/1.1");
    }

    @Test
    public void answerInTwoHalvesWithTheEndBetweenIsAFailureThatIsCalledAnew() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket watch = accept(discovery);
        call(watch);
        say(watch, answer(list(2, true)).substring(0, 70));
        watch.close();
        Socket next = accept(discovery);
        // After a failure it waits there for less, by chance: two seconds of its own time are for
        // its turn.
        String again = call(next);
        assertTrue(again.matches("GET /api/targets\\?after=1&wait_ms=\\d+ HTTP/1.1"), again);
        int wait = Integer.parseInt(again.replaceAll(".*wait_ms=|\\sHTTP.*", ""));
        assertTrue(wait >= 200 && wait <= 1600, again);
        assertEquals(counted("roster calls failed"), 1);
        // The half that came has taken nothing off the list.
        client("OPEN i k c=p,d=3000\r\n");
        assertTrue(hear(accept(host)).startsWith("OPEN i "));
    }

    @Test
    public void keptConnectionThatDiscoveryEndsAsACallGoesOutIsMadeAnewAtOnce() throws Exception {
        start("1024");
        Socket watch = accept(discovery);
        call(watch);
        Runnable goOn = hold();
        page(watch, list(2, true));
        watch.close();
        goOn.run();
        assertEquals(call(accept(discovery)), "GET /api/targets?after=2&wait_ms=1600 HTTP/1.1");
        assertEquals(counted("roster calls failed"), 0);
    }

    @Test
    public void reloadDuringAFailedCallsWaitIsNotFollowedByAnotherWatch() throws Exception {
        rosterOnRequest = false;
        start("1024");
        reset(accept(discovery));
        awaitCounted("roster calls failed", 1);
        ServerSocket before = discovery;
        discovery = listening();
        reconfigure();
        Socket watch = accept(discovery);
        assertEquals(call(watch), "GET /api/targets HTTP/1.1");
        page(watch, list(2, true));
        assertEquals(call(watch), "GET /api/targets?after=2&wait_ms=3000 HTTP/1.1");
        // Past the half second after which the failed call would have been made again.
        before.setSoTimeout(700);
        assertThrows(SocketTimeoutException.class, before::accept);
        assertEquals(counted("roster calls"), 3);
    }

    // ---- The end of the node ----

    private void onLoop(Runnable step) throws Exception {
        on(
                () -> {
                    step.run();
                    return null;
                });
    }

    @Test
    public void whoTookItsLeaveJustBeforeTheStopIsEndedOnBothSides() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket[] ends = opened(host);
        ends[0].shutdownOutput();
        assertEquals(hear(ends[1]), null);
        onLoop(router::stop);
        assertTrue(on(router::empty));
        assertEquals(hear(ends[0]), null);
    }

    @Test
    public void clientInTheMiddleOfAHostsLineIsToldToMoveAtTheStop() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket[] ends = opened(host);
        say(ends[1], "whole\r\nhalf a li");
        assertEquals(hear(ends[0]), "whole");
        onLoop(router::stop);
        assertEquals(hear(ends[0]), "MOVE");
        assertEquals(hear(ends[0]), null);
    }

    @Test
    public void whatAHostSaysLastWithoutAnEndIsPassedOnBeforeItsOwn() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket[] ends = opened(host);
        say(ends[1], "whole\r\nlast wo");
        assertEquals(hear(ends[0]), "whole");
        ends[1].close();
        assertEquals(hear(ends[0]), "last wo");
    }

    @Test
    public void firstLineInPiecesAcrossTheLeaveIsWaitedForAndAnswered() throws Exception {
        start("1024");
        Socket client = client("PING\r\nOPEN i k c=p,");
        assertEquals(hear(client), "PONG");
        onLoop(() -> router.leave(false));
        assertFalse(on(router::empty));
        say(client, "d=3000\r\n");
        assertTrue(hear(client).startsWith("BUSY"));
        assertTrue(on(router::empty));
    }

    @Test
    public void firstLineThatNeverCameWholeHearsAWordAtTheStop() throws Exception {
        start("1024");
        Socket half = client("PING\r\nOPEN i k c=p,");
        Socket silent = client("");
        assertEquals(hear(half), "PONG");
        awaitCounted("connections taken in", 2);
        onLoop(() -> router.leave(false));
        onLoop(router::stop);
        assertEquals(hear(half), "BUSY");
        assertEquals(hear(silent), "BUSY");
    }

    /** Connections at this port that the system has set up and nobody has accepted. */
    private static int notAccepted(int port) throws IOException {
        String local = String.format(":%04X", port);
        List<String> lines = new ArrayList<>(Files.readAllLines(Path.of("/proc/net/tcp")));
        lines.addAll(Files.readAllLines(Path.of("/proc/net/tcp6")));
        for (String line : lines) {
            String[] words = line.trim().split("\\s+");
            if (words[1].endsWith(local) && words[3].equals("0A")) {
                return Integer.parseInt(words[4].split(":")[1], 16);
            }
        }
        throw new IOException("nobody listens at " + port);
    }

    @Test
    public void connectionsThatAreNotHandedOverWhenAReplacedNodeLeavesAreStillAnswered()
            throws Exception {
        start("1024");
        Runnable goOn = hold();
        loop.execute(() -> router.leave(true));
        List<Socket> late = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            late.add(client("OPEN i" + i + " k c=p,d=3000\r\n"));
        }
        for (long until = System.nanoTime() + PATIENCE_MS * 1_000_000L;
                notAccepted(address.getPort()) > 0; ) {
            assertTrue(System.nanoTime() < until);
        }
        // The last one has left the system's queue, and is put into the library's a moment after
        // that.
        Thread.sleep(50);
        goOn.run();
        for (Socket each : late) {
            assertTrue(hear(each).startsWith("BUSY"));
        }
    }

    @Test
    public void wholeFirstLineThatIsUnreadAtTheStopIsAnswered() throws Exception {
        ServerSocket host = listening();
        start("1024", host);
        Socket client = client("");
        awaitCounted("connections taken in", 1);
        Runnable goOn = hold();
        say(client, "OPEN i k c=p,d=3000\r\n");
        loop.execute(
                () -> {
                    router.leave(false);
                    router.stop();
                });
        goOn.run();
        assertTrue(hear(client).startsWith("BUSY"));
    }

    // ---- What is promised ----

    @Test
    public void manyTunnelsOfOneWakeUpKeepToTheDescriptorsTogether() throws Exception {
        ServerSocket host = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        open.add(host);
        int clients = 60;
        int limit = on(loop::descriptors) + clients + 50;
        start("" + limit, host);
        List<Socket> waiting = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            waiting.add(client(""));
        }
        awaitCounted("connections taken in", clients);
        Runnable goOn = hold();
        for (int i = 0; i < clients; i++) {
            say(waiting.get(i), "OPEN i" + i + " k c=p,d=3000\r\n");
        }
        goOn.run();
        // Some are taken; others are declined, or turned away before their line is read, to make
        // room for those.
        while (on(
                        () ->
                                router.tally().of("tunnels taken")
                                        + router.tally()
                                                .of(
                                                        "connections turned away for want of descriptors"))
                < clients) {
            Thread.sleep(1);
        }
        long sent = counted("tunnels taken") - counted("tunnels declined for want of descriptors");
        awaitCounted("setups sent", sent);
        assertTrue(sent > 0 && sent < clients, "sent " + sent);
        assertTrue(on(loop::descriptors) <= limit, on(loop::descriptors) + " of " + limit);
    }
}
