package embershift.fleet;

/**
 * A time of a hybrid logical clock: milliseconds since 1970 by the furthest clock heard of, and a
 * count within them. What was caused by something has a later time than that, however far apart the
 * clocks are or are set back.
 */
public record Hybrid(long millis, int count) implements Comparable<Hybrid> {

    public static final Hybrid START = new Hybrid(0, 0);

    /**
     * How far another's clock may be ahead of this one; further, it is not followed: one wrong
     * clock must not move all.
     */
    public static final long AHEAD = 60_000;

    /** The time of something that happens now, by a clock that may have been set back since. */
    public Hybrid next(long clock) {
        return clock > millis ? new Hybrid(clock, 0) : new Hybrid(millis, count + 1);
    }

    /** After a word that carried a time. */
    public Hybrid heard(Hybrid other, long clock) {
        return other.compareTo(this) > 0 && other.millis <= Math.max(clock, millis) + AHEAD
                ? other
                : this;
    }

    @Override
    public int compareTo(Hybrid other) {
        return millis != other.millis
                ? Long.compare(millis, other.millis)
                : Integer.compare(count, other.count);
    }

    @Override
    public String toString() {
        return millis + "." + count;
    }

    /** Null where this is no such time. */
    public static Hybrid read(String text) {
        if (!text.matches("\\d{1,15}\\.\\d{1,9}")) {
            return null;
        }
        int dot = text.indexOf('.');
        return new Hybrid(
                Long.parseLong(text.substring(0, dot)), Integer.parseInt(text.substring(dot + 1)));
    }
}
