package embershift.fleet.audit;

import java.util.Optional;

/**
 * A period during which a node had one config revision in effect, and the sessions it answered in
 * that period.
 *
 * @param to when the period ended; empty if no entry tells
 * @param lastKnown time of the last entry that belongs to the period
 * @param isComplete whether no entry is missing within the period, nor between it and the previous
 *     one
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

    /** Returns when the period ended, or the time of its last known entry. */
    public HybridLogicalClock end() {
        return to.orElse(lastKnown);
    }
}
