package embershift.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import embershift.model.Deployment.DedupScope;
import embershift.model.Deployment.Repeat;
import embershift.model.Deployment.RetryBudget;
import embershift.model.SetupOutcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/**
 * Rule 5: setups beyond each tunnel's first stay within the budget in every window that ends at
 * one.
 */
public class RetryLimiterTest {

    private static final RetryBudget BUDGET = new RetryBudget(3, 0.25, 2);

    @Test
    public void retriesCountUntilTheyHaveLeftTheWindow() {
        RetryLimiter limiter = new RetryLimiter(BUDGET);
        for (int i = 0; i < 3; i++) {
            limiter.retrySent(10.001);
        }
        assertEquals(limiter.remaining(12), 0.0);
        assertEquals(limiter.remaining(12.2), 3.0);
    }

    @Test
    public void tunnelsThatMayHaveLeftTheWindowCountNoMore() {
        RetryLimiter limiter = new RetryLimiter(BUDGET);
        for (int i = 0; i < 40; i++) {
            limiter.tunnelAccepted(10.06);
        }
        assertEquals(limiter.remaining(11.9), 13.0);
        assertEquals(limiter.remaining(12.05), 3.0);
    }

    /**
     * A thousand random sequences of accepted tunnels and retries, in bursts and spread out,
     * checked against a count of every window.
     */
    @Test
    public void noWindowExceedsTheBudget() {
        for (int seed = 0; seed < 1000; seed++) {
            Random random = new Random(seed);
            RetryBudget budget =
                    new RetryBudget(
                            random.nextInt(6),
                            random.nextDouble() / 2,
                            0.5 + 4 * random.nextDouble());
            RetryLimiter limiter = new RetryLimiter(budget);
            List<Double> accepted = new ArrayList<>();
            List<Double> retries = new ArrayList<>();
            double now = random.nextDouble() * 1000;
            for (int i = 0; i < 120; i++) {
                now += random.nextInt(3) == 0 ? random.nextDouble() * budget.window() / 4 : 0;
                if (random.nextBoolean()) {
                    limiter.tunnelAccepted(now);
                    accepted.add(now);
                } else if (limiter.remaining(now) >= 1) {
                    limiter.retrySent(now);
                    retries.add(now);
                    double from = now - budget.window();
                    double limit =
                            budget.base()
                                    + budget.perTunnel()
                                            * accepted.stream().filter(at -> at > from).count();
                    assertTrue(
                            retries.stream().filter(at -> at >= from).count() <= limit,
                            "seed " + seed);
                }
            }
        }
    }

    @Test
    public void massFailureIsAnsweredAtOnceWhenTheBudgetIsUsedUp() {
        PolicyHarness node =
                new PolicyHarness(Repeat.REPEATABLE, DedupScope.ALL, 4, 1, BUDGET, 1)
                        .reportLoads(0.1, 0.1, 0.1, 0.1);
        node.arriveTunnels(0, 20, null);
        List<Integer> hosts =
                node.decisions.stream()
                        .filter(line -> line.startsWith("set up"))
                        .map(line -> Integer.parseInt(line.split(" h")[1]))
                        .toList();
        List<String> all = new ArrayList<>();
        for (int i = 0; i < hosts.size(); i++) {
            all.addAll(node.endSetup(i, 0, hosts.get(i), SetupOutcome.FULL));
        }
        assertEquals(all.stream().filter(line -> line.startsWith("set up")).count(), 3 + 20 / 4);
        assertEquals(all.stream().filter(line -> line.startsWith("decline")).count(), 12);
    }

    @Test
    public void setupThatWasNeverSentIsNotRefunded() {
        PolicyHarness node =
                new PolicyHarness(
                                Repeat.REPEATABLE,
                                DedupScope.ALL,
                                4,
                                1,
                                new RetryBudget(1, 0, 2),
                                1)
                        .reportLoads(0.1, 0.1, 0.1, 0.1);
        node.arriveTunnels(0, 2, null);
        node.endSetup(0, 0, 0, SetupOutcome.FULL);
        node.endSetup(0, 1, 1, SetupOutcome.NOT_SENT);
        assertTrue(node.endSetup(1, 0, 0, SetupOutcome.FULL).get(0).startsWith("decline t1"));
    }

    @Test
    public void resumedTunnelsGrantNoRetries() {
        PolicyHarness node =
                new PolicyHarness(
                                Repeat.REPEATABLE,
                                DedupScope.ALL,
                                4,
                                1,
                                new RetryBudget(0, 1, 2),
                                1)
                        .reportLoads(0.1, 0.1, 0.1, 0.1);
        node.resumeTunnels(10, 50, 0);
        node.arriveTunnels(0, 1, null);
        assertEquals(
                node.endSetup(0, 0, node.lastSetupHost(), SetupOutcome.FULL).stream()
                        .filter(line -> line.startsWith("set up"))
                        .count(),
                1);
        assertTrue(
                node.endSetup(0, 1, node.lastSetupHost(), SetupOutcome.FULL)
                        .get(0)
                        .startsWith("decline t0"));
    }
}
