package embershift.model;

/** What the roster says of one host; {@code launchedAt} is 0 where it started long ago. */
public record Listing(HostId host, State state, ZoneId zone, double nominalSize, int cell,
                      double launchedAt) {

    /** Whether the host takes new tunnels, as far as the roster knows. */
    public enum State { READY, DRAINING, GONE }
}
