package embershift.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * One stream connection. Its events come from the loop only, never from within a call on a link, so
 * a caller need not fear that its state changes under its hands; but for {@link #readAvailable},
 * which is there for that.
 */
public final class TcpConnection {

    /** What a link tells. After {@code broken}, or a call of {@code close}, nothing more comes. */
    public interface Listener {

        default void connected() {}

        default void connectFailed() {}

        /** The buffer is good only during the call; what is left in it is lost. */
        void received(ByteBuffer bytes);

        /** The peer has ended its sending. */
        void inputEnded();

        /** The connection was reset, or what was written can't be sent. */
        void connectionLost();

        /**
         * Some of what waited is about to be handed to the system; who closes the link in this call
         * keeps it back.
         */
        default void beforeFlush() {}

        /** All that was written has been handed to the system, after some of it had to wait. */
        default void flushed() {}
    }

    /** Reads in a row from one link before others get their turn. */
    private static final int MAX_READS_PER_EVENT = 4;

    /** Seconds for which the peer may go on after the link was finished. */
    private static final double LINGER_SECONDS = 1.0;

    /**
     * Bytes read and dropped in that time at the most: a peer that sends at full speed costs no
     * more.
     */
    private static final int MAX_DISCARDED_BYTES = 1 << 20;

    /** Seconds for a peer that has not yet taken all that was written. */
    private static final double SLOW_READER_LINGER_SECONDS = 20.0;

    private final EventLoop loop;

    /** Where it came in; null for one that this process began. */
    private final EventLoop.Acceptor acceptor;

    private Listener listener;
    private StreamConnection connection;
    private IoFuture<StreamConnection> connectFuture;
    private Deque<ByteBuffer> pendingWrites;
    private boolean reading = true;
    private boolean shutdownAfterFlush;
    private boolean outputShutdown;
    private boolean inputEnded;
    private boolean closing;
    private int discardedBytes;
    private boolean closed;

    TcpConnection(EventLoop loop, Listener events) {
        this.loop = loop;
        acceptor = null;
        this.listener = events;
    }

    /** An accepted connection; it is not read before its events are set. */
    TcpConnection(EventLoop loop, StreamConnection connection, EventLoop.Acceptor from) {
        this.loop = loop;
        this.connection = connection;
        this.acceptor = from;
        installListeners();
    }

    /** Sets who hears of this link, and begins to read. */
    public void setListener(Listener events) {
        this.listener = events;
        connection.getSourceChannel().resumeReads();
    }

    EventLoop.Acceptor acceptor() {
        return acceptor;
    }

    void setConnectFuture(IoFuture<StreamConnection> future) {
        connectFuture = future;
    }

    void established(StreamConnection stream) {
        if (closed) {
            IoUtils.safeClose(stream);
            return;
        }
        connection = stream;
        connectFuture = null;
        installListeners();
        if (reading) {
            connection.getSourceChannel().resumeReads();
        }
        listener.connected();
    }

    void connectFailed() {
        if (!closed) {
            close();
            listener.connectFailed();
        }
    }

    private void installListeners() {
        connection.getSourceChannel().setReadListener(this::read);
        connection.getSinkChannel().setWriteListener(this::flush);
    }

    private void read(ConduitStreamSourceChannel source) {
        read(source, null);
    }

    /** Reads into {@code own}, or into the buffer of all links where that is null. */
    private void read(ConduitStreamSourceChannel source, ByteBuffer own) {
        for (int i = 0; i < MAX_READS_PER_EVENT && reading && !closed && !inputEnded; i++) {
            ByteBuffer buffer = own == null ? loop.buffers().readBuffer() : own.clear();
            int count;
            try {
                count = source.read(buffer);
            } catch (IOException e) {
                connectionLost();
                return;
            }
            if (count == 0) {
                return;
            }
            if (count < 0) {
                inputEnded = true;
                source.suspendReads();
                if (closing) {
                    close();
                } else {
                    listener.inputEnded();
                }
                return;
            }
            if (!closing) {
                listener.received(buffer.flip());
            } else {
                discardedBytes += count;
                setReading(discardedBytes < MAX_DISCARDED_BYTES);
                return;
            }
        }
    }

    /**
     * Takes in now what the peer has sent by now, its end as well, as the loop will: what came up
     * in the same wake-up, or while the loop stood still, has not been read yet. The events come
     * within this call.
     */
    public void readAvailable() {
        if (connection != null && reading && !closed && !inputEnded && !closing) {
            // Whoever calls may be amid what another link has read.
            ByteBuffer own = loop.buffers().acquire();
            read(connection.getSourceChannel(), own);
            loop.buffers().release(own);
        }
    }

    /**
     * Writing found the connection broken. What the peer said before that, its last words amid a
     * reset, has not been read yet; reading tells of the break behind it by an end like any other.
     */
    private void readRemainingThenFail() {
        if (closed || inputEnded || closing) {
            connectionLost();
            return;
        }
        ByteBuffer own = loop.buffers().acquire();
        try {
            for (int i = 0;
                    i < MAX_READS_PER_EVENT
                            && !closed
                            && connection.getSourceChannel().read(own.clear()) > 0;
                    i++) {
                listener.received(own.flip());
            }
        } catch (IOException e) {
            // That was all.
        }
        loop.buffers().release(own);
        connectionLost();
    }

    private void connectionLost() {
        if (!closed) {
            close();
            if (!closing) {
                listener.connectionLost();
            }
        }
    }

    /**
     * Sends the bytes; what the system does not take at once is copied and waits. Returns whether
     * they are on their way: false where the connection was found to be broken or ended.
     */
    public boolean write(ByteBuffer bytes) {
        if (closed || outputShutdown || shutdownAfterFlush) {
            return false;
        }
        try {
            if (pendingWrites == null) {
                while (bytes.hasRemaining() && connection.getSinkChannel().write(bytes) > 0) {
                    // More may fit.
                }
            }
        } catch (IOException e) {
            // The caller may be amid a decision: it hears of this later.
            loop.execute(this::readRemainingThenFail);
            return false;
        }
        if (bytes.hasRemaining()) {
            enqueue(bytes);
        }
        return true;
    }

    private void enqueue(ByteBuffer bytes) {
        if (pendingWrites == null) {
            pendingWrites = new ArrayDeque<>(2);
            connection.getSinkChannel().resumeWrites();
        }
        while (bytes.hasRemaining()) {
            ByteBuffer last = pendingWrites.peekLast();
            if (last == null || last.limit() == last.capacity()) {
                last = loop.buffers().acquire();
                last.limit(0);
                pendingWrites.add(last);
            }
            int read = last.position();
            int many = Math.min(bytes.remaining(), last.capacity() - last.limit());
            last.position(last.limit()).limit(last.limit() + many);
            last.put(bytes.slice().limit(many));
            last.position(read);
            bytes.position(bytes.position() + many);
        }
    }

    private void flush(ConduitStreamSinkChannel sink) {
        if (pendingWrites != null && !closing) {
            listener.beforeFlush();
            if (closed) {
                return;
            }
        }
        try {
            while (pendingWrites != null) {
                ByteBuffer first = pendingWrites.peek();
                if (first.hasRemaining() && sink.write(first) == 0) {
                    return;
                }
                if (!first.hasRemaining()) {
                    loop.buffers().release(pendingWrites.remove());
                    pendingWrites = pendingWrites.isEmpty() ? null : pendingWrites;
                }
            }
        } catch (IOException e) {
            readRemainingThenFail();
            return;
        }
        sink.suspendWrites();
        if (shutdownAfterFlush) {
            shutdownOutputNow();
            if (closing && !closed) {
                loop.schedule(LINGER_SECONDS, this::close);
            }
        }
        if (!closed && !closing) {
            listener.flushed();
        }
    }

    /** Whether some of what was written still waits for the peer. */
    public boolean hasPendingWrites() {
        return pendingWrites != null;
    }

    /** Whether the peer has ended its sending. */
    public boolean inputEnded() {
        return inputEnded;
    }

    public boolean isClosed() {
        return closed;
    }

    /** Reads on, or leaves what the peer sends where it is. */
    public void setReading(boolean on) {
        if (reading != on) {
            reading = on;
            if (connection != null && !closed && !inputEnded) {
                if (on) {
                    connection.getSourceChannel().resumeReads();
                } else {
                    connection.getSourceChannel().suspendReads();
                }
            }
        }
    }

    /** Ends the sending once all that was written is out. */
    public void shutdownOutput() {
        if (pendingWrites != null) {
            shutdownAfterFlush = true;
        } else {
            shutdownOutputNow();
        }
    }

    private void shutdownOutputNow() {
        if (closed || outputShutdown || connection == null) {
            return;
        }
        outputShutdown = true;
        try {
            connection.getSinkChannel().shutdownWrites();
            connection.getSinkChannel().flush();
        } catch (IOException e) {
            loop.execute(this::connectionLost);
        }
        if (closing && inputEnded) {
            close();
        }
    }

    /**
     * Ends the connection so that what was written still arrives: a close with input unread would
     * reset it. No events come after this call.
     */
    public void closeGracefully() {
        if (closed || closing) {
            return;
        }
        if (connection == null) {
            close();
            return;
        }
        closing = true;
        loop.addLingering(this);
        setReading(true);
        shutdownOutput();
        if (!closed) {
            // A slow reader still gets what waits for it, and only then must end within the shorter
            // time.
            loop.schedule(
                    pendingWrites == null ? LINGER_SECONDS : SLOW_READER_LINGER_SECONDS,
                    this::close);
        }
    }

    /** Ends the connection with a reset, as the other side of a passage did. */
    public void reset() {
        if (!closed && connection != null) {
            try {
                connection.setOption(Options.CLOSE_ABORT, true);
            } catch (IOException e) {
                // It is gone already; the close below is all that is left.
            }
        }
        close();
    }

    /** Ends the connection at once; no events come after this call. */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        loop.connectionClosed(this);
        if (pendingWrites != null) {
            pendingWrites.forEach(loop.buffers()::release);
            pendingWrites = null;
        }
        if (connectFuture != null) {
            connectFuture.cancel();
            connectFuture = null;
        }
        IoUtils.safeClose(connection);
    }
}
