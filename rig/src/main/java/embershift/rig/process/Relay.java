package embershift.rig.process;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

/**
 * The way of connections that one process opens to another; both directions of it follow {@link
 * Ways}.
 */
public final class Relay implements AutoCloseable {

    /** Pieces held for a slow or cut direction; then what is sent waits in the system's buffers. */
    private static final int MOST_HELD = 64;

    private static final int PIECE = 8 << 10;
    private static final long TRICKLE_NS = 2_000_000;
    private static final int CONNECT_MS = 2000;

    private final ServerSocket server;
    private final Ways ways;
    private final Ways.Way there;
    private final Ways.Way back;
    private final Supplier<InetSocketAddress> target;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    private record Piece(long due, byte[] bytes) {}

    /** {@code target}: where the other listens now, or null while it does not. */
    public Relay(Ways ways, String from, String to, Supplier<InetSocketAddress> target)
            throws IOException {
        this.ways = ways;
        this.target = target;
        there = new Ways.Way(from, to);
        back = new Ways.Way(to, from);
        server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        daemon("relay", this::accept);
    }

    /** Where the one finds the other. */
    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
    }

    private static void daemon(String name, Runnable what) {
        Thread thread = new Thread(null, what, name, 128 << 10);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket one = server.accept();
                daemon("relay", () -> connect(one));
            } catch (IOException e) {
                // It is being closed.
            }
        }
    }

    private void connect(Socket one) {
        Socket other = new Socket();
        open.add(one);
        open.add(other);
        try {
            one.setTcpNoDelay(true);
            other.setTcpNoDelay(true);
            InetSocketAddress at = target.get();
            if (at == null) {
                throw new IOException("it does not listen");
            }
            other.connect(at, CONNECT_MS);
        } catch (IOException e) {
            reset(one, other);
            return;
        }
        pump(one, other, there);
        pump(other, one, back);
    }

    private void pump(Socket from, Socket to, Ways.Way way) {
        BlockingQueue<Piece> held = new LinkedBlockingQueue<>(MOST_HELD);
        daemon(
                "relay-in",
                () -> {
                    byte[] buffer = new byte[PIECE];
                    try {
                        InputStream in = from.getInputStream();
                        for (int many = in.read(buffer); many >= 0; many = in.read(buffer)) {
                            held.put(
                                    new Piece(
                                            System.nanoTime() + ways.lateness(way),
                                            Arrays.copyOf(buffer, many)));
                        }
                        offerEnd(held, way);
                    } catch (IOException e) {
                        // A reset: it passes as an end, and in its turn.
                        offerEnd(held, way);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        daemon(
                "relay-out",
                () -> {
                    try {
                        boolean passed = true;
                        while (passed) {
                            passed = pass(held.take(), from, to, way);
                        }
                    } catch (IOException e) {
                        reset(from, to);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
    }

    private void offerEnd(BlockingQueue<Piece> held, Ways.Way way) {
        try {
            held.put(new Piece(System.nanoTime() + ways.lateness(way), null));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Whether more may follow. */
    private boolean pass(Piece piece, Socket from, Socket to, Ways.Way way)
            throws IOException, InterruptedException {
        while (System.nanoTime() < piece.due) {
            LockSupport.parkNanos(piece.due - System.nanoTime());
        }
        ways.awaitOpen(way);
        if (piece.bytes == null) {
            to.shutdownOutput();
            if (from.isOutputShutdown() || to.isInputShutdown()) {
                closeBoth(from, to);
            }
            return false;
        }
        if (ways.takeReset(way)) {
            to.getOutputStream().write(piece.bytes, 0, piece.bytes.length / 2);
            reset(from, to);
            return false;
        }
        int step = ways.state(way).piece();
        if (step == 0) {
            to.getOutputStream().write(piece.bytes);
            return true;
        }
        for (int at = 0; at < piece.bytes.length; at += step) {
            ways.awaitOpen(way);
            to.getOutputStream().write(piece.bytes, at, Math.min(step, piece.bytes.length - at));
            LockSupport.parkNanos(TRICKLE_NS);
        }
        return true;
    }

    private void closeBoth(Socket one, Socket other) {
        for (Socket socket : new Socket[] {one, other}) {
            open.remove(socket);
            try {
                socket.close();
            } catch (IOException e) {
                // It is gone all the same.
            }
        }
    }

    private void reset(Socket one, Socket other) {
        for (Socket socket : new Socket[] {one, other}) {
            try {
                socket.setSoLinger(true, 0);
            } catch (IOException e) {
                // It was never open, or is gone.
            }
        }
        closeBoth(one, other);
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
