package embershift.raft;

/** A leadership transfer to another voter (thesis, 3.10), aborted after an election timeout. */
final class LeadershipTransfer {

    private MemberId target = MemberId.NONE;
    private int elapsedTicks;

    boolean isActive() {
        return target.isPresent();
    }

    MemberId target() {
        return target;
    }

    void begin(MemberId newTarget) {
        target = newTarget;
        elapsedTicks = 0;
    }

    void cancel() {
        target = MemberId.NONE;
    }

    void tick(int timeoutTicks) {
        if (isActive()) {
            elapsedTicks++;
            if (elapsedTicks >= timeoutTicks) {
                cancel();
            }
        }
    }
}
