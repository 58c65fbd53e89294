package embershift.fleet.audit;

import java.util.Optional;

/**
 * A time of a hybrid logical clock. What was caused by something has a later time than that,
 * however far apart the clocks of the machines are, or are set back.
 *
 * @param millis since 1970, by the furthest clock heard of
 * @param counter distinguishes events within that millisecond
 */
public record HybridLogicalClock(long millis, int counter)
        implements Comparable<HybridLogicalClock> {

    /** Before all events. */
    public static final HybridLogicalClock START = new HybridLogicalClock(0, 0);

    /** How far ahead another clock may be to be followed: one wrong clock must not move all. */
    public static final long MAX_AHEAD_MILLIS = 60_000;

    /** Returns the time of an event that happens now, by a clock that may have been set back. */
    public HybridLogicalClock next(long wallClockMillis) {
        return wallClockMillis > millis
                ? new HybridLogicalClock(wallClockMillis, 0)
                : new HybridLogicalClock(millis, counter + 1);
    }

    /** Returns the time after a message that carried another clock's time. */
    public HybridLogicalClock merge(HybridLogicalClock other, long wallClockMillis) {
        long furthest = Math.max(wallClockMillis, millis) + MAX_AHEAD_MILLIS;
        return other.compareTo(this) > 0 && other.millis <= furthest ? other : this;
    }

    @Override
    public int compareTo(HybridLogicalClock other) {
        return millis != other.millis
                ? Long.compare(millis, other.millis)
                : Integer.compare(counter, other.counter);
    }

    @Override
    public String toString() {
        return millis + "." + counter;
    }

    /** Reads what {@link #toString} wrote; empty if it is no such text. */
    public static Optional<HybridLogicalClock> decode(String text) {
        if (!text.matches("\\d{1,15}\\.\\d{1,9}")) {
            return Optional.empty();
        }
        int dot = text.indexOf('.');
        return Optional.of(
                new HybridLogicalClock(
                        Long.parseLong(text.substring(0, dot)),
                        Integer.parseInt(text.substring(dot + 1))));
    }
}
