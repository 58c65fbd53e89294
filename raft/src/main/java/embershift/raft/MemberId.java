package embershift.raft;

/**
 * Identifies a member of a group for as long as its directory exists: one that lost its directory
 * returns with a new identity.
 */
public record MemberId(long number) implements Comparable<MemberId> {

    /** Stands for no member. */
    public static final MemberId NONE = new MemberId(0);

    /** Whether this identifies a member. */
    public boolean isPresent() {
        return number != 0;
    }

    @Override
    public int compareTo(MemberId other) {
        return Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return Long.toHexString(number);
    }
}
