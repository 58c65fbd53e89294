package embershift.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import embershift.model.Deployment.DedupScope;
import embershift.model.Deployment.Repeat;
import embershift.model.Deployment.RetryBudget;
import embershift.model.GroupId;
import embershift.model.NodeEvents;
import embershift.model.ProfileId;
import embershift.model.RosterEntry;
import embershift.model.SetupOutcome;
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
    public void weightsAreInverseToLoad(double count, double total, int hostCount, double weight) {
        assertEquals(Policy.weight(count, total, hostCount), weight, 1e-9);
    }

    @Test
    public void equalHostsAreDrawnEquallyOften() {
        PolicyHarness node = new PolicyHarness(4).reportLoads(0, 0, 0, 0);
        node.arriveTunnels(0, 400, null);
        for (int host = 0; host < 4; host++) {
            long there = node.setupsSentTo(host);
            assertTrue(there > 80 && there < 120, "h" + host + " was given " + there);
        }
    }

    @Test
    public void sameSeedAndEventsGiveSameDecisions() {
        List<String> one =
                new PolicyHarness(6)
                        .reportLoads(0.1, 0.2, 0.3, 0.4, 0.5, 0.2)
                        .arriveTunnels(0, 50, null);
        assertEquals(
                new PolicyHarness(6)
                        .reportLoads(0.1, 0.2, 0.3, 0.4, 0.5, 0.2)
                        .arriveTunnels(0, 50, null),
                one);
    }

    @Test
    public void hostWithoutReportIsGivenTheMeanLoad() {
        PolicyHarness node = new PolicyHarness(3).reportLoads(0.2, 0.4);
        node.round(events -> events.probeEnded(PolicyHarness.host(2), true, 0.01));
        node.arriveTunnels(0, 200, null);
        assertTrue(node.setupsSentTo(2) > 0);
    }

    @Test
    public void drainingAndGoneHostsGetNothing() {
        PolicyHarness node = new PolicyHarness(3).reportLoads(0.1, 0.1, 0.1);
        node.round(
                events ->
                        events.rosterChanged(
                                List.of(
                                        PolicyHarness.entry(0, RosterEntry.State.DRAINING, 0),
                                        PolicyHarness.entry(2, RosterEntry.State.GONE, 0))));
        node.arriveTunnels(0, 20, null);
        assertEquals(node.setupsSentTo(1), 20);
    }

    @Test
    public void hostAbsentFromCompleteRosterIsGone() {
        PolicyHarness node = new PolicyHarness(2).reportLoads(0.1, 0.1);
        node.round(
                events ->
                        events.rosterReplaced(
                                List.of(PolicyHarness.entry(1, RosterEntry.State.READY, 0)),
                                false));
        node.arriveTunnels(0, 1, null);
        assertEquals(node.lastSetupHost(), 1);
    }

    @Test
    public void onceOnlyThatMayHaveRunIsClosedWithError() {
        PolicyHarness node =
                new PolicyHarness(Repeat.ONCE_ONLY, DedupScope.ALL, 4, 1)
                        .reportLoads(0.1, 0.1, 0.1, 0.1);
        node.arriveTunnels(0, 1, null);
        assertEquals(
                node.endSetup(0, 0, node.lastSetupHost(), SetupOutcome.BROKEN).get(0), "close t0");
    }

    @Test
    public void onceOnlyThatNeverRanIsSentElsewhere() {
        PolicyHarness node =
                new PolicyHarness(Repeat.ONCE_ONLY, DedupScope.ALL, 4, 1)
                        .reportLoads(0.1, 0.1, 0.1, 0.1);
        node.arriveTunnels(0, 1, null);
        int first = node.lastSetupHost();
        node.endSetup(0, 0, first, SetupOutcome.FULL);
        assertTrue(node.lastSetupHost() >= 0);
        assertNotEquals(node.lastSetupHost(), first);
    }

    @DataProvider
    public Object[][] scopes() {
        return new Object[][] {{DedupScope.ZONE}, {DedupScope.CELL}};
    }

    @Test(dataProvider = "scopes")
    public void referencedThatMayHaveRunStaysInItsDedupScope(DedupScope scope) {
        PolicyHarness node =
                new PolicyHarness(Repeat.REFERENCED, scope, 8, 1)
                        .reportLoads(0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1);
        node.arriveTunnels(0, 1, null);
        int first = node.lastSetupHost();
        node.endSetup(0, 0, first, SetupOutcome.ERROR);
        int next = node.lastSetupHost();
        boolean same = scope == DedupScope.ZONE ? next % 2 == first % 2 : next / 2 == first / 2;
        assertTrue(same, first + " then " + next);
    }

    @Test
    public void referencedPastItsWindowIsNeitherSentNorDeclined() {
        PolicyHarness node =
                new PolicyHarness(Repeat.REFERENCED, DedupScope.ALL, 4, 1)
                        .reportLoads(0.1, 0.1, 0.1, 0.1);
        node.arriveTunnels(0, 1, null);
        node.now += 2.1;
        assertEquals(
                node.endSetup(0, 0, node.lastSetupHost(), SetupOutcome.ERROR).get(0), "close t0");
    }

    @Test
    public void repeatableIsDeclinedAfterItsLastSetup() {
        PolicyHarness node = new PolicyHarness(4).reportLoads(0.1, 0.1, 0.1, 0.1);
        node.arriveTunnels(0, 1, null);
        for (int setup = 0; setup < 3; setup++) {
            node.endSetup(0, setup, node.lastSetupHost(), SetupOutcome.FULL);
            assertEquals(node.count("set up"), 1);
        }
        assertEquals(node.endSetup(0, 3, 0, SetupOutcome.FULL).get(0), "decline t0 with advice");
    }

    @Test
    public void eventsOfEndedOrUnknownTunnelsAndHostsHaveNoEffect() {
        PolicyHarness node = new PolicyHarness(2).reportLoads(0.1, 0.1);
        node.arriveTunnels(0, 1, null);
        node.round(events -> events.tunnelAbandoned(PolicyHarness.tunnel(0)));
        node.round(
                events -> {
                    events.setupEnded(
                            PolicyHarness.tunnel(0),
                            0,
                            PolicyHarness.host(0),
                            SetupOutcome.CANCELLED,
                            0.1,
                            true);
                    events.tunnelOpened(PolicyHarness.tunnel(7), 0, PolicyHarness.host(9), 0.1);
                    events.hostReported(PolicyHarness.host(9), 0.5, 1, 1);
                    events.probeEnded(PolicyHarness.host(9), true, 0.1);
                });
        assertEquals(node.count("set up") + node.count("decline"), 0);
    }

    @Test
    public void hostThatFailsFastWeighsZero() {
        PolicyHarness node = new PolicyHarness(4).reportLoads(0.1, 0.1, 0.1, 0.1);
        node.arriveTunnels(0, 1, null);
        int failing = node.lastSetupHost();
        node.endSetup(0, 0, failing, SetupOutcome.ERROR);
        node.arriveTunnels(1, 50, null);
        assertEquals(node.setupsSentTo(failing), 0);
    }

    @Test
    public void failuresAreIgnoredWhereMostHostsFail() {
        PolicyHarness node = new PolicyHarness(4).reportLoads(0.1, 0.1, 0.1, 0.1);
        node.round(
                events -> {
                    for (int host = 0; host < 3; host++) {
                        events.setupEnded(
                                PolicyHarness.tunnel(host),
                                0,
                                PolicyHarness.host(host),
                                SetupOutcome.ERROR,
                                0.1,
                                true);
                    }
                });
        node.arriveTunnels(0, 50, null);
        assertTrue(node.setupsSentTo(3) < 50);
    }

    @Test
    public void fullHostsGetNoMoreAndTheTunnelIsDeclinedAtOnce() {
        PolicyHarness node = new PolicyHarness(3).reportLoads(0.85, 0.9, 0.95);
        node.arriveTunnels(0, 1, null);
        assertEquals(node.decisions.get(0), "decline t0 with advice");
    }

    @Test
    public void coldHostIsSentNoMoreThanItsLimit() {
        PolicyHarness node = new PolicyHarness(2).reportLoads(0.7, 0.7);
        node.round(
                events ->
                        events.rosterChanged(
                                List.of(PolicyHarness.entry(0, RosterEntry.State.READY, 100))));
        node.arriveTunnels(0, 50, null);
        assertTrue(node.setupsSentTo(0) <= 1);
    }

    @Test
    public void tunnelsOfAGroupGoToItsHost() {
        PolicyHarness node = new PolicyHarness(6).reportLoads(0, 0, 0, 0, 0, 0);
        node.arriveTunnels(100, 120, null);
        node.reportLoads(0.3, 0.3, 0.3, 0.3, 0.3, 0.3);
        node.arriveTunnels(0, 1, "g");
        int home = node.lastSetupHost();
        node.arriveTunnels(1, 10, "g");
        assertEquals(node.setupsSentTo(home), 10);
    }

    @Test
    public void nodesWithoutTunnelsOfAGroupDrawTheSameHostForIt() {
        Set<Integer> homes = new HashSet<>();
        for (int seed = 1; seed <= 5; seed++) {
            PolicyHarness node = new PolicyHarness(Repeat.REPEATABLE, DedupScope.ALL, 6, seed);
            node.reportLoads(0.3, 0.3, 0.3, 0.3, 0.3, 0.3);
            node.arriveTunnels(0, 1, "g");
            homes.add(node.lastSetupHost());
        }
        assertEquals(homes.size(), 1);
    }

    @Test
    public void overloadedHostLosesItsSmallestGroupsFirst() {
        PolicyHarness node = new PolicyHarness(2);
        node.round(
                events -> {
                    for (int i = 0; i < 10; i++) {
                        resumeOnFirstHost(events, i, i < 8 ? "many" : "few" + i);
                    }
                });
        node.now += 2;
        node.reportLoads(1.0, 0.2);
        assertEquals(
                node.decisions.stream().filter(line -> line.startsWith("move")).toList(),
                List.of("move t8", "move t9"));
    }

    private static void resumeOnFirstHost(NodeEvents events, int tunnelNumber, String group) {
        events.tunnelResumed(
                PolicyHarness.tunnel(tunnelNumber),
                new ProfileId("p"),
                null,
                null,
                new GroupId(group),
                PolicyHarness.host(0));
    }

    @Test
    public void setupsThatFailEverywhereAreSentFewerAtATime() {
        PolicyHarness node =
                new PolicyHarness(8).reportLoads(0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1);
        node.arriveTunnels(0, 40, null);
        List<String> sent = List.copyOf(node.decisions);
        node.now += 0.5;
        node.round(
                events -> {
                    for (int i = 0; i < 40; i++) {
                        events.setupEnded(
                                PolicyHarness.tunnel(i),
                                0,
                                PolicyHarness.host(Integer.parseInt(sent.get(i).split(" h")[1])),
                                SetupOutcome.TIMED_OUT,
                                0.5,
                                true);
                    }
                });
        node.arriveTunnels(100, 40, null);
        assertTrue(
                node.count("set up") < 40 && node.count("set up") > 0,
                "sent " + node.count("set up"));
    }

    @Test
    public void setupsMayTakeLongerThanTheirGoalMoreSoWhileAllAreSlow() {
        PolicyHarness node = new PolicyHarness(4).reportLoads(0.1, 0.1, 0.1, 0.1);
        node.arriveTunnels(0, 1, null);
        assertEquals(node.lastTimeout, 1.5);
        node.round(
                events ->
                        events.tunnelOpened(
                                PolicyHarness.tunnel(0),
                                0,
                                PolicyHarness.host(node.lastSetupHost()),
                                0.8));
        node.arriveTunnels(1, 1, null);
        assertEquals(node.lastTimeout, 2.4, 1e-9);
    }

    @Test
    public void waitingTunnelsAreAnsweredBeforeTheirClientTimeout() {
        PolicyHarness node = new PolicyHarness(2).reportLoads(0.1, 0.1);
        setWindowToOne(node);
        node.reportLoads(0.1, 0.1);
        node.round(
                events -> {
                    events.tunnelArrived(
                            PolicyHarness.tunnel(900),
                            new ProfileId("p"),
                            null,
                            null,
                            null,
                            3,
                            false);
                    events.tunnelArrived(
                            PolicyHarness.tunnel(901),
                            new ProfileId("p"),
                            null,
                            null,
                            null,
                            30,
                            false);
                    events.tunnelArrived(
                            PolicyHarness.tunnel(902),
                            new ProfileId("p"),
                            null,
                            null,
                            null,
                            3.5,
                            false);
                });
        assertEquals(node.count("set up"), 1);
        node.now += 3.3;
        assertTrue(node.round(events -> {}).contains("decline t902 with advice"));
    }

    private static void setWindowToOne(PolicyHarness node) {
        for (int i = 0; i < 20; i++) {
            int id = i;
            node.arriveTunnels(id, 1, null);
            int host = Math.max(0, node.lastSetupHost());
            node.now += 0.3;
            node.round(
                    events -> {
                        for (int k = 0; k < 4; k++) {
                            events.setupEnded(
                                    PolicyHarness.tunnel(id),
                                    k,
                                    PolicyHarness.host(host),
                                    SetupOutcome.ERROR,
                                    0.1,
                                    k == 0);
                        }
                    });
        }
    }

    @Test
    public void nodeWokenAStepEarlyAsksToBeWokenAgain() {
        PolicyHarness node = new PolicyHarness(2);
        node.arriveTunnels(0, 1, null);
        node.now += 0.125 - 5e-7;
        assertTrue(node.round(events -> {}).contains("wake"));
    }

    @Test
    public void nodesKeepToTheirShareOfScarceRoom() {
        PolicyHarness node = new PolicyHarness(4).reportLoads(0, 0, 0, 0);
        node.arriveTunnels(0, 40, null);
        node.reportLoads(0.79, 0.79, 0.79, 0.79);
        node.arriveTunnels(100, 40, null);
        assertTrue(node.count("set up") < 20, "sent " + node.count("set up"));
        node.now += 10;
        node.reportLoads(0.3, 0.3, 0.3, 0.3);
        node.arriveTunnels(200, 10, null);
        assertEquals(node.count("set up"), 10);
    }

    @Test
    public void newHostsDoNotLowerAColdHostsLimit() {
        PolicyHarness node = new PolicyHarness(1).reportLoads(0.5);
        node.arriveTunnels(0, 40, null);
        node.round(
                events -> {
                    for (int i = 0; i < 40; i++) {
                        events.tunnelOpened(PolicyHarness.tunnel(i), 0, PolicyHarness.host(0), 0.1);
                        events.setupEnded(
                                PolicyHarness.tunnel(i),
                                0,
                                PolicyHarness.host(0),
                                SetupOutcome.COMPLETED,
                                1,
                                true);
                    }
                    events.rosterChanged(
                            IntStream.range(1, 30)
                                    .mapToObj(
                                            i ->
                                                    PolicyHarness.entry(
                                                            i, RosterEntry.State.READY, 100))
                                    .toList());
                });
        node.arriveTunnels(100, 1, null);
        node.now += 1;
        node.reportLoads(0.5);
        node.round(
                events ->
                        IntStream.range(1, 30)
                                .forEach(
                                        i -> events.probeEnded(PolicyHarness.host(i), true, 0.01)));
        node.arriveTunnels(101, 60, null);
        long cold = node.count("set up") - node.setupsSentTo(0);
        assertTrue(cold >= 8, "sent to cold hosts: " + cold);
    }

    @Test
    public void hostsThatAllRestartShareTheirFormerWarmRate() {
        PolicyHarness node =
                new PolicyHarness(10).reportLoads(0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5);
        node.arriveTunnels(0, 40, null);
        node.round(
                events -> {
                    for (int i = 0; i < 40; i++) {
                        events.tunnelOpened(PolicyHarness.tunnel(i), 0, PolicyHarness.host(0), 0.1);
                        events.setupEnded(
                                PolicyHarness.tunnel(i),
                                0,
                                PolicyHarness.host(0),
                                SetupOutcome.COMPLETED,
                                1,
                                true);
                    }
                    events.rosterChanged(
                            IntStream.range(0, 10)
                                    .mapToObj(
                                            i ->
                                                    PolicyHarness.entry(
                                                            i, RosterEntry.State.READY, 100))
                                    .toList());
                });
        node.arriveTunnels(100, 1, null);
        node.now += 1;
        node.reportLoads(0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
        node.arriveTunnels(101, 200, null);
        // 2.5 a second ended on all ten: 3 times 0.3 of that, and a little more, is what all can
        // take in a second.
        assertTrue(node.count("set up") <= 10, "sent " + node.count("set up"));
    }

    /**
     * How many tunnels a node sends to one host that reports a load of 0.02 beside five hosts at
     * 0.6, with the roster reachable or not.
     */
    private static long sentToAnEmptyHost(boolean rosterHeard, boolean wasAway) {
        PolicyHarness node = new PolicyHarness(6).reportLoads(0.6, 0.6, 0.6, 0.6, 0.6, 0.6);
        node.now += 2;
        node.round(events -> {});
        node.round(
                events -> {
                    if (rosterHeard) {
                        events.rosterChanged(List.of());
                    } else {
                        events.rosterWatchLost();
                    }
                });
        if (wasAway) {
            node.round(events -> events.probeEnded(PolicyHarness.host(0), false, 0.1));
        }
        node.now += 1;
        node.reportLoads(0.02, 0.6, 0.6, 0.6, 0.6, 0.6);
        node.arriveTunnels(0, 30, null);
        return node.setupsSentTo(0);
    }

    @Test
    public void hostThatReturnsEmptyWhileTheRosterIsUnreachableCountsAsCold() {
        assertTrue(sentToAnEmptyHost(false, false) <= 1);
        assertTrue(sentToAnEmptyHost(true, true) <= 1);
    }

    @Test
    public void hostThatStayedReachableMayBeEmpty() {
        assertTrue(sentToAnEmptyHost(true, false) > 10, "sent " + sentToAnEmptyHost(true, false));
    }

    @Test
    public void declinedTunnelsCauseNoPeriodicProbes() {
        PolicyHarness node = new PolicyHarness(4).reportLoads(0.95, 0.95, 0.95, 0.95);
        node.arriveTunnels(0, 40, null);
        assertEquals(node.count("decline"), 40);
        node.now += 3;
        assertFalse(node.round(events -> {}).stream().anyMatch(line -> line.startsWith("probe")));
    }

    @Test
    public void decliningNodeProbesFiveHostsASecondWithoutFreshReports() {
        PolicyHarness node =
                new PolicyHarness(8).reportLoads(0.95, 0.95, 0.95, 0.95, 0.95, 0.95, 0.95, 0.95);
        node.now += 1.1;
        node.arriveTunnels(0, 40, null);
        node.reportLoads(0.95, 0.95, 0.95, 0.95, 0.95, 0.95, 0.95, 0.95);
        node.now += 0.5;
        assertEquals(
                node.arriveTunnels(40, 40, null).stream()
                        .filter(line -> line.startsWith("probe"))
                        .count(),
                0);
        node.now += 0.75;
        int probes = 0;
        for (int i = 0; i < 50; i++) {
            node.now += 0.02;
            probes +=
                    (int)
                            node.arriveTunnels(80 + i, 1, null).stream()
                                    .filter(line -> line.startsWith("probe"))
                                    .count();
        }
        assertEquals(probes, 5);
    }

    @DataProvider
    public Object[][] invalidFigures() {
        return new Object[][] {
            {Double.NaN}, {-1.0}, {Double.POSITIVE_INFINITY}, {Double.NEGATIVE_INFINITY}
        };
    }

    @Test(dataProvider = "invalidFigures")
    public void invalidReportDoesNotChangeTheDraw(double figure) {
        PolicyHarness node = new PolicyHarness(4).reportLoads(0.2, 0.3, 0.2, 0.3);
        node.round(events -> events.hostReported(PolicyHarness.host(0), figure, figure, figure));
        assertEquals(
                node.arriveTunnels(0, 20, null),
                new PolicyHarness(4).reportLoads(0.2, 0.3, 0.2, 0.3).arriveTunnels(0, 20, null));
    }

    @Test
    public void nodeWithoutHostsDeclinesAtOnce() {
        PolicyHarness node = new PolicyHarness(0);
        assertEquals(node.arriveTunnels(0, 1, "g").get(0), "decline t0 with advice");
    }

    /** A host that hangs reports ten times what it can do, as it can do next to nothing then. */
    @Test
    public void hostsThatHangDoNotMakeTheOthersLookFull() {
        PolicyHarness node =
                new PolicyHarness(Repeat.REPEATABLE, DedupScope.ALL, 8, 1, RetryBudget.NONE, 6);
        for (int host = 0; host < 8; host++) {
            node.resumeTunnels(5 * host, 5, host);
        }
        node.reportLoads(0.4, 0.4, 0.4, 0.4, 10, 9, 11, 10);
        node.arriveTunnels(100, 8, null);
        assertEquals(node.count("set up"), 8, node.declineReasons.toString());
        for (int host = 4; host < 8; host++) {
            assertEquals(node.setupsSentTo(host), 0, "sent to h" + host + ", which hangs");
        }
    }

    /** Nor do they make a tunnel look so heavy that hosts which have just started get none. */
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
        PolicyHarness node = new PolicyHarness(8);
        for (int host = 0; host < 6; host++) {
            node.resumeTunnels(30 * host, 30, host);
        }
        node.round(
                events ->
                        events.rosterChanged(
                                List.of(
                                        PolicyHarness.entry(6, RosterEntry.State.READY, node.now),
                                        PolicyHarness.entry(
                                                7, RosterEntry.State.READY, node.now))));
        int sent = 0;
        for (int step = 0; step < 40; step++) {
            node.now += 0.1;
            node.reportLoads(0.75, 0.75, 0.75, loadOfThree, loadOfThree, loadOfThree, 0, 0);
            node.arriveTunnels(1000 + 5 * step, 5, null);
            sent += (int) (node.setupsSentTo(6) + node.setupsSentTo(7));
        }
        return sent;
    }

    @Test
    public void fewOverloadedHostsDoNotMakeTheFleetBusy() {
        PolicyHarness node = new PolicyHarness(12);
        node.round(events -> events.messageDelayMeasured(PolicyHarness.host(0), 0.4));
        node.reportLoads(1.2, 0.9, 0.95);
        List<String> decided = node.arriveTunnels(0, 1, "g");
        assertTrue(decided.stream().anyMatch(line -> line.startsWith("probe")), decided.toString());
        assertEquals(node.count("decline"), 0);
    }

    /**
     * A host reports little load while messages there come late: its report is wrong, or the
     * network path to it is bad.
     */
    @Test
    public void lateHostLosesTunnelsAndGetsNone() {
        PolicyHarness node = new PolicyHarness(3).reportLoads(0.2, 0.3, 0.3);
        node.resumeTunnels(0, 8, 0);
        node.round(events -> events.messageDelayMeasured(PolicyHarness.host(0), 0.15));
        assertEquals(node.count("move"), 0);
        node.now += 1;
        node.round(events -> events.messageDelayMeasured(PolicyHarness.host(0), 0.15));
        assertEquals(node.count("move"), 4);
        node.reportLoads(0.2, 0.3, 0.3).arriveTunnels(100, 20, null);
        assertEquals(node.setupsSentTo(0), 0);
    }

    @DataProvider
    public Object[][] coldLoads() {
        return new Object[][] {{0.0}, {0.5}};
    }

    @Test(dataProvider = "coldLoads")
    public void coldHostIsFilledWhereAllWarmOnesAreBusy(double itsLoad) {
        PolicyHarness node = new PolicyHarness(6).reportLoads(0.85, 0.85, 0.85, 0.85, 0.85);
        node.resumeTunnels(0, 40, 1);
        node.now += 3.9;
        node.reportLoads(0.85, 0.85, 0.85, 0.85, 0.85);
        node.round(
                events ->
                        events.rosterChanged(
                                List.of(
                                        PolicyHarness.entry(
                                                5, RosterEntry.State.READY, node.now - 4))));
        long sent = 0;
        for (int i = 0; i < 40; i++) {
            node.advance(0.1);
            node.reportLoads(0.85, 0.85, 0.85, 0.85, 0.85).arriveTunnels(100 + i, 1, "g" + i);
            sent += node.setupsSentTo(5);
            if (node.lastProbedHost() == 5) {
                node.round(
                        events -> {
                            events.probeEnded(PolicyHarness.host(5), true, 0.01);
                            events.hostReported(
                                    PolicyHarness.host(5), itsLoad, Double.NaN, Double.NaN);
                        });
                sent += node.setupsSentTo(5);
            }
        }
        assertTrue(sent > 0);
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{0.85, 0, 2}, {0.4, 5, 30}};
    }

    /**
     * One of eight hosts reports no load. From one of fifty nodes it gets a share of the tunnels in
     * a busy fleet, all of them in a calm one.
     */
    @Test(dataProvider = "fleets")
    public void emptyHostIsFilledFreelyInACalmFleetOnly(double load, int min, int max) {
        PolicyHarness node =
                new PolicyHarness(Repeat.REPEATABLE, DedupScope.ALL, 8, 1, RetryBudget.NONE, 50);
        for (int host = 1; host < 8; host++) {
            node.resumeTunnels(1000 * host, 2, host);
        }
        node.reportLoads(0, load, load, load, load, load, load, load);
        long sent = 0;
        for (int i = 0; i < 30; i++) {
            node.arriveTunnels(i, 1, "g" + i);
            sent += node.setupsSentTo(0);
        }
        assertTrue(sent >= min && sent <= max, sent + " sent");
    }

    /**
     * Many tunnels reconnect at once, to this node and thus to all others: what the others place
     * shows in no report yet.
     */
    @Test
    public void rushIsAssumedToReachAllNodes() {
        long[] sent = new long[2];
        for (int nodes = 1; nodes <= 20; nodes += 19) {
            PolicyHarness node =
                    new PolicyHarness(
                            Repeat.REPEATABLE, DedupScope.ALL, 10, 1, RetryBudget.NONE, nodes);
            node.resumeTunnels(1000, 100, 0);
            node.reportLoads(0.6, 0.6, 0.6, 0.6, 0.6, 0.6, 0.6, 0.6, 0.6, 0.6);
            node.arriveTunnels(0, 60, null);
            sent[nodes / 20] = node.count("set up");
        }
        assertTrue(sent[1] < sent[0] * 2 / 3, sent[0] + " alone, " + sent[1] + " of twenty");
    }

    @Test
    public void lateTunnelsAreMovedThoughOthersAreDeclined() {
        PolicyHarness node = new PolicyHarness(3).reportLoads(0.2, 0.95, 0.95);
        node.resumeTunnels(0, 8, 0);
        node.round(events -> events.messageDelayMeasured(PolicyHarness.host(0), 0.15));
        node.now += 1;
        node.arriveTunnels(100, 60, "g");
        assertTrue(node.count("decline") > 0);
        node.round(events -> events.messageDelayMeasured(PolicyHarness.host(0), 0.15));
        assertEquals(node.count("move"), 4);
    }

    @Test
    public void messageOverTwiceTheLongestGoalCountsAsLateAtOnce() {
        PolicyHarness node = new PolicyHarness(3).reportLoads(0.2, 0.3, 0.3);
        node.resumeTunnels(0, 8, 0);
        node.round(events -> events.messageDelayMeasured(PolicyHarness.host(0), 0.21));
        assertEquals(node.count("move"), 4);
    }

    @DataProvider
    public Object[][] notLate() {
        // A pause that ends, two pauses seconds apart, and messages that are slow but still in
        // time.
        return new Object[][] {{1.0, 0.15, 0.05}, {3.0, 0.15, 0.15}, {1.0, 0.08, 0.08}};
    }

    @Test(dataProvider = "notLate")
    public void hostThatOnlyPausesDoesNotCountAsLate(double after, double first, double second) {
        PolicyHarness node = new PolicyHarness(3).reportLoads(0.2, 0.3, 0.3);
        node.resumeTunnels(0, 8, 0);
        node.round(events -> events.messageDelayMeasured(PolicyHarness.host(0), first));
        node.now += after;
        node.round(events -> events.messageDelayMeasured(PolicyHarness.host(0), second));
        assertEquals(node.count("move"), 0);
        node.reportLoads(0.2, 0.3, 0.3).arriveTunnels(100, 20, null);
        assertTrue(node.setupsSentTo(0) > 0);
    }

    @Test
    public void tunnelsArePlacedWhereMessagesComeLateFromAllHosts() {
        PolicyHarness node = new PolicyHarness(2).reportLoads(0.1, 0.1);
        for (int i = 0; i < 2; i++) {
            node.round(
                    events ->
                            IntStream.range(0, 2)
                                    .forEach(
                                            host ->
                                                    events.messageDelayMeasured(
                                                            PolicyHarness.host(host), 0.4)));
            node.now += 1;
        }
        node.reportLoads(0.1, 0.1).arriveTunnels(0, 20, null);
        assertEquals(node.count("set up"), 20);
    }

    @Test
    public void hostIsProbedBeforePlacementAndSkippedIfFull() {
        PolicyHarness node = new PolicyHarness(40);
        node.arriveTunnels(0, 1, "g");
        int first = node.lastProbedHost();
        assertEquals(node.count("probe") + node.count("set up"), 1);
        node.round(
                events -> {
                    events.probeEnded(PolicyHarness.host(first), true, 0.01);
                    events.hostReported(PolicyHarness.host(first), 0.95, Double.NaN, Double.NaN);
                });
        int second = node.lastProbedHost();
        assertNotEquals(second, first);
        node.round(
                events -> {
                    events.probeEnded(PolicyHarness.host(second), true, 0.01);
                    events.hostReported(PolicyHarness.host(second), 0.3, Double.NaN, Double.NaN);
                });
        assertEquals(node.setupsSentTo(second), 1);
    }

    @Test
    public void placementTakesOneProbeInALargeFleet() {
        PolicyHarness node = new PolicyHarness(200);
        for (int i = 0; i < 50; i++) {
            node.now += 3;
            node.arriveTunnels(i, 1, "g" + i);
            assertTrue(node.count("probe") <= 1, "probes for one tunnel: " + node.count("probe"));
            int probedHost = node.lastProbedHost();
            node.round(
                    events -> {
                        events.probeEnded(PolicyHarness.host(probedHost), true, 0.01);
                        events.hostReported(
                                PolicyHarness.host(probedHost), 0.01, Double.NaN, Double.NaN);
                    });
            assertEquals(node.count("probe") + node.count("set up"), 1);
        }
    }

    @Test
    public void hostThatGoesShiftsOnlyItsOwnGroups() {
        int shifted = 0;
        for (int group = 0; group < 40; group++) {
            int before = hostForGroup(8, -1, group);
            int after = hostForGroup(8, 7, group);
            shifted += before != 7 && after != before ? 1 : 0;
        }
        assertTrue(shifted <= 8, shifted + " groups moved though their host stayed");
    }

    private static int hostForGroup(int hosts, int gone, int group) {
        PolicyHarness node =
                new PolicyHarness(hosts).reportLoads(0.4, 0.4, 0.4, 0.4, 0.4, 0.4, 0.4, 0.4);
        if (gone >= 0) {
            node.round(
                    events ->
                            events.rosterChanged(
                                    List.of(PolicyHarness.entry(gone, RosterEntry.State.GONE, 0))));
        }
        node.arriveTunnels(0, 1, "g" + group);
        return node.lastSetupHost();
    }

    @Test
    public void busyFleetDeclinesTunnelsThatWouldSpreadAGroup() {
        PolicyHarness node =
                new PolicyHarness(8).reportLoads(0.78, 0.79, 0.79, 0.78, 0.95, 0.95, 0.95, 0.95);
        int sent = 0;
        for (int group = 0; group < 40; group++) {
            node.arriveTunnels(group, 1, "g" + group);
            sent += node.count("set up");
        }
        assertTrue(sent > 0 && sent < 40, "sent " + sent);
    }

    @Test
    public void rosterIsWatchedAgainAfterTheWatchIsLost() {
        PolicyHarness node = new PolicyHarness(2);
        node.now += 3;
        assertTrue(node.round(events -> {}).contains("watch roster"));
        assertFalse(node.round(NodeEvents::rosterWatchLost).contains("watch roster"));
        node.now += 5;
        assertTrue(node.round(events -> {}).contains("watch roster"));
    }

    @Test
    public void rosterIsCalledAgainInTimeHoweverLongACallTookToFail() {
        for (double mustAsk : new double[] {9, 10, 30}) {
            for (double took : new double[] {0, 0.5, 2, 3.8}) {
                for (int seed = 0; seed < 10; seed++) {
                    PolicyHarness node = PolicyHarness.withRosterCallDeadline(mustAsk, seed);
                    node.now += mustAsk;
                    assertTrue(node.round(events -> {}).contains("watch roster"));
                    for (int fails = 0; fails < 8; fails++) {
                        double begun = node.now;
                        node.now += took;
                        List<String> decisions = node.round(NodeEvents::rosterWatchLost);
                        while (!decisions.contains("watch roster")) {
                            node.now += 0.01;
                            decisions = node.round(events -> {});
                        }
                        // What the roster lists counts as known to nodes six seconds after the
                        // roster is back, and an answer takes up to two.
                        assertTrue(
                                node.now - begun < 3.85,
                                "called again after " + (node.now - begun));
                    }
                }
            }
        }
    }

    @Test
    public void tunnelsOfADrainingHostAreMovedOneByOne() {
        PolicyHarness node = new PolicyHarness(2).reportLoads(0.1, 0.1);
        node.resumeTunnels(0, 30, 0);
        node.round(
                events ->
                        events.rosterChanged(
                                List.of(PolicyHarness.entry(0, RosterEntry.State.DRAINING, 0))));
        assertTrue(node.count("move") <= 1, "moved together, they would overload other hosts");
        assertEquals(node.advance(0.75), 15, 1);
        assertEquals(node.advance(0.8), 15, 1);
    }

    @Test
    public void hostOutOfServiceGetsNothingWhateverTheRosterSays() {
        PolicyHarness node = new PolicyHarness(2).reportLoads(0.1, 0.1);
        node.resumeTunnels(100, 30, 0);
        node.round(events -> events.hostAdminStateChanged(PolicyHarness.host(0), true));
        assertEquals(node.advance(1.6), 30, 1);
        node.round(events -> events.hostAdminStateChanged(PolicyHarness.host(0), true));
        RosterEntry gone = PolicyHarness.entry(0, RosterEntry.State.GONE, 0);
        RosterEntry back = PolicyHarness.entry(0, RosterEntry.State.READY, 101);
        RosterEntry other = PolicyHarness.entry(1, RosterEntry.State.READY, 0);
        node.round(events -> events.rosterChanged(List.of(gone)));
        node.round(events -> events.rosterReplaced(List.of(other), false));
        node.round(events -> events.rosterReplaced(List.of(back, other), false));
        node.reportLoads(0.0, 0.1);
        node.arriveTunnels(0, 20, null);
        assertEquals(node.setupsSentTo(0), 0);
        node.endSetup(0, 0, 1, SetupOutcome.NO_CONNECTION);
        assertEquals(node.setupsSentTo(0), 0);
        assertEquals(node.policy.listedHostCount(true), 1);
        node.now += 9;
        node.round(events -> events.hostAdminStateChanged(PolicyHarness.host(0), false));
        node.reportLoads(0.0, 0.1);
        assertEquals(node.policy.listedHostCount(true), 0);
        node.arriveTunnels(20, 50, null);
        assertTrue(
                node.setupsSentTo(0) <= 1,
                "it is cold, however long ago the roster says that it started");
    }

    @Test
    public void tunnelsAreNotMovedOffAServingHostWhileNoOtherHasRoom() {
        PolicyHarness node = new PolicyHarness(2).reportLoads(0.1, 0.1);
        node.resumeTunnels(100, 30, 0);
        node.round(
                events ->
                        events.rosterChanged(
                                List.of(PolicyHarness.entry(1, RosterEntry.State.GONE, 0))));
        node.round(events -> events.hostAdminStateChanged(PolicyHarness.host(0), true));
        assertEquals(node.count("move"), 1, "before it is known that there is no room");
        for (int i = 0; i < 10; i++) {
            node.arriveTunnels(i, 1, null);
            assertEquals(node.advance(0.3), 0);
        }
        node.round(
                events ->
                        events.rosterChanged(
                                List.of(PolicyHarness.entry(1, RosterEntry.State.READY, 0))));
        assertEquals(node.advance(3), 29);
    }

    @Test
    public void successorInheritsCapacityEstimateAndFillsColdHosts() {
        PolicyHarness withEstimate = new PolicyHarness(2);
        PolicyHarness withoutEstimate = new PolicyHarness(2);
        withEstimate.capacityEstimate.adopt(200);
        for (PolicyHarness node : List.of(withEstimate, withoutEstimate)) {
            node.now += 5;
            node.round(
                    events ->
                            events.rosterChanged(
                                    List.of(
                                            PolicyHarness.entry(0, RosterEntry.State.READY, 105),
                                            PolicyHarness.entry(1, RosterEntry.State.READY, 105))));
            for (int i = 0; i < 40; i++) {
                node.now += 0.05;
                node.reportLoads(0.05, 0.05);
                node.arriveTunnels(i, 1, null);
                node.round(events -> {});
            }
        }
        assertTrue(
                withoutEstimate.setupsSent >= 2,
                "otherwise it could never learn: " + withoutEstimate.setupsSent);
        assertTrue(
                withEstimate.setupsSent > 3 * withoutEstimate.setupsSent,
                withEstimate.setupsSent + " and " + withoutEstimate.setupsSent);
    }

    @Test
    public void hostBackInServiceHasNoFailureHistory() {
        PolicyHarness node = new PolicyHarness(1).reportLoads(0.1);
        node.arriveTunnels(0, 1, null);
        node.endSetup(0, 0, 0, SetupOutcome.ERROR);
        node.round(events -> events.hostAdminStateChanged(PolicyHarness.host(0), true));
        node.arriveTunnels(1, 1, null);
        assertEquals(node.count("decline"), 1);
        node.round(events -> events.hostAdminStateChanged(PolicyHarness.host(0), false));
        node.now += 9;
        node.reportLoads(0.0);
        node.arriveTunnels(2, 1, null);
        assertEquals(node.lastSetupHost(), 0);
    }

    @Test
    public void tunnelOpenedOrResumedOnADrainingHostIsMovedToo() {
        PolicyHarness node = new PolicyHarness(2).reportLoads(0.1, 0.1);
        node.arriveTunnels(0, 1, null);
        int host = node.lastSetupHost();
        node.round(
                events ->
                        events.rosterChanged(
                                List.of(PolicyHarness.entry(host, RosterEntry.State.DRAINING, 0))));
        node.resumeTunnels(7, 1, host);
        assertEquals(node.count("move t7"), 1);
        node.now += 2;
        node.round(
                events ->
                        events.tunnelOpened(
                                PolicyHarness.tunnel(0), 0, PolicyHarness.host(host), 2));
        assertEquals(node.count("move t0"), 1);
    }

    @Test
    public void leavingNodeDeclinesAndMovesOnceTheFrontSendsNoMore() {
        PolicyHarness node = new PolicyHarness(2).reportLoads(0.1, 0.1);
        node.resumeTunnels(0, 30, 0);
        node.round(events -> events.nodeLeaving(false));
        assertEquals(node.count("move"), 0);
        assertEquals(node.arriveTunnels(100, 1, null).get(0), "decline t100 with advice");
        assertEquals(node.advance(0.3), 0);
        node.round(events -> events.nodeMessageReceived(0, new byte[] {2}));
        assertEquals(node.advance(0.19), 0);
        assertEquals(node.advance(1.26), 15, 1);
        assertEquals(node.advance(1.25), 15, 1);
    }

    @Test
    public void leavingNodeKeepsItsTunnelsWhileNoOtherIsAvailable() {
        PolicyHarness node = new PolicyHarness(2).reportLoads(0.1, 0.1);
        node.resumeTunnels(0, 30, 0);
        assertEquals(node.round(events -> events.nodeLeaving(false)).get(0), "send to all");
        node.round(events -> events.nodeMessageReceived(0, new byte[] {1}));
        assertEquals(node.count("send to 0"), 0, "it is leaving itself");
        assertEquals(node.advance(1), 0);
        node.now += 0.25;
        node.round(events -> {});
        assertEquals(node.count("send to all"), 1, "its question may have been lost");
        assertEquals(node.advance(0.98), 0);
        assertEquals(node.advance(0.78), 30);
        assertTrue(
                new PolicyHarness(2)
                        .round(events -> events.nodeMessageReceived(3, new byte[] {1}))
                        .contains("send to 3"));
    }

    @Test
    public void drainingHostDoesNotPostponeTheMovesOfALeavingNode() {
        for (boolean byHand : new boolean[] {false, true}) {
            PolicyHarness node = new PolicyHarness(2).reportLoads(0.1, 0.1);
            node.resumeTunnels(0, 30, 0);
            node.round(events -> events.nodeLeaving(false));
            long moved = node.advance(2.6);
            assertTrue(moved > 0 && moved < 30, "moved " + moved);
            node.round(
                    byHand
                            ? events -> events.hostAdminStateChanged(PolicyHarness.host(0), true)
                            : events ->
                                    events.rosterChanged(
                                            List.of(
                                                    PolicyHarness.entry(
                                                            0, RosterEntry.State.DRAINING, 0))));
            moved += node.count("move");
            assertEquals(moved + node.advance(0.42), 30);
        }
    }

    @Test
    public void replacedNodeMovesItsTunnelsOverAllItsTime() {
        PolicyHarness node = new PolicyHarness(2).reportLoads(0.1, 0.1);
        node.resumeTunnels(0, 30, 0);
        assertFalse(node.round(events -> events.nodeLeaving(true)).contains("send to all"));
        assertEquals(node.advance(1.5), 15, 1);
        assertEquals(node.advance(1.5), 15, 1);
    }

    @Test
    public void newNodeDoesNotFillTheFirstHostThatReports() {
        PolicyHarness node = new PolicyHarness(4).reportLoads(0.01);
        node.arriveTunnels(0, 200, null);
        assertTrue(
                node.setupsSentTo(0) > 0 && node.setupsSentTo(0) < 100,
                "h0 was given " + node.setupsSentTo(0));
        // The host probed for the other tunnels does not answer in time: none of them waits for a
        // second probe, nor do all go to the only host that has reported.
        long sent = node.count("set up");
        node.now += 0.13;
        node.round(events -> {});
        assertEquals(sent + node.count("set up"), 200);
        assertTrue(node.setupsSentTo(0) < 100, "h0 was given " + node.setupsSentTo(0));
    }

    @Test
    public void setupsInFlightCountAfterALaterReport() {
        PolicyHarness node = new PolicyHarness(2).reportLoads(0, 0);
        node.arriveTunnels(0, 1, null);
        assertEquals(node.lastSetupHost(), 0);
        node.reportLoads(0, 0).arriveTunnels(1, 1, null);
        assertEquals(node.lastSetupHost(), 1);
    }

    @Test
    public void tunnelOpenedWhileTheNodeLeavesIsMovedToo() {
        PolicyHarness node = new PolicyHarness(2).reportLoads(0.1, 0.1);
        node.arriveTunnels(0, 1, null);
        int host = node.lastSetupHost();
        node.round(events -> events.nodeLeaving(false));
        node.now += 2.5;
        node.round(
                events ->
                        events.tunnelOpened(
                                PolicyHarness.tunnel(0), 0, PolicyHarness.host(host), 2.5));
        assertEquals(node.count("move t0"), 1);
    }

    @Test
    public void hostThatStaysOverloadedLosesALargerShareEachTime() {
        PolicyHarness node = new PolicyHarness(2);
        node.resumeTunnels(0, 20, 1);
        assertEquals(node.reportLoads(0.1, 1).count("move"), 4);
        node.now += 2.1;
        assertEquals(node.reportLoads(0.1, 1).count("move"), 0.4 * 16, 1);
        node.now += 2.1;
        assertEquals(node.reportLoads(0.1, 0.85).count("move"), 0);
        node.now += 2.1;
        assertEquals(node.reportLoads(0.1, 1).count("move"), 0.2 * 10, 1);
    }

    @Test
    public void nodeTellsOthersOfAnOverloadedHost() {
        PolicyHarness node = new PolicyHarness(2);
        node.resumeTunnels(0, 8, 1);
        assertEquals(node.reportLoads(0.1, 0.89).count("send to all"), 0);
        assertEquals(node.reportLoads(0.1, 1.2).count("send to all"), 1);
        assertEquals(
                new PolicyHarness(2).reportLoads(0.1, 1.2).count("send to all"),
                0,
                "it has hardly any tunnels there");
    }

    @Test
    public void nodeProbesAReportedHostSoonerTheMoreTunnelsItHasThere() {
        for (int own : new int[] {1, 16}) {
            PolicyHarness node = new PolicyHarness(2).reportLoads(0.1, 0.1);
            node.resumeTunnels(0, own, 1);
            node.now += 0.5;
            node.round(
                    events -> events.nodeMessageReceived(1, "h1".getBytes(StandardCharsets.UTF_8)));
            assertEquals(node.lastProbedHost(), own == 16 ? 1 : -1);
        }
    }

    @Test
    public void messagesAboutUnknownHostsAreIgnored() {
        PolicyHarness node = new PolicyHarness(2).reportLoads(0.1, 0.1);
        node.now += 0.5;
        node.round(
                events -> {
                    events.nodeMessageReceived(7, new byte[0]);
                    events.nodeMessageReceived(-1, new byte[] {-1, 0, 'h'});
                });
        assertEquals(node.count("probe"), 0);
    }

    private static PolicyHarness withTunnelCounts(int hosts, int nodes) {
        return new PolicyHarness(
                Repeat.REPEATABLE, DedupScope.ALL, hosts, 1, RetryBudget.NONE, nodes, false);
    }

    /** Whether the roster lowers a host's weight the more tunnels it holds. */
    @DataProvider
    public Object[][] weightPolicies() {
        return new Object[][] {{false}, {true}};
    }

    /**
     * Two hosts of four units and two of two, which shed their newest tunnels when they hold over
     * nine per unit; 80 tunnels, of 108 that all could hold. At equal counts the small hosts would
     * get 20 each, shed some, look idle by that and get them all again.
     */
    @Test(dataProvider = "weightPolicies")
    public void smallHostsThatReportCountsAreNotFilledLikeLargeOnes(boolean lowered) {
        int[] units = {4, 4, 2, 2};
        PolicyHarness node = withTunnelCounts(4, 1);
        List<List<Integer>> held =
                List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        int shed = 0;
        int next = 0;
        for (int step = 0; step < 300; step++) {
            node.now += 0.1;
            if (step % 10 == 0) {
                node.round(
                        events ->
                                events.rosterChanged(
                                        IntStream.range(0, 4)
                                                .mapToObj(
                                                        i ->
                                                                PolicyHarness.entryWithWeight(
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
                node.reportTunnelCounts(held.stream().mapToInt(List::size).toArray());
            }
            List<Integer> over = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                int host = i;
                while (!held.get(i).isEmpty() && held.get(i).get(0) < next - 80) {
                    int ended = held.get(i).remove(0);
                    node.round(
                            events ->
                                    events.setupEnded(
                                            PolicyHarness.tunnel(ended),
                                            0,
                                            PolicyHarness.host(host),
                                            SetupOutcome.COMPLETED,
                                            8,
                                            true));
                }
                while (held.get(i).size() > 9 * units[i] - (over.isEmpty() ? 0 : units[i])) {
                    over.add(held.get(i).remove(held.get(i).size() - 1));
                    node.round(
                            events ->
                                    events.setupEnded(
                                            PolicyHarness.tunnel(over.get(over.size() - 1)),
                                            0,
                                            PolicyHarness.host(host),
                                            SetupOutcome.BROKEN,
                                            1,
                                            true));
                }
            }
            shed += over.size();
            for (int come = 0; come <= over.size(); come++) {
                int tunnel = next++;
                node.arriveTunnels(tunnel, 1, null);
                int host = node.lastSetupHost();
                assertTrue(host >= 0, "no host for tunnel " + tunnel);
                node.round(
                        events ->
                                events.tunnelOpened(
                                        PolicyHarness.tunnel(tunnel),
                                        0,
                                        PolicyHarness.host(host),
                                        0.02));
                held.get(host).add(tunnel);
            }
        }
        assertTrue(shed <= 4, shed + " of 300 shed");
    }

    /**
     * The tunnel counts of others show what a cold host can take: if one tunnel counted as its full
     * load, the host would stay idle.
     */
    @Test
    public void coldHostIsFilledByTheTunnelCountsOfOthers() {
        PolicyHarness node = withTunnelCounts(4, 4);
        node.now += 20;
        node.round(
                events ->
                        events.rosterChanged(
                                List.of(
                                        PolicyHarness.entry(
                                                0, RosterEntry.State.READY, node.now))));
        long sent = 0;
        for (int i = 0; i < 80; i++) {
            node.now += 0.1;
            node.reportTunnelCounts((int) sent, 40, 40, 40);
            node.arriveTunnels(i, 1, null);
            sent += node.setupsSentTo(0);
        }
        assertTrue(sent >= 12 && sent <= 40, sent + " sent");
    }

    /**
     * A tunnel count shows what one more tunnel adds to it, even to a node that has just started.
     */
    @Test
    public void newNodeDoesNotFillTheHostWithTheLowestCount() {
        PolicyHarness node = withTunnelCounts(4, 4).reportTunnelCounts(30, 40, 40, 40);
        node.arriveTunnels(0, 40, null);
        assertEquals(node.count("set up"), 40);
        assertTrue(node.setupsSentTo(0) < 20, "h0 was given " + node.setupsSentTo(0));
    }
}
