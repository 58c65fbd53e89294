package embershift.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import embershift.model.DeclineReason;
import embershift.model.Deployment.DedupScope;
import embershift.model.Deployment.Repeat;
import embershift.model.Deployment.RetryBudget;
import embershift.model.ProfileId;
import embershift.model.RosterEntry;
import embershift.model.SetupOutcome;
import java.util.List;
import org.testng.annotations.Test;

/** Each decline states its reason, by which operators find out which nodes decline and why. */
public class DeclineReasonsTest {

    private static void assertOnlyReason(PolicyHarness node, DeclineReason reason) {
        assertTrue(node.declineReasons.size() > 0, "nothing was declined");
        assertTrue(
                node.declineReasons.stream().allMatch(reason::equals),
                node.declineReasons.toString());
    }

    private static void failProbes(PolicyHarness node, int... hosts) {
        node.round(
                events -> {
                    for (int host : hosts) {
                        events.probeEnded(PolicyHarness.host(host), false, 0.3);
                    }
                });
    }

    private static void reportFull(PolicyHarness node, int host) {
        node.round(
                events -> {
                    events.probeEnded(PolicyHarness.host(host), true, 0.01);
                    events.hostReported(PolicyHarness.host(host), 0.95, Double.NaN, Double.NaN);
                });
    }

    @Test
    public void nodeLeaves() {
        PolicyHarness node = new PolicyHarness(2).reportLoads(0.1, 0.1);
        node.round(events -> events.nodeLeaving(false));
        node.arriveTunnels(0, 3, null);
        assertEquals(node.declineReasons.size(), 3);
        assertOnlyReason(node, DeclineReason.NODE_LEAVES);
    }

    @Test
    public void setupsUsedUp() {
        PolicyHarness node = new PolicyHarness(4).reportLoads(0.1, 0.1, 0.1, 0.1);
        node.arriveTunnels(0, 1, null);
        for (int setup = 0; setup < 4; setup++) {
            node.endSetup(0, setup, node.lastSetupHost(), SetupOutcome.NOT_SENT);
        }
        assertOnlyReason(node, DeclineReason.SETUPS_SPENT);
    }

    @Test
    public void clientTimeUsedUp() {
        PolicyHarness node = new PolicyHarness(2).reportLoads(0.1, 0.1);
        node.round(
                events ->
                        events.tunnelArrived(
                                PolicyHarness.tunnel(0),
                                new ProfileId("p"),
                                null,
                                null,
                                null,
                                0.04,
                                false));
        assertOnlyReason(node, DeclineReason.TIME_SPENT);
    }

    @Test
    public void retryBudgetUsedUp() {
        PolicyHarness node =
                new PolicyHarness(
                                Repeat.REPEATABLE,
                                DedupScope.ALL,
                                4,
                                1,
                                new RetryBudget(0, 0, 1),
                                1)
                        .reportLoads(0.1, 0.1, 0.1, 0.1);
        node.arriveTunnels(0, 1, null);
        node.endSetup(0, 0, node.lastSetupHost(), SetupOutcome.NOT_SENT);
        assertOnlyReason(node, DeclineReason.BUDGET_SPENT);
    }

    @Test
    public void setupsHeldBackTooLong() {
        PolicyHarness node = new PolicyHarness(4).reportLoads(0.1, 0.1, 0.1, 0.1);
        node.arriveTunnels(0, 40, null);
        node.round(
                events -> {
                    for (int i = 0; i < 20; i++) {
                        events.setupEnded(
                                PolicyHarness.tunnel(i),
                                0,
                                PolicyHarness.host(i % 4),
                                SetupOutcome.ERROR,
                                0.1,
                                true);
                    }
                });
        node.now += 0.2;
        node.arriveTunnels(100, 40, null);
        assertOnlyReason(node, DeclineReason.SETUPS_HELD_BACK);
    }

    @Test
    public void noHostReady() {
        PolicyHarness node = new PolicyHarness(1).reportLoads(0.1);
        node.round(
                events ->
                        events.rosterChanged(
                                List.of(PolicyHarness.entry(0, RosterEntry.State.DRAINING, 0))));
        node.arriveTunnels(0, 1, null);
        assertOnlyReason(node, DeclineReason.NO_HOST_READY);
    }

    @Test
    public void mostHostsSilent() {
        PolicyHarness node = new PolicyHarness(3);
        failProbes(node, 0, 1);
        reportFull(node, 2);
        node.arriveTunnels(0, 1, null);
        assertOnlyReason(node, DeclineReason.HOSTS_SILENT);
    }

    @Test
    public void mostHostsFailed() {
        PolicyHarness node = new PolicyHarness(4);
        reportFull(node, 2);
        node.round(
                events -> {
                    events.rosterChanged(
                            List.of(PolicyHarness.entry(3, RosterEntry.State.READY, node.now)));
                    for (int host = 0; host < 2; host++) {
                        events.setupEnded(
                                PolicyHarness.tunnel(90),
                                0,
                                PolicyHarness.host(host),
                                SetupOutcome.ERROR,
                                0.1,
                                false);
                    }
                });
        node.arriveTunnels(0, 1, null);
        assertOnlyReason(node, DeclineReason.HOSTS_FAILED);
    }

    @Test
    public void mostHostsLate() {
        PolicyHarness node = new PolicyHarness(3);
        reportFull(node, 2);
        node.round(
                events -> {
                    events.messageDelayMeasured(PolicyHarness.host(0), 0.25);
                    events.messageDelayMeasured(PolicyHarness.host(1), 0.25);
                });
        node.arriveTunnels(0, 1, null);
        assertOnlyReason(node, DeclineReason.HOSTS_LATE);
    }

    @Test
    public void mostHostsCold() {
        PolicyHarness node = new PolicyHarness(3);
        node.round(
                events ->
                        events.rosterChanged(
                                List.of(
                                        PolicyHarness.entry(0, RosterEntry.State.READY, node.now),
                                        PolicyHarness.entry(1, RosterEntry.State.READY, node.now),
                                        PolicyHarness.entry(
                                                2, RosterEntry.State.READY, node.now))));
        node.arriveTunnels(0, 1, null);
        assertOnlyReason(node, DeclineReason.HOSTS_COLD);
    }

    @Test
    public void allHostsFull() {
        PolicyHarness node = new PolicyHarness(4).reportLoads(0.95, 0.95, 0.95, 0.95);
        node.arriveTunnels(0, 5, null);
        assertEquals(node.declineReasons.size(), 5);
        assertOnlyReason(node, DeclineReason.HOSTS_FULL);
    }

    @Test
    public void arrivalsExceedNodesShareOfRoom() {
        PolicyHarness node = new PolicyHarness(4);
        for (int host = 0; host < 4; host++) {
            node.resumeTunnels(10 * host, 10, host);
        }
        node.reportLoads(0.75, 0.75, 0.75, 0.75);
        // There is room for 0.4 of a host per period, and each tunnel adds 0.075. These 80 make
        // 0.75 per period, but are declined at once for lack of time and take no room.
        node.round(
                events -> {
                    for (int i = 100; i < 180; i++) {
                        events.tunnelArrived(
                                PolicyHarness.tunnel(i),
                                new ProfileId("p"),
                                null,
                                null,
                                null,
                                0.01,
                                false);
                    }
                });
        node.declineReasons.clear();
        node.now += 0.1;
        node.arriveTunnels(200, 3, null);
        assertOnlyReason(node, DeclineReason.EXCESS);
    }
}
