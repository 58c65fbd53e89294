package embershift.raft;

/**
 * What a member must never forget.
 *
 * @param term the latest term it has seen
 * @param votedFor the member it voted for in that term, or {@link MemberId#NONE}
 */
public record HardState(long term, MemberId votedFor) {

    /** Of a member that has seen no term. */
    public static final HardState INITIAL = new HardState(0, MemberId.NONE);
}
