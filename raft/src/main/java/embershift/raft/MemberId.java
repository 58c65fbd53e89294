package embershift.raft;

/**
 * One instance with one folder: an instance that lost its folder comes back under another. 0 is
 * nobody's.
 */
public record MemberId(long number) implements Comparable<MemberId> {

    @Override
    public int compareTo(MemberId other) {
        return Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return Long.toHexString(number);
    }
}
