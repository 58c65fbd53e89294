package embershift.rig.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A limit on progress of processes, in seconds of a machine that has a processor for each task that
 * wants one. On a busier one the clock of the limit goes slower by what the tasks have to share,
 * and never slower than a tenth: limits are ten times what is usual, and what is usual on a quiet
 * machine takes as much longer on a busy one. One thread at a time.
 */
public final class Patience {

    private static final Path LOAD = Path.of("/proc/loadavg");
    private static final double SLOWEST = 0.1;

    /** Seconds for which a look at the machine holds, at least. */
    private static final double LOOK = 0.02;

    private final double seconds;
    private final int processors = Runtime.getRuntime().availableProcessors();
    private double spent;
    private long looked = System.nanoTime();

    public Patience(double seconds) {
        this.seconds = seconds;
    }

    /** Whether the limit is over. To be asked all the time that is waited. */
    public boolean over() {
        long now = System.nanoTime();
        double passed = (now - looked) / 1e9;
        if (passed >= LOOK) {
            looked = now;
            spent += passed * rate(running(), processors);
        }
        return spent > seconds;
    }

    /** How fast the clock of a limit goes while so many tasks run or want to. */
    static double rate(int running, int processors) {
        return Math.max(SLOWEST, Math.min(1, (double) processors / Math.max(1, running)));
    }

    /** Tasks that run or want to now, of the whole machine; 0 where it does not tell. */
    private static int running() {
        try {
            return Integer.parseInt(Files.readString(LOAD).split(" ")[3].split("/")[0]);
        } catch (IOException | RuntimeException e) {
            return 0;
        }
    }
}
