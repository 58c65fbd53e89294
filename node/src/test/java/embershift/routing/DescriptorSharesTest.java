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

    private ProbeConnectionPool<String> connections;

    @Test
    public void hostsWithoutDescriptorQueueAndTakeThatOfAnIdleHost() {
        List<String> closed = new ArrayList<>();
        boolean[] hasRoom = new boolean[1];
        connections =
                new ProbeConnectionPool<>(
                        () -> hasRoom[0],
                        host -> {
                            closed.add(host);
                            connections.released(host);
                        });
        connections.reserve(2);
        assertEquals(connections.unusedReserve(), 2);
        assertTrue(connections.tryAcquire("a"));
        assertTrue(connections.tryAcquire("b"));
        assertEquals(connections.unusedReserve(), 0);
        assertFalse(connections.tryAcquire("c"));
        assertEquals(connections.firstWaiting(), "c");
        connections.setIdle("b", true);
        assertTrue(connections.tryAcquire("c"));
        assertEquals(closed, List.of("b"));
        assertEquals(connections.firstWaiting(), null);
        hasRoom[0] = true;
        assertTrue(connections.tryAcquire("d"));
        connections.released("a");
        connections.released("c");
        hasRoom[0] = false;
        assertTrue(connections.tryAcquire("a"));
        assertFalse(connections.tryAcquire("e"));
        assertTrue(connections.cancelWait("e"));
        assertFalse(connections.cancelWait("e"));
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
                shares[i].update(limit, held[i], reported[1 - i], 1);
            }
            // From here on both processes know of each other. Each updates its share at random
            // times, and fills it or frees descriptors in between.
            for (int step = 0; step < 400; step++) {
                int process = random.nextInt(2);
                switch (random.nextInt(4)) {
                    case 0 ->
                            reported[process] =
                                    shares[process].claimed(limit, held[process], false, 32);
                    case 1 ->
                            shares[process].update(limit, held[process], reported[1 - process], 1);
                    case 2 ->
                            held[process] = Math.max(held[process], shares[process].allowed(limit));
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
        leaving.update(1000, 900, reported, 1);
        successor.update(1000, 60, leaving.claimed(1000, 900, false, 32), 1);
        assertEquals(successor.allowed(1000), 100);
        leaving.update(1000, 900, successor.claimed(1000, 60, false, 32), 1);
        assertEquals(leaving.allowed(1000), 900);
        successor.update(1000, 60, leaving.claimed(1000, 200, true, 32), 1);
        assertEquals(successor.allowed(1000), 768);
        successor.update(1000, 700, 0, 0);
        assertEquals(successor.allowed(1000), 1000);
    }
}
