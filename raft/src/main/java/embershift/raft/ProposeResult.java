package embershift.raft;

/** The result of a proposal. */
public sealed interface ProposeResult {

    /**
     * The proposal is in this leader's log. Once the entry at {@code index} is committed, it is
     * this proposal if its term is {@code term}.
     */
    record Accepted(long index, long term) implements ProposeResult {}

    /** The proposal was rejected and has no effect. */
    record Rejected(RejectionReason reason) implements ProposeResult {}
}
