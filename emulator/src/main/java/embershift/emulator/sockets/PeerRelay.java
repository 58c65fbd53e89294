package embershift.emulator.sockets;

import embershift.transport.DatagramEndpoint;
import embershift.transport.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;

/**
 * The way of datagrams from node to node: each node sees each other one under an address of its own
 * here, and all of them under one more; what comes is passed on late, or lost.
 */
final class PeerRelay {

    /**
     * By node and other node: where the node finds the other, and from where the other's words come
     * to it.
     */
    private final List<List<DatagramEndpoint>> ways = new ArrayList<>();

    private final List<DatagramEndpoint> toAll = new ArrayList<>();
    private final List<InetSocketAddress> nodes;
    private final SocketDay day;
    private final BiPredicate<Integer, Integer> passes;

    /**
     * {@code nodes}: where each node itself listens; {@code passes}: whether a datagram from one to
     * the other arrives.
     */
    PeerRelay(
            SocketDay day,
            EventLoop loop,
            List<InetSocketAddress> nodes,
            BiPredicate<Integer, Integer> passes)
            throws IOException {
        this.day = day;
        this.nodes = nodes;
        this.passes = passes;
        for (int node = 0; node < nodes.size(); node++) {
            List<DatagramEndpoint> row = new ArrayList<>();
            for (int other = 0; other < nodes.size(); other++) {
                int from = node;
                int to = other;
                row.add(
                        loop.openDatagramEndpoint(
                                any(), (sender, content) -> pass(from, to, content)));
            }
            ways.add(row);
            int from = node;
            toAll.add(
                    loop.openDatagramEndpoint(
                            any(),
                            (sender, content) -> {
                                for (int to = 0; to < nodes.size(); to++) {
                                    if (to != from) {
                                        pass(from, to, content);
                                    }
                                }
                            }));
        }
    }

    private static InetSocketAddress any() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    private void pass(int from, int to, byte[] content) {
        day.pump().sync();
        day.counts().datagrams++;
        if (from != to && passes.test(from, to)) {
            day.agenda()
                    .in(
                            day.peerDelay(from, to),
                            () -> ways.get(to).get(from).send(nodes.get(to), content));
        }
    }

    /**
     * The addresses under which this node is to find the others, and itself, in the order of their
     * numbers.
     */
    List<String> peers(int node) {
        return ways.get(node).stream().map(way -> text(way.localAddress())).toList();
    }

    String all(int node) {
        return text(toAll.get(node).localAddress());
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
