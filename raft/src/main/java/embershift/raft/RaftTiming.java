package embershift.raft;

/**
 * Timing parameters of the protocol, in ticks.
 *
 * @param heartbeatTicks interval between a leader's heartbeats
 * @param electionTicks minimum election timeout, randomized up to twice this value; also the time
 *     after which a leader without a quorum steps down
 * @param diskStallTicks time after which a leader whose disk has not completed a write steps down
 */
public record RaftTiming(int heartbeatTicks, int electionTicks, int diskStallTicks) {

    /**
     * Checks that the times are consistent.
     *
     * @throws IllegalArgumentException if they do not
     */
    public RaftTiming {
        if (heartbeatTicks < 1
                || electionTicks < 3 * heartbeatTicks
                || diskStallTicks < heartbeatTicks) {
            throw new IllegalArgumentException(
                    "election timeout must be at least three heartbeats, disk stall at least one");
        }
    }
}
