package embershift.protocol;

import embershift.model.Deployment;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** All that the platform tells a node when it starts. */
public record NodeConfiguration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        int sockets,
        InetSocketAddress management,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress allPeers,
        RosterUpdate initialRoster,
        Object settings,
        Deployment deployment) {

    private static final int DEFAULT_SOCKETS = 1024;

    /**
     * Reads a configuration. {@code management}, the operators' address, is taken from the text,
     * else as given here, which may be null or empty where there is none.
     */
    public static NodeConfiguration parse(String text, String management)
            throws MalformedDataException {
        JsonObject all = new JsonObject("configuration", Json.parse(text));
        all.child("settings");
        List<InetSocketAddress> peers = new ArrayList<>();
        for (String peer : all.texts("peers")) {
            peers.add(Addresses.parse(peer));
        }
        int sockets =
                all.has("limits")
                        ? (int) all.child("limits").numberOr("sockets", DEFAULT_SOCKETS)
                        : DEFAULT_SOCKETS;
        String operators = all.textOr("management", management);
        return new NodeConfiguration(
                all.textOr("name", "-"),
                Addresses.parse(all.text("listen")),
                Addresses.parse(all.text("discovery")),
                sockets,
                operators == null || operators.isEmpty() ? null : Addresses.parse(operators),
                all.has("peer_listen") ? Addresses.parse(all.text("peer_listen")) : null,
                List.copyOf(peers),
                all.has("peers_all") ? Addresses.parse(all.text("peers_all")) : null,
                all.has("known") ? RosterUpdate.fromJson(all.value("known")) : null,
                all.value("settings"),
                DeploymentReader.fromJson(all.value("settings")).read(seed(all.text("seed"))));
    }

    /**
     * This one with what the orders of the fleet say in place of its own; null for what they leave
     * alone.
     */
    public NodeConfiguration withOverrides(
            InetSocketAddress otherDiscovery,
            Integer otherSockets,
            List<InetSocketAddress> otherPeers) {
        return new NodeConfiguration(
                name,
                listen,
                otherDiscovery == null ? discovery : otherDiscovery,
                otherSockets == null ? sockets : otherSockets,
                management,
                peerListen,
                otherPeers == null ? peers : otherPeers,
                otherPeers == null ? allPeers : null,
                initialRoster,
                settings,
                deployment);
    }

    /** Whether operators have an address; a second process may then listen beside this one. */
    public boolean hasManagement() {
        return management != null;
    }

    /**
     * What tells this deployment from another's, whatever becomes of its limits, profiles and
     * shares: the names of its tiers and of its zones. Two nodes of which these differ have neither
     * hosts nor operators in common.
     */
    public String deploymentIdentity() {
        return settings instanceof Map<?, ?> all
                ? all.get("tiers") + " in " + all.get("areas")
                : "";
    }

    /**
     * What differs in a later configuration and can't change before a restart; seeds do with each
     * reading.
     */
    public List<String> changesRequiringRestart(NodeConfiguration later) {
        List<String> changes = new ArrayList<>();
        if (!name.equals(later.name)) {
            changes.add("name");
        }
        if (!listen.equals(later.listen)) {
            changes.add("listen");
        }
        if (!Objects.equals(management, later.management)) {
            changes.add("management");
        }
        if (!Objects.equals(peerListen, later.peerListen)) {
            changes.add("peer_listen");
        }
        if (!settings.equals(later.settings)) {
            changes.add("settings");
        }
        return changes;
    }

    private static long seed(String digits) throws MalformedDataException {
        try {
            return Long.parseUnsignedLong(digits, 16);
        } catch (NumberFormatException e) {
            throw new MalformedDataException("configuration: seed is no hexadecimal number");
        }
    }
}
