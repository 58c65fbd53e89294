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
 * a caller need not fear that its state changes under its hands; but for {@link #look}, which is
 * there for that.
 */
public final class Link {

    /** What a link tells. After {@code broken}, or a call of {@code close}, nothing more comes. */
    public interface Events {

        default void connected() {}

        default void notConnected() {}

        /** The buffer is good only during the call; what is left in it is lost. */
        void received(ByteBuffer bytes);

        /** The peer has ended its sending. */
        void ended();

        /** The connection was reset, or what was written can't be sent. */
        void broken();

        /**
         * Some of what waited is about to be handed to the system; who closes the link in this call
         * keeps it back.
         */
        default void draining() {}

        /** All that was written has been handed to the system, after some of it had to wait. */
        default void drained() {}
    }

    /** Reads in a row from one link before others get their turn. */
    private static final int READS = 4;

    /** Seconds for which the peer may go on after the link was finished. */
    private static final double LINGER = 1.0;

    /**
     * Bytes read and dropped in that time at the most: a peer that sends at full speed costs no
     * more.
     */
    private static final int DROPPED = 1 << 20;

    /** Seconds for a peer that has not yet taken all that was written. */
    private static final double SLOW_LINGER = 20.0;

    private final Loop loop;

    /** Where it came in; null for one that this process began. */
    private final Loop.Listening from;

    private Events events;
    private StreamConnection connection;
    private IoFuture<StreamConnection> connecting;
    private Deque<ByteBuffer> pending;
    private boolean receiving = true;
    private boolean endAfterPending;
    private boolean sendingEnded;
    private boolean peerEnded;
    private boolean finished;
    private int dropped;
    private boolean closed;

    Link(Loop loop, Events events) {
        this.loop = loop;
        from = null;
        this.events = events;
    }

    /** An accepted connection; it is not read before its events are set. */
    Link(Loop loop, StreamConnection connection, Loop.Listening from) {
        this.loop = loop;
        this.connection = connection;
        this.from = from;
        hook();
    }

    /** Sets who hears of this link, and begins to read. */
    public void events(Events events) {
        this.events = events;
        connection.getSourceChannel().resumeReads();
    }

    Loop.Listening from() {
        return from;
    }

    void connecting(IoFuture<StreamConnection> future) {
        connecting = future;
    }

    void established(StreamConnection stream) {
        if (closed) {
            IoUtils.safeClose(stream);
            return;
        }
        connection = stream;
        connecting = null;
        hook();
        if (receiving) {
            connection.getSourceChannel().resumeReads();
        }
        events.connected();
    }

    void failed() {
        if (!closed) {
            close();
            events.notConnected();
        }
    }

    private void hook() {
        connection.getSourceChannel().setReadListener(this::read);
        connection.getSinkChannel().setWriteListener(this::flush);
    }

    private void read(ConduitStreamSourceChannel source) {
        read(source, null);
    }

    /** Reads into {@code own}, or into the buffer of all links where that is null. */
    private void read(ConduitStreamSourceChannel source, ByteBuffer own) {
        for (int i = 0; i < READS && receiving && !closed && !peerEnded; i++) {
            ByteBuffer buffer = own == null ? loop.buffers().reading() : own.clear();
            int count;
            try {
                count = source.read(buffer);
            } catch (IOException e) {
                breakUp();
                return;
            }
            if (count == 0) {
                return;
            }
            if (count < 0) {
                peerEnded = true;
                source.suspendReads();
                if (finished) {
                    close();
                } else {
                    events.ended();
                }
                return;
            }
            if (!finished) {
                events.received(buffer.flip());
            } else {
                dropped += count;
                receive(dropped < DROPPED);
                return;
            }
        }
    }

    /**
     * Takes in now what the peer has sent by now, its end as well, as the loop will: what came up
     * in the same wake-up, or while the loop stood still, has not been read yet. The events come
     * within this call.
     */
    public void look() {
        if (connection != null && receiving && !closed && !peerEnded && !finished) {
            // Whoever calls may be amid what another link has read.
            ByteBuffer own = loop.buffers().take();
            read(connection.getSourceChannel(), own);
            loop.buffers().giveBack(own);
        }
    }

    /**
     * Writing found the connection broken. What the peer said before that, its last words amid a
     * reset, has not been read yet; reading tells of the break behind it by an end like any other.
     */
    private void breakUpBehindLastWords() {
        if (closed || peerEnded || finished) {
            breakUp();
            return;
        }
        ByteBuffer own = loop.buffers().take();
        try {
            for (int i = 0;
                    i < READS && !closed && connection.getSourceChannel().read(own.clear()) > 0;
                    i++) {
                events.received(own.flip());
            }
        } catch (IOException e) {
            // That was all.
        }
        loop.buffers().giveBack(own);
        breakUp();
    }

    private void breakUp() {
        if (!closed) {
            close();
            if (!finished) {
                events.broken();
            }
        }
    }

    /**
     * Sends the bytes; what the system does not take at once is copied and waits. Returns whether
     * they are on their way: false where the connection was found to be broken or ended.
     */
    public boolean write(ByteBuffer bytes) {
        if (closed || sendingEnded || endAfterPending) {
            return false;
        }
        try {
            if (pending == null) {
                while (bytes.hasRemaining() && connection.getSinkChannel().write(bytes) > 0) {
                    // More may fit.
                }
            }
        } catch (IOException e) {
            // The caller may be amid a decision: it hears of this later.
            loop.execute(this::breakUpBehindLastWords);
            return false;
        }
        if (bytes.hasRemaining()) {
            keep(bytes);
        }
        return true;
    }

    private void keep(ByteBuffer bytes) {
        if (pending == null) {
            pending = new ArrayDeque<>(2);
            connection.getSinkChannel().resumeWrites();
        }
        while (bytes.hasRemaining()) {
            ByteBuffer last = pending.peekLast();
            if (last == null || last.limit() == last.capacity()) {
                last = loop.buffers().take();
                last.limit(0);
                pending.add(last);
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
        if (pending != null && !finished) {
            events.draining();
            if (closed) {
                return;
            }
        }
        try {
            while (pending != null) {
                ByteBuffer first = pending.peek();
                if (first.hasRemaining() && sink.write(first) == 0) {
                    return;
                }
                if (!first.hasRemaining()) {
                    loop.buffers().giveBack(pending.remove());
                    pending = pending.isEmpty() ? null : pending;
                }
            }
        } catch (IOException e) {
            breakUpBehindLastWords();
            return;
        }
        sink.suspendWrites();
        if (endAfterPending) {
            shutDown();
            if (finished && !closed) {
                loop.after(LINGER, this::close);
            }
        }
        if (!closed && !finished) {
            events.drained();
        }
    }

    /** Whether some of what was written still waits for the peer. */
    public boolean backedUp() {
        return pending != null;
    }

    /** Whether the peer has ended its sending. */
    public boolean peerEnded() {
        return peerEnded;
    }

    public boolean closed() {
        return closed;
    }

    /** Reads on, or leaves what the peer sends where it is. */
    public void receive(boolean on) {
        if (receiving != on) {
            receiving = on;
            if (connection != null && !closed && !peerEnded) {
                if (on) {
                    connection.getSourceChannel().resumeReads();
                } else {
                    connection.getSourceChannel().suspendReads();
                }
            }
        }
    }

    /** Ends the sending once all that was written is out. */
    public void endSending() {
        if (pending != null) {
            endAfterPending = true;
        } else {
            shutDown();
        }
    }

    private void shutDown() {
        if (closed || sendingEnded || connection == null) {
            return;
        }
        sendingEnded = true;
        try {
            connection.getSinkChannel().shutdownWrites();
            connection.getSinkChannel().flush();
        } catch (IOException e) {
            loop.execute(this::breakUp);
        }
        if (finished && peerEnded) {
            close();
        }
    }

    /**
     * Ends the connection so that what was written still arrives: a close with input unread would
     * reset it. No events come after this call.
     */
    public void finish() {
        if (closed || finished) {
            return;
        }
        if (connection == null) {
            close();
            return;
        }
        finished = true;
        loop.lingers(this);
        receive(true);
        endSending();
        if (!closed) {
            // A slow reader still gets what waits for it, and only then must end within the shorter
            // time.
            loop.after(pending == null ? LINGER : SLOW_LINGER, this::close);
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
        loop.closed(this);
        if (pending != null) {
            pending.forEach(loop.buffers()::giveBack);
            pending = null;
        }
        if (connecting != null) {
            connecting.cancel();
            connecting = null;
        }
        IoUtils.safeClose(connection);
    }
}
