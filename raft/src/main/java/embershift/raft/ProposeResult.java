package embershift.raft;

/** What became of a proposal. */
public sealed interface ProposeResult {

    /**
     * It is in this leader's log. Whether it is committed shows when the entry at {@code index} is:
     * it is this one if its term is {@code term}.
     */
    record Accepted(long index, long term) implements ProposeResult {}

    /** It was not taken, and has no effect. */
    record Rejected(RejectionReason reason) implements ProposeResult {}
}
