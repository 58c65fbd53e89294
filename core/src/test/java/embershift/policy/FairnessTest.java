package embershift.policy;

import static org.testng.Assert.assertTrue;

import embershift.model.Deployment.DedupScope;
import embershift.model.Deployment.Profile;
import embershift.model.Deployment.Repeat;
import embershift.model.Deployment.RetryBudget;
import embershift.model.NodeEvents;
import embershift.model.ParticipantId;
import embershift.model.ProfileId;
import embershift.model.SetupOutcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * What the least served profiles, tenants and times get where the hosts can take only a part of the
 * tunnels.
 */
public class FairnessTest {

    private static final int HOSTS = 8;

    /**
     * Load over capacity of one tunnel; with its lifetime, all hosts together take about fifty
     * tunnels a second before they are full.
     */
    private static final double TUNNEL_LOAD = 0.02;

    private static final double TUNNEL_LIFETIME = 6;
    private static final double STEP = 0.05;

    /** Seconds in which the empty hosts fill, before the seconds that are measured. */
    private static final double FILL_SECONDS = 12;

    private static final double MEASURED_SECONDS = 24;

    /** Maximum seconds for which a node may send nothing while tunnels arrive. */
    private static final double MAX_PAUSE = 4;

    private static final List<Profile> PROFILES =
            List.of(
                    new Profile(
                            new ProfileId("patient"),
                            Repeat.REPEATABLE,
                            DedupScope.ALL,
                            0,
                            0.5,
                            3,
                            0.15,
                            1),
                    new Profile(
                            new ProfileId("referenced"),
                            Repeat.REFERENCED,
                            DedupScope.ZONE,
                            0.5,
                            0.4,
                            1.5,
                            0.15,
                            2),
                    new Profile(
                            new ProfileId("hasty"),
                            Repeat.ONCE_ONLY,
                            DedupScope.ALL,
                            0,
                            0.2,
                            0.5,
                            0.25,
                            3));

    /** How many tunnels of a kind arrived and how many of those were sent to a host. */
    private static final class Share {
        private int arrived;
        private int sent;

        private double sentShare() {
            return (double) sent / arrived;
        }
    }

    /**
     * One node and its hosts, which answer its probes one step later and report their true load.
     */
    private static final class Simulation {
        private final PolicyHarness node;
        private final int[] open = new int[HOSTS];
        private final Map<String, Share> shares = new TreeMap<>();
        private final List<List<Share>> kinds = new ArrayList<>();
        private final List<int[]> endings = new ArrayList<>();
        private final List<Consumer<NodeEvents>> nextEvents = new ArrayList<>();
        private double longestPause;

        Simulation(long seed) {
            node = new PolicyHarness(PROFILES, HOSTS, seed, RetryBudget.NONE, 1);
        }

        private Share share(String kind) {
            return shares.computeIfAbsent(kind, name -> new Share());
        }

        private void arrive(NodeEvents events, double measureFrom) {
            int number = kinds.size();
            Profile profile = PROFILES.get(number % PROFILES.size());
            String tenant = number / PROFILES.size() % 10 == 0 ? "small" : "large";
            List<Share> kind =
                    node.now < measureFrom
                            ? List.of()
                            : List.of(
                                    share("class " + profile.id().name()),
                                    share("tenant " + tenant),
                                    share(
                                            "third "
                                                    + (int)
                                                            ((node.now - measureFrom)
                                                                    / MEASURED_SECONDS
                                                                    * 3)));
            kind.forEach(share -> share.arrived++);
            kinds.add(kind);
            events.tunnelArrived(
                    PolicyHarness.tunnel(number),
                    profile.id(),
                    new ParticipantId(tenant),
                    null,
                    null,
                    profile.clientTimeout(),
                    false);
        }

        void run(int arrivalsPerStep) {
            double measureFrom = node.now + FILL_SECONDS;
            double lastSentAt = measureFrom;
            for (int step = 0; step < (FILL_SECONDS + MEASURED_SECONDS) / STEP; step++) {
                node.now = measureFrom - FILL_SECONDS + (step + 0.5) * STEP;
                List<Consumer<NodeEvents>> due = List.copyOf(nextEvents);
                nextEvents.clear();
                List<String> decisions =
                        node.round(
                                events -> {
                                    due.forEach(each -> each.accept(events));
                                    endTunnels(events);
                                    for (int i = 0; i < arrivalsPerStep; i++) {
                                        arrive(events, measureFrom);
                                    }
                                });
                decisions.forEach(this::apply);
                lastSentAt =
                        node.count("set up") > 0 ? Math.max(measureFrom, node.now) : lastSentAt;
                longestPause = Math.max(longestPause, node.now - lastSentAt);
            }
        }

        private void endTunnels(NodeEvents events) {
            while (!endings.isEmpty() && endings.get(0)[2] <= node.now * 1000) {
                int[] tunnel = endings.remove(0);
                open[tunnel[1]]--;
                events.setupEnded(
                        PolicyHarness.tunnel(tunnel[0]),
                        0,
                        PolicyHarness.host(tunnel[1]),
                        SetupOutcome.COMPLETED,
                        TUNNEL_LIFETIME,
                        true);
            }
        }

        private void apply(String decision) {
            String[] words = decision.split(" ");
            if (decision.startsWith("set up")) {
                int tunnel = Integer.parseInt(words[2].substring(1));
                int host = Integer.parseInt(words[3].substring(1));
                kinds.get(tunnel).forEach(share -> share.sent++);
                open[host]++;
                endings.add(new int[] {tunnel, host, (int) ((node.now + TUNNEL_LIFETIME) * 1000)});
                nextEvents.add(
                        events ->
                                events.tunnelOpened(
                                        PolicyHarness.tunnel(tunnel),
                                        0,
                                        PolicyHarness.host(host),
                                        STEP));
            } else if (decision.startsWith("probe")) {
                int host = Integer.parseInt(words[1].substring(1));
                nextEvents.add(
                        events -> {
                            events.probeEnded(PolicyHarness.host(host), true, STEP);
                            events.hostReported(
                                    PolicyHarness.host(host),
                                    open[host] * TUNNEL_LOAD,
                                    open[host],
                                    0);
                        });
            } else if (decision.startsWith("watch roster")) {
                nextEvents.add(events -> events.rosterChanged(List.of()));
            }
        }

        @Override
        public String toString() {
            StringBuilder all = new StringBuilder("longest pause " + longestPause);
            shares.forEach(
                    (kind, share) ->
                            all.append(", ")
                                    .append(kind)
                                    .append(' ')
                                    .append(share.sent)
                                    .append(" of ")
                                    .append(share.arrived));
            return all.toString();
        }
    }

    @DataProvider
    public Object[][] arrivalRates() {
        return new Object[][] {{3, 1}, {6, 2}, {12, 3}, {30, 4}};
    }

    /**
     * A policy that does not know tenants cannot guarantee each a minimum; the nearest it can do is
     * to treat all alike.
     */
    @Test(dataProvider = "arrivalRates")
    public void noProfileTenantOrThirdOfRunFallsFarBehindBestServed(
            int arrivalsPerStep, long seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run(arrivalsPerStep);
        double best =
                simulation.shares.values().stream()
                        .mapToDouble(Share::sentShare)
                        .max()
                        .orElseThrow();
        simulation.shares.forEach(
                (kind, share) ->
                        assertTrue(share.sentShare() > best / 2, kind + " in " + simulation));
        assertTrue(simulation.longestPause < MAX_PAUSE, simulation.toString());
    }
}
