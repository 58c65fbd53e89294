package embershift.model;

/** Why a tunnel is declined. For the operators' counters only: no decision depends on it. */
public enum DeclineReason {
    /** This node is leaving. */
    NODE_LEAVES,
    /** All setups that the tunnel may have were used up. */
    SETUPS_SPENT,
    /** The client does not wait long enough for a setup. */
    TIME_SPENT,
    /** The retry budget is used up. */
    BUDGET_SPENT,
    /**
     * Setups fail at many hosts, so fewer are sent at a time, and the tunnel's turn would come too
     * late.
     */
    SETUPS_HELD_BACK,
    /** No host is listed as ready and in service. */
    NO_HOST_READY,
    /**
     * The most common reason among the ready hosts, where none takes the tunnel: they did not
     * answer the last probe.
     */
    HOSTS_SILENT,
    /** The most common reason among the ready hosts: setups failed there recently. */
    HOSTS_FAILED,
    /**
     * The most common reason among the ready hosts: messages there come too late for the tunnel.
     */
    HOSTS_LATE,
    /**
     * The most common reason among the ready hosts: they have just started, or stand out as empty,
     * and have been sent their limit.
     */
    HOSTS_COLD,
    /** The most common reason among the ready hosts: they are full. */
    HOSTS_FULL,
    /** Hosts have room, but less than what arrives, and this tunnel is part of the excess. */
    EXCESS
}
