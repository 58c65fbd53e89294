package embershift.policy;

import embershift.model.Deployment;

/**
 * Estimates from the hosts' reports how many tunnels fill a warm host. What other hosts carry shows
 * what a starting host can take, even where tunnels last so long that hardly any ends. A process
 * that is replaced passes the estimate on to its successor.
 */
public final class HostCapacityEstimate {

    /** Tunnels and load from which a sum of reports counts: below, it is mostly noise. */
    private static final double MIN_TUNNELS = 4;

    private static final double MIN_LOAD = 0.1;

    private final Deployment deployment;
    private double warmLoad;
    private double warmTunnels;
    private double coldLoad;
    private double coldTunnels;
    private double tunnelsPerWarmHost;

    /** Creates an estimate that has seen no reports yet. */
    public HostCapacityEstimate(Deployment deployment) {
        this.deployment = deployment;
    }

    /** Clears the sums of the last survey, but not the estimate. */
    void beginSurvey() {
        warmLoad = 0;
        warmTunnels = 0;
        coldLoad = 0;
        coldTunnels = 0;
    }

    /**
     * Adds a host's latest report: its load over its present capacity, and the tunnels that cause
     * it.
     */
    void addReport(Policy.Host host) {
        // Where hosts report only tunnel counts, these show no share of their capacity: what a host
        // carries then counts as its full load, or a single tunnel would be taken to fill a host.
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
     * Tunnels of this node that a warm host could take per second if all nodes together filled it
     * over the warm-up time. A node that has just started sees by its own tunnels less than there
     * is, so its figure can only raise the estimate.
     */
    double placementsPerSecond(boolean justStarted) {
        if (warmTunnels >= MIN_TUNNELS && warmLoad >= MIN_LOAD) {
            tunnelsPerWarmHost =
                    Math.max(justStarted ? tunnelsPerWarmHost : 0, warmTunnels / warmLoad);
        } else if (coldTunnels >= MIN_TUNNELS && coldLoad >= MIN_LOAD) {
            // Cold hosts show what they can do at present, which is less than when warm.
            tunnelsPerWarmHost = Math.max(tunnelsPerWarmHost, coldTunnels / coldLoad);
        }
        return tunnelsPerWarmHost / deployment.nodeCount() / deployment.warmUpTime();
    }

    /** Number of tunnels that fill a warm host; 0 while unknown. */
    public double tunnelsPerWarmHost() {
        return tunnelsPerWarmHost;
    }

    /** Takes over the estimate of the process that this one replaces; 0 where it had none. */
    public void adopt(double inheritedTunnelsPerWarmHost) {
        if (inheritedTunnelsPerWarmHost > tunnelsPerWarmHost
                && inheritedTunnelsPerWarmHost < Double.POSITIVE_INFINITY) {
            tunnelsPerWarmHost = inheritedTunnelsPerWarmHost;
        }
    }
}
