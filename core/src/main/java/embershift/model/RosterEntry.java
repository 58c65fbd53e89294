package embershift.model;

/**
 * What the roster says about one host. {@code weight} is the host's share relative to other hosts,
 * above 0: its nominal size, which some deployments lower the more tunnels the host holds, and 1
 * where not given or invalid. {@code launchedAt} is 0 for a host that started long ago.
 */
public record RosterEntry(
        HostId host, State state, ZoneId zone, double weight, int cell, double launchedAt) {

    /** Replaces a weight that is not above 0 and finite by 1. */
    public RosterEntry {
        weight = weight > 0 && weight < Double.POSITIVE_INFINITY ? weight : 1;
    }

    /** Whether the host takes new tunnels, according to the roster. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }
}
