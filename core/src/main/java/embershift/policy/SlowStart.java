package embershift.policy;

import embershift.model.Deployment;
import embershift.model.HostId;

/**
 * Guards a host that has just started (rule 4): what this node may send it until it is warm, so
 * that all nodes together stay within what it bears in any span of {@link
 * Deployment#overloadWindow}, whatever their clients do. There is no credit to save up. Each node
 * has a place on a circle, alike known to all: its rank times the golden ratio, turned by the
 * host's name. A stretch of the circle as long as a node's share is open: who lies in it may send
 * one, and what a share holds of whole ones every node may. So those that could send in one moment
 * are as many as the host bears, not as many as there are.
 */
final class SlowStart {

    /**
     * Multiples of it lie evenly on a circle however many they are, so nodes need not agree on how
     * many there are.
     */
    private static final double GOLDEN_RATIO = (Math.sqrt(5) - 1) / 2;

    /**
     * Nodes by which the open stretch moves on in a span: else a few that have no clients would
     * keep a host empty.
     */
    private static final double TURNOVER_PER_WINDOW = 0.25;

    private static final int BUCKETS = 32;

    private final Deployment deployment;
    private final double nodeStartedAt;
    private final TimeBuckets sent;
    private double hostStartedAt = Double.NEGATIVE_INFINITY;
    private double rampFrom = Double.NEGATIVE_INFINITY;
    private double circlePosition;

    /** {@code bornAt}: when this node started. */
    SlowStart(Deployment deployment, SeededRandom chance, double nodeStartedAt) {
        this.deployment = deployment;
        this.nodeStartedAt = nodeStartedAt;
        this.circlePosition = chance.nextDouble();
        // One bucket more than make a span: none is forgotten before its time.
        this.sent = new TimeBuckets(BUCKETS + 1, deployment.overloadWindow() / BUCKETS);
    }

    /** The host has started, as this node hears now. */
    void hostStarted(HostId host, double hostStartedAt, double now) {
        if (!isActive(now)) {
            // What the process before this one at the same rank has sent is not known: it counts as
            // a whole
            // share.
            rampFrom =
                    hostStartedAt < nodeStartedAt
                            ? Math.max(now, nodeStartedAt + deployment.overloadWindow())
                            : now;
        }
        this.hostStartedAt = hostStartedAt;
        if (hasNodeIndex()) {
            long rotation = HostSlots.mix(HostSlots.hash(host.name())) >>> 11;
            circlePosition = deployment.nodeIndex() * GOLDEN_RATIO + rotation / 0x1p53;
        }
    }

    boolean isActive(double now) {
        return now < hostStartedAt + deployment.warmUpTime();
    }

    /** Whether the last start that is known came before this. */
    boolean hostStartedBefore(double time) {
        return hostStartedAt < time;
    }

    /**
     * Whether it may be sent one more tunnel. What a warm host could take in a second is what this
     * node's tunnels on one come to an end, over its load: moves and returns do not swell that.
     */
    boolean maySend(double now, double warmHostRate) {
        return sent.count(now) < sendLimit(now, warmHostRate);
    }

    void tunnelSent(double now) {
        sent.add(now, 0, 1);
    }

    /** Tunnels that this node may send within the span that ends now. */
    private int sendLimit(double now, double warmHostRate) {
        double window = deployment.overloadWindow();
        // Halfway back: what the host can do grows over the span.
        double warmUpProgress =
                clampToUnit((now - window / 2 - hostStartedAt) / deployment.warmUpTime());
        double capacityShare =
                deployment.coldCapacityShare()
                        + (1 - deployment.coldCapacityShare()) * warmUpProgress;
        // A node that knows of nothing that ended would never send it anything: one tunnel from all
        // nodes
        // together in the time for which it may be pushed harms no host.
        double hostLimit =
                Math.max(
                        1,
                        deployment.overloadMultiple()
                                * capacityShare
                                * warmHostRate
                                * window
                                * deployment.nodeCount());
        // Nodes hear of a start together: over the first span they open one after the other.
        double turnover = TURNOVER_PER_WINDOW * (1 - 1.0 / deployment.nodeCount());
        double nodeShare =
                totalLimit(hostLimit)
                        / deployment.nodeCount()
                        * clampToUnit((now - rampFrom) / window);
        double windowsElapsed = Math.min(now - hostStartedAt, deployment.warmUpTime()) / window;
        double position = circlePosition + windowsElapsed * turnover / deployment.nodeCount();
        return (int) (nodeShare + 1 - (position - Math.floor(position)));
    }

    /**
     * What all nodes share: where places are left to chance, they vary more, so by so much less.
     */
    private double totalLimit(double hostLimit) {
        return hasNodeIndex() ? hostLimit : hostLimit / (1 + 1 / Math.sqrt(hostLimit));
    }

    /** Whether this node knows which of all it is. */
    private boolean hasNodeIndex() {
        return deployment.nodeIndex() >= 0 && deployment.nodeIndex() < deployment.nodeCount();
    }

    private static double clampToUnit(double value) {
        return Math.max(0, Math.min(1, value));
    }
}
