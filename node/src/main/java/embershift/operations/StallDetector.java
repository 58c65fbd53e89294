package embershift.operations;

/**
 * Detects whether this process may have stalled, because it was stopped or got no processor time. A
 * request that is read after a stall may have waited so long that its sender has given up and has
 * had the opposite done at another process. Has no clock of its own: callers pass the time.
 */
final class StallDetector {

    /**
     * Seconds within which operators must be answered; a caller that has waited less has not given
     * up.
     */
    static final double ANSWER_DEADLINE_SECONDS = 1.0;

    /**
     * Seconds between two heartbeats; tells a stall from the usual duration of a loop iteration.
     */
    static final double HEARTBEAT_SECONDS = 0.1;

    /**
     * Heartbeats after a stall during which the loop reads the backlog; those that are late
     * themselves don't count.
     */
    private static final int CATCH_UP_HEARTBEATS = 3;

    /**
     * Seconds without a heartbeat that count as a stall: together with the interval between two
     * heartbeats they could cover the whole time that a caller waits.
     */
    private static final double STALL_SECONDS = ANSWER_DEADLINE_SECONDS - HEARTBEAT_SECONDS;

    private double lastHeartbeatAt;
    private int catchUpHeartbeatsLeft;

    StallDetector(double now) {
        lastHeartbeatAt = now;
    }

    /** To be called every {@link #HEARTBEAT_SECONDS} while the process runs. */
    void heartbeat(double now) {
        if (now - lastHeartbeatAt > STALL_SECONDS) {
            catchUpHeartbeatsLeft = CATCH_UP_HEARTBEATS;
        } else if (catchUpHeartbeatsLeft > 0 && now - lastHeartbeatAt <= 2 * HEARTBEAT_SECONDS) {
            // Counts heartbeats instead of seconds: a fixed time would be over before a process
            // that gets little processor time has read anything.
            catchUpHeartbeatsLeft--;
        }
        lastHeartbeatAt = now;
    }

    /** Whether a request that is read now may have arrived longer ago than its sender waits. */
    boolean mayBeStale(double now) {
        return now - lastHeartbeatAt > STALL_SECONDS || catchUpHeartbeatsLeft > 0;
    }
}
