package embershift.routing;

import embershift.protocol.NodeConfiguration;
import embershift.transport.DatagramEndpoint;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Sends and receives datagrams to and from those other nodes that this one may communicate with.
 */
final class Peers {

    private static final int MAX_DATAGRAM_BYTES = 256;

    private final Router router;
    private List<InetSocketAddress> addresses;
    private InetSocketAddress broadcastAddress;
    private final Map<InetSocketAddress, Integer> nodeNumbers = new HashMap<>();
    private final DatagramEndpoint socket;

    Peers(Router router, NodeConfiguration configuration) throws IOException {
        this.router = router;
        setAddresses(configuration);
        socket =
                configuration.peerListen() == null
                        ? null
                        : router.loop()
                                .openDatagramEndpoint(
                                        configuration.peerListen(),
                                        configuration.hasManagement(),
                                        this::received);
    }

    /** Stops sending and receiving, as another process at the same address does so now. */
    void close() {
        if (socket != null) {
            socket.close();
        }
    }

    /** Sets the addresses of the other nodes, at the start and after a change of configuration. */
    void setAddresses(NodeConfiguration configuration) {
        addresses = configuration.peers();
        broadcastAddress = configuration.allPeers();
        nodeNumbers.clear();
        for (int i = 0; i < addresses.size(); i++) {
            nodeNumbers.put(addresses.get(i), i);
        }
    }

    List<InetSocketAddress> addresses() {
        return addresses;
    }

    /** The address at which datagrams are received, or null where there is none. */
    InetSocketAddress address() {
        return socket == null ? null : socket.localAddress();
    }

    private void received(InetSocketAddress from, byte[] content) {
        Integer node = nodeNumbers.get(from);
        if (node == null || content.length > MAX_DATAGRAM_BYTES) {
            router.tally().count("datagrams dropped");
            return;
        }
        router.tally().count("datagrams received");
        router.enqueueEvent(events -> events.nodeMessageReceived(node, content));
    }

    void sendTo(int node, byte[] content) {
        if (node >= 0 && node < addresses.size()) {
            send(addresses.get(node), content);
        }
    }

    void sendToAll(byte[] content) {
        send(broadcastAddress, content);
    }

    private void send(InetSocketAddress to, byte[] content) {
        boolean sent =
                socket != null
                        && to != null
                        && content.length <= MAX_DATAGRAM_BYTES
                        && socket.send(to, content);
        router.tally().count(sent ? "datagrams sent" : "datagrams not sent");
    }
}
