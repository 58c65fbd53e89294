package embershift.fleet.lease;

/**
 * Identifies the grant of a task's lease under which an order was issued. Of the grants of one
 * task, a later one has a greater number.
 */
public record FencingToken(long number) implements Comparable<FencingToken> {

    /** Lower than the token of any grant. */
    public static final FencingToken NONE = new FencingToken(0);

    @Override
    public int compareTo(FencingToken other) {
        return Long.compare(number, other.number);
    }
}
