package embershift.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import embershift.model.Deployment.Budget;
import embershift.model.Deployment.DedupScope;
import embershift.model.Deployment.Repeat;
import embershift.model.SetupEnd;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/**
 * Rule 5: setups beyond each tunnel's first stay within the budget in every window that ends at
 * one.
 */
public class AllowanceTest {

    private static final Budget BUDGET = new Budget(3, 0.25, 2);

    @Test
    public void whatWasSpentCountsUntilItHasLeftTheWindow() {
        Allowance allowance = new Allowance(BUDGET);
        for (int i = 0; i < 3; i++) {
            allowance.spent(10.001);
        }
        assertEquals(allowance.left(12), 0.0);
        assertEquals(allowance.left(12.2), 3.0);
    }

    @Test
    public void takingsThatMayHaveLeftTheWindowCountNoMore() {
        Allowance allowance = new Allowance(BUDGET);
        for (int i = 0; i < 40; i++) {
            allowance.took(10.06);
        }
        assertEquals(allowance.left(11.9), 13.0);
        assertEquals(allowance.left(12.05), 3.0);
    }

    /**
     * A thousand sequences of takings and further setups, bunched and thin, against a count of
     * every window.
     */
    @Test
    public void noWindowIsOverdrawn() {
        for (int seed = 0; seed < 1000; seed++) {
            Random luck = new Random(seed);
            Budget budget =
                    new Budget(luck.nextInt(6), luck.nextDouble() / 2, 0.5 + 4 * luck.nextDouble());
            Allowance allowance = new Allowance(budget);
            List<Double> taken = new ArrayList<>();
            List<Double> further = new ArrayList<>();
            double now = luck.nextDouble() * 1000;
            for (int i = 0; i < 120; i++) {
                now += luck.nextInt(3) == 0 ? luck.nextDouble() * budget.span() / 4 : 0;
                if (luck.nextBoolean()) {
                    allowance.took(now);
                    taken.add(now);
                } else if (allowance.left(now) >= 1) {
                    allowance.spent(now);
                    further.add(now);
                    double from = now - budget.span();
                    double most =
                            budget.free()
                                    + budget.perTunnel()
                                            * taken.stream().filter(at -> at > from).count();
                    assertTrue(
                            further.stream().filter(at -> at >= from).count() <= most,
                            "seed " + seed);
                }
            }
        }
    }

    @Test
    public void stormOfFailuresIsAnsweredAtOnceWhenTheBudgetIsSpent() {
        Node node =
                new Node(Repeat.REPEATABLE, DedupScope.ALL, 4, 1, BUDGET, 1)
                        .loads(0.1, 0.1, 0.1, 0.1);
        node.arrive(0, 20, null);
        List<Integer> hosts =
                node.said.stream()
                        .filter(line -> line.startsWith("set up"))
                        .map(line -> Integer.parseInt(line.split(" h")[1]))
                        .toList();
        List<String> all = new ArrayList<>();
        for (int i = 0; i < hosts.size(); i++) {
            all.addAll(node.end(i, 0, hosts.get(i), SetupEnd.FULL));
        }
        assertEquals(all.stream().filter(line -> line.startsWith("set up")).count(), 3 + 20 / 4);
        assertEquals(all.stream().filter(line -> line.startsWith("decline")).count(), 12);
    }

    @Test
    public void setupThatWasNeverSentGivesNothingBack() {
        Node node =
                new Node(Repeat.REPEATABLE, DedupScope.ALL, 4, 1, new Budget(1, 0, 2), 1)
                        .loads(0.1, 0.1, 0.1, 0.1);
        node.arrive(0, 2, null);
        node.end(0, 0, 0, SetupEnd.FULL);
        node.end(0, 1, 1, SetupEnd.NOT_SENT);
        assertTrue(node.end(1, 0, 0, SetupEnd.FULL).get(0).startsWith("decline t1"));
    }

    @Test
    public void tunnelsThatStoodBeforeGiveNoBudget() {
        Node node =
                new Node(Repeat.REPEATABLE, DedupScope.ALL, 4, 1, new Budget(0, 1, 2), 1)
                        .loads(0.1, 0.1, 0.1, 0.1);
        node.stand(10, 50, 0);
        node.arrive(0, 1, null);
        assertEquals(
                node.end(0, 0, node.lastHost(), SetupEnd.FULL).stream()
                        .filter(line -> line.startsWith("set up"))
                        .count(),
                1);
        assertTrue(node.end(0, 1, node.lastHost(), SetupEnd.FULL).get(0).startsWith("decline t0"));
    }
}
