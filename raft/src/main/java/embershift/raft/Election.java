package embershift.raft;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/**
 * The election timer and the votes of the current election. The timer expires after a random time
 * of one to two {@link RaftTiming#electionTicks}.
 */
final class Election {

    /** How an election stands. */
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

    /** Counts a tick; returns whether the timer has expired. */
    boolean tick() {
        return ++elapsedTicks >= timeoutTicks;
    }

    /** Starts the timer again with the same timeout. */
    void resetTimer() {
        elapsedTicks = 0;
    }

    /** Starts the timer again with another timeout. */
    void restartTimer() {
        elapsedTicks = 0;
        timeoutTicks = randomTimeout();
    }

    /** Has the timer expire with the next tick. */
    void expireTimer() {
        elapsedTicks = timeoutTicks;
    }

    /** Whether less than the shortest timeout has passed since the timer was started. */
    boolean isWithinMinimumTimeout() {
        return elapsedTicks < electionTicks;
    }

    /** Forgets the votes of the election before. */
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
