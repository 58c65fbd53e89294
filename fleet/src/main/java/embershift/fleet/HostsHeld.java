package embershift.fleet;

import java.util.Map;
import java.util.TreeMap;

/**
 * The list of hosts as a node holds it: an older one never goes over a newer one, by fence, number
 * and discovery's generation. Fed what was told in any order, doubled or late.
 */
public final class HostsHeld {

    /**
     * {@code BEHIND}: discovery said something newer to this node already; {@code WHOLE}: the whole
     * list is wanted first.
     */
    public enum End {
        TAKEN,
        SAME,
        OLDER,
        BEHIND,
        WHOLE
    }

    private final TreeMap<String, String> entries = new TreeMap<>();
    private Fence fence = Fence.NONE;
    private long number;
    private long generation = Long.MIN_VALUE;

    /**
     * What discovery itself told this node: its word from now on, also where it began anew with
     * lower numbers.
     */
    public void discoverySaid(long told) {
        generation = told;
    }

    /** A change told under a fence that was not refused. */
    public End take(Fence by, HostsChange change) {
        int order = by.compareTo(fence);
        if (order < 0 || (order == 0 && change.number() < number)) {
            return End.OLDER;
        }
        // A host that drains by a newer word must not come back by an older one, whoever brings it.
        if (change.generation() < generation) {
            return End.BEHIND;
        }
        if (order == 0 && change.number() == number) {
            generation = change.generation();
            return End.SAME;
        }
        if (change.base() == 0) {
            entries.clear();
        } else if (order > 0 || change.base() > number) {
            return End.WHOLE;
        }
        entries.putAll(change.changed());
        change.gone().forEach(entries::remove);
        fence = by;
        number = change.number();
        generation = change.generation();
        return End.TAKEN;
    }

    public Map<String, String> entries() {
        return entries;
    }

    public Fence fence() {
        return fence;
    }

    public long number() {
        return number;
    }
}
