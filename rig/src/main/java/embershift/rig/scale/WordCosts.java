package embershift.rig.scale;

import embershift.model.Decisions;
import embershift.model.DeclineReason;
import embershift.model.Deployment;
import embershift.model.HostId;
import embershift.model.NodeEvents;
import embershift.model.RosterEntry;
import embershift.model.TunnelId;
import embershift.model.ZoneId;
import embershift.policy.HostCapacityEstimate;
import embershift.policy.Policy;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * What nodes say to all others, counted in virtual time with a module for each node: when a host
 * sinks, and when a node leaves. Each word to all is a datagram at each other node.
 */
final class WordCosts {

    private static final int HOSTS = 8;

    /** As each node has on each host at the size planned for. */
    private static final int TUNNELS = 20;

    private static final double SUNK = 0.97;
    private static final double EVEN = 0.5;
    private static final double STEP = 0.05;
    private static final double LEAVES = 3;

    /** Headers of a datagram: IPv4 and UDP. */
    private static final int HEADERS = 28;

    private WordCosts() {}

    /** One node: what its module says and asks. */
    private static final class Node implements Decisions {
        private final Policy module;
        private final List<byte[]> toAll = new ArrayList<>();
        private final List<Integer> answered = new ArrayList<>();
        private int asked;

        Node(int nodes) {
            Deployment deployment = ModuleSimulation.deployment(nodes);
            module = new Policy(deployment, new HostCapacityEstimate(deployment));
        }

        void round(double now, Consumer<NodeEvents> news) {
            module.round(now, news, this);
        }

        @Override
        public void sendToAllNodes(byte[] content) {
            toAll.add(content);
        }

        @Override
        public void sendToNode(int node, byte[] content) {
            answered.add(node);
        }

        @Override
        public void probe(HostId host) {
            asked++;
        }

        @Override
        public void sendSetup(TunnelId id, HostId host, double timeOut) {}

        @Override
        public void cancelSetup(TunnelId id, int setup) {}

        @Override
        public void decline(TunnelId id, double returnAfter, DeclineReason reason) {}

        @Override
        public void closeWithError(TunnelId id) {}

        @Override
        public void move(TunnelId id) {}

        @Override
        public void closeIdle(HostId host) {}

        @Override
        public void watchRoster(boolean on) {}

        @Override
        public void requestRoster() {}

        @Override
        public void wakeAfter(double delay) {}

        @Override
        public void logForOperators(String line) {}
    }

    private static HostId host(int number) {
        return new HostId("h" + number);
    }

    private static List<Node> nodes(int many) {
        List<RosterEntry> listings = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            listings.add(
                    new RosterEntry(host(i), RosterEntry.State.READY, new ZoneId("z0"), 1, 0, 0));
        }
        List<Node> nodes = new ArrayList<>();
        for (int n = 0; n < many; n++) {
            Node node = new Node(many);
            nodes.add(node);
            node.round(
                    0,
                    news -> {
                        news.rosterReplaced(listings, false);
                        for (int i = 0; i < HOSTS * TUNNELS; i++) {
                            news.tunnelResumed(
                                    new TunnelId("s" + i),
                                    ModuleSimulation.PROFILE,
                                    null,
                                    null,
                                    null,
                                    host(i % HOSTS));
                        }
                        for (int i = 0; i < HOSTS; i++) {
                            news.hostReported(host(i), EVEN, many * TUNNELS, 0);
                        }
                    });
        }
        return nodes;
    }

    /**
     * Datagrams that arrive in all, those that one node gets, questions to the host that come of
     * it.
     */
    static double[] sinking(int many) {
        List<Node> nodes = nodes(many);
        nodes.forEach(node -> node.asked = 0);
        double now = 2;
        // Within one period each node hears of it by its own question.
        for (Node node : nodes) {
            node.round(now, news -> news.hostReported(host(0), SUNK, many * TUNNELS, 0));
        }
        long arrive = 0;
        for (Node node : nodes) {
            arrive += (long) node.toAll.size() * (many - 1);
        }
        double later = now + 1.5;
        for (int n = 0; n < many; n++) {
            Node hears = nodes.get(n);
            for (int from = 0; from < many; from++) {
                if (from != n) {
                    int sender = from;
                    nodes.get(from)
                            .toAll
                            .forEach(
                                    words ->
                                            hears.round(
                                                    later,
                                                    news ->
                                                            news.nodeMessageReceived(
                                                                    sender, words)));
                }
            }
        }
        int length = nodes.get(0).toAll.isEmpty() ? 0 : nodes.get(0).toAll.get(0).length;
        return new double[] {
            arrive,
            (double) arrive / many,
            (double) arrive / many * (length + HEADERS),
            nodes.stream().mapToLong(node -> node.asked).sum()
        };
    }

    /** A node leaves while nobody answers, and while all do: datagrams that arrive in all. */
    static double[] leaving(int many) {
        List<Node> nodes = nodes(many);
        Node leaver = nodes.get(0);
        leaver.round(2, news -> news.nodeLeaving(false));
        for (double at = 2; at < 2 + LEAVES; at += STEP) {
            double now = at;
            leaver.round(now, news -> {});
        }
        double unanswered = (double) leaver.toAll.size() * (many - 1);
        nodes.subList(1, many)
                .forEach(
                        node ->
                                node.round(
                                        2,
                                        news -> news.nodeMessageReceived(0, leaver.toAll.get(0))));
        double answers = nodes.stream().mapToLong(node -> node.answered.size()).sum();
        return new double[] {unanswered, many - 1 + answers};
    }

    static List<Curve> measure(ScaleFile file, ResourceLimits limits, Consumer<String> progress)
            throws ResourceLimits.Exceeded {
        Curve.Many points =
                new Curve.Many(
                        "words: a host sinks, datagrams that arrive at all nodes together",
                        "in a period of 2 s",
                        "words: a host sinks, datagrams that arrive at one node",
                        "in a period of 2 s",
                        "words: a host sinks, bytes that arrive at one node, headers reckoned",
                        "bytes in a period of 2 s",
                        "words: a host sinks, questions to it that come of them",
                        "in a period of 2 s",
                        "words: a node leaves unanswered, datagrams that arrive",
                        "in its 3 s",
                        "words: a node leaves and is answered, datagrams",
                        "in its 3 s");
        for (int many : file.words().nodes().stream().sorted().toList()) {
            limits.check();
            double[] sunk = sinking(many);
            double[] left = leaving(many);
            points.add(
                    many,
                    List.of(new double[] {sunk[0], sunk[1], sunk[2], sunk[3], left[0], left[1]}));
            progress.accept("words: " + many + " nodes done");
        }
        return points.curves("nodes", file.size().nodes());
    }
}
