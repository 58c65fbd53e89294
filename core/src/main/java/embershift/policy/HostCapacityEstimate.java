package embershift.policy;

import embershift.model.Deployment;

/**
 * How many tunnels fill a warm host, as the hosts' reports tell: what others carry is the guide to
 * what a host that starts can take, also where tunnels last so long that hardly any ends. A process
 * that is replaced tells the one that follows.
 */
public final class HostCapacityEstimate {

    /** Tunnels and load that tell something: below, a figure is mostly noise. */
    private static final double MIN_TUNNELS = 4;

    private static final double MIN_LOAD = 0.1;

    private final Deployment deployment;
    private double warmLoad;
    private double warmTunnels;
    private double coldLoad;
    private double coldTunnels;
    private double tunnelsPerWarmHost;

    public HostCapacityEstimate(Deployment deployment) {
        this.deployment = deployment;
    }

    /** Forgets the figures of the last survey, not what they told. */
    void beginSurvey() {
        warmLoad = 0;
        warmTunnels = 0;
        coldLoad = 0;
        coldTunnels = 0;
    }

    /** A host's latest report: load over what it can do now, and the tunnels that make it. */
    void addReport(Policy.Host host) {
        // Numbers tell no part of what a host can do: what it carries counts as its fill then, or
        // one tunnel
        // would be taken to fill a host.
        double load = deployment.reportsCapacity() ? host.reportedLoad : 1;
        if (host.hasReport() && host.isCold() && deployment.reportsCapacity()) {
            coldLoad += load;
            coldTunnels += host.tunnelEstimate();
        } else if (host.hasReport() && !host.isCold()) {
            warmLoad += load;
            warmTunnels += host.tunnelEstimate();
        }
    }

    /**
     * What a warm host could take of this node's tunnels in a second, if it were filled over the
     * warm-up by all nodes. A {@code young} node sees less than there is by its own tunnels.
     */
    double placementsPerSecond(boolean young) {
        if (warmTunnels >= MIN_TUNNELS && warmLoad >= MIN_LOAD) {
            tunnelsPerWarmHost = Math.max(young ? tunnelsPerWarmHost : 0, warmTunnels / warmLoad);
        } else if (coldTunnels >= MIN_TUNNELS && coldLoad >= MIN_LOAD) {
            // What cold ones can do as they are, which is less.
            tunnelsPerWarmHost = Math.max(tunnelsPerWarmHost, coldTunnels / coldLoad);
        }
        return tunnelsPerWarmHost / deployment.nodeCount() / deployment.warmUpTime();
    }

    /** Tunnels that fill a warm host; 0 while nothing has told it. */
    public double tunnelsPerWarmHost() {
        return tunnelsPerWarmHost;
    }

    /** What the process that this one replaces knew; 0 where it knew nothing. */
    public void adopt(double inheritedTunnelsPerWarmHost) {
        if (inheritedTunnelsPerWarmHost > tunnelsPerWarmHost
                && inheritedTunnelsPerWarmHost < Double.POSITIVE_INFINITY) {
            tunnelsPerWarmHost = inheritedTunnelsPerWarmHost;
        }
    }
}
