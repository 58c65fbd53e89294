package embershift.policy;

import embershift.model.Deployment;
import embershift.model.HostId;

/**
 * Limits what this node sends a host that has started recently (rule 4), until the host is warm, so
 * that all nodes together stay within what it can take in any span of {@link
 * Deployment#overloadWindow}, whatever their clients do. Unused shares do not accumulate.
 *
 * <p>Each node has a position on a circle, which all nodes can compute: its index times the golden
 * ratio, rotated by a hash of the host's name. An arc of the circle is open, as long as a node's
 * share: a node inside it may send one tunnel, and every node may send the whole-number part of its
 * share. So as many nodes can send at one moment as the host can take, not as many as there are.
 */
final class SlowStart {

    /**
     * Multiples of it are spread evenly over a circle however many they are, so nodes need not
     * agree on their number.
     */
    private static final double GOLDEN_RATIO = (Math.sqrt(5) - 1) / 2;

    /**
     * Nodes by which the open arc advances per window: otherwise a few nodes without clients would
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

    /** {@code nodeStartedAt}: when this node started. */
    SlowStart(Deployment deployment, SeededRandom random, double nodeStartedAt) {
        this.deployment = deployment;
        this.nodeStartedAt = nodeStartedAt;
        this.circlePosition = random.nextDouble();
        // One bucket more than a window has, so that none is dropped too early.
        this.sent = new TimeBuckets(BUCKETS + 1, deployment.overloadWindow() / BUCKETS);
    }

    /** The host has started, as this node learns now. */
    void hostStarted(HostId host, double hostStartedAt, double now) {
        if (!isActive(now)) {
            // What the previous process with this index sent is unknown, so it counts as a whole
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

    /** Whether the last known start of the host came before this time. */
    boolean hostStartedBefore(double time) {
        return hostStartedAt < time;
    }

    /**
     * Whether one more tunnel may be sent to the host. {@code warmHostRate} is what a warm host can
     * take per second: the rate at which this node's tunnels end on such a host, divided by the
     * host's load. Moves and reconnections do not inflate that rate.
     */
    boolean maySend(double now, double warmHostRate) {
        return sent.count(now) < sendLimit(now, warmHostRate);
    }

    void tunnelSent(double now) {
        sent.add(now, 0, 1);
    }

    /** Maximum number of tunnels that this node may send within the window that ends now. */
    private int sendLimit(double now, double warmHostRate) {
        double window = deployment.overloadWindow();
        // Taken at the middle of the window, as the host's capacity grows over it.
        double warmUpProgress =
                clampToUnitInterval((now - window / 2 - hostStartedAt) / deployment.warmUpTime());
        double capacityShare =
                deployment.coldCapacityShare()
                        + (1 - deployment.coldCapacityShare()) * warmUpProgress;
        // A node that knows of no tunnel that ended would never send the host any: one tunnel from
        // all nodes together within the overload window harms no host.
        double hostLimit =
                Math.max(
                        1,
                        deployment.overloadMultiple()
                                * capacityShare
                                * warmHostRate
                                * window
                                * deployment.nodeCount());
        // Nodes learn of a start together: over the first window they open one after the other.
        double turnover = TURNOVER_PER_WINDOW * (1 - 1.0 / deployment.nodeCount());
        double nodeShare =
                totalLimit(hostLimit)
                        / deployment.nodeCount()
                        * clampToUnitInterval((now - rampFrom) / window);
        double windowsElapsed = Math.min(now - hostStartedAt, deployment.warmUpTime()) / window;
        double position = circlePosition + windowsElapsed * turnover / deployment.nodeCount();
        return (int) (nodeShare + 1 - (position - Math.floor(position)));
    }

    /**
     * Tunnels that all nodes together may send. Where positions are random, the number of nodes
     * inside the arc varies more, so the limit is lower by as much.
     */
    private double totalLimit(double hostLimit) {
        return hasNodeIndex() ? hostLimit : hostLimit / (1 + 1 / Math.sqrt(hostLimit));
    }

    /** Whether this node knows its index among the nodes. */
    private boolean hasNodeIndex() {
        return deployment.nodeIndex() >= 0 && deployment.nodeIndex() < deployment.nodeCount();
    }

    private static double clampToUnitInterval(double value) {
        return Math.max(0, Math.min(1, value));
    }
}
