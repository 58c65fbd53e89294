package embershift.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import embershift.model.Deployment.Budget;
import embershift.model.Deployment.DedupScope;
import embershift.model.Deployment.Repeat;
import embershift.model.GroupId;
import embershift.model.Listing;
import embershift.model.News;
import embershift.model.ProfileId;
import embershift.model.SetupEnd;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class PolicyTest {

    @DataProvider
    public Object[][] weights() {
        return new Object[][] {
            {0.2, 1.0, 2, 204.8},
            {0.8, 1.0, 2, 51.2},
            {0.5, 1.5, 3, 256 / 3.0},
            {0, 0, 4, 64},
            {0.7, 0.7, 1, 256}
        };
    }

    @Test(dataProvider = "weights")
    public void weightsAreInverseRatiosOfTheLoad(double count, double total, int n, double weight) {
        assertEquals(Policy.weight(count, total, n), weight, 1e-9);
    }

    @Test
    public void equalHostsAreDrawnAlike() {
        Node node = new Node(4).loads(0, 0, 0, 0);
        node.arrive(0, 400, null);
        for (int host = 0; host < 4; host++) {
            long there = node.sentTo(host);
            assertTrue(there > 80 && there < 120, "h" + host + " was given " + there);
        }
    }

    @Test
    public void sameSeedAndNewsGiveSameDecisions() {
        List<String> one = new Node(6).loads(0.1, 0.2, 0.3, 0.4, 0.5, 0.2).arrive(0, 50, null);
        assertEquals(new Node(6).loads(0.1, 0.2, 0.3, 0.4, 0.5, 0.2).arrive(0, 50, null), one);
    }

    @Test
    public void hostNotHeardFromTakesTheMean() {
        Node node = new Node(3).loads(0.2, 0.4);
        node.round(news -> news.probeEnded(Node.host(2), true, 0.01));
        node.arrive(0, 200, null);
        assertTrue(node.sentTo(2) > 0);
    }

    @Test
    public void drainingAndGoneHostsGetNothing() {
        Node node = new Node(3).loads(0.1, 0.1, 0.1);
        node.round(
                news ->
                        news.rosterChanged(
                                List.of(
                                        Node.listing(0, Listing.State.DRAINING, 0),
                                        Node.listing(2, Listing.State.GONE, 0))));
        node.arrive(0, 20, null);
        assertEquals(node.sentTo(1), 20);
    }

    @Test
    public void hostAbsentFromACompleteListIsGone() {
        Node node = new Node(2).loads(0.1, 0.1);
        node.round(
                news -> news.rosterListed(List.of(Node.listing(1, Listing.State.READY, 0)), false));
        node.arrive(0, 1, null);
        assertEquals(node.lastHost(), 1);
    }

    @Test
    public void onceOnlyThatMayHaveRunIsClosedWithError() {
        Node node = new Node(Repeat.ONCE_ONLY, DedupScope.ALL, 4, 1).loads(0.1, 0.1, 0.1, 0.1);
        node.arrive(0, 1, null);
        assertEquals(node.end(0, 0, node.lastHost(), SetupEnd.BROKEN).get(0), "close t0");
    }

    @Test
    public void onceOnlyThatNeverRanIsSentElsewhere() {
        Node node = new Node(Repeat.ONCE_ONLY, DedupScope.ALL, 4, 1).loads(0.1, 0.1, 0.1, 0.1);
        node.arrive(0, 1, null);
        int first = node.lastHost();
        node.end(0, 0, first, SetupEnd.FULL);
        assertTrue(node.lastHost() >= 0);
        assertNotEquals(node.lastHost(), first);
    }

    @DataProvider
    public Object[][] scopes() {
        return new Object[][] {{DedupScope.ZONE}, {DedupScope.CELL}};
    }

    @Test(dataProvider = "scopes")
    public void referencedThatMayHaveRunStaysInItsGroupOfHosts(DedupScope scope) {
        Node node =
                new Node(Repeat.REFERENCED, scope, 8, 1)
                        .loads(0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1);
        node.arrive(0, 1, null);
        int first = node.lastHost();
        node.end(0, 0, first, SetupEnd.ERROR);
        int next = node.lastHost();
        boolean same = scope == DedupScope.ZONE ? next % 2 == first % 2 : next / 2 == first / 2;
        assertTrue(same, first + " then " + next);
    }

    @Test
    public void referencedPastItsWindowIsNeitherSentNorDeclined() {
        Node node = new Node(Repeat.REFERENCED, DedupScope.ALL, 4, 1).loads(0.1, 0.1, 0.1, 0.1);
        node.arrive(0, 1, null);
        node.now += 2.1;
        assertEquals(node.end(0, 0, node.lastHost(), SetupEnd.ERROR).get(0), "close t0");
    }

    @Test
    public void repeatableIsDeclinedAfterItsLastSetup() {
        Node node = new Node(4).loads(0.1, 0.1, 0.1, 0.1);
        node.arrive(0, 1, null);
        for (int setup = 0; setup < 3; setup++) {
            node.end(0, setup, node.lastHost(), SetupEnd.FULL);
            assertEquals(node.count("set up"), 1);
        }
        assertEquals(node.end(0, 3, 0, SetupEnd.FULL).get(0), "decline t0 with advice");
    }

    @Test
    public void newsOfWhatIsOverOrUnknownHasNoEffect() {
        Node node = new Node(2).loads(0.1, 0.1);
        node.arrive(0, 1, null);
        node.round(news -> news.tunnelLeft(Node.tun(0)));
        node.round(
                news -> {
                    news.setupEnded(Node.tun(0), 0, Node.host(0), SetupEnd.CANCELLED, 0.1, true);
                    news.tunnelOpened(Node.tun(7), 0, Node.host(9), 0.1);
                    news.hostReported(Node.host(9), 0.5, 1, 1);
                    news.probeEnded(Node.host(9), true, 0.1);
                });
        assertEquals(node.count("set up") + node.count("decline"), 0);
    }

    @Test
    public void hostThatFailsFastWeighsZero() {
        Node node = new Node(4).loads(0.1, 0.1, 0.1, 0.1);
        node.arrive(0, 1, null);
        int failing = node.lastHost();
        node.end(0, 0, failing, SetupEnd.ERROR);
        node.arrive(1, 50, null);
        assertEquals(node.sentTo(failing), 0);
    }

    @Test
    public void whereMostHostsFailTheDrawIsPlain() {
        Node node = new Node(4).loads(0.1, 0.1, 0.1, 0.1);
        node.round(
                news -> {
                    for (int host = 0; host < 3; host++) {
                        news.setupEnded(
                                Node.tun(host), 0, Node.host(host), SetupEnd.ERROR, 0.1, true);
                    }
                });
        node.arrive(0, 50, null);
        assertTrue(node.sentTo(3) < 50);
    }

    @Test
    public void fullHostsGetNoMoreAndTheTunnelIsDeclinedAtOnce() {
        Node node = new Node(3).loads(0.85, 0.9, 0.95);
        node.arrive(0, 1, null);
        assertEquals(node.said.get(0), "decline t0 with advice");
    }

    @Test
    public void coldHostIsSentNoMoreThanItsPart() {
        Node node = new Node(2).loads(0.7, 0.7);
        node.round(news -> news.rosterChanged(List.of(Node.listing(0, Listing.State.READY, 100))));
        node.arrive(0, 50, null);
        assertTrue(node.sentTo(0) <= 1);
    }

    @Test
    public void groupGoesWhereItIsHeld() {
        Node node = new Node(6).loads(0, 0, 0, 0, 0, 0);
        node.arrive(100, 120, null);
        node.loads(0.3, 0.3, 0.3, 0.3, 0.3, 0.3);
        node.arrive(0, 1, "g");
        int home = node.lastHost();
        node.arrive(1, 10, "g");
        assertEquals(node.sentTo(home), 10);
    }

    @Test
    public void nodesThatKnowNoHolderDrawTheSameHostForAGroup() {
        Set<Integer> homes = new HashSet<>();
        for (int seed = 1; seed <= 5; seed++) {
            Node node = new Node(Repeat.REPEATABLE, DedupScope.ALL, 6, seed);
            node.loads(0.3, 0.3, 0.3, 0.3, 0.3, 0.3);
            node.arrive(0, 1, "g");
            homes.add(node.lastHost());
        }
        assertEquals(homes.size(), 1);
    }

    @Test
    public void sinkingHostLosesTheLeastHeldGroupsFirst() {
        Node node = new Node(2);
        node.round(
                news -> {
                    for (int i = 0; i < 10; i++) {
                        standing(news, i, i < 8 ? "many" : "few" + i);
                    }
                });
        node.now += 2;
        node.loads(1.0, 0.2);
        assertEquals(
                node.said.stream().filter(line -> line.startsWith("move")).toList(),
                List.of("move t8", "move t9"));
    }

    private static void standing(News news, int i, String group) {
        news.tunnelStanding(
                Node.tun(i), new ProfileId("p"), null, null, new GroupId(group), Node.host(0));
    }

    @Test
    public void setupsThatFailEverywhereAreSentFewerAtATime() {
        Node node = new Node(8).loads(0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1);
        node.arrive(0, 40, null);
        List<String> sent = List.copyOf(node.said);
        node.now += 0.5;
        node.round(
                news -> {
                    for (int i = 0; i < 40; i++) {
                        news.setupEnded(
                                Node.tun(i),
                                0,
                                Node.host(Integer.parseInt(sent.get(i).split(" h")[1])),
                                SetupEnd.TIMED_OUT,
                                0.5,
                                true);
                    }
                });
        node.arrive(100, 40, null);
        assertTrue(
                node.count("set up") < 40 && node.count("set up") > 0,
                "sent " + node.count("set up"));
    }

    @Test
    public void setupsMayTakeLongerThanTheirGoalMoreSoWhileAllAreSlow() {
        Node node = new Node(4).loads(0.1, 0.1, 0.1, 0.1);
        node.arrive(0, 1, null);
        assertEquals(node.lastTimeOut, 1.5);
        node.round(news -> news.tunnelOpened(Node.tun(0), 0, Node.host(node.lastHost()), 0.8));
        node.arrive(1, 1, null);
        assertEquals(node.lastTimeOut, 2.4, 1e-9);
    }

    @Test
    public void waitingTunnelsAreAnsweredBeforeTheirTime() {
        Node node = new Node(2).loads(0.1, 0.1);
        setWindowToOne(node);
        node.loads(0.1, 0.1);
        node.round(
                news -> {
                    news.tunnelArrived(
                            Node.tun(900), new ProfileId("p"), null, null, null, 3, false);
                    news.tunnelArrived(
                            Node.tun(901), new ProfileId("p"), null, null, null, 30, false);
                    news.tunnelArrived(
                            Node.tun(902), new ProfileId("p"), null, null, null, 3.5, false);
                });
        assertEquals(node.count("set up"), 1);
        node.now += 3.3;
        assertTrue(node.round(news -> {}).contains("decline t902 with advice"));
    }

    private static void setWindowToOne(Node node) {
        for (int i = 0; i < 20; i++) {
            int id = i;
            node.arrive(id, 1, null);
            int host = Math.max(0, node.lastHost());
            node.now += 0.3;
            node.round(
                    news -> {
                        for (int k = 0; k < 4; k++) {
                            news.setupEnded(
                                    Node.tun(id), k, Node.host(host), SetupEnd.ERROR, 0.1, k == 0);
                        }
                    });
        }
    }

    @Test
    public void nodeWokenAStepEarlyAsksToBeWokenAgain() {
        Node node = new Node(2);
        node.arrive(0, 1, null);
        node.now += 0.125 - 5e-7;
        assertTrue(node.round(news -> {}).contains("wake"));
    }

    @Test
    public void nodesKeepToTheirShareOfALittleRoom() {
        Node node = new Node(4).loads(0, 0, 0, 0);
        node.arrive(0, 40, null);
        node.loads(0.79, 0.79, 0.79, 0.79);
        node.arrive(100, 40, null);
        assertTrue(node.count("set up") < 20, "sent " + node.count("set up"));
        node.now += 10;
        node.loads(0.3, 0.3, 0.3, 0.3);
        node.arrive(200, 10, null);
        assertEquals(node.count("set up"), 10);
    }

    @Test
    public void newHostsDoNotShrinkAColdHostsPart() {
        Node node = new Node(1).loads(0.5);
        node.arrive(0, 40, null);
        node.round(
                news -> {
                    for (int i = 0; i < 40; i++) {
                        news.tunnelOpened(Node.tun(i), 0, Node.host(0), 0.1);
                        news.setupEnded(Node.tun(i), 0, Node.host(0), SetupEnd.COMPLETED, 1, true);
                    }
                    news.rosterChanged(
                            IntStream.range(1, 30)
                                    .mapToObj(i -> Node.listing(i, Listing.State.READY, 100))
                                    .toList());
                });
        node.arrive(100, 1, null);
        node.now += 1;
        node.loads(0.5);
        node.round(
                news ->
                        IntStream.range(1, 30)
                                .forEach(i -> news.probeEnded(Node.host(i), true, 0.01)));
        node.arrive(101, 60, null);
        long cold = node.count("set up") - node.sentTo(0);
        assertTrue(cold >= 8, "sent to cold hosts: " + cold);
    }

    @Test
    public void hostsThatAllStartAgainShareWhatTheyDidWhenWarm() {
        Node node = new Node(10).loads(0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5);
        node.arrive(0, 40, null);
        node.round(
                news -> {
                    for (int i = 0; i < 40; i++) {
                        news.tunnelOpened(Node.tun(i), 0, Node.host(0), 0.1);
                        news.setupEnded(Node.tun(i), 0, Node.host(0), SetupEnd.COMPLETED, 1, true);
                    }
                    news.rosterChanged(
                            IntStream.range(0, 10)
                                    .mapToObj(i -> Node.listing(i, Listing.State.READY, 100))
                                    .toList());
                });
        node.arrive(100, 1, null);
        node.now += 1;
        node.loads(0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
        node.arrive(101, 200, null);
        // 2.5 a second ended on all ten: 3 times 0.3 and something of that is what all can take in
        // a second.
        assertTrue(node.count("set up") <= 10, "sent " + node.count("set up"));
    }

    /**
     * A node among five hosts at 0.6 and one that reports 0.02 as the roster is out of reach or
     * heard.
     */
    private static long sentToAnEmptyHost(boolean rosterHeard, boolean wasAway) {
        Node node = new Node(6).loads(0.6, 0.6, 0.6, 0.6, 0.6, 0.6);
        node.now += 2;
        node.round(news -> {});
        node.round(
                news -> {
                    if (rosterHeard) {
                        news.rosterChanged(List.of());
                    } else {
                        news.rosterLost();
                    }
                });
        if (wasAway) {
            node.round(news -> news.probeEnded(Node.host(0), false, 0.1));
        }
        node.now += 1;
        node.loads(0.02, 0.6, 0.6, 0.6, 0.6, 0.6);
        node.arrive(0, 30, null);
        return node.sentTo(0);
    }

    @Test
    public void hostThatComesBackEmptyWhileTheRosterIsAwayIsHeldForCold() {
        assertTrue(sentToAnEmptyHost(false, false) <= 1);
        assertTrue(sentToAnEmptyHost(true, true) <= 1);
    }

    @Test
    public void hostThatWasAlwaysThereMayBeEmpty() {
        assertTrue(sentToAnEmptyHost(true, false) > 10, "sent " + sentToAnEmptyHost(true, false));
    }

    @Test
    public void declinedTunnelsAreWorthNoProbes() {
        Node node = new Node(4).loads(0.95, 0.95, 0.95, 0.95);
        node.arrive(0, 40, null);
        assertEquals(node.count("decline"), 40);
        node.now += 3;
        assertFalse(node.round(news -> {}).stream().anyMatch(line -> line.startsWith("probe")));
    }

    @Test
    public void nodeThatDeclinesLooksAtFiveHostsASecondThatItIsNotSureOf() {
        Node node = new Node(8).loads(0.95, 0.95, 0.95, 0.95, 0.95, 0.95, 0.95, 0.95);
        node.now += 1.1;
        node.arrive(0, 40, null);
        node.loads(0.95, 0.95, 0.95, 0.95, 0.95, 0.95, 0.95, 0.95);
        node.now += 0.5;
        assertEquals(
                node.arrive(40, 40, null).stream().filter(line -> line.startsWith("probe")).count(),
                0);
        node.now += 0.75;
        int probes = 0;
        for (int i = 0; i < 50; i++) {
            node.now += 0.02;
            probes +=
                    (int)
                            node.arrive(80 + i, 1, null).stream()
                                    .filter(line -> line.startsWith("probe"))
                                    .count();
        }
        assertEquals(probes, 5);
    }

    @DataProvider
    public Object[][] senseless() {
        return new Object[][] {
            {Double.NaN}, {-1.0}, {Double.POSITIVE_INFINITY}, {Double.NEGATIVE_INFINITY}
        };
    }

    @Test(dataProvider = "senseless")
    public void senselessReportDoesNotShiftTheDraw(double figure) {
        Node told = new Node(4).loads(0.2, 0.3, 0.2, 0.3);
        told.round(news -> news.hostReported(Node.host(0), figure, figure, figure));
        assertEquals(
                told.arrive(0, 20, null),
                new Node(4).loads(0.2, 0.3, 0.2, 0.3).arrive(0, 20, null));
    }

    @Test
    public void nodeWithoutHostsDeclinesAtOnce() {
        Node node = new Node(0);
        assertEquals(node.arrive(0, 1, "g").get(0), "decline t0 with advice");
    }

    /** A host that hangs tells of ten times what it can do, as that is next to nothing then. */
    @Test
    public void hostsThatHangDoNotMakeTheOthersLookFull() {
        Node node = new Node(Repeat.REPEATABLE, DedupScope.ALL, 8, 1, Budget.NONE, 6);
        for (int host = 0; host < 8; host++) {
            node.stand(5 * host, 5, host);
        }
        node.loads(0.4, 0.4, 0.4, 0.4, 10, 9, 11, 10);
        node.arrive(100, 8, null);
        assertEquals(node.count("set up"), 8, node.reasons.toString());
        for (int host = 4; host < 8; host++) {
            assertEquals(node.sentTo(host), 0, "sent to h" + host + ", which hangs");
        }
    }

    /**
     * Nor do they make a tunnel look so heavy that hosts which have just started get no part of
     * them.
     */
    @Test
    public void hostsThatHangDoNotKeepColdOnesEmpty() {
        assertTrue(
                sentToTwoColdHosts(10) >= sentToTwoColdHosts(0.75),
                "cold hosts: "
                        + sentToTwoColdHosts(10)
                        + " beside hosts that hang, "
                        + sentToTwoColdHosts(0.75)
                        + " beside full ones");
    }

    private static int sentToTwoColdHosts(double loadOfThree) {
        Node node = new Node(8);
        for (int host = 0; host < 6; host++) {
            node.stand(30 * host, 30, host);
        }
        node.round(
                news ->
                        news.rosterChanged(
                                List.of(
                                        Node.listing(6, Listing.State.READY, node.now),
                                        Node.listing(7, Listing.State.READY, node.now))));
        int sent = 0;
        for (int step = 0; step < 40; step++) {
            node.now += 0.1;
            node.loads(0.75, 0.75, 0.75, loadOfThree, loadOfThree, loadOfThree, 0, 0);
            node.arrive(1000 + 5 * step, 5, null);
            sent += (int) (node.sentTo(6) + node.sentTo(7));
        }
        return sent;
    }

    @Test
    public void fewSinkingHostsDoNotMakeTheFleetBusy() {
        Node node = new Node(12);
        node.round(news -> news.messageDelayNoted(Node.host(0), 0.4));
        node.loads(1.2, 0.9, 0.95);
        List<String> decided = node.arrive(0, 1, "g");
        assertTrue(decided.stream().anyMatch(line -> line.startsWith("probe")), decided.toString());
        assertEquals(node.count("decline"), 0);
    }

    /**
     * A host that reports little while messages there come late: an untrue report, or a bad way to
     * it.
     */
    @Test
    public void tunnelsLeaveAHostWhoseMessagesStayLateAndNoneGoThere() {
        Node node = new Node(3).loads(0.2, 0.3, 0.3);
        node.stand(0, 8, 0);
        node.round(news -> news.messageDelayNoted(Node.host(0), 0.15));
        assertEquals(node.count("move"), 0);
        node.now += 1;
        node.round(news -> news.messageDelayNoted(Node.host(0), 0.15));
        assertEquals(node.count("move"), 4);
        node.loads(0.2, 0.3, 0.3).arrive(100, 20, null);
        assertEquals(node.sentTo(0), 0);
    }

    @DataProvider
    public Object[][] coldLoads() {
        return new Object[][] {{0.0}, {0.5}};
    }

    @Test(dataProvider = "coldLoads")
    public void coldHostIsFilledWhereAllWarmOnesAreBusy(double itsLoad) {
        Node node = new Node(6).loads(0.85, 0.85, 0.85, 0.85, 0.85);
        node.stand(0, 40, 1);
        node.now += 3.9;
        node.loads(0.85, 0.85, 0.85, 0.85, 0.85);
        node.round(
                news ->
                        news.rosterChanged(
                                List.of(Node.listing(5, Listing.State.READY, node.now - 4))));
        long sent = 0;
        for (int i = 0; i < 40; i++) {
            node.later(0.1);
            node.loads(0.85, 0.85, 0.85, 0.85, 0.85).arrive(100 + i, 1, "g" + i);
            sent += node.sentTo(5);
            if (node.lastProbed() == 5) {
                node.round(
                        news -> {
                            news.probeEnded(Node.host(5), true, 0.01);
                            news.hostReported(Node.host(5), itsLoad, Double.NaN, Double.NaN);
                        });
                sent += node.sentTo(5);
            }
        }
        assertTrue(sent > 0);
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{0.85, 0, 2}, {0.4, 5, 30}};
    }

    /**
     * One of eight hosts reports nothing: of fifty nodes in a busy fleet it gets a part from each,
     * in a calm one all.
     */
    @Test(dataProvider = "fleets")
    public void hostThatStandsOutAsEmptyIsRushedInACalmFleetOnly(double load, int least, int most) {
        Node node = new Node(Repeat.REPEATABLE, DedupScope.ALL, 8, 1, Budget.NONE, 50);
        for (int host = 1; host < 8; host++) {
            node.stand(1000 * host, 2, host);
        }
        node.loads(0, load, load, load, load, load, load, load);
        long sent = 0;
        for (int i = 0; i < 30; i++) {
            node.arrive(i, 1, "g" + i);
            sent += node.sentTo(0);
        }
        assertTrue(sent >= least && sent <= most, sent + " sent");
    }

    /**
     * Many tunnels come back at once, to this node and so to all others: what they place shows in
     * no report yet.
     */
    @Test
    public void rushIsTakenForOneAtAllNodes() {
        long[] sent = new long[2];
        for (int nodes = 1; nodes <= 20; nodes += 19) {
            Node node = new Node(Repeat.REPEATABLE, DedupScope.ALL, 10, 1, Budget.NONE, nodes);
            node.stand(1000, 100, 0);
            node.loads(0.6, 0.6, 0.6, 0.6, 0.6, 0.6, 0.6, 0.6, 0.6, 0.6);
            node.arrive(0, 60, null);
            sent[nodes / 20] = node.count("set up");
        }
        assertTrue(sent[1] < sent[0] * 2 / 3, sent[0] + " alone, " + sent[1] + " of twenty");
    }

    @Test
    public void lateTunnelsAreMovedThoughOthersAreDeclined() {
        Node node = new Node(3).loads(0.2, 0.95, 0.95);
        node.stand(0, 8, 0);
        node.round(news -> news.messageDelayNoted(Node.host(0), 0.15));
        node.now += 1;
        node.arrive(100, 60, "g");
        assertTrue(node.count("decline") > 0);
        node.round(news -> news.messageDelayNoted(Node.host(0), 0.15));
        assertEquals(node.count("move"), 4);
    }

    @Test
    public void messageOverTwiceTheLongestGoalShowsLatenessAtOnce() {
        Node node = new Node(3).loads(0.2, 0.3, 0.3);
        node.stand(0, 8, 0);
        node.round(news -> news.messageDelayNoted(Node.host(0), 0.21));
        assertEquals(node.count("move"), 4);
    }

    @DataProvider
    public Object[][] notLate() {
        // A pause and back, two pauses seconds apart, and messages that are slow but still in time.
        return new Object[][] {{1.0, 0.15, 0.05}, {3.0, 0.15, 0.15}, {1.0, 0.08, 0.08}};
    }

    @Test(dataProvider = "notLate")
    public void hostThatOnlyPausesIsNotHeldForLate(double after, double first, double second) {
        Node node = new Node(3).loads(0.2, 0.3, 0.3);
        node.stand(0, 8, 0);
        node.round(news -> news.messageDelayNoted(Node.host(0), first));
        node.now += after;
        node.round(news -> news.messageDelayNoted(Node.host(0), second));
        assertEquals(node.count("move"), 0);
        node.loads(0.2, 0.3, 0.3).arrive(100, 20, null);
        assertTrue(node.sentTo(0) > 0);
    }

    @Test
    public void whereMessagesComeLateFromAllHostsTheDrawGoesOn() {
        Node node = new Node(2).loads(0.1, 0.1);
        for (int i = 0; i < 2; i++) {
            node.round(
                    news ->
                            IntStream.range(0, 2)
                                    .forEach(host -> news.messageDelayNoted(Node.host(host), 0.4)));
            node.now += 1;
        }
        node.loads(0.1, 0.1).arrive(0, 20, null);
        assertEquals(node.count("set up"), 20);
    }

    @Test
    public void hostIsAskedBeforeATunnelGoesThereAndRefusedByItsAnswer() {
        Node node = new Node(40);
        node.arrive(0, 1, "g");
        int first = node.lastProbed();
        assertEquals(node.count("probe") + node.count("set up"), 1);
        node.round(
                news -> {
                    news.probeEnded(Node.host(first), true, 0.01);
                    news.hostReported(Node.host(first), 0.95, Double.NaN, Double.NaN);
                });
        int second = node.lastProbed();
        assertNotEquals(second, first);
        node.round(
                news -> {
                    news.probeEnded(Node.host(second), true, 0.01);
                    news.hostReported(Node.host(second), 0.3, Double.NaN, Double.NaN);
                });
        assertEquals(node.sentTo(second), 1);
    }

    @Test
    public void placingStaysCheapInALargeFleet() {
        Node node = new Node(200);
        for (int i = 0; i < 50; i++) {
            node.now += 3;
            node.arrive(i, 1, "g" + i);
            assertTrue(node.count("probe") <= 1, "probes for one tunnel: " + node.count("probe"));
            int asked = node.lastProbed();
            node.round(
                    news -> {
                        news.probeEnded(Node.host(asked), true, 0.01);
                        news.hostReported(Node.host(asked), 0.01, Double.NaN, Double.NaN);
                    });
            assertEquals(node.count("probe") + node.count("set up"), 1);
        }
    }

    @Test
    public void hostThatGoesShiftsOnlyItsOwnGroups() {
        int shifted = 0;
        for (int group = 0; group < 40; group++) {
            int before = homeAmong(8, -1, group);
            int after = homeAmong(8, 7, group);
            shifted += before != 7 && after != before ? 1 : 0;
        }
        assertTrue(shifted <= 8, shifted + " groups moved though their host stayed");
    }

    private static int homeAmong(int hosts, int gone, int group) {
        Node node = new Node(hosts).loads(0.4, 0.4, 0.4, 0.4, 0.4, 0.4, 0.4, 0.4);
        if (gone >= 0) {
            node.round(
                    news -> news.rosterChanged(List.of(Node.listing(gone, Listing.State.GONE, 0))));
        }
        node.arrive(0, 1, "g" + group);
        return node.lastHost();
    }

    @Test
    public void busyFleetDeclinesWhatWouldSpreadAGroup() {
        Node node = new Node(8).loads(0.78, 0.79, 0.79, 0.78, 0.95, 0.95, 0.95, 0.95);
        int sent = 0;
        for (int group = 0; group < 40; group++) {
            node.arrive(group, 1, "g" + group);
            sent += node.count("set up");
        }
        assertTrue(sent > 0 && sent < 40, "sent " + sent);
    }

    @Test
    public void rosterIsWatchedAndAskedAgainWhenLost() {
        Node node = new Node(2);
        node.now += 3;
        assertTrue(node.round(news -> {}).contains("watch roster"));
        assertFalse(node.round(News::rosterLost).contains("watch roster"));
        node.now += 5;
        assertTrue(node.round(news -> {}).contains("watch roster"));
    }

    @Test
    public void rosterIsCalledAgainInTimeHoweverLongACallTookToFail() {
        for (double mustAsk : new double[] {9, 10, 30}) {
            for (double took : new double[] {0, 0.5, 2, 3.8}) {
                for (int seed = 0; seed < 10; seed++) {
                    Node node = Node.asking(mustAsk, seed);
                    node.now += mustAsk;
                    assertTrue(node.round(news -> {}).contains("watch roster"));
                    for (int fails = 0; fails < 8; fails++) {
                        double begun = node.now;
                        node.now += took;
                        List<String> said = node.round(News::rosterLost);
                        while (!said.contains("watch roster")) {
                            node.now += 0.01;
                            said = node.round(news -> {});
                        }
                        // What the roster has counts as told six seconds after it is back, and an
                        // answer takes up to two.
                        assertTrue(
                                node.now - begun < 3.85,
                                "called again after " + (node.now - begun));
                    }
                }
            }
        }
    }

    @Test
    public void tunnelsOfADrainingHostAreMovedInTurn() {
        Node node = new Node(2).loads(0.1, 0.1);
        node.stand(0, 30, 0);
        node.round(news -> news.rosterChanged(List.of(Node.listing(0, Listing.State.DRAINING, 0))));
        assertTrue(
                node.count("move") <= 1, "together they would push over the hosts that they go to");
        assertEquals(node.later(0.75), 15, 1);
        assertEquals(node.later(0.8), 15, 1);
    }

    @Test
    public void hostOutByHandGetsNothingWhateverTheListSaysUntilItIsCalledBack() {
        Node node = new Node(2).loads(0.1, 0.1);
        node.stand(100, 30, 0);
        node.round(news -> news.hostByHand(Node.host(0), true));
        assertEquals(node.later(1.6), 30, 1);
        node.round(news -> news.hostByHand(Node.host(0), true));
        Listing gone = Node.listing(0, Listing.State.GONE, 0);
        Listing back = Node.listing(0, Listing.State.READY, 101);
        Listing other = Node.listing(1, Listing.State.READY, 0);
        node.round(news -> news.rosterChanged(List.of(gone)));
        node.round(news -> news.rosterListed(List.of(other), false));
        node.round(news -> news.rosterListed(List.of(back, other), false));
        node.loads(0.0, 0.1);
        node.arrive(0, 20, null);
        assertEquals(node.sentTo(0), 0);
        node.end(0, 0, 1, SetupEnd.NO_CONNECTION);
        assertEquals(node.sentTo(0), 0);
        assertEquals(node.policy.listed(true), 1);
        node.now += 9;
        node.round(news -> news.hostByHand(Node.host(0), false));
        node.loads(0.0, 0.1);
        assertEquals(node.policy.listed(true), 0);
        node.arrive(20, 50, null);
        assertTrue(
                node.sentTo(0) <= 1, "it is cold, however long ago the list says that it started");
    }

    @Test
    public void whoWouldFindNoHostIsNotMovedOffOneThatStillServes() {
        Node node = new Node(2).loads(0.1, 0.1);
        node.stand(100, 30, 0);
        node.round(news -> news.rosterChanged(List.of(Node.listing(1, Listing.State.GONE, 0))));
        node.round(news -> news.hostByHand(Node.host(0), true));
        assertEquals(node.count("move"), 1, "before it is known that there is no room");
        for (int i = 0; i < 10; i++) {
            node.arrive(i, 1, null);
            assertEquals(node.later(0.3), 0);
        }
        node.round(news -> news.rosterChanged(List.of(Node.listing(1, Listing.State.READY, 0))));
        assertEquals(node.later(3), 29);
    }

    @Test
    public void processTakesOverWhatFillsAHostAndSendsColdOnesTheirPart() {
        Node told = new Node(2);
        Node untold = new Node(2);
        told.filling.told(200);
        for (Node node : List.of(told, untold)) {
            node.now += 5;
            node.round(
                    news ->
                            news.rosterChanged(
                                    List.of(
                                            Node.listing(0, Listing.State.READY, 105),
                                            Node.listing(1, Listing.State.READY, 105))));
            for (int i = 0; i < 40; i++) {
                node.now += 0.05;
                node.loads(0.05, 0.05);
                node.arrive(i, 1, null);
                node.round(news -> {});
            }
        }
        assertTrue(untold.placed >= 2, "else it could never learn: " + untold.placed);
        assertTrue(told.placed > 3 * untold.placed, told.placed + " and " + untold.placed);
    }

    @Test
    public void hostTakenBackIsNotHeldToWhatItDidBefore() {
        Node node = new Node(1).loads(0.1);
        node.arrive(0, 1, null);
        node.end(0, 0, 0, SetupEnd.ERROR);
        node.round(news -> news.hostByHand(Node.host(0), true));
        node.arrive(1, 1, null);
        assertEquals(node.count("decline"), 1);
        node.round(news -> news.hostByHand(Node.host(0), false));
        node.now += 9;
        node.loads(0.0);
        node.arrive(2, 1, null);
        assertEquals(node.lastHost(), 0);
    }

    @Test
    public void tunnelThatOpensOrIsFoundAtADrainingHostIsMovedToo() {
        Node node = new Node(2).loads(0.1, 0.1);
        node.arrive(0, 1, null);
        int host = node.lastHost();
        node.round(
                news -> news.rosterChanged(List.of(Node.listing(host, Listing.State.DRAINING, 0))));
        node.stand(7, 1, host);
        assertEquals(node.count("move t7"), 1);
        node.now += 2;
        node.round(news -> news.tunnelOpened(Node.tun(0), 0, Node.host(host), 2));
        assertEquals(node.count("move t0"), 1);
    }

    @Test
    public void nodeThatLeavesDeclinesAndMovesOnceTheFrontSendsNoMore() {
        Node node = new Node(2).loads(0.1, 0.1);
        node.stand(0, 30, 0);
        node.round(news -> news.nodeLeaving(false));
        assertEquals(node.count("move"), 0);
        assertEquals(node.arrive(100, 1, null).get(0), "decline t100 with advice");
        assertEquals(node.later(0.3), 0);
        node.round(news -> news.nodeHeard(0, new byte[] {2}));
        assertEquals(node.later(0.19), 0);
        assertEquals(node.later(1.26), 15, 1);
        assertEquals(node.later(1.25), 15, 1);
    }

    @Test
    public void nodeThatLeavesKeepsItsTunnelsWhileNoOtherIsHere() {
        Node node = new Node(2).loads(0.1, 0.1);
        node.stand(0, 30, 0);
        assertEquals(node.round(news -> news.nodeLeaving(false)).get(0), "tell all");
        node.round(news -> news.nodeHeard(0, new byte[] {1}));
        assertEquals(node.count("tell 0"), 0, "it is about to go itself");
        assertEquals(node.later(1), 0);
        node.now += 0.25;
        node.round(news -> {});
        assertEquals(node.count("tell all"), 1, "its question may have been lost");
        assertEquals(node.later(0.98), 0);
        assertEquals(node.later(0.78), 30);
        assertTrue(new Node(2).round(news -> news.nodeHeard(3, new byte[] {1})).contains("tell 3"));
    }

    @Test
    public void hostThatDrainsWhileTheNodeLeavesDoesNotPutOffTheNodesOwnMoves() {
        for (boolean byHand : new boolean[] {false, true}) {
            Node node = new Node(2).loads(0.1, 0.1);
            node.stand(0, 30, 0);
            node.round(news -> news.nodeLeaving(false));
            long moved = node.later(2.6);
            assertTrue(moved > 0 && moved < 30, "moved " + moved);
            node.round(
                    byHand
                            ? news -> news.hostByHand(Node.host(0), true)
                            : news ->
                                    news.rosterChanged(
                                            List.of(Node.listing(0, Listing.State.DRAINING, 0))));
            moved += node.count("move");
            assertEquals(moved + node.later(0.42), 30);
        }
    }

    @Test
    public void nodeThatIsReplacedMovesItsTunnelsAtOnceOverAllItsTime() {
        Node node = new Node(2).loads(0.1, 0.1);
        node.stand(0, 30, 0);
        assertFalse(node.round(news -> news.nodeLeaving(true)).contains("tell all"));
        assertEquals(node.later(1.5), 15, 1);
        assertEquals(node.later(1.5), 15, 1);
    }

    @Test
    public void nodeThatHasJustStartedDoesNotFillTheFirstHostThatItHearsFrom() {
        Node node = new Node(4).loads(0.01);
        node.arrive(0, 200, null);
        assertTrue(node.sentTo(0) > 0 && node.sentTo(0) < 100, "h0 was given " + node.sentTo(0));
        // The host that the rest asked is late with its answer: none of them waits for another, nor
        // do all
        // go to the only host that is known.
        long sent = node.count("set up");
        node.now += 0.13;
        node.round(news -> {});
        assertEquals(sent + node.count("set up"), 200);
        assertTrue(node.sentTo(0) < 100, "h0 was given " + node.sentTo(0));
    }

    @Test
    public void setupsThatAreOutCountThoughTheHostHasReportedSince() {
        Node node = new Node(2).loads(0, 0);
        node.arrive(0, 1, null);
        assertEquals(node.lastHost(), 0);
        node.loads(0, 0).arrive(1, 1, null);
        assertEquals(node.lastHost(), 1);
    }

    @Test
    public void tunnelThatOpensWhileTheNodeLeavesIsMovedToo() {
        Node node = new Node(2).loads(0.1, 0.1);
        node.arrive(0, 1, null);
        int host = node.lastHost();
        node.round(news -> news.nodeLeaving(false));
        node.now += 2.5;
        node.round(news -> news.tunnelOpened(Node.tun(0), 0, Node.host(host), 2.5));
        assertEquals(node.count("move t0"), 1);
    }

    @Test
    public void hostThatSinksOnLosesMoreOfItsTunnelsEachTime() {
        Node node = new Node(2);
        node.stand(0, 20, 1);
        assertEquals(node.loads(0.1, 1).count("move"), 4);
        node.now += 2.1;
        assertEquals(node.loads(0.1, 1).count("move"), 0.4 * 16, 1);
        node.now += 2.1;
        assertEquals(node.loads(0.1, 0.85).count("move"), 0);
        node.now += 2.1;
        assertEquals(node.loads(0.1, 1).count("move"), 0.2 * 10, 1);
    }

    @Test
    public void nodeThatFindsAHostSinkingTellsTheOthers() {
        Node node = new Node(2);
        node.stand(0, 8, 1);
        assertEquals(node.loads(0.1, 0.89).count("tell all"), 0);
        assertEquals(node.loads(0.1, 1.2).count("tell all"), 1);
        assertEquals(
                new Node(2).loads(0.1, 1.2).count("tell all"), 0, "it has none there to speak of");
    }

    @Test
    public void nodeAsksTheHostThatAnotherToldOfTheSoonerTheMoreItHasThere() {
        for (int own : new int[] {1, 16}) {
            Node node = new Node(2).loads(0.1, 0.1);
            node.stand(0, own, 1);
            node.now += 0.5;
            node.round(news -> news.nodeHeard(1, "h1".getBytes(StandardCharsets.UTF_8)));
            assertEquals(node.lastProbed(), own == 16 ? 1 : -1);
        }
    }

    @Test
    public void wordsOfUnknownHostsAreLeftAlone() {
        Node node = new Node(2).loads(0.1, 0.1);
        node.now += 0.5;
        node.round(
                news -> {
                    news.nodeHeard(7, new byte[0]);
                    news.nodeHeard(-1, new byte[] {-1, 0, 'h'});
                });
        assertEquals(node.count("probe"), 0);
    }

    private static Node ofNumbers(int hosts, int nodes) {
        return new Node(Repeat.REPEATABLE, DedupScope.ALL, hosts, 1, Budget.NONE, nodes, false);
    }

    /** Whether the roster's weights fall the more tunnels a host holds. */
    @DataProvider
    public Object[][] weighings() {
        return new Object[][] {{false}, {true}};
    }

    /**
     * Two hosts of four units and two of two, which shed their newest tunnels when they hold over
     * nine a unit; 80 tunnels of 108 that all could hold. At equal numbers the small ones would get
     * 20 each, shed, look idle by it and get all again.
     */
    @Test(dataProvider = "weighings")
    public void smallHostsThatTellNumbersAloneAreNotFilledLikeLargeOnes(boolean lowered) {
        int[] units = {4, 4, 2, 2};
        Node node = ofNumbers(4, 1);
        List<List<Integer>> held =
                List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        int shed = 0;
        int next = 0;
        for (int step = 0; step < 300; step++) {
            node.now += 0.1;
            if (step % 10 == 0) {
                node.round(
                        news ->
                                news.rosterChanged(
                                        IntStream.range(0, 4)
                                                .mapToObj(
                                                        i ->
                                                                Node.weighed(
                                                                        i,
                                                                        lowered
                                                                                ? units[i]
                                                                                        / (1.0
                                                                                                + held.get(
                                                                                                                        i)
                                                                                                                .size()
                                                                                                        / (double)
                                                                                                                units[
                                                                                                                        i])
                                                                                : units[i]))
                                                .toList()));
                node.numbers(held.stream().mapToInt(List::size).toArray());
            }
            List<Integer> over = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                int host = i;
                while (!held.get(i).isEmpty() && held.get(i).get(0) < next - 80) {
                    int ended = held.get(i).remove(0);
                    node.round(
                            news ->
                                    news.setupEnded(
                                            Node.tun(ended),
                                            0,
                                            Node.host(host),
                                            SetupEnd.COMPLETED,
                                            8,
                                            true));
                }
                while (held.get(i).size() > 9 * units[i] - (over.isEmpty() ? 0 : units[i])) {
                    over.add(held.get(i).remove(held.get(i).size() - 1));
                    node.round(
                            news ->
                                    news.setupEnded(
                                            Node.tun(over.get(over.size() - 1)),
                                            0,
                                            Node.host(host),
                                            SetupEnd.BROKEN,
                                            1,
                                            true));
                }
            }
            shed += over.size();
            for (int come = 0; come <= over.size(); come++) {
                int tunnel = next++;
                node.arrive(tunnel, 1, null);
                int host = node.lastHost();
                assertTrue(host >= 0, "no host for tunnel " + tunnel);
                node.round(news -> news.tunnelOpened(Node.tun(tunnel), 0, Node.host(host), 0.02));
                held.get(host).add(tunnel);
            }
        }
        assertTrue(shed <= 4, shed + " of 300 shed");
    }

    /**
     * What others hold is the guide to what a cold host may take: taken for full by one tunnel, it
     * would stand idle.
     */
    @Test
    public void coldHostAmongHostsThatTellNumbersIsFilledByWhatOthersHold() {
        Node node = ofNumbers(4, 4);
        node.now += 20;
        node.round(
                news ->
                        news.rosterChanged(
                                List.of(Node.listing(0, Listing.State.READY, node.now))));
        long sent = 0;
        for (int i = 0; i < 80; i++) {
            node.now += 0.1;
            node.numbers((int) sent, 40, 40, 40);
            node.arrive(i, 1, null);
            sent += node.sentTo(0);
        }
        assertTrue(sent >= 12 && sent <= 40, sent + " sent");
    }

    /** A number tells what a tunnel adds to it, also to a node that has just started. */
    @Test
    public void nodeThatHasJustStartedDoesNotFillTheHostThatTellsTheLeast() {
        Node node = ofNumbers(4, 4).numbers(30, 40, 40, 40);
        node.arrive(0, 40, null);
        assertEquals(node.count("set up"), 40);
        assertTrue(node.sentTo(0) < 20, "h0 was given " + node.sentTo(0));
    }
}
