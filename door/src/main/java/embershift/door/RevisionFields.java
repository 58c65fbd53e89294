package embershift.door;

import embershift.fleet.rollout.ConfigRevision;
import embershift.model.HostId;
import embershift.protocol.Addresses;
import embershift.protocol.MalformedDataException;
import embershift.routing.Router;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;

/**
 * The parsed fields of a configuration revision.
 *
 * @param discovery discovery's address, if it overrides that in the node's own file
 * @param sockets the limit of descriptors, likewise
 * @param peers the other nodes, likewise
 * @param ejectedHosts hosts that no node may use
 */
record RevisionFields(
        Optional<InetSocketAddress> discovery,
        Optional<Integer> sockets,
        Optional<List<InetSocketAddress>> peers,
        Set<HostId> ejectedHosts) {

    static final RevisionFields NONE =
            new RevisionFields(Optional.empty(), Optional.empty(), Optional.empty(), Set.of());

    private static final int MIN_SOCKETS = 2 * Router.OPERATOR_DESCRIPTORS;

    /** Thrown for a field that this node cannot apply. The message is shown to operators. */
    static final class InvalidFieldException extends Exception {

        private static final long serialVersionUID = 1;

        InvalidFieldException(String message) {
            super(message);
        }
    }

    /** Parses all fields; one that is unknown or invalid makes the whole revision invalid. */
    static RevisionFields parse(SortedMap<String, String> fields) throws InvalidFieldException {
        Optional<InetSocketAddress> discovery = Optional.empty();
        Optional<Integer> sockets = Optional.empty();
        Optional<List<InetSocketAddress>> peers = Optional.empty();
        for (Map.Entry<String, String> field : fields.entrySet()) {
            String value = field.getValue();
            try {
                switch (field.getKey()) {
                    case ConfigRevision.DISCOVERY ->
                            discovery = Optional.of(Addresses.parse(value));
                    case ConfigRevision.SOCKETS -> sockets = Optional.of(parseSockets(value));
                    case ConfigRevision.PEERS -> peers = Optional.of(parsePeers(value));
                    default -> requireEjectedHost(field.getKey());
                }
            } catch (MalformedDataException e) {
                throw new InvalidFieldException(field.getKey() + ": " + e.getMessage());
            }
        }
        return new RevisionFields(discovery, sockets, peers, ejectedHosts(fields));
    }

    private static int parseSockets(String value) throws InvalidFieldException {
        if (!value.matches("\\d{1,6}") || Integer.parseInt(value) < MIN_SOCKETS) {
            throw new InvalidFieldException(
                    "sockets: " + value + " is not a number of at least " + MIN_SOCKETS);
        }
        return Integer.parseInt(value);
    }

    private static List<InetSocketAddress> parsePeers(String value) throws MalformedDataException {
        List<InetSocketAddress> peers = new ArrayList<>();
        if (!value.isEmpty()) {
            for (String peer : value.split(",")) {
                peers.add(Addresses.parse(peer));
            }
        }
        return peers;
    }

    private static void requireEjectedHost(String name) throws InvalidFieldException {
        if (!name.startsWith(ConfigRevision.EJECTED_PREFIX)
                || name.length() == ConfigRevision.EJECTED_PREFIX.length()) {
            throw new InvalidFieldException(name + " is not known here");
        }
    }

    /** Returns the hosts that a revision with these fields ejects. */
    static Set<HostId> ejectedHosts(SortedMap<String, String> fields) {
        Set<HostId> hosts = new LinkedHashSet<>();
        for (String name : fields.keySet()) {
            if (name.startsWith(ConfigRevision.EJECTED_PREFIX)) {
                hosts.add(new HostId(name.substring(ConfigRevision.EJECTED_PREFIX.length())));
            }
        }
        return hosts;
    }
}
