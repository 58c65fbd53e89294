package embershift.fleet.audit;

import java.util.Optional;

/**
 * A timestamp of a hybrid logical clock. An event has a later timestamp than the events that caused
 * it, however far the clocks of the machines differ or are set back.
 *
 * @param millis milliseconds since 1970, by the most advanced clock observed
 * @param counter orders the events within that millisecond
 */
public record HybridLogicalClock(long millis, int counter)
        implements Comparable<HybridLogicalClock> {

    /** The time before all events. */
    public static final HybridLogicalClock START = new HybridLogicalClock(0, 0);

    /**
     * How far ahead another clock may be for its time to be adopted, so that one wrong clock does
     * not advance all others.
     */
    public static final long MAX_AHEAD_MILLIS = 60_000;

    /**
     * Returns the timestamp of an event that happens now, by a wall clock that may have been set
     * back.
     */
    public HybridLogicalClock next(long wallClockMillis) {
        return wallClockMillis > millis
                ? new HybridLogicalClock(wallClockMillis, 0)
                : new HybridLogicalClock(millis, counter + 1);
    }

    /** Returns the timestamp after a message that carried another clock's timestamp. */
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

    /** Parses the output of {@link #toString}; empty if the text is malformed. */
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
