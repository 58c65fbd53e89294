package embershift.model;

/** Why a tunnel is declined. For the operators' counters alone: nothing is decided by it. */
public enum DeclineReason {
    /** This node is to stop. */
    NODE_LEAVES,
    /** As many setups as are allowed have failed. */
    SETUPS_SPENT,
    /** The client waits no longer than a setup takes. */
    TIME_SPENT,
    /** No further setup is left in the budget. */
    BUDGET_SPENT,
    /** Setups fail at many hosts, so fewer go out together, and its turn would come too late. */
    SETUPS_HELD_BACK,
    /** No host is listed as ready and not out by hand. */
    NO_HOST_READY,
    /**
     * Where no host takes it, what keeps it off most of those that are ready: they did not answer
     * when last asked.
     */
    HOSTS_SILENT,
    /** Or setups failed there a moment ago. */
    HOSTS_FAILED,
    /** Or messages there come too late for it. */
    HOSTS_LATE,
    /** Or they have just started, or stand out as empty, and got their part. */
    HOSTS_COLD,
    /** Or they are as full as they may get. */
    HOSTS_FULL,
    /** Hosts have room, but less than what arrives, of which this is the excess. */
    EXCESS
}
