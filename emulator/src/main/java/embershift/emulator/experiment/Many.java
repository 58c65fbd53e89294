package embershift.emulator.experiment;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.BiConsumer;

/**
 * Plays many days on several cores, each on one thread of its own. What comes back is in the order
 * of the plays, so no result depends on how many cores there were; progress and the time that is
 * left are told on the way.
 */
final class Many {

    private final int cores;
    private final PrintStream progress;

    Many(int cores, PrintStream progress) {
        this.cores = cores;
        this.progress = progress;
    }

    /**
     * {@code each} is called with a play and its result, in the order of the plays, as soon as all
     * before are done.
     */
    List<Result> play(List<Play> plays, BiConsumer<Play, Result> each) {
        ExecutorService threads =
                Executors.newFixedThreadPool(Math.max(1, Math.min(cores, plays.size())));
        long began = System.nanoTime();
        try {
            List<Future<Result>> futures = new ArrayList<>();
            plays.forEach(play -> futures.add(threads.submit(play::result)));
            List<Result> results = new ArrayList<>();
            for (int i = 0; i < plays.size(); i++) {
                Result result = futures.get(i).get();
                each.accept(plays.get(i), result);
                results.add(result);
                tell(i + 1, plays.size(), (System.nanoTime() - began) / 1e9);
            }
            return results;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("ended before all days were played", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } finally {
            threads.shutdownNow();
        }
    }

    private void tell(int done, int all, double seconds) {
        if (progress != null) {
            progress.printf(
                    Locale.ROOT,
                    "\r%d of %d, %.0f s left   ",
                    done,
                    all,
                    seconds / done * (all - done));
            if (done == all) {
                progress.print("\r                                        \r");
            }
            progress.flush();
        }
    }
}
