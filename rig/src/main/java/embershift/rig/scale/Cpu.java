package embershift.rig.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/**
 * Processor time of this thread: on a machine that others use as well, the time that passes tells
 * of them.
 */
final class Cpu {

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int CALLS = 20_000;
    private static final int ROUNDS = 5;
    private static final int COLLECTIONS = 3;

    /** What it takes to ask, which each of the measured pieces holds. */
    private static final double ASKING = asking();

    private Cpu() {}

    private static double asking() {
        double least = Double.MAX_VALUE;
        for (int round = 0; round < ROUNDS; round++) {
            long from = now();
            for (int i = 0; i < CALLS; i++) {
                now();
            }
            least = Math.min(least, (now() - from) / (double) CALLS);
        }
        return least;
    }

    /** Nanoseconds. */
    static long now() {
        return THREADS.getCurrentThreadCpuTime();
    }

    /** Nanoseconds since {@code from}, without what asking takes. */
    static double since(long from) {
        return Math.max(0, now() - from - ASKING);
    }

    /** Bytes of the heap that are reachable. */
    static long heap() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
