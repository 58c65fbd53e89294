package embershift.emulator.world;

import embershift.emulator.day.Day;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * What became of a day. {@code loads}: each host's load over capacity, second by second; {@code
 * nanos} and {@code moduleNanos}: what it took on this machine, which no result depends on.
 */
public record Outcome(
        Day day,
        Service service,
        Counts counts,
        Histogram opening,
        List<double[]> loads,
        long events,
        long nanos,
        long moduleNanos) {}
