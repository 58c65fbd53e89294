package embershift.raft;

/**
 * Times of the protocol, in ticks.
 *
 * @param heartbeatTicks between two heartbeats of a leader
 * @param electionTicks the least time without a leader after which a member stands for election, up
 *     to twice that at random; also the time after which a leader without a quorum steps down
 * @param diskStallTicks the time after which a leader whose disk has not completed a write steps
 *     down
 */
public record RaftTiming(int heartbeatTicks, int electionTicks, int diskStallTicks) {

    /**
     * Checks that the times fit together.
     *
     * @throws IllegalArgumentException if they do not
     */
    public RaftTiming {
        if (heartbeatTicks < 1
                || electionTicks < 3 * heartbeatTicks
                || diskStallTicks < heartbeatTicks) {
            throw new IllegalArgumentException(
                    "election must be three heartbeats or more, stall one or more");
        }
    }
}
