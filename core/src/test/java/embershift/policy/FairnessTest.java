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

/** What the least served of all get where hosts can take a part of the tunnels only. */
public class FairnessTest {

    private static final int HOSTS = 8;

    /**
     * Load over capacity of one tunnel, and how long one lasts: all hosts together take some fifty
     * a second before they are brimful.
     */
    private static final double EACH = 0.02;

    private static final double LIFE = 6;
    private static final double STEP = 0.05;

    /** Seconds in which hosts that were empty fill, and seconds that count after that. */
    private static final double FILLING = 12;

    private static final double DAY = 24;

    /** Seconds for which a node may send nothing at all while tunnels come. */
    private static final double LONGEST_PAUSE = 4;

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

    /** How many of a kind came and how many of those were sent to a host. */
    private static final class Share {
        private int came;
        private int sent;

        private double part() {
            return (double) sent / came;
        }
    }

    /**
     * One node and its hosts, which answer its questions a step later and tell their load as it is.
     */
    private static final class Day {
        private final PolicyHarness node;
        private final int[] open = new int[HOSTS];
        private final Map<String, Share> shares = new TreeMap<>();
        private final List<List<Share>> kinds = new ArrayList<>();
        private final List<int[]> ending = new ArrayList<>();
        private final List<Consumer<NodeEvents>> next = new ArrayList<>();
        private double longestPause;

        Day(long seed) {
            node = new PolicyHarness(PROFILES, HOSTS, seed, RetryBudget.NONE, 1);
        }

        private Share share(String kind) {
            return shares.computeIfAbsent(kind, name -> new Share());
        }

        private void arrive(NodeEvents news, double begun) {
            int number = kinds.size();
            Profile profile = PROFILES.get(number % PROFILES.size());
            String tenant = number / PROFILES.size() % 10 == 0 ? "small" : "large";
            List<Share> kind =
                    node.now < begun
                            ? List.of()
                            : List.of(
                                    share("class " + profile.id().name()),
                                    share("tenant " + tenant),
                                    share("third " + (int) ((node.now - begun) / DAY * 3)));
            kind.forEach(share -> share.came++);
            kinds.add(kind);
            news.tunnelArrived(
                    PolicyHarness.tunnel(number),
                    profile.id(),
                    new ParticipantId(tenant),
                    null,
                    null,
                    profile.clientTimeout(),
                    false);
        }

        void play(int aStep) {
            double begun = node.now + FILLING;
            double sentAt = begun;
            for (int step = 0; step < (FILLING + DAY) / STEP; step++) {
                node.now = begun - FILLING + (step + 0.5) * STEP;
                List<Consumer<NodeEvents>> heard = List.copyOf(next);
                next.clear();
                List<String> said =
                        node.round(
                                news -> {
                                    heard.forEach(each -> each.accept(news));
                                    end(news);
                                    for (int i = 0; i < aStep; i++) {
                                        arrive(news, begun);
                                    }
                                });
                said.forEach(this::take);
                sentAt = node.count("set up") > 0 ? Math.max(begun, node.now) : sentAt;
                longestPause = Math.max(longestPause, node.now - sentAt);
            }
        }

        private void end(NodeEvents news) {
            while (!ending.isEmpty() && ending.get(0)[2] <= node.now * 1000) {
                int[] tunnel = ending.remove(0);
                open[tunnel[1]]--;
                news.setupEnded(
                        PolicyHarness.tunnel(tunnel[0]),
                        0,
                        PolicyHarness.host(tunnel[1]),
                        SetupOutcome.COMPLETED,
                        LIFE,
                        true);
            }
        }

        private void take(String decision) {
            String[] words = decision.split(" ");
            if (decision.startsWith("set up")) {
                int tunnel = Integer.parseInt(words[2].substring(1));
                int host = Integer.parseInt(words[3].substring(1));
                kinds.get(tunnel).forEach(share -> share.sent++);
                open[host]++;
                ending.add(new int[] {tunnel, host, (int) ((node.now + LIFE) * 1000)});
                next.add(
                        news ->
                                news.tunnelOpened(
                                        PolicyHarness.tunnel(tunnel),
                                        0,
                                        PolicyHarness.host(host),
                                        STEP));
            } else if (decision.startsWith("probe")) {
                int host = Integer.parseInt(words[1].substring(1));
                next.add(
                        news -> {
                            news.probeEnded(PolicyHarness.host(host), true, STEP);
                            news.hostReported(
                                    PolicyHarness.host(host), open[host] * EACH, open[host], 0);
                        });
            } else if (decision.startsWith("watch roster")) {
                next.add(news -> news.rosterChanged(List.of()));
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
                                    .append(share.came));
            return all.toString();
        }
    }

    @DataProvider
    public Object[][] rushes() {
        return new Object[][] {{3, 1}, {6, 2}, {12, 3}, {30, 4}};
    }

    /**
     * The nearest that a module without knowledge of tenants can come to a floor for each: it
     * treats all alike.
     */
    @Test(dataProvider = "rushes")
    public void noClassTenantOrThirdOfTheTimeFallsFarBehindTheBestServed(int aStep, long seed) {
        Day day = new Day(seed);
        day.play(aStep);
        double best = day.shares.values().stream().mapToDouble(Share::part).max().orElseThrow();
        day.shares.forEach(
                (kind, share) -> assertTrue(share.part() > best / 2, kind + " in " + day));
        assertTrue(day.longestPause < LONGEST_PAUSE, day.toString());
    }
}
