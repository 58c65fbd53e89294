package embershift.emulator.world;

import embershift.model.TunnelId;

/** One try of a client: a tunnel, from its first line to its end. */
public final class Attempt {
    public final TunnelId id;
    public final Caller caller;
    public final double began;
    NodeShell node;

    /** Whether its client has had a final answer, or left without one. */
    public boolean answered;

    public boolean left;

    /** The setup that was sent last, and how many were. */
    Setup setup;

    int setups;

    /** Once it is up: where, and whether lines pass. */
    public Host host;

    public double load;
    boolean passing;
    double muteSince;

    public Attempt(TunnelId id, Caller caller, double began) {
        this.id = id;
        this.caller = caller;
        this.began = began;
    }

    boolean up() {
        return host != null;
    }
}
