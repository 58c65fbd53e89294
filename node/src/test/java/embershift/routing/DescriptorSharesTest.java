package embershift.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Who gets which part of the descriptors: hosts that are asked, and processes at one address. */
public class DescriptorSharesTest {

    private ProbeConnectionPool<String> kept;

    @Test
    public void hostsThatFindNoPlaceWaitInLineAndTakeThatOfOneThatRests() {
        List<String> closed = new ArrayList<>();
        boolean[] room = new boolean[1];
        kept =
                new ProbeConnectionPool<>(
                        () -> room[0],
                        host -> {
                            closed.add(host);
                            kept.released(host);
                        });
        kept.reserve(2);
        assertEquals(kept.unusedReserve(), 2);
        assertTrue(kept.tryAcquire("a"));
        assertTrue(kept.tryAcquire("b"));
        assertEquals(kept.unusedReserve(), 0);
        assertFalse(kept.tryAcquire("c"));
        assertEquals(kept.firstWaiting(), "c");
        kept.setIdle("b", true);
        assertTrue(kept.tryAcquire("c"));
        assertEquals(closed, List.of("b"));
        assertEquals(kept.firstWaiting(), null);
        room[0] = true;
        assertTrue(kept.tryAcquire("d"));
        kept.released("a");
        kept.released("c");
        room[0] = false;
        assertTrue(kept.tryAcquire("a"));
        assertFalse(kept.tryAcquire("e"));
        assertTrue(kept.cancelWait("e"));
        assertFalse(kept.cancelWait("e"));
    }

    @Test
    public void twoProcessesThatFillUpAtOnceStayBelowTheLimitTogether() {
        for (int seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            int limit = 100 + random.nextInt(1000);
            DescriptorShare[] shares = {new DescriptorShare(), new DescriptorShare()};
            int[] held = {random.nextInt(limit / 2), random.nextInt(limit / 4)};
            int[] told = {0, 0};
            for (int i = 0; i < 2; i++) {
                told[i] = shares[i].claimed(limit, held[i], false, 32);
            }
            for (int i = 0; i < 2; i++) {
                shares[i].update(limit, held[i], told[1 - i], 1);
            }
            // From here on both know of each other; each looks when it does, and fills or frees as
            // it likes in between.
            for (int step = 0; step < 400; step++) {
                int who = random.nextInt(2);
                switch (random.nextInt(4)) {
                    case 0 -> told[who] = shares[who].claimed(limit, held[who], false, 32);
                    case 1 -> shares[who].update(limit, held[who], told[1 - who], 1);
                    case 2 -> held[who] = Math.max(held[who], shares[who].allowed(limit));
                    default -> held[who] -= random.nextInt(held[who] / 2 + 1);
                }
                assertTrue(
                        held[0] + held[1] <= limit,
                        "seed " + seed + ", step " + step + ": " + held[0] + " and " + held[1]
                                + " of " + limit);
            }
        }
    }

    @Test
    public void oneThatTakesOverGetsWhatTheLeavingOneGivesBack() {
        DescriptorShare old = new DescriptorShare();
        DescriptorShare next = new DescriptorShare();
        int told = next.claimed(1000, 60, false, 32);
        assertEquals(told, 500);
        old.update(1000, 900, told, 1);
        next.update(1000, 60, old.claimed(1000, 900, false, 32), 1);
        assertEquals(next.allowed(1000), 100);
        old.update(1000, 900, next.claimed(1000, 60, false, 32), 1);
        assertEquals(old.allowed(1000), 900);
        next.update(1000, 60, old.claimed(1000, 200, true, 32), 1);
        assertEquals(next.allowed(1000), 768);
        next.update(1000, 700, 0, 0);
        assertEquals(next.allowed(1000), 1000);
    }
}
