package embershift.fleet.rollout;

/** The state of a node as a rollout sees it. The names are part of the stored text. */
public enum NodeState {
    /** The node has applied the revision that it should. */
    CURRENT,
    /** The node has applied an earlier revision. */
    BEHIND,
    /** The node does not report: which revision it has applied is unknown. */
    SILENT,
    /**
     * The node has applied a revision that the store never had, or its effective fields differ from
     * its revision.
     */
    DIVERGED,
    /** The node may no longer act for the fleet. */
    SHUT_OUT,
    /** The node's revision is below the floor; it is updated before it serves. */
    COMING_BACK;

    /** Whether the node can be part of a rollout. */
    boolean isEligible() {
        return this == CURRENT || this == BEHIND || this == COMING_BACK;
    }
}
