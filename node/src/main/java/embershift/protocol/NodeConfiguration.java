package embershift.protocol;

import embershift.model.Deployment;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The configuration that the platform gives to a node at its start.
 *
 * @param initialRoster the hosts known at the start, or null
 * @param allPeers an address from which a datagram is passed on to all peers, or null
 */
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
     * Parses a configuration. {@code management} is the address for operators that applies if the
     * text names none; it may be null or empty.
     */
    public static NodeConfiguration parse(String text, String management)
            throws MalformedDataException {
        JsonObject root = new JsonObject("configuration", Json.parse(text));
        root.child("settings");
        List<InetSocketAddress> peers = new ArrayList<>();
        for (String peer : root.texts("peers")) {
            peers.add(Addresses.parse(peer));
        }
        int sockets =
                root.has("limits")
                        ? (int) root.child("limits").numberOr("sockets", DEFAULT_SOCKETS)
                        : DEFAULT_SOCKETS;
        String managementAddress = root.textOr("management", management);
        return new NodeConfiguration(
                root.textOr("name", "-"),
                Addresses.parse(root.text("listen")),
                Addresses.parse(root.text("discovery")),
                sockets,
                managementAddress == null || managementAddress.isEmpty()
                        ? null
                        : Addresses.parse(managementAddress),
                root.has("peer_listen") ? Addresses.parse(root.text("peer_listen")) : null,
                List.copyOf(peers),
                root.has("peers_all") ? Addresses.parse(root.text("peers_all")) : null,
                root.has("known") ? RosterUpdate.fromJson(root.value("known")) : null,
                root.value("settings"),
                DeploymentReader.fromJson(root.value("settings")).read(seed(root.text("seed"))));
    }

    /**
     * Returns this configuration with the values that the fleet's orders override; null keeps this
     * configuration's value.
     */
    public NodeConfiguration withOverrides(
            InetSocketAddress newDiscovery, Integer newSockets, List<InetSocketAddress> newPeers) {
        return new NodeConfiguration(
                name,
                listen,
                newDiscovery == null ? discovery : newDiscovery,
                newSockets == null ? sockets : newSockets,
                management,
                peerListen,
                newPeers == null ? peers : newPeers,
                newPeers == null ? allPeers : null,
                initialRoster,
                settings,
                deployment);
    }

    /**
     * Whether there is an address for operators; a second process may then listen on the same
     * addresses.
     */
    public boolean hasManagement() {
        return management != null;
    }

    /**
     * Returns what identifies the deployment, independent of its limits, profiles and shares: the
     * names of its tiers and zones. Two nodes for which these differ have neither hosts nor
     * operators in common.
     */
    public String deploymentIdentity() {
        return settings instanceof Map<?, ?> map
                ? map.get("tiers") + " in " + map.get("areas")
                : "";
    }

    /**
     * Returns the names of values that differ in a later configuration and cannot change without a
     * restart. The seed is not among them, as it differs at each reading.
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
            throw new MalformedDataException("configuration: seed is not a hexadecimal number");
        }
    }
}
