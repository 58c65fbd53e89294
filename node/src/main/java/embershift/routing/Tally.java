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
 * What the node takes in, sends and answers, counted by name, and what is told of each profile:
 * operators see the same counters that the node prints at its end.
 */
public final class Tally {

    /** What is counted for each profile, each at the one place at which it happens. */
    public enum Outcome {
        /** A host's {@code UP} was handed over to the client. */
        OPENED("tunnels opened"),
        DECLINED("tunnels declined"),
        CLOSED_WITH_ERROR("tunnels closed with error");

        private final String name;

        Outcome(String name) {
            this.name = name;
        }
    }

    /** Setups whose line was written whole to a host. */
    public static final String SETUPS_WRITTEN = "setups written whole";

    /** Tunnels that the node itself declined, unseen by the module. */
    public static final String DECLINED_FOR_DESCRIPTORS =
            "tunnels declined for want of descriptors";

    private final Map<String, long[]> counts = new TreeMap<>();

    /** The profiles of the deployment, in its order; others are counted for none. */
    private final Map<ProfileId, Map<Outcome, Long>> profiles = new LinkedHashMap<>();

    Tally(Deployment deployment) {
        deployment
                .profiles()
                .forEach(profile -> profiles.put(profile.id(), new EnumMap<>(Outcome.class)));
    }

    public void count(String name) {
        add(name, 1);
    }

    void count(Outcome outcome, ProfileId profile) {
        count(outcome.name);
        Map<Outcome, Long> own = profiles.get(profile);
        if (own != null) {
            own.merge(outcome, 1L, Long::sum);
        }
    }

    void count(DeclineReason reason) {
        count(name(reason));
    }

    /** What a reason is counted by. */
    static String name(DeclineReason reason) {
        return "tunnels declined: " + reason.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    void add(String name, long many) {
        counts.computeIfAbsent(name, key -> new long[1])[0] += many;
    }

    /** What was counted by this name. */
    public long of(String name) {
        long[] count = counts.get(name);
        return count == null ? 0 : count[0];
    }

    public long of(DeclineReason reason) {
        return of(name(reason));
    }

    /** The deployment's profiles, in its order. */
    public List<ProfileId> profiles() {
        return new ArrayList<>(profiles.keySet());
    }

    public long of(ProfileId profile, Outcome outcome) {
        return profiles.get(profile).getOrDefault(outcome, 0L);
    }

    /** One line for each count, by name, then those of each profile. */
    @Override
    public String toString() {
        StringBuilder out = new StringBuilder();
        counts.forEach((name, count) -> out.append(name).append(' ').append(count[0]).append('\n'));
        profiles.forEach(
                (profile, own) ->
                        own.forEach(
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
