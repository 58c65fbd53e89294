package embershift.fleet.endpoints;

import embershift.fleet.lease.FencingToken;
import java.util.Map;
import java.util.TreeMap;

/**
 * The endpoint list as a node has it. Updates may come in any order, late or more than once: an
 * older list, by token, number and discovery's generation, never takes the place of a newer one.
 */
public final class AppliedEndpoints {

    /** What became of an update. The wire names are part of the protocol. */
    public enum Outcome {
        /** The list is the update's from now on. */
        APPLIED("TAKEN"),
        /** The list was the update's before. */
        UNCHANGED("SAME"),
        /** The list is newer than the update's. */
        STALE("OLDER"),
        /** Discovery itself told this node something newer. */
        BEHIND_DISCOVERY("BEHIND"),
        /** The update changes a list that is not held here. */
        FULL_LIST_NEEDED("WHOLE");

        private final String wireName;

        Outcome(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the name that the publisher is told. */
        public String wireName() {
            return wireName;
        }
    }

    private final TreeMap<String, String> entries = new TreeMap<>();
    private FencingToken token = FencingToken.NONE;
    private long number;
    private long generation = Long.MIN_VALUE;

    /** Discovery told this node a list; its generations may have begun anew with lower numbers. */
    public void discoveryReported(long reportedGeneration) {
        generation = reportedGeneration;
    }

    /** Applies an update whose fencing token was admitted. */
    public Outcome apply(FencingToken updateToken, EndpointUpdate update) {
        int order = updateToken.compareTo(token);
        if (order < 0 || (order == 0 && update.number() < number)) {
            return Outcome.STALE;
        }
        // A host that drains by a newer list must not come back by an older one.
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

    /** Returns the number of the list, or 0 before there is one. */
    public long number() {
        return number;
    }
}
