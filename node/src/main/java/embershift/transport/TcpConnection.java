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
 * A TCP connection served by an event loop. Listener callbacks are made by the loop only and never
 * from within a method of this class, so a caller's state does not change during a call. The one
 * exception is {@link #readAvailable}, whose purpose is to deliver callbacks immediately.
 */
public final class TcpConnection {

    /**
     * Callbacks of a connection. There are none after {@code connectionLost} or after a call of
     * {@code close}.
     */
    public interface Listener {

        /** An outgoing connection was established. */
        default void connected() {}

        /** An outgoing connection could not be established. */
        default void connectFailed() {}

        /** Bytes were read. The buffer is valid only during the call; unread bytes are dropped. */
        void received(ByteBuffer bytes);

        /** The peer has shut down its output. */
        void inputEnded();

        /** The connection was reset, or a write failed. */
        void connectionLost();

        /**
         * Pending output is about to be written to the socket. Closing the connection in this
         * callback discards that output.
         */
        default void beforeFlush() {}

        /** All pending output has been written to the socket. */
        default void flushed() {}
    }

    /** Consecutive reads from one connection before others are served. */
    private static final int MAX_READS_PER_EVENT = 4;

    /** Seconds that a peer has to end the connection after a graceful close. */
    private static final double LINGER_SECONDS = 1.0;

    /** Limit of bytes read and discarded in that time; bounds the cost of a fast sender. */
    private static final int MAX_DISCARDED_BYTES = 1 << 20;

    /** Linger time in seconds while output is still pending. */
    private static final double SLOW_READER_LINGER_SECONDS = 20.0;

    private final EventLoop loop;

    /** The acceptor of an inbound connection; null for an outbound one. */
    private final EventLoop.Acceptor acceptor;

    private Listener listener;
    private StreamConnection connection;
    private IoFuture<StreamConnection> connectFuture;
    private Deque<ByteBuffer> pendingWrites;
    private long pendingBytes;
    private boolean reading = true;
    private boolean shutdownAfterFlush;
    private boolean outputShutdown;
    private boolean inputEnded;
    private boolean closing;
    private int discardedBytes;
    private boolean closed;

    TcpConnection(EventLoop loop, Listener listener) {
        this.loop = loop;
        acceptor = null;
        this.listener = listener;
    }

    /** Creates an inbound connection, which is not read until {@link #setListener} is called. */
    TcpConnection(EventLoop loop, StreamConnection connection, EventLoop.Acceptor acceptor) {
        this.loop = loop;
        this.connection = connection;
        this.acceptor = acceptor;
        installListeners();
    }

    /** Sets the listener and starts reading. */
    public void setListener(Listener listener) {
        this.listener = listener;
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

    /** Reads into {@code ownBuffer}, or into the shared read buffer if that is null. */
    private void read(ConduitStreamSourceChannel source, ByteBuffer ownBuffer) {
        for (int i = 0; i < MAX_READS_PER_EVENT && reading && !closed && !inputEnded; i++) {
            ByteBuffer buffer = ownBuffer == null ? loop.buffers().readBuffer() : ownBuffer.clear();
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
     * Reads immediately what the peer has sent so far, including the end of its output, instead of
     * waiting for the loop to do so. Data that became readable in the same wake-up, or while the
     * loop was stalled, has not been read yet. The callbacks are made within this call.
     */
    public void readAvailable() {
        if (connection != null && reading && !closed && !inputEnded && !closing) {
            // The caller may still be using the shared buffer with another connection's data.
            ByteBuffer ownBuffer = loop.buffers().acquire();
            read(connection.getSourceChannel(), ownBuffer);
            loop.buffers().release(ownBuffer);
        }
    }

    /**
     * Handles a failed write. Data that the peer sent before it reset the connection may still be
     * unread and is delivered first. A read would report the reset behind it like an ordinary end
     * of input, so the loss is reported here instead.
     */
    private void readRemainingThenFail() {
        if (closed || inputEnded || closing) {
            connectionLost();
            return;
        }
        ByteBuffer ownBuffer = loop.buffers().acquire();
        try {
            for (int i = 0;
                    i < MAX_READS_PER_EVENT
                            && !closed
                            && connection.getSourceChannel().read(ownBuffer.clear()) > 0;
                    i++) {
                listener.received(ownBuffer.flip());
            }
        } catch (IOException e) {
            // There is nothing more to read.
        }
        loop.buffers().release(ownBuffer);
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
     * Writes the bytes. What the socket does not accept immediately is copied and queued. Returns
     * false if the connection has failed or its output is shut down.
     */
    public boolean write(ByteBuffer bytes) {
        if (closed || outputShutdown || shutdownAfterFlush) {
            return false;
        }
        try {
            if (pendingWrites == null) {
                while (bytes.hasRemaining() && connection.getSinkChannel().write(bytes) > 0) {
                    // The socket may accept more.
                }
            }
        } catch (IOException e) {
            // Reported later, so that the caller's state does not change during this call.
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
            int readPosition = last.position();
            int count = Math.min(bytes.remaining(), last.capacity() - last.limit());
            last.position(last.limit()).limit(last.limit() + count);
            last.put(bytes.slice().limit(count));
            pendingBytes += count;
            last.position(readPosition);
            bytes.position(bytes.position() + count);
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
                int written = first.hasRemaining() ? sink.write(first) : 0;
                pendingBytes -= written;
                if (first.hasRemaining() && written == 0) {
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

    /** Returns whether written data is still waiting to be accepted by the socket. */
    public boolean hasPendingWrites() {
        return pendingWrites != null;
    }

    /** Returns how many bytes of written data are waiting to be accepted by the socket. */
    public long pendingBytes() {
        return pendingBytes;
    }

    /** Returns whether the peer has shut down its output. */
    public boolean inputEnded() {
        return inputEnded;
    }

    /** Whether the connection is closed, by this side or because it was lost. */
    public boolean isClosed() {
        return closed;
    }

    /** Resumes or suspends reading. */
    public void setReading(boolean enabled) {
        if (reading != enabled) {
            reading = enabled;
            if (connection != null && !closed && !inputEnded) {
                if (enabled) {
                    connection.getSourceChannel().resumeReads();
                } else {
                    connection.getSourceChannel().suspendReads();
                }
            }
        }
    }

    /** Shuts down the output after all pending data has been written. */
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
     * Closes the connection so that written data still arrives. A plain close with unread input
     * would reset the connection, so input is read and discarded for a limited time. There are no
     * callbacks after this call.
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
            // A slow reader gets more time for the pending output. Once that is written, the
            // shorter linger time applies.
            loop.schedule(
                    pendingWrites == null ? LINGER_SECONDS : SLOW_READER_LINGER_SECONDS,
                    this::close);
        }
    }

    /** Closes the connection with a reset, to pass on a reset of the relayed connection. */
    public void reset() {
        if (!closed && connection != null) {
            try {
                connection.setOption(Options.CLOSE_ABORT, true);
            } catch (IOException e) {
                // The connection has failed already; closing it below is enough.
            }
        }
        close();
    }

    /** Closes the connection immediately. There are no callbacks after this call. */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        loop.connectionClosed(this);
        if (pendingWrites != null) {
            pendingWrites.forEach(loop.buffers()::release);
            pendingWrites = null;
            pendingBytes = 0;
        }
        if (connectFuture != null) {
            connectFuture.cancel();
            connectFuture = null;
        }
        IoUtils.safeClose(connection);
    }
}
