package embershift.fleet.lease;

/**
 * Tells which grant of a task's lease an order stands on: of the grants of one task, a later one
 * has a greater number.
 */
public record FencingToken(long number) implements Comparable<FencingToken> {

    /** Less than that of any grant. */
    public static final FencingToken NONE = new FencingToken(0);

    @Override
    public int compareTo(FencingToken other) {
        return Long.compare(number, other.number);
    }
}
