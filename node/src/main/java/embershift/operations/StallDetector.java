package embershift.operations;

/**
 * Whether this process may have stood still: stopped, or kept from the processor. What it reads
 * after that may have waited so long that its sender has given up and has had the contrary done
 * elsewhere. Fed with the time; decides only.
 */
final class StallDetector {

    /** Seconds within which operators are owed an answer; who has waited less has not given up. */
    static final double ANSWER_DEADLINE_SECONDS = 1.0;

    /** Seconds between two beats, so that a gap is told from the loop's usual turns. */
    static final double HEARTBEAT_SECONDS = 0.1;

    /**
     * Beats after a gap in which the loop reads what had piled up; those that are late themselves
     * don't count.
     */
    private static final int CATCH_UP_HEARTBEATS = 3;

    /**
     * A gap that, with the longest time between two beats, could hold a caller's whole patience.
     */
    private static final double STALL_SECONDS = ANSWER_DEADLINE_SECONDS - HEARTBEAT_SECONDS;

    private double lastHeartbeatAt;
    private int catchUpHeartbeatsLeft;

    StallDetector(double now) {
        lastHeartbeatAt = now;
    }

    /** To be told each {@code BEAT} seconds while the process runs. */
    void heartbeat(double now) {
        if (now - lastHeartbeatAt > STALL_SECONDS) {
            catchUpHeartbeatsLeft = CATCH_UP_HEARTBEATS;
        } else if (catchUpHeartbeatsLeft > 0 && now - lastHeartbeatAt <= 2 * HEARTBEAT_SECONDS) {
            // A fixed time would be over before one who gets little of the processor has read
            // anything.
            catchUpHeartbeatsLeft--;
        }
        lastHeartbeatAt = now;
    }

    /** Whether what is read now may have come longer ago than its sender waits. */
    boolean mayBeStale(double now) {
        return now - lastHeartbeatAt > STALL_SECONDS || catchUpHeartbeatsLeft > 0;
    }
}
