package embershift.fleet.audit;

import java.util.Optional;

/**
 * A time over which a node acted on one config revision, and what it decided by it.
 *
 * @param to when it ended; empty if nothing is told of that
 * @param lastKnown until when it is known to have gone on
 * @param isComplete whether no entry is missing within, nor between it and the period before
 * @param opened sessions opened
 * @param declined sessions declined
 * @param failed sessions closed with an error
 */
public record RevisionPeriod(
        String node,
        long incarnation,
        long revision,
        HybridLogicalClock from,
        Optional<HybridLogicalClock> to,
        HybridLogicalClock lastKnown,
        boolean isComplete,
        long opened,
        long declined,
        long failed) {

    /** Whether a time, in milliseconds since 1970, is within this period. */
    public boolean covers(long millis) {
        return from.millis() <= millis && to.map(end -> millis < end.millis()).orElse(true);
    }

    /** Returns when the period ended, or until when it is known to have gone on. */
    public HybridLogicalClock end() {
        return to.orElse(lastKnown);
    }
}
