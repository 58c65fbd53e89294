package embershift.emulator.world;

import embershift.emulator.day.Day;

import org.HdrHistogram.Histogram;

import java.util.List;

/**
 * What became of a day. {@code loads}: each host's load over capacity, second by second; {@code nanos} and
 * {@code moduleNanos}: what it took on this machine, which no result depends on.
 */
public record Outcome(Day day, Service service, Counts counts, Histogram opening, List<double[]> loads, long events,
                      long nanos, long moduleNanos) {
}
