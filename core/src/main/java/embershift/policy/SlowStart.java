package embershift.policy;

import embershift.model.Deployment;

/**
 * Guards a host that has just started (rule 4): this node's part of what all nodes together may send it until
 * it is warm, as credit that grows with what it can do by then.
 */
final class SlowStart {

    private final Deployment deployment;
    private final Chance chance;
    private double until = Double.NEGATIVE_INFINITY;
    private double credit;
    private double creditAt;

    SlowStart(Deployment deployment, Chance chance) {
        this.deployment = deployment;
        this.chance = chance;
    }

    void begin(double startedAt, double now) {
        until = startedAt + deployment.warmAfter();
        // Nodes hear of a start together: a random part of the first unit keeps them apart.
        credit = chance.next();
        creditAt = now;
    }

    boolean lasts(double now) {
        return now < until;
    }

    /** Whether the last start that is known came before this. */
    boolean beganBefore(double time) {
        return until < time + deployment.warmAfter();
    }

    /**
     * Whether there is credit for one more tunnel. What a warm host could take in a second is what this
     * node's tunnels on one come to an end, over its load: moves and returns do not swell that.
     */
    boolean mayTake(double now, double warmHostCanTake) {
        double climbed = 1 - (until - now) / deployment.warmAfter();
        double part = deployment.coldFrom() + (1 - deployment.coldFrom()) * Math.max(0, Math.min(1, climbed));
        // A node that knows of nothing that ended would never send it anything: one tunnel from all nodes
        // together in the time for which it may be pushed harms no host.
        double rate = Math.max(deployment.fallMultiple() * part * warmHostCanTake,
                1 / (deployment.fallAfter() * deployment.nodes()));
        double most = Math.max(1, rate * deployment.fallAfter());
        credit = Math.min(credit + rate * (now - creditAt), most);
        creditAt = now;
        return credit >= 1;
    }

    void took() {
        // What a host took while it was warm does not count against it later.
        credit = Math.max(-1, credit - 1);
    }
}
