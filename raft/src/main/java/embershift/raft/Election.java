package embershift.raft;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/**
 * The election timer and the votes received in the current election. The timer expires after a
 * random time of one to two {@link RaftTiming#electionTicks}.
 */
final class Election {

    /** The state of an election. */
    enum Outcome {
        PENDING,
        WON,
        LOST
    }

    private final int electionTicks;
    private final Random random;
    private final Set<MemberId> granted = new HashSet<>();
    private final Set<MemberId> rejected = new HashSet<>();
    private int elapsedTicks;
    private int timeoutTicks;

    Election(RaftTiming timing, long seed) {
        electionTicks = timing.electionTicks();
        random = new Random(seed);
        timeoutTicks = randomTimeout();
    }

    private int randomTimeout() {
        return electionTicks + random.nextInt(electionTicks);
    }

    /** Advances the timer by one tick; returns whether it has expired. */
    boolean tick() {
        return ++elapsedTicks >= timeoutTicks;
    }

    /** Restarts the timer with the same timeout. */
    void resetTimer() {
        elapsedTicks = 0;
    }

    /** Restarts the timer with a new random timeout. */
    void restartTimer() {
        elapsedTicks = 0;
        timeoutTicks = randomTimeout();
    }

    /** Makes the timer expire at the next tick. */
    void expireTimer() {
        elapsedTicks = timeoutTicks;
    }

    /** Whether less than the shortest timeout has passed since the timer was started. */
    boolean isWithinMinimumTimeout() {
        return elapsedTicks < electionTicks;
    }

    /** Starts an election; discards the votes of the previous one. */
    void begin() {
        granted.clear();
        rejected.clear();
    }

    void recordVote(MemberId voter, boolean isGranted) {
        (isGranted ? granted : rejected).add(voter);
    }

    Outcome outcome(Membership membership) {
        if (membership.isQuorum(granted)) {
            return Outcome.WON;
        }
        return membership.isQuorum(rejected) ? Outcome.LOST : Outcome.PENDING;
    }
}
