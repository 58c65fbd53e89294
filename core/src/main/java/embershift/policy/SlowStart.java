package embershift.policy;

import embershift.model.Deployment;
import embershift.model.HostId;

/**
 * Guards a host that has just started (rule 4): what this node may send it until it is warm, so
 * that all nodes together stay within what it bears in any span of {@link Deployment#fallAfter},
 * whatever their clients do. There is no credit to save up. Each node has a place on a circle,
 * alike known to all: its rank times the golden ratio, turned by the host's name. A stretch of the
 * circle as long as a node's share is open: who lies in it may send one, and what a share holds of
 * whole ones every node may. So those that could send in one moment are as many as the host bears,
 * not as many as there are.
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
    private static final double TURNOVER = 0.25;

    private static final int BUCKETS = 32;

    private final Deployment deployment;
    private final double bornAt;
    private final Ring sent;
    private double startedAt = Double.NEGATIVE_INFINITY;
    private double openFrom = Double.NEGATIVE_INFINITY;
    private double place;

    /** {@code bornAt}: when this node started. */
    SlowStart(Deployment deployment, Chance chance, double bornAt) {
        this.deployment = deployment;
        this.bornAt = bornAt;
        this.place = chance.next();
        // One bucket more than make a span: none is forgotten before its time.
        this.sent = new Ring(BUCKETS + 1, deployment.fallAfter() / BUCKETS);
    }

    /** The host has started, as this node hears now. */
    void begin(HostId host, double startedAt, double now) {
        if (!lasts(now)) {
            // What the process before this one at the same rank has sent is not known: it counts as
            // a whole
            // share.
            openFrom = startedAt < bornAt ? Math.max(now, bornAt + deployment.fallAfter()) : now;
        }
        this.startedAt = startedAt;
        if (placed()) {
            long turn = Seats.scattered(Seats.numberOf(host.name())) >>> 11;
            place = deployment.rank() * GOLDEN_RATIO + turn / 0x1p53;
        }
    }

    boolean lasts(double now) {
        return now < startedAt + deployment.warmAfter();
    }

    /** Whether the last start that is known came before this. */
    boolean beganBefore(double time) {
        return startedAt < time;
    }

    /**
     * Whether it may be sent one more tunnel. What a warm host could take in a second is what this
     * node's tunnels on one come to an end, over its load: moves and returns do not swell that.
     */
    boolean mayTake(double now, double warmHostCanTake) {
        return sent.count(now) < most(now, warmHostCanTake);
    }

    void took(double now) {
        sent.add(now, 0, 1);
    }

    /** Tunnels that this node may send within the span that ends now. */
    private int most(double now, double warmHostCanTake) {
        double span = deployment.fallAfter();
        // Halfway back: what the host can do grows over the span.
        double climbed = share((now - span / 2 - startedAt) / deployment.warmAfter());
        double part = deployment.coldFrom() + (1 - deployment.coldFrom()) * climbed;
        // A node that knows of nothing that ended would never send it anything: one tunnel from all
        // nodes
        // together in the time for which it may be pushed harms no host.
        double bears =
                Math.max(
                        1,
                        deployment.fallMultiple()
                                * part
                                * warmHostCanTake
                                * span
                                * deployment.nodes());
        // Nodes hear of a start together: over the first span they open one after the other.
        double turnover = TURNOVER * (1 - 1.0 / deployment.nodes());
        double own = shared(bears) / deployment.nodes() * share((now - openFrom) / span);
        double turns = Math.min(now - startedAt, deployment.warmAfter()) / span;
        double mark = place + turns * turnover / deployment.nodes();
        return (int) (own + 1 - (mark - Math.floor(mark)));
    }

    /**
     * What all nodes share: where places are left to chance, they vary more, so by so much less.
     */
    private double shared(double bears) {
        return placed() ? bears : bears / (1 + 1 / Math.sqrt(bears));
    }

    /** Whether this node knows which of all it is. */
    private boolean placed() {
        return deployment.rank() >= 0 && deployment.rank() < deployment.nodes();
    }

    private static double share(double part) {
        return Math.max(0, Math.min(1, part));
    }
}
