package embershift.policy;

import embershift.model.Deployment;

/**
 * How many tunnels fill a warm host, as the hosts' reports tell: what others carry is the guide to
 * what a host that starts can take, also where tunnels last so long that hardly any ends. A process
 * that is replaced tells the one that follows.
 */
public final class Filling {

    /** Tunnels and load that tell something: below, a figure is mostly noise. */
    private static final double LEAST_TUNNELS = 4;

    private static final double LEAST_LOAD = 0.1;

    private final Deployment deployment;
    private double loads;
    private double tunnels;
    private double coldLoads;
    private double coldTunnels;
    private double known;

    public Filling(Deployment deployment) {
        this.deployment = deployment;
    }

    /** Forgets the figures of the last survey, not what they told. */
    void begin() {
        loads = 0;
        tunnels = 0;
        coldLoads = 0;
        coldTunnels = 0;
    }

    /** A host's latest report: load over what it can do now, and the tunnels that make it. */
    void add(Policy.Host host) {
        // Numbers tell no part of what a host can do: what it carries counts as its fill then, or
        // one tunnel
        // would be taken to fill a host.
        double load = deployment.reportsCapacity() ? host.load : 1;
        if (host.heard() && host.cold() && deployment.reportsCapacity()) {
            coldLoads += load;
            coldTunnels += host.tunnelsThere();
        } else if (host.heard() && !host.cold()) {
            loads += load;
            tunnels += host.tunnelsThere();
        }
    }

    /**
     * What a warm host could take of this node's tunnels in a second, if it were filled over the
     * warm-up by all nodes. A {@code young} node sees less than there is by its own tunnels.
     */
    double aSecond(boolean young) {
        if (tunnels >= LEAST_TUNNELS && loads >= LEAST_LOAD) {
            known = Math.max(young ? known : 0, tunnels / loads);
        } else if (coldTunnels >= LEAST_TUNNELS && coldLoads >= LEAST_LOAD) {
            // What cold ones can do as they are, which is less.
            known = Math.max(known, coldTunnels / coldLoads);
        }
        return known / deployment.nodes() / deployment.warmAfter();
    }

    /** Tunnels that fill a warm host; 0 while nothing has told it. */
    public double tunnels() {
        return known;
    }

    /** What the process that this one replaces knew; 0 where it knew nothing. */
    public void told(double tunnels) {
        if (tunnels > known && tunnels < Double.POSITIVE_INFINITY) {
            known = tunnels;
        }
    }
}
