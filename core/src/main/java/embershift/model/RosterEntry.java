package embershift.model;

/**
 * What the roster says of one host. {@code weight}: what it is sent against other hosts, above 0;
 * its nominal size, and at some deployments that lowered the more tunnels it holds; 1 where not
 * told or senseless. {@code launchedAt} is 0 where it started long ago.
 */
public record RosterEntry(
        HostId host, State state, ZoneId zone, double weight, int cell, double launchedAt) {

    public RosterEntry {
        weight = weight > 0 && weight < Double.POSITIVE_INFINITY ? weight : 1;
    }

    /** Whether the host takes new tunnels, as far as the roster knows. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }
}
