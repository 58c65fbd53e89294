package embershift.routing;

import embershift.protocol.NodeConfiguration;
import embershift.transport.Datagrams;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The other nodes, as far as this one may speak to them. */
final class Peers {

    private static final int LONGEST = 256;

    private final Router router;
    private List<InetSocketAddress> addresses;
    private InetSocketAddress all;
    private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
    private final Datagrams socket;

    Peers(Router router, NodeConfiguration configuration) throws IOException {
        this.router = router;
        reachedBy(configuration);
        socket =
                configuration.peerListen() == null
                        ? null
                        : router.loop()
                                .datagrams(
                                        configuration.peerListen(),
                                        configuration.operated(),
                                        this::received);
    }

    /** Hears and says nothing more: another process does, at the same address. */
    void close() {
        if (socket != null) {
            socket.close();
        }
    }

    /** Where the other nodes are, at the start and when that has changed. */
    void reachedBy(NodeConfiguration configuration) {
        addresses = configuration.peers();
        all = configuration.peersAll();
        numbers.clear();
        for (int i = 0; i < addresses.size(); i++) {
            numbers.put(addresses.get(i), i);
        }
    }

    List<InetSocketAddress> addresses() {
        return addresses;
    }

    InetSocketAddress address() {
        return socket == null ? null : socket.address();
    }

    private void received(InetSocketAddress from, byte[] content) {
        Integer node = numbers.get(from);
        if (node == null || content.length > LONGEST) {
            router.tally().count("datagrams dropped");
            return;
        }
        router.tally().count("datagrams received");
        router.hear(news -> news.nodeMessageReceived(node, content));
    }

    void tell(int node, byte[] content) {
        if (node >= 0 && node < addresses.size()) {
            send(addresses.get(node), content);
        }
    }

    void tellAll(byte[] content) {
        send(all, content);
    }

    private void send(InetSocketAddress to, byte[] content) {
        boolean sent =
                socket != null
                        && to != null
                        && content.length <= LONGEST
                        && socket.send(to, content);
        router.tally().count(sent ? "datagrams sent" : "datagrams not sent");
    }
}
