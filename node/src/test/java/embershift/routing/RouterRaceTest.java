package embershift.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import embershift.LoopbackTestBase;
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
public class RouterRaceTest extends LoopbackTestBase {

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
            send(client, "line sent ahead\r\n".repeat(300));
        }
        if (how == Leaving.RESET || how == Leaving.MUCH_THEN_RESET) {
            reset(client);
        } else {
            client.close();
        }
    }

    /** No first line comes there on a connection that is made from now on. */
    private void assertNothingReceived(ServerSocket host) throws IOException {
        assertNothingReceived(host, 2 * SENT_ON_MS);
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
        settingOverrides = new String[] {"connect-timeout-s", "9", "client-timeout-s", "12"};
        ServerSocket host = openSmallBacklogServerSocket();
        startRouter("1024", host);
        fillBacklog(host);
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            clients.add(connectClient("OPEN i" + i + " k c=p,d=12000\r\n"));
        }
        awaitCounter("setups sent", 4);
        Runnable goOn = pauseLoop();
        for (Socket client : clients) {
            leave(client, how);
        }
        Socket up = drainBacklogAndAccept(host);
        // Up and left, and the loop has seen neither: it is to find both at once.
        goOn.run();
        assertEquals(readUntilClosed(up), "");
        awaitCounter(LEFT + " while a host was reached", 4);
        assertNothingReceived(host);
    }

    @Test(dataProvider = "ways")
    public void whoLeftWhileTheLoopStoodStillIsNotSentOn(Leaving how) throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Runnable goOn = pauseLoop();
        for (int i = 0; i < 8; i++) {
            leave(connectClient("OPEN i" + i + " k c=p,d=3000\r\n"), how);
        }
        goOn.run();
        assertNothingReceived(host);
        assertTrue(callOnLoop(router::isDrained));
    }

    @Test(dataProvider = "ways")
    public void whoLeftWhileAHostWasAskedIsGivenUpThereAndNotSentOn(Leaving how) throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
        Socket side = accept(host);
        readLine(side);
        leave(client, how);
        assertEquals(readUntilClosed(side), "");
        assertNothingReceived(host);
        assertEquals(counter(LEFT + " while a host was asked"), 1);
    }

    @Test(dataProvider = "ways")
    public void whoLeftWhileASetupEndedIsNotSentAgain(Leaving how) throws Exception {
        settingOverrides = new String[] {"setup-goal-s", "0.1", "connect-timeout-s", "1"};
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
        Socket side = accept(host);
        readLine(side);
        assertEquals(readLine(side), null);
        leave(client, how);
        assertNothingReceived(host);
        assertEquals(counter(LEFT + " while a setup ended"), 1);
    }

    @Test(dataProvider = "ways")
    public void whoLeftWhileItsHostWasUnknownIsNotSentThereOnceItIsKnown(Leaving how)
            throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024");
        Socket watch = accept(discovery);
        readRequest(watch);
        Socket client = connectClient("OPEN i k c=p,d=3000,at=" + instanceId(host) + "\r\n");
        awaitCounter("tunnels taken", 1);
        leave(client, how);
        awaitCounter(LEFT + " unplaced", 1);
        sendOkResponse(watch, rosterJson(2, true, rosterEntry(host, "in_service")));
        readRequest(watch);
        assertNothingReceived(host);
        assertTrue(callOnLoop(router::isDrained));
    }

    @Test(dataProvider = "ways")
    public void whoStoodAtAHostAndLeftBeforeItsNextTryIsNotSentThere(Leaving how) throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,d=3000,at=" + instanceId(host) + "\r\n");
        Socket side = accept(host);
        readLine(side);
        send(side, "BUSY\r\n");
        assertEquals(readUntilClosed(side), "");
        leave(client, how);
        assertNothingReceived(host);
        assertEquals(counter(LEFT + " standing before"), 1);
    }

    @Test(dataProvider = "ways")
    public void whoLeftWhileAHostWasAskedForItsLoadIsNotSentOn(Leaving how) throws Exception {
        settingOverrides = new String[] {"may-probe", "true", "columns", "[\"x0\"]"};
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        // The module asks all hosts from its first tunnel on, and the tunnel waits for the answer.
        Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
        Socket asked = accept(host);
        assertEquals(readLine(asked), "STATS");
        leave(client, how);
        awaitCounter(LEFT + " unplaced", 1);
        send(asked, "PONG x0=0.1\r\n");
        assertNothingReceived(host);
        assertTrue(callOnLoop(router::isDrained));
    }

    @Test
    public void whoSendsTooMuchAheadHearsSoAndItsSetupIsGivenUp() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket client = connectClient("OPEN i k c=p,d=3000\r\n");
        Socket side = accept(host);
        readLine(side);
        send(client, "line sent ahead\r\n".repeat(600));
        assertEquals(readLine(client), "ERR too much before the answer");
        assertEquals(readLine(client), null);
        assertEquals(readUntilClosed(side), "");
        assertNothingReceived(host);
        assertTrue(callOnLoop(router::isDrained));
    }

    @DataProvider
    public Object[][] tidings() {
        return new Object[][] {{"terminating"}, {"terminated"}, {"by hand"}};
    }

    @Test(dataProvider = "tidings")
    public void hostThatIsToTakeNothingNewByTheTimeItIsReachedGetsNothing(String told)
            throws Exception {
        settingOverrides = new String[] {"connect-timeout-s", "9", "client-timeout-s", "12"};
        ServerSocket host = openSmallBacklogServerSocket();
        startRouter("1024", host);
        Socket watch = accept(discovery);
        readRequest(watch);
        fillBacklog(host);
        Socket client = connectClient("OPEN i k c=p,d=12000\r\n");
        awaitCounter("setups sent", 1);
        if (told.equals("by hand")) {
            runOnLoop(() -> router.setOutOfService(new HostId(instanceId(host)), true, () -> {}));
        } else {
            sendOkResponse(watch, rosterJson(2, false, rosterEntry(host, told)));
            readRequest(watch);
        }
        assertEquals(readUntilClosed(drainBacklogAndAccept(host)), "");
        // Never sent, so the module places it anew: nowhere, as there is no other host.
        assertTrue(readLine(client).startsWith("BUSY"));
        assertNothingReceived(host);
    }

    // ---- Ids and late news ----

    @Test
    public void lateEndOfASetupReachesNoOtherTunnelOfItsId() throws Exception {
        settingOverrides = new String[] {"setup-goal-s", "0.1", "connect-timeout-s", "1"};
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket first = connectClient("OPEN same k c=p,d=3000\r\n");
        Socket late = accept(host);
        readLine(late);
        // Given up, and out until the host ends it or for 0.4 s.
        assertEquals(readLine(late), null);
        first.close();
        awaitCounter(LEFT, 1);
        Socket second = connectClient("OPEN same k c=p,d=3000\r\n");
        Socket side = accept(host);
        assertTrue(readLine(side).startsWith("OPEN same "));
        late.close();
        awaitCounter("setups ended timed_out", 1);
        // The module still knows the second one: it is sent on where its host turns it away.
        send(side, "BUSY\r\n");
        assertTrue(readLine(accept(host)).startsWith("OPEN same "));
        assertFalse(callOnLoop(router::isDrained));
        second.close();
    }

    // ---- Questions to hosts ----

    private Socket asked(ServerSocket host) throws Exception {
        settingOverrides = new String[] {"may-probe", "true", "columns", "[\"x0\"]"};
        startRouter("1024", host);
        probe(host);
        Socket side = accept(host);
        assertEquals(readLine(side), "STATS");
        return side;
    }

    private void probe(ServerSocket host) throws Exception {
        callOnLoop(
                () -> {
                    router.probe(new HostId(instanceId(host)));
                    return null;
                });
    }

    @Test
    public void secondAnswerOfAHostIsNotTakenForTheNextOne() throws Exception {
        ServerSocket host = openServerSocket();
        Socket side = asked(host);
        send(side, "PONG x0=0.1\r\n");
        awaitCounter("probes answered", 1);
        probe(host);
        send(side, "PONG x0=0.1\r\n");
        Socket next = accept(host);
        assertEquals(readLine(next), "STATS");
        assertEquals(counter("probes answered"), 1);
        assertEquals(counter("probe connections out of step"), 1);
        send(next, "PONG x0=0.2\r\n");
        awaitCounter("probes answered", 2);
        assertEquals(counter("probes failed"), 0);
    }

    @Test
    public void restOfAnAnswerInPiecesIsNotTakenForTheNextOne() throws Exception {
        ServerSocket host = openServerSocket();
        Socket side = asked(host);
        send(side, "PONG x0=0.1\r\nPO");
        awaitCounter("probes answered", 1);
        probe(host);
        Socket next = accept(host);
        assertEquals(readLine(next), "STATS");
        assertEquals(readUntilClosed(side), "");
        assertEquals(counter("probes answered"), 1);
    }

    @Test
    public void questionThatCrossesWithTheEndOfAKeptConnectionIsAskedAgain() throws Exception {
        ServerSocket host = openServerSocket();
        for (int times = 0; times < 2; times++) {
            Socket side = times == 0 ? asked(host) : accept(host);
            send(side, "PONG x0=0.1\r\n");
            awaitCounter("probes answered", times + 1);
            Thread.sleep(100);
            Runnable goOn = pauseLoop();
            loop.execute(() -> router.probe(new HostId(instanceId(host))));
            if (times == 0) {
                side.close();
            } else {
                reset(side);
            }
            // The question goes out behind the end that nobody has read yet.
            goOn.run();
        }
        Socket last = accept(host);
        assertEquals(readLine(last), "STATS");
        send(last, "PONG x0=0.3\r\n");
        awaitCounter("probes answered", 3);
        assertEquals(counter("probes failed"), 0);
    }

    @Test
    public void questionThatIsOutWhenAHostsAddressChangesIsAskedThere() throws Exception {
        ServerSocket host = openServerSocket();
        ServerSocket there = openServerSocket();
        Socket side = asked(host);
        Socket watch = accept(discovery);
        readRequest(watch);
        sendOkResponse(
                watch,
                rosterJson(
                        2,
                        false,
                        rosterEntry(host, "in_service")
                                .replace(
                                        ":" + host.getLocalPort() + "\"",
                                        ":" + there.getLocalPort() + "\"")));
        Socket next = accept(there);
        assertEquals(readLine(next), "STATS");
        assertEquals(readUntilClosed(side), "");
        send(next, "PONG x0=0.1\r\n");
        awaitCounter("probes answered", 1);
        assertEquals(counter("probes failed"), 0);
    }

    @Test
    public void answerWithoutAnEndLeavesTheNextQuestionAConnectionOfItsOwn() throws Exception {
        ServerSocket host = openServerSocket();
        Socket side = asked(host);
        send(side, "PONG x0=0.1".repeat(500));
        awaitCounter("probes failed", 1);
        assertEquals(readUntilClosed(side), "");
        probe(host);
        assertEquals(readLine(accept(host)), "STATS");
    }

    // ---- Watches ----

    @Test
    public void firstWatchThatFellSilentAtOnceIsCalledAnewBeforeWhatItMissedCountsAsTold()
            throws Exception {
        settingOverrides = new String[] {"must-ask-in-s", "10"};
        startRouter("1024");
        Socket watch = accept(discovery);
        long fellSilent = System.nanoTime();
        readRequest(watch);
        readRequest(accept(discovery));
        double after = (System.nanoTime() - fellSilent) / 1e9;
        assertTrue(after < 6, "called anew after " + after + " s");
    }

    @Test
    public void watchThatFellSilentRightAfterAnAnswerIsCalledAnewInTime() throws Exception {
        settingOverrides = new String[] {"must-ask-in-s", "10"};
        startRouter("1024");
        Socket watch = accept(discovery);
        readRequest(watch);
        sendOkResponse(watch, rosterJson(2, true));
        assertEquals(readRequest(watch), "GET /api/targets?after=2&wait_ms=3000 HTTP/1.1");
        long fellSilent = System.nanoTime();
        readRequest(accept(discovery));
        double after = (System.nanoTime() - fellSilent) / 1e9;
        assertTrue(after < 6, "called anew after " + after + " s");
    }

    @Test
    public void olderListThatComesOnceMoreChangesNothing() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket watch = accept(discovery);
        readRequest(watch);
        String first = rosterJson(2, true, rosterEntry(host, "in_service"));
        sendOkResponse(watch, first);
        readRequest(watch);
        sendOkResponse(watch, rosterJson(3, false, rosterEntry(host, "terminating")));
        readRequest(watch);
        sendOkResponse(watch, first);
        assertEquals(
                readRequest(accept(discovery)), "GET /api/targets?after=3&wait_ms=1600 HTTP/1.1");
        assertTrue(readLine(connectClient("OPEN i k c=p,d=500\r\n")).startsWith("BUSY"));
        assertNothingReceived(host);
    }

    @Test
    public void secondAnswerThatComesWithTheFirstIsNoAnswerToTheNextCall() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket watch = accept(discovery);
        readRequest(watch);
        String first = okResponse(rosterJson(2, true, rosterEntry(host, "in_service")));
        send(watch, first + first.substring(0, 40));
        Socket next = accept(discovery);
        assertEquals(readRequest(next), "GET /api/targets?after=2&wait_ms=1600 HTTP/1.1");
        assertEquals(readLine(watch), null);
        sendOkResponse(next, rosterJson(3, false, rosterEntry(host, "terminating")));
        readRequest(next);
        assertEquals(counter("roster calls failed"), 0);
    }

    @Test
    public void versionsThatBeginAnewAreAskedForAsAWhole() throws Exception {
        startRouter("1024");
        Socket watch = accept(discovery);
        readRequest(watch);
        sendOkResponse(watch, rosterJson(40, true));
        readRequest(watch);
        watch.close();
        Socket next = accept(discovery);
        assertEquals(readRequest(next), "GET /api/targets?after=40&wait_ms=1600 HTTP/1.1");
        sendOkResponse(next, rosterJson(2, false));
        assertEquals(readRequest(next), "GET /api/targets HTTP/1.1");
    }

    @Test
    public void wholeListWantedDuringAWatchIsAskedForAfterIt() throws Exception {
        startRouter("1024");
        Socket watch = accept(discovery);
        readRequest(watch);
        callOnLoop(
                () -> {
                    router.requestRoster();
                    return null;
                });
        sendOkResponse(watch, rosterJson(2, false));
        assertEquals(readRequest(watch), "GET /api/targets HTTP/1.1");
    }

    @Test
    public void answerInTwoHalvesWithTheEndBetweenIsAFailureThatIsCalledAnew() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket watch = accept(discovery);
        readRequest(watch);
        send(watch, okResponse(rosterJson(2, true)).substring(0, 70));
        watch.close();
        Socket next = accept(discovery);
        // After a failure it waits there for less, by chance: two seconds of its own time are for
        // its turn.
        String again = readRequest(next);
        assertTrue(again.matches("GET /api/targets\\?after=1&wait_ms=\\d+ HTTP/1.1"), again);
        int wait = Integer.parseInt(again.replaceAll(".*wait_ms=|\\sHTTP.*", ""));
        assertTrue(wait >= 200 && wait <= 1600, again);
        assertEquals(counter("roster calls failed"), 1);
        // The half that came has taken nothing off the list.
        connectClient("OPEN i k c=p,d=3000\r\n");
        assertTrue(readLine(accept(host)).startsWith("OPEN i "));
    }

    @Test
    public void keptConnectionThatDiscoveryEndsAsACallGoesOutIsMadeAnewAtOnce() throws Exception {
        startRouter("1024");
        Socket watch = accept(discovery);
        readRequest(watch);
        Runnable goOn = pauseLoop();
        sendOkResponse(watch, rosterJson(2, true));
        watch.close();
        goOn.run();
        assertEquals(
                readRequest(accept(discovery)), "GET /api/targets?after=2&wait_ms=1600 HTTP/1.1");
        assertEquals(counter("roster calls failed"), 0);
    }

    @Test
    public void reloadDuringAFailedCallsWaitIsNotFollowedByAnotherWatch() throws Exception {
        rosterOnRequest = false;
        startRouter("1024");
        reset(accept(discovery));
        awaitCounter("roster calls failed", 1);
        ServerSocket before = discovery;
        discovery = openServerSocket();
        reconfigure();
        Socket watch = accept(discovery);
        assertEquals(readRequest(watch), "GET /api/targets HTTP/1.1");
        sendOkResponse(watch, rosterJson(2, true));
        assertEquals(readRequest(watch), "GET /api/targets?after=2&wait_ms=3000 HTTP/1.1");
        // Past the half second after which the failed call would have been made again.
        before.setSoTimeout(700);
        assertThrows(SocketTimeoutException.class, before::accept);
        assertEquals(counter("roster calls"), 3);
    }

    // ---- The end of the node ----

    private void runOnLoop(Runnable step) throws Exception {
        callOnLoop(
                () -> {
                    step.run();
                    return null;
                });
    }

    @Test
    public void whoTookItsLeaveJustBeforeTheStopIsEndedOnBothSides() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] ends = openTunnel(host);
        ends[0].shutdownOutput();
        assertEquals(readLine(ends[1]), null);
        runOnLoop(router::stop);
        assertTrue(callOnLoop(router::isDrained));
        assertEquals(readLine(ends[0]), null);
    }

    @Test
    public void clientInTheMiddleOfAHostsLineIsToldToMoveAtTheStop() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] ends = openTunnel(host);
        send(ends[1], "whole\r\nhalf a li");
        assertEquals(readLine(ends[0]), "whole");
        runOnLoop(router::stop);
        assertEquals(readLine(ends[0]), "MOVE");
        assertEquals(readLine(ends[0]), null);
    }

    @Test
    public void whatAHostSaysLastWithoutAnEndIsPassedOnBeforeItsOwn() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket[] ends = openTunnel(host);
        send(ends[1], "whole\r\nlast wo");
        assertEquals(readLine(ends[0]), "whole");
        ends[1].close();
        assertEquals(readLine(ends[0]), "last wo");
    }

    @Test
    public void firstLineInPiecesAcrossTheLeaveIsWaitedForAndAnswered() throws Exception {
        startRouter("1024");
        Socket client = connectClient("PING\r\nOPEN i k c=p,");
        assertEquals(readLine(client), "PONG");
        runOnLoop(() -> router.leave(false));
        assertFalse(callOnLoop(router::isDrained));
        send(client, "d=3000\r\n");
        assertTrue(readLine(client).startsWith("BUSY"));
        assertTrue(callOnLoop(router::isDrained));
    }

    @Test
    public void firstLineThatNeverCameWholeHearsAWordAtTheStop() throws Exception {
        startRouter("1024");
        Socket half = connectClient("PING\r\nOPEN i k c=p,");
        Socket silent = connectClient("");
        assertEquals(readLine(half), "PONG");
        awaitCounter("connections taken in", 2);
        runOnLoop(() -> router.leave(false));
        runOnLoop(router::stop);
        assertEquals(readLine(half), "BUSY");
        assertEquals(readLine(silent), "BUSY");
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
        startRouter("1024");
        Runnable goOn = pauseLoop();
        loop.execute(() -> router.leave(true));
        List<Socket> late = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            late.add(connectClient("OPEN i" + i + " k c=p,d=3000\r\n"));
        }
        for (long until = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
                notAccepted(routerAddress.getPort()) > 0; ) {
            assertTrue(System.nanoTime() < until);
        }
        // The last one has left the system's queue, and is put into the library's a moment after
        // that.
        Thread.sleep(50);
        goOn.run();
        for (Socket each : late) {
            assertTrue(readLine(each).startsWith("BUSY"));
        }
    }

    @Test
    public void wholeFirstLineThatIsUnreadAtTheStopIsAnswered() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        Socket client = connectClient("");
        awaitCounter("connections taken in", 1);
        Runnable goOn = pauseLoop();
        send(client, "OPEN i k c=p,d=3000\r\n");
        loop.execute(
                () -> {
                    router.leave(false);
                    router.stop();
                });
        goOn.run();
        assertTrue(readLine(client).startsWith("BUSY"));
    }

    // ---- What is promised ----

    @Test
    public void manyTunnelsOfOneWakeUpKeepToTheDescriptorsTogether() throws Exception {
        ServerSocket host = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        closeables.add(host);
        int clients = 60;
        int limit = callOnLoop(loop::openDescriptors) + clients + 50;
        startRouter("" + limit, host);
        List<Socket> waiting = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            waiting.add(connectClient(""));
        }
        awaitCounter("connections taken in", clients);
        Runnable goOn = pauseLoop();
        for (int i = 0; i < clients; i++) {
            send(waiting.get(i), "OPEN i" + i + " k c=p,d=3000\r\n");
        }
        goOn.run();
        // Some are taken; others are declined, or turned away before their line is read, to make
        // room for those.
        while (callOnLoop(
                        () ->
                                router.tally().of("tunnels taken")
                                        + router.tally()
                                                .of(
                                                        "connections turned away for want of descriptors"))
                < clients) {
            Thread.sleep(1);
        }
        long sent = counter("tunnels taken") - counter("tunnels declined for want of descriptors");
        awaitCounter("setups sent", sent);
        assertTrue(sent > 0 && sent < clients, "sent " + sent);
        assertTrue(
                callOnLoop(loop::openDescriptors) <= limit,
                callOnLoop(loop::openDescriptors) + " of " + limit);
    }
}
