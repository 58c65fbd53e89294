package embershift.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/**
 * Tests of how file descriptors are divided: among the connections for probes of hosts, and among
 * processes that listen at one address.
 */
public class DescriptorSharesTest {

    private KeptConnections<String> connections;

    @Test
    public void hostsWithoutDescriptorQueueAndTakeThatOfAnIdleHost() {
        List<String> closed = new ArrayList<>();
        boolean[] hasRoom = new boolean[1];
        connections =
                new KeptConnections<>(
                        () -> hasRoom[0],
                        host -> {
                            closed.add(host);
                            connections.closed(host);
                        });
        connections.reserve(2);
        assertEquals(connections.unused(), 2);
        assertTrue(connections.take("a"));
        assertTrue(connections.take("b"));
        assertEquals(connections.unused(), 0);
        assertFalse(connections.take("c"));
        assertEquals(connections.first(), "c");
        connections.rests("b", true);
        assertTrue(connections.take("c"));
        assertEquals(closed, List.of("b"));
        assertEquals(connections.first(), null);
        hasRoom[0] = true;
        assertTrue(connections.take("d"));
        connections.closed("a");
        connections.closed("c");
        hasRoom[0] = false;
        assertTrue(connections.take("a"));
        assertFalse(connections.take("e"));
        assertTrue(connections.leaveLine("e"));
        assertFalse(connections.leaveLine("e"));
    }

    @Test
    public void twoGrowingProcessesStayWithinSharedLimit() {
        for (int seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            int limit = 100 + random.nextInt(1000);
            DescriptorShare[] shares = {new DescriptorShare(), new DescriptorShare()};
            int[] held = {random.nextInt(limit / 2), random.nextInt(limit / 4)};
            int[] reported = {0, 0};
            for (int i = 0; i < 2; i++) {
                reported[i] = shares[i].claimed(limit, held[i], false, 32);
            }
            for (int i = 0; i < 2; i++) {
                shares[i].told(limit, held[i], reported[1 - i], 1);
            }
            // From here on both processes know of each other. Each updates its share at random
            // times, and fills it or frees descriptors in between.
            for (int step = 0; step < 400; step++) {
                int process = random.nextInt(2);
                switch (random.nextInt(4)) {
                    case 0 ->
                            reported[process] =
                                    shares[process].claimed(limit, held[process], false, 32);
                    case 1 -> shares[process].told(limit, held[process], reported[1 - process], 1);
                    case 2 -> held[process] = Math.max(held[process], shares[process].most(limit));
                    default -> held[process] -= random.nextInt(held[process] / 2 + 1);
                }
                assertTrue(
                        held[0] + held[1] <= limit,
                        "seed " + seed + ", step " + step + ": " + held[0] + " and " + held[1]
                                + " of " + limit);
            }
        }
    }

    @Test
    public void successorGetsDescriptorsReleasedByLeavingProcess() {
        DescriptorShare leaving = new DescriptorShare();
        DescriptorShare successor = new DescriptorShare();
        int reported = successor.claimed(1000, 60, false, 32);
        assertEquals(reported, 500);
        leaving.told(1000, 900, reported, 1);
        successor.told(1000, 60, leaving.claimed(1000, 900, false, 32), 1);
        assertEquals(successor.most(1000), 100);
        leaving.told(1000, 900, successor.claimed(1000, 60, false, 32), 1);
        assertEquals(leaving.most(1000), 900);
        successor.told(1000, 60, leaving.claimed(1000, 200, true, 32), 1);
        assertEquals(successor.most(1000), 768);
        successor.told(1000, 700, 0, 0);
        assertEquals(successor.most(1000), 1000);
    }
}
