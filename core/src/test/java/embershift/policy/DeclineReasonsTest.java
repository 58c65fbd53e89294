package embershift.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import embershift.model.DeclineReason;
import embershift.model.Deployment.Budget;
import embershift.model.Deployment.DedupScope;
import embershift.model.Deployment.Repeat;
import embershift.model.Listing;
import embershift.model.ProfileId;
import embershift.model.SetupEnd;
import java.util.List;
import org.testng.annotations.Test;

/** Each decline tells its reason, by which operators find out who declines and why. */
public class DeclineReasonsTest {

    private static void only(Node node, DeclineReason reason) {
        assertTrue(node.reasons.size() > 0, "nothing was declined");
        assertTrue(node.reasons.stream().allMatch(reason::equals), node.reasons.toString());
    }

    private static void silent(Node node, int... hosts) {
        node.round(
                news -> {
                    for (int host : hosts) {
                        news.probeEnded(Node.host(host), false, 0.3);
                    }
                });
    }

    private static void full(Node node, int host) {
        node.round(
                news -> {
                    news.probeEnded(Node.host(host), true, 0.01);
                    news.hostReported(Node.host(host), 0.95, Double.NaN, Double.NaN);
                });
    }

    @Test
    public void nodeThatLeaves() {
        Node node = new Node(2).loads(0.1, 0.1);
        node.round(news -> news.nodeLeaving(false));
        node.arrive(0, 3, null);
        assertEquals(node.reasons.size(), 3);
        only(node, DeclineReason.NODE_LEAVES);
    }

    @Test
    public void setupsThatAreSpent() {
        Node node = new Node(4).loads(0.1, 0.1, 0.1, 0.1);
        node.arrive(0, 1, null);
        for (int setup = 0; setup < 4; setup++) {
            node.end(0, setup, node.lastHost(), SetupEnd.NOT_SENT);
        }
        only(node, DeclineReason.SETUPS_SPENT);
    }

    @Test
    public void timeThatIsSpent() {
        Node node = new Node(2).loads(0.1, 0.1);
        node.round(
                news ->
                        news.tunnelArrived(
                                Node.tun(0), new ProfileId("p"), null, null, null, 0.04, false));
        only(node, DeclineReason.TIME_SPENT);
    }

    @Test
    public void budgetThatIsSpent() {
        Node node =
                new Node(Repeat.REPEATABLE, DedupScope.ALL, 4, 1, new Budget(0, 0, 1), 1)
                        .loads(0.1, 0.1, 0.1, 0.1);
        node.arrive(0, 1, null);
        node.end(0, 0, node.lastHost(), SetupEnd.NOT_SENT);
        only(node, DeclineReason.BUDGET_SPENT);
    }

    @Test
    public void setupsThatAreHeldBackForTooLong() {
        Node node = new Node(4).loads(0.1, 0.1, 0.1, 0.1);
        node.arrive(0, 40, null);
        node.round(
                news -> {
                    for (int i = 0; i < 20; i++) {
                        news.setupEnded(
                                Node.tun(i), 0, Node.host(i % 4), SetupEnd.ERROR, 0.1, true);
                    }
                });
        node.now += 0.2;
        node.arrive(100, 40, null);
        only(node, DeclineReason.SETUPS_HELD_BACK);
    }

    @Test
    public void noHostThatIsReady() {
        Node node = new Node(1).loads(0.1);
        node.round(news -> news.rosterChanged(List.of(Node.listing(0, Listing.State.DRAINING, 0))));
        node.arrive(0, 1, null);
        only(node, DeclineReason.NO_HOST_READY);
    }

    @Test
    public void mostHostsSilent() {
        Node node = new Node(3);
        silent(node, 0, 1);
        full(node, 2);
        node.arrive(0, 1, null);
        only(node, DeclineReason.HOSTS_SILENT);
    }

    @Test
    public void mostHostsFailed() {
        Node node = new Node(4);
        full(node, 2);
        node.round(
                news -> {
                    news.rosterChanged(List.of(Node.listing(3, Listing.State.READY, node.now)));
                    for (int host = 0; host < 2; host++) {
                        news.setupEnded(
                                Node.tun(90), 0, Node.host(host), SetupEnd.ERROR, 0.1, false);
                    }
                });
        node.arrive(0, 1, null);
        only(node, DeclineReason.HOSTS_FAILED);
    }

    @Test
    public void mostHostsLate() {
        Node node = new Node(3);
        full(node, 2);
        node.round(
                news -> {
                    news.messageDelayNoted(Node.host(0), 0.25);
                    news.messageDelayNoted(Node.host(1), 0.25);
                });
        node.arrive(0, 1, null);
        only(node, DeclineReason.HOSTS_LATE);
    }

    @Test
    public void mostHostsCold() {
        Node node = new Node(3);
        node.round(
                news ->
                        news.rosterChanged(
                                List.of(
                                        Node.listing(0, Listing.State.READY, node.now),
                                        Node.listing(1, Listing.State.READY, node.now),
                                        Node.listing(2, Listing.State.READY, node.now))));
        node.arrive(0, 1, null);
        only(node, DeclineReason.HOSTS_COLD);
    }

    @Test
    public void allHostsFull() {
        Node node = new Node(4).loads(0.95, 0.95, 0.95, 0.95);
        node.arrive(0, 5, null);
        assertEquals(node.reasons.size(), 5);
        only(node, DeclineReason.HOSTS_FULL);
    }

    @Test
    public void excessOverTheNodesPartOfTheRoom() {
        Node node = new Node(4);
        for (int host = 0; host < 4; host++) {
            node.stand(10 * host, 10, host);
        }
        node.loads(0.75, 0.75, 0.75, 0.75);
        // Room for 0.4 of a host in a period, and arrivals of 0.075 each: these make 0.75 a period,
        // but want nothing.
        node.round(
                news -> {
                    for (int i = 100; i < 180; i++) {
                        news.tunnelArrived(
                                Node.tun(i), new ProfileId("p"), null, null, null, 0.01, false);
                    }
                });
        node.reasons.clear();
        node.now += 0.1;
        node.arrive(200, 3, null);
        only(node, DeclineReason.EXCESS);
    }
}
