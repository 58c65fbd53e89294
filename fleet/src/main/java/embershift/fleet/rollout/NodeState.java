package embershift.fleet.rollout;

/** The state of a node as a rollout sees it. The names are part of the stored text. */
public enum NodeState {
    /** It acts on the revision that it should. */
    CURRENT,
    /** It acts on an earlier revision. */
    BEHIND,
    /** Nothing is heard of it: what it acts on is not known. */
    SILENT,
    /** It acts on something that the store never had, or that its revision does not say. */
    DIVERGED,
    /** It may not act for the fleet any more. */
    SHUT_OUT,
    /** It acts on a revision below the floor, and is brought up before it serves. */
    COMING_BACK;

    /** Whether the node can be part of a rollout. */
    boolean isEligible() {
        return this == CURRENT || this == BEHIND || this == COMING_BACK;
    }
}
