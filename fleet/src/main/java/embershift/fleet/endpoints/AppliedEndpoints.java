package embershift.fleet.endpoints;

import embershift.fleet.lease.FencingToken;
import java.util.Map;
import java.util.TreeMap;

/**
 * The endpoint list as a node has applied it. Updates may arrive in any order, late or repeatedly:
 * a list that is older by token, number or discovery's generation never replaces a newer one.
 */
public final class AppliedEndpoints {

    /** Outcome of an update. The wire names are part of the protocol. */
    public enum Outcome {
        /** The update was applied. */
        APPLIED("TAKEN"),
        /** The list was the same already. */
        UNCHANGED("SAME"),
        /** The list is newer than the update's. */
        STALE("OLDER"),
        /** Discovery itself has reported a newer list to this node. */
        BEHIND_DISCOVERY("BEHIND"),
        /** The update is of another discovery than this node's, and was not examined. */
        OTHER_DISCOVERY("ELSEWHERE"),
        /** The update is based on a list that is not held here. */
        FULL_LIST_NEEDED("WHOLE");

        private final String wireName;

        Outcome(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the name in the protocol. */
        public String wireName() {
            return wireName;
        }
    }

    private final TreeMap<String, String> entries = new TreeMap<>();
    private FencingToken token = FencingToken.NONE;
    private long number;
    private long generation = Long.MIN_VALUE;

    /**
     * Called when discovery has sent this node a list; after a restart of discovery its generations
     * may be lower again.
     */
    public void discoveryReported(long reportedGeneration) {
        generation = reportedGeneration;
    }

    /** Applies an update whose fencing token was admitted. */
    public Outcome apply(FencingToken updateToken, EndpointUpdate update) {
        int order = updateToken.compareTo(token);
        if (order < 0 || (order == 0 && update.number() < number)) {
            return Outcome.STALE;
        }
        // A host that drains according to a newer list must not be put back in service by an
        // older one.
        if (update.generation() < generation) {
            return Outcome.BEHIND_DISCOVERY;
        }
        if (order == 0 && update.number() == number) {
            generation = update.generation();
            return Outcome.UNCHANGED;
        }
        if (update.isFullList()) {
            entries.clear();
        } else if (order > 0 || update.baseNumber() > number) {
            return Outcome.FULL_LIST_NEEDED;
        }
        entries.putAll(update.changed());
        update.removed().forEach(entries::remove);
        token = updateToken;
        number = update.number();
        generation = update.generation();
        return Outcome.APPLIED;
    }

    /** Returns the entries by host. */
    public Map<String, String> entries() {
        return entries;
    }

    /** Returns the token of the latest update. */
    public FencingToken token() {
        return token;
    }

    /** Returns the number of the list, or 0 if there is none yet. */
    public long number() {
        return number;
    }
}
