package embershift.emulator.world;

import embershift.model.HostId;

/** One setup of a tunnel at a host, with what the node, the wire and the host know of it. */
final class Setup {
    final Attempt attempt;
    final int number;
    final NodeShell node;
    final Host host;
    final HostId address;
    final int launch;
    final double sentAt;
    final Wire toHost = new Wire();
    final Wire toNode = new Wire();

    /** Whether the line has left; whether it reached the host's program. */
    boolean lineSent;

    boolean arrived;

    /** Whether the node holds it to be over, and whether the host has heard that. */
    boolean ended;

    boolean closedAtHost;

    Setup(Attempt attempt, int number, NodeShell node, Host host, HostId address, double sentAt) {
        this.attempt = attempt;
        this.number = number;
        this.node = node;
        this.host = host;
        this.address = address;
        this.launch = host.launches();
        this.sentAt = sentAt;
    }
}
