package embershift.raft;

/**
 * The state that a member must never lose.
 *
 * @param term the latest term it has seen
 * @param votedFor the member it voted for in that term, or {@link MemberId#NONE}
 */
public record HardState(long term, MemberId votedFor) {

    /** The hard state of a member that has seen no term. */
    public static final HardState INITIAL = new HardState(0, MemberId.NONE);
}
