package embershift.emulator.baseline;

import embershift.emulator.world.Module;
import embershift.model.Deployment;
import embershift.model.HostId;
import embershift.policy.HostCapacityEstimate;
import embershift.policy.Policy;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/** The ways to decide that can be played, by name. */
public final class Baselines {

    /** The module itself. */
    public static final String OWN = "embershift";

    private static final Map<String, Module.Maker> MAKERS = new LinkedHashMap<>();

    static {
        MAKERS.put(
                OWN,
                (deployment, truth) ->
                        new Policy(deployment, new HostCapacityEstimate(deployment))::round);
        MAKERS.put("random", (deployment, truth) -> new Plain(deployment, random(deployment)));
        MAKERS.put(
                "round-robin",
                (deployment, truth) -> new Plain(deployment, roundRobin(deployment)));
        MAKERS.put("least", (deployment, truth) -> new Plain(deployment, least(deployment)));
        MAKERS.put("p2c", (deployment, truth) -> new Plain(deployment, twoChoices(deployment)));
        MAKERS.put("paper", (deployment, truth) -> new Plain(deployment, new Paper(deployment)));
        MAKERS.put("top", (deployment, truth) -> new Plain(deployment, new Top(deployment, truth)));
    }

    private Baselines() {}

    public static Set<String> names() {
        return MAKERS.keySet();
    }

    /** Null where there is none of that name. */
    public static Module.Maker of(String name) {
        return MAKERS.get(name);
    }

    private static Plain.Choice random(Deployment deployment) {
        UniformRandomProvider chance = Plain.random(deployment, 2);
        return (eligible, group) -> eligible.get(chance.nextInt(eligible.size()));
    }

    private static Plain.Choice roundRobin(Deployment deployment) {
        int[] turn = {Plain.random(deployment, 2).nextInt(1 << 20)};
        return (eligible, group) -> eligible.get(turn[0]++ % eligible.size());
    }

    /** The host with the fewest of this node's tunnels, by lot among equals. */
    private static Plain.Choice least(Deployment deployment) {
        UniformRandomProvider chance = Plain.random(deployment, 2);
        return (eligible, group) -> {
            int fewest = eligible.stream().mapToInt(host -> host.own.size()).min().orElse(0);
            List<Plain.Host> equals =
                    eligible.stream().filter(host -> host.own.size() == fewest).toList();
            return equals.get(chance.nextInt(equals.size()));
        };
    }

    /**
     * The one of two with fewer of this node's tunnels (Mitzenmacher, The Power of Two Choices,
     * 1996).
     */
    private static Plain.Choice twoChoices(Deployment deployment) {
        UniformRandomProvider chance = Plain.random(deployment, 2);
        return (eligible, group) -> {
            Plain.Host one = eligible.get(chance.nextInt(eligible.size()));
            Plain.Host other = eligible.get(chance.nextInt(eligible.size()));
            return one.own.size() <= other.own.size() ? one : other;
        };
    }

    /**
     * The source's weighted draw and nothing else (PAPER, section III.A): weights from figures
     * probed once a second, a host not heard from at the others' mean.
     */
    private static final class Paper implements Plain.Choice {
        private static final double SPAN = 256;
        private final UniformRandomProvider chance;

        Paper(Deployment deployment) {
            chance = Plain.random(deployment, 2);
        }

        @Override
        public double probesEvery() {
            return 1;
        }

        @Override
        public Plain.Host choose(List<Plain.Host> eligible, String group) {
            int n = eligible.size();
            double mean =
                    eligible.stream()
                            .mapToDouble(host -> host.load)
                            .filter(load -> !Double.isNaN(load))
                            .average()
                            .orElse(0);
            double total = 0;
            for (Plain.Host host : eligible) {
                total += Double.isNaN(host.load) ? mean : host.load;
            }
            double mark = chance.nextDouble() * SPAN;
            for (Plain.Host host : eligible) {
                double load = Double.isNaN(host.load) ? mean : host.load;
                mark -=
                        n == 1
                                ? SPAN
                                : total <= 0 ? SPAN / n : SPAN * (total - load) / (total * (n - 1));
                if (mark < 0) {
                    return host;
                }
            }
            return eligible.get(n - 1);
        }
    }

    /**
     * Sees each host as it is at this moment, and is what can be hoped for: near the least loaded
     * host, a host that holds the group counting as lighter and one in another zone as heavier;
     * nothing to hosts that fail, nothing over what a cold one bears, and what is too much for a
     * host is moved off it.
     */
    private static final class Top implements Plain.Choice {
        private static final double FULL = 0.92;
        private static final double LEFT = 0.85;
        private static final double STORE_FULL = 1.5;
        private static final double CLOSE = 0.03;
        private static final double CROSSING = 0.03;
        private static final double HELD = 0.08;
        private final Deployment deployment;
        private final Module.Truth truth;
        private final UniformRandomProvider chance;

        Top(Deployment deployment, Module.Truth truth) {
            this.deployment = deployment;
            this.truth = truth;
            this.chance = Plain.random(deployment, 2);
        }

        @Override
        public double patience() {
            return 0;
        }

        private double weight(Plain.Host host, String group) {
            HostId id = host.id;
            if (!truth.takes(id) || truth.room(id) < 1) {
                return Double.POSITIVE_INFINITY;
            }
            double load = truth.load(id);
            return load > FULL
                    ? Double.POSITIVE_INFINITY
                    : load
                            + (host.near(deployment) ? 0 : CROSSING)
                            - (group != null && truth.holds(id, group) ? HELD : 0);
        }

        @Override
        public Plain.Host choose(List<Plain.Host> eligible, String group) {
            if (truth.storeWait() > STORE_FULL) {
                return null;
            }
            double[] weights = new double[eligible.size()];
            double lightest = Double.POSITIVE_INFINITY;
            for (int i = 0; i < weights.length; i++) {
                weights[i] = weight(eligible.get(i), group);
                lightest = Math.min(lightest, weights[i]);
            }
            if (lightest == Double.POSITIVE_INFINITY) {
                return null;
            }
            // Nodes that all take the very lightest meet there.
            Plain.Host chosen = null;
            int close = 0;
            for (int i = 0; i < weights.length; i++) {
                if (weights[i] <= lightest + CLOSE && chance.nextInt(++close) == 0) {
                    chosen = eligible.get(i);
                }
            }
            return chosen;
        }

        @Override
        public double moves(Plain.Host host) {
            if (host.own.isEmpty() || truth.room(host.id) < Double.POSITIVE_INFINITY) {
                return 0;
            }
            double load = truth.load(host.id);
            return load > 1 ? Math.min(1, (load - LEFT) / load) : 0;
        }
    }
}
