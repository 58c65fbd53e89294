package embershift.fleet.rollout;

/** Stage of a rollout. The names are part of the stored text. */
public enum RolloutStage {
    /** The canaries apply the revision before all other nodes. */
    FIRST,
    /** All nodes should apply the revision. */
    ALL,
    /** The revision is not rolled out further because of what the canaries showed. */
    HALTED
}
