package embershift.fleet;

/** Which grant of a duty an order stands on: by duty, the later grant has the greater number. */
public record Fence(long number) implements Comparable<Fence> {

    public static final Fence NONE = new Fence(0);

    @Override
    public int compareTo(Fence other) {
        return Long.compare(number, other.number);
    }
}
