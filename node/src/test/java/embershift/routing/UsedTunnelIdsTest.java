package embershift.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** The table of ids that processes share without locks. */
public class UsedTunnelIdsTest {

    private static ByteBuffer memory() {
        return ByteBuffer.allocateDirect(UsedTunnelIds.SIZE_BYTES + Long.BYTES)
                .alignedSlice(Long.BYTES);
    }

    @Test
    public void idIsClaimedOnceUntilItIsReleased() {
        UsedTunnelIds ids = UsedTunnelIds.ofThisProcess();
        assertTrue(ids.claim("a", 1));
        assertFalse(ids.claim("a", 2));
        assertTrue(ids.claim("b", 2));
        ids.release("a");
        assertTrue(ids.claim("a", 3));
        assertFalse(ids.claim("b", 3));
    }

    @Test
    public void idsOfTheLastMinutesAreKeptWhenFurtherOnesCome() {
        UsedTunnelIds ids = UsedTunnelIds.ofThisProcess();
        int count = 20_000;
        for (int i = 0; i < count; i++) {
            assertTrue(ids.claim("id-" + i, i * 0.01), "id-" + i);
        }
        for (int i = 0; i < count; i++) {
            assertFalse(ids.claim("id-" + i, count * 0.01), "id-" + i);
        }
    }

    @Test
    public void oldestIdsGiveWayInFullTable() {
        UsedTunnelIds ids = UsedTunnelIds.ofThisProcess();
        int count = 200_000;
        for (int i = 0; i < count; i++) {
            assertTrue(ids.claim("id-" + i, i), "id-" + i);
        }
        for (int i = count - 1000; i < count; i++) {
            assertFalse(ids.claim("id-" + i, count), "id-" + i);
        }
    }

    @Test
    public void onlyLaterIdsOutlastRestart() {
        ByteBuffer memory = memory();
        UsedTunnelIds before = new UsedTunnelIds(memory);
        before.claim("old", 100);
        before.claim("late", 108);
        UsedTunnelIds after = new UsedTunnelIds(memory);
        after.forgetBefore(105);
        assertFalse(after.claim("late", 110));
        assertTrue(after.claim("old", 110));
    }

    /** Guards against issue 67 (c): an id at both processes of an upgrade ran at both. */
    @Test
    public void idIsClaimedByAtMostOneOfTwoProcessesAtTheSameMoment() throws Exception {
        ByteBuffer memory = memory();
        int rounds = 20_000;
        AtomicInteger[] successes = new AtomicInteger[rounds];
        for (int i = 0; i < rounds; i++) {
            successes[i] = new AtomicInteger();
        }
        CyclicBarrier barrier = new CyclicBarrier(2);
        List<Thread> threads = new ArrayList<>();
        for (int t = 0; t < 2; t++) {
            UsedTunnelIds ids = new UsedTunnelIds(memory);
            Thread thread =
                    new Thread(
                            () -> {
                                try {
                                    for (int i = 0; i < rounds; i++) {
                                        if (i % 16 == 0) {
                                            barrier.await();
                                        }
                                        if (ids.claim("id-" + i, i)) {
                                            successes[i].incrementAndGet();
                                        }
                                    }
                                } catch (Exception e) {
                                    throw new IllegalStateException(e);
                                }
                            });
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        int claimed = 0;
        for (AtomicInteger each : successes) {
            assertTrue(each.get() <= 1);
            claimed += each.get();
        }
        // Where both come in the same instant, none may be successful; that is rare.
        assertTrue(claimed > rounds * 0.9, claimed + " of " + rounds);
        assertEquals(threads.size(), 2);
    }
}
