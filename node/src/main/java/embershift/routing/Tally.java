package embershift.routing;

import embershift.model.DeclineReason;
import embershift.model.Deployment;
import embershift.model.ProfileId;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * The node's counters by name, and the outcomes of tunnels by profile. Operators see the same
 * counters that the node prints when it ends.
 */
public final class Tally {

    /**
     * Outcomes that are counted for each profile, each at the only place in the code where it
     * occurs.
     */
    public enum Outcome {
        /** A host's {@code UP} was passed to the client. */
        OPENED("tunnels opened"),
        DECLINED("tunnels declined"),
        CLOSED_WITH_ERROR("tunnels closed with error");

        private final String name;

        Outcome(String name) {
            this.name = name;
        }
    }

    /** Counts setups whose first line was written to a host completely. */
    public static final String SETUPS_WRITTEN = "setups written whole";

    /** Counts tunnels that the node declined itself, without the policy. */
    public static final String DECLINED_FOR_DESCRIPTORS =
            "tunnels declined for want of descriptors";

    private final Map<String, long[]> counts = new TreeMap<>();

    /**
     * Outcomes for each profile of the deployment, in its order; those of other profiles count in
     * the totals only.
     */
    private final Map<ProfileId, Map<Outcome, Long>> profiles = new LinkedHashMap<>();

    Tally(Deployment deployment) {
        deployment
                .profiles()
                .forEach(profile -> profiles.put(profile.id(), new EnumMap<>(Outcome.class)));
    }

    /** Adds 1 to the counter of this name. */
    public void count(String name) {
        add(name, 1);
    }

    void count(Outcome outcome, ProfileId profile) {
        count(outcome.name);
        Map<Outcome, Long> outcomes = profiles.get(profile);
        if (outcomes != null) {
            outcomes.merge(outcome, 1L, Long::sum);
        }
    }

    void count(DeclineReason reason) {
        count(name(reason));
    }

    /** The name of the counter for a decline reason. */
    static String name(DeclineReason reason) {
        return "tunnels declined: " + reason.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    void add(String name, long amount) {
        counts.computeIfAbsent(name, key -> new long[1])[0] += amount;
    }

    /** The value of the counter of this name. */
    public long of(String name) {
        long[] count = counts.get(name);
        return count == null ? 0 : count[0];
    }

    /** Number of tunnels that were declined for this reason. */
    public long of(DeclineReason reason) {
        return of(name(reason));
    }

    /** The deployment's profiles, in its order. */
    public List<ProfileId> profiles() {
        return new ArrayList<>(profiles.keySet());
    }

    /** Number of the profile's tunnels with this outcome; the profile must be the deployment's. */
    public long of(ProfileId profile, Outcome outcome) {
        return profiles.get(profile).getOrDefault(outcome, 0L);
    }

    /** One line for each counter, by name, then one for each outcome of each profile. */
    @Override
    public String toString() {
        StringBuilder out = new StringBuilder();
        counts.forEach((name, count) -> out.append(name).append(' ').append(count[0]).append('\n'));
        profiles.forEach(
                (profile, outcomes) ->
                        outcomes.forEach(
                                (outcome, count) ->
                                        out.append(outcome.name)
                                                .append(" of ")
                                                .append(profile.name())
                                                .append(' ')
                                                .append(count)
                                                .append('\n')));
        return out.toString();
    }
}
