package embershift.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * What a receiver of orders goes by: of each duty the highest fence that it knows, below which it
 * takes nothing. One that has just started has forgotten them; it takes no order of a duty before
 * the record has told it, by a read that began after this gate was made: every fence taken here
 * before was granted before that.
 */
public final class Gate {

    /**
     * Taken; of an earlier grant than one known here; or not to be told yet, as the record was not
     * heard.
     */
    public enum Verdict {
        TAKEN,
        OLD,
        UNSURE
    }

    /** Duties that are remembered; more are refused as unsure, never taken unseen. */
    public static final int MOST = 256;

    private final Map<DutyId, Fence> highest = new HashMap<>();

    /**
     * The record's word of the latest fence of a duty, {@link Fence#NONE} where it was never
     * granted.
     */
    public void told(DutyId duty, Fence latest) {
        if (highest.size() < MOST || highest.containsKey(duty)) {
            highest.merge(duty, latest, (one, other) -> one.compareTo(other) >= 0 ? one : other);
        }
    }

    /**
     * Whether an order that stands on this fence is taken; if so, none of an earlier grant is from
     * now on.
     */
    public Verdict take(DutyId duty, Fence fence) {
        Fence known = highest.get(duty);
        if (known == null) {
            return Verdict.UNSURE;
        }
        if (fence.compareTo(known) < 0) {
            return Verdict.OLD;
        }
        highest.put(duty, fence);
        return Verdict.TAKEN;
    }

    /** The highest fence known, or null before the record was heard. */
    public Fence highest(DutyId duty) {
        return highest.get(duty);
    }
}
