package embershift.raft;

/**
 * Times in ticks. A leader is heard each {@code heartbeat}; who hears none for {@code election} to
 * twice that long stands; a leader that hears no majority in {@code election}, or whose disk has
 * owed it something for {@code stall}, steps down.
 */
public record Pace(int heartbeat, int election, int stall) {

    /**
     * @throws IllegalArgumentException where they make no sense together
     */
    public Pace {
        if (heartbeat < 1 || election < 3 * heartbeat || stall < heartbeat) {
            throw new IllegalArgumentException(
                    "election must be three heartbeats or more, stall one or more");
        }
    }
}
