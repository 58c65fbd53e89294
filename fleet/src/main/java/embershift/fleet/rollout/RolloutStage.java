package embershift.fleet.rollout;

/** How far a rollout is. The names are part of the stored text. */
public enum RolloutStage {
    /** The canaries act on the revision first. */
    FIRST,
    /** All nodes are to act on it. */
    ALL,
    /** The canaries showed that it must not go further. */
    HALTED
}
