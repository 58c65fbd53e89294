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

/** Each decline tells its reason, by which operators find out who declines and why. */
public class DeclineReasonsTest {

    private static void only(PolicyHarness node, DeclineReason reason) {
        assertTrue(node.declineReasons.size() > 0, "nothing was declined");
        assertTrue(
                node.declineReasons.stream().allMatch(reason::equals),
                node.declineReasons.toString());
    }

    private static void silent(PolicyHarness node, int... hosts) {
        node.round(
                news -> {
                    for (int host : hosts) {
                        news.probeEnded(PolicyHarness.host(host), false, 0.3);
                    }
                });
    }

    private static void full(PolicyHarness node, int host) {
        node.round(
                news -> {
                    news.probeEnded(PolicyHarness.host(host), true, 0.01);
                    news.hostReported(PolicyHarness.host(host), 0.95, Double.NaN, Double.NaN);
                });
    }

    @Test
    public void nodeThatLeaves() {
        PolicyHarness node = new PolicyHarness(2).reportLoads(0.1, 0.1);
        node.round(news -> news.nodeLeaving(false));
        node.arriveTunnels(0, 3, null);
        assertEquals(node.declineReasons.size(), 3);
        only(node, DeclineReason.NODE_LEAVES);
    }

    @Test
    public void setupsThatAreSpent() {
        PolicyHarness node = new PolicyHarness(4).reportLoads(0.1, 0.1, 0.1, 0.1);
        node.arriveTunnels(0, 1, null);
        for (int setup = 0; setup < 4; setup++) {
            node.endSetup(0, setup, node.lastSetupHost(), SetupOutcome.NOT_SENT);
        }
        only(node, DeclineReason.SETUPS_SPENT);
    }

    @Test
    public void timeThatIsSpent() {
        PolicyHarness node = new PolicyHarness(2).reportLoads(0.1, 0.1);
        node.round(
                news ->
                        news.tunnelArrived(
                                PolicyHarness.tunnel(0),
                                new ProfileId("p"),
                                null,
                                null,
                                null,
                                0.04,
                                false));
        only(node, DeclineReason.TIME_SPENT);
    }

    @Test
    public void budgetThatIsSpent() {
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
        only(node, DeclineReason.BUDGET_SPENT);
    }

    @Test
    public void setupsThatAreHeldBackForTooLong() {
        PolicyHarness node = new PolicyHarness(4).reportLoads(0.1, 0.1, 0.1, 0.1);
        node.arriveTunnels(0, 40, null);
        node.round(
                news -> {
                    for (int i = 0; i < 20; i++) {
                        news.setupEnded(
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
        only(node, DeclineReason.SETUPS_HELD_BACK);
    }

    @Test
    public void noHostThatIsReady() {
        PolicyHarness node = new PolicyHarness(1).reportLoads(0.1);
        node.round(
                news ->
                        news.rosterChanged(
                                List.of(PolicyHarness.entry(0, RosterEntry.State.DRAINING, 0))));
        node.arriveTunnels(0, 1, null);
        only(node, DeclineReason.NO_HOST_READY);
    }

    @Test
    public void mostHostsSilent() {
        PolicyHarness node = new PolicyHarness(3);
        silent(node, 0, 1);
        full(node, 2);
        node.arriveTunnels(0, 1, null);
        only(node, DeclineReason.HOSTS_SILENT);
    }

    @Test
    public void mostHostsFailed() {
        PolicyHarness node = new PolicyHarness(4);
        full(node, 2);
        node.round(
                news -> {
                    news.rosterChanged(
                            List.of(PolicyHarness.entry(3, RosterEntry.State.READY, node.now)));
                    for (int host = 0; host < 2; host++) {
                        news.setupEnded(
                                PolicyHarness.tunnel(90),
                                0,
                                PolicyHarness.host(host),
                                SetupOutcome.ERROR,
                                0.1,
                                false);
                    }
                });
        node.arriveTunnels(0, 1, null);
        only(node, DeclineReason.HOSTS_FAILED);
    }

    @Test
    public void mostHostsLate() {
        PolicyHarness node = new PolicyHarness(3);
        full(node, 2);
        node.round(
                news -> {
                    news.messageDelayMeasured(PolicyHarness.host(0), 0.25);
                    news.messageDelayMeasured(PolicyHarness.host(1), 0.25);
                });
        node.arriveTunnels(0, 1, null);
        only(node, DeclineReason.HOSTS_LATE);
    }

    @Test
    public void mostHostsCold() {
        PolicyHarness node = new PolicyHarness(3);
        node.round(
                news ->
                        news.rosterChanged(
                                List.of(
                                        PolicyHarness.entry(0, RosterEntry.State.READY, node.now),
                                        PolicyHarness.entry(1, RosterEntry.State.READY, node.now),
                                        PolicyHarness.entry(
                                                2, RosterEntry.State.READY, node.now))));
        node.arriveTunnels(0, 1, null);
        only(node, DeclineReason.HOSTS_COLD);
    }

    @Test
    public void allHostsFull() {
        PolicyHarness node = new PolicyHarness(4).reportLoads(0.95, 0.95, 0.95, 0.95);
        node.arriveTunnels(0, 5, null);
        assertEquals(node.declineReasons.size(), 5);
        only(node, DeclineReason.HOSTS_FULL);
    }

    @Test
    public void excessOverTheNodesPartOfTheRoom() {
        PolicyHarness node = new PolicyHarness(4);
        for (int host = 0; host < 4; host++) {
            node.resumeTunnels(10 * host, 10, host);
        }
        node.reportLoads(0.75, 0.75, 0.75, 0.75);
        // Room for 0.4 of a host in a period, and arrivals of 0.075 each: these make 0.75 a period,
        // but want nothing.
        node.round(
                news -> {
                    for (int i = 100; i < 180; i++) {
                        news.tunnelArrived(
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
        only(node, DeclineReason.EXCESS);
    }
}
