package embershift.rig.scale;

import embershift.transport.EventLoop;
import embershift.transport.TcpConnection;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * The way of many nodes to one instance, wherever that listens now: counts the bytes and the pieces
 * in which they come, and can be cut. All of it on one loop, so that a thousand nodes need no
 * thousand threads.
 */
final class CountingProxy implements AutoCloseable {

    private final EventLoop loop;
    private final Supplier<InetSocketAddress> target;
    private final AtomicLong fromNodes = new AtomicLong();
    private final AtomicLong toNodes = new AtomicLong();
    private final AtomicLong pieces = new AtomicLong();
    private final Set<TcpConnection> open = new LinkedHashSet<>();
    private final EventLoop.Acceptor listening;
    private boolean cut;

    /** {@code target}: where the instance listens, or null while it does not. */
    CountingProxy(EventLoop loop, Supplier<InetSocketAddress> target) throws IOException {
        this.loop = loop;
        this.target = target;
        CompletableFuture<EventLoop.Acceptor> listens = new CompletableFuture<>();
        loop.execute(
                () -> {
                    try {
                        listens.complete(
                                loop.listen(
                                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                        () -> true,
                                        this::accepted));
                    } catch (IOException | RuntimeException e) {
                        listens.completeExceptionally(e);
                    }
                });
        try {
            listening = listens.join();
        } catch (CompletionException e) {
            throw new IOException(e.getCause());
        }
    }

    InetSocketAddress address() {
        return listening.localAddress();
    }

    /** Bytes that nodes have sent, bytes that they were sent, and pieces in both directions. */
    long fromNodes() {
        return fromNodes.get();
    }

    long toNodes() {
        return toNodes.get();
    }

    long pieces() {
        return pieces.get();
    }

    /** From now on nothing passes and all that was open is closed; or it may be opened again. */
    void cut(boolean on) {
        loop.execute(
                () -> {
                    cut = on;
                    if (on) {
                        Set.copyOf(open).forEach(TcpConnection::close);
                        open.clear();
                    }
                });
    }

    private void accepted(TcpConnection node) {
        InetSocketAddress at = target.get();
        if (cut || at == null) {
            node.close();
            return;
        }
        open.add(node);
        Deque<byte[]> early = new ArrayDeque<>();
        boolean[] there = new boolean[1];
        TcpConnection[] instance = new TcpConnection[1];
        instance[0] =
                loop.connect(
                        at,
                        new TcpConnection.Listener() {
                            @Override
                            public void connected() {
                                there[0] = true;
                                early.forEach(bytes -> instance[0].write(ByteBuffer.wrap(bytes)));
                                early.clear();
                            }

                            @Override
                            public void connectFailed() {
                                end();
                            }

                            @Override
                            public void received(ByteBuffer bytes) {
                                toNodes.addAndGet(bytes.remaining());
                                pieces.incrementAndGet();
                                node.write(bytes);
                            }

                            @Override
                            public void inputEnded() {
                                end();
                            }

                            @Override
                            public void connectionLost() {
                                end();
                            }

                            private void end() {
                                close(node, instance[0]);
                            }
                        });
        open.add(instance[0]);
        node.setListener(
                new TcpConnection.Listener() {
                    @Override
                    public void received(ByteBuffer bytes) {
                        fromNodes.addAndGet(bytes.remaining());
                        pieces.incrementAndGet();
                        if (there[0]) {
                            instance[0].write(bytes);
                        } else {
                            byte[] kept = new byte[bytes.remaining()];
                            bytes.get(kept);
                            early.add(kept);
                        }
                    }

                    @Override
                    public void inputEnded() {
                        close(node, instance[0]);
                    }

                    @Override
                    public void connectionLost() {
                        close(node, instance[0]);
                    }
                });
    }

    private void close(TcpConnection one, TcpConnection other) {
        open.remove(one);
        open.remove(other);
        one.close();
        other.close();
    }

    @Override
    public void close() {
        cut(true);
        loop.execute(listening::close);
    }
}
