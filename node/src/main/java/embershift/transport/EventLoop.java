package embershift.transport;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** An event loop: the single thread that serves all sockets and timers of a node, and its clock. */
public final class EventLoop {

    static {
        SharingProvider.install();
    }

    private static final OptionMap STREAM_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    /** Assumed number of descriptors besides sockets if {@code /proc} is not available. */
    private static final int DEFAULT_OPEN_FILES = 64;

    /** Descriptors that the loop's own selectors use. */
    private static final int SELECTOR_FILES = 12;

    private static final int BACKLOG = 1024;

    /**
     * Accepted connections handed over in a row before other sockets are served, and the delay in
     * seconds before the next ones.
     */
    private static final int MAX_ACCEPTS_PER_TURN = 8;

    private static final double NEXT_TURN_SECONDS = 0.001;

    /** Minimum and maximum number of connections accepted but not yet handed over. */
    private static final int MIN_QUEUED = 4;

    private static final int MAX_QUEUED = 256;

    /** Seconds before admission is asked again after it refused a connection. */
    private static final double ACCEPT_RETRY_SECONDS = 0.02;

    /**
     * Lateness in seconds from which a timer is postponed, and by how much, to serve sockets first.
     */
    private static final double LATE_TIMER_SECONDS = 0.05;

    private static final double LATE_TIMER_DELAY_SECONDS = 0.02;

    /**
     * Loggers whose level is raised, since the library's startup messages are of no use to
     * operators. The references are kept because an unreferenced logger is garbage collected and
     * loses its level.
     */
    private static final List<Logger> LIBRARY_LOGGERS =
            List.of(Logger.getLogger("org.xnio"), Logger.getLogger("org.jboss.threads"));

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final BufferPool buffers = new BufferPool();

    /** Added to the monotonic clock to match the system clock as it was at the start. */
    private final double clockOffset;

    private final int nonSocketDescriptors;
    private int sockets;

    /** Gracefully closed connections whose peers have not ended yet, oldest close first. */
    private final Set<TcpConnection> lingering = new LinkedHashSet<>();

    private final List<Acceptor> acceptors = new CopyOnWriteArrayList<>();

    /** Starts the thread of the loop. */
    public EventLoop() throws IOException {
        LIBRARY_LOGGERS.forEach(logger -> logger.setLevel(Level.WARNING));
        worker =
                Xnio.getInstance(EventLoop.class.getClassLoader())
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .set(Options.WORKER_NAME, "embershift")
                                        .set(Options.STACK_SIZE, 256L * 1024)
                                        .getMap());
        thread = worker.getIoThread(0);
        clockOffset = System.currentTimeMillis() / 1e3 - System.nanoTime() / 1e9;
        String[] openFiles = new File("/proc/self/fd").list();
        nonSocketDescriptors =
                openFiles == null ? DEFAULT_OPEN_FILES : openFiles.length + SELECTOR_FILES;
    }

    /** Seconds since the Unix epoch; monotonic. */
    public double now() {
        return clockOffset + System.nanoTime() / 1e9;
    }

    /**
     * Runs the task on the loop's thread, after all sockets that are ready now have been served.
     */
    public void execute(Runnable task) {
        try {
            thread.execute(task);
        } catch (RejectedExecutionException e) {
            // The loop is stopping; callbacks of sockets that are being closed no longer matter.
        }
    }

    /**
     * Runs a task that may block, such as disk access, on a separate thread; one task at a time.
     */
    public void executeBlocking(Runnable task) {
        try {
            worker.execute(task);
        } catch (RejectedExecutionException e) {
            // The loop is stopping.
        }
    }

    /** Runs the task on the loop's thread after {@code delay} seconds. */
    public Timer schedule(double delay, Runnable task) {
        ScheduledTask delayed = new ScheduledTask(task, now() + delay);
        delayed.submit(delay);
        return delayed;
    }

    /**
     * A timer that is postponed once if it fires late. After a pause of the whole process all
     * timers are due at once, while the responses that they guard may already wait in the sockets.
     */
    private final class ScheduledTask implements Runnable, Timer {
        private final Runnable task;
        private final double due;
        private XnioExecutor.Key key;
        private boolean postponed;
        private boolean cancelled;

        ScheduledTask(Runnable task, double due) {
            this.task = task;
            this.due = due;
        }

        void submit(double delay) {
            try {
                key =
                        thread.executeAfter(
                                this,
                                Math.max(0, (long) Math.ceil(delay * 1000)),
                                TimeUnit.MILLISECONDS);
            } catch (RejectedExecutionException e) {
                // The loop is stopping; no timer fires any more.
            }
        }

        @Override
        public void run() {
            if (!postponed && now() > due + LATE_TIMER_SECONDS) {
                postponed = true;
                submit(LATE_TIMER_DELAY_SECONDS);
            } else if (!cancelled) {
                task.run();
            }
        }

        @Override
        public void cancel() {
            cancelled = true;
            if (key != null) {
                key.remove();
            }
        }
    }

    /** Number of file descriptors that this process holds. */
    public int openDescriptors() {
        return nonSocketDescriptors + sockets;
    }

    BufferPool buffers() {
        return buffers;
    }

    void socketOpened() {
        sockets++;
        for (Acceptor acceptor : acceptors) {
            acceptor.updateWaterMarks();
        }
    }

    void connectionClosed(TcpConnection connection) {
        sockets--;
        lingering.remove(connection);
        if (connection.acceptor() != null) {
            connection.acceptor().openConnections--;
            connection.acceptor().updateWaterMarks();
        }
    }

    void addLingering(TcpConnection connection) {
        lingering.add(connection);
    }

    /**
     * Closes the connection that has been lingering the longest, if there is one. Its final output
     * has been sent by then.
     */
    public boolean closeOldestLingering() {
        if (lingering.isEmpty()) {
            return false;
        }
        lingering.iterator().next().close();
        return true;
    }

    /** Number of gracefully closed connections whose peers have not ended yet. */
    public int lingeringCount() {
        return lingering.size();
    }

    /** Decides whether connections are accepted, and for how many there are descriptors. */
    public interface Admission {

        /**
         * Asked before each connection is handed over; a refusal is retried after a short delay.
         */
        boolean mayAccept();

        /**
         * Descriptors left for inbound connections. Zero or less means that a descriptor has to be
         * freed for each one.
         */
        default int freeDescriptors() {
            return Integer.MAX_VALUE;
        }
    }

    /** Listens on an address that is not shared with other processes. */
    public Acceptor listen(
            InetSocketAddress address, Admission admission, Consumer<TcpConnection> handler)
            throws IOException {
        return listen(address, false, admission, handler);
    }

    /**
     * Listens on the address and hands each accepted connection to {@code handler}. Connections
     * that are not admitted wait: a few in the acceptor's queue, the others in the kernel's
     * backlog. If an accept failed for lack of descriptors, XNIO would stop accepting for up to 30
     * seconds. {@code shared} allows other processes to listen on the same address.
     */
    public Acceptor listen(
            InetSocketAddress address,
            boolean shared,
            Admission admission,
            Consumer<TcpConnection> handler)
            throws IOException {
        Acceptor acceptor = new Acceptor(admission, handler);
        try {
            acceptor.server =
                    SharingProvider.openShared(
                            shared,
                            () ->
                                    worker.createStreamConnectionServer(
                                            address,
                                            acceptor::acceptPending,
                                            OptionMap.builder()
                                                    .addAll(STREAM_OPTIONS)
                                                    .set(Options.BACKLOG, BACKLOG)
                                                    .set(Options.REUSE_ADDRESSES, true)
                                                    .set(
                                                            Options.CONNECTION_HIGH_WATER,
                                                            acceptor.highWater)
                                                    .set(
                                                            Options.CONNECTION_LOW_WATER,
                                                            acceptor.highWater - 1)
                                                    .getMap()));
        } catch (IOException e) {
            throw withAddress(address, e);
        }
        acceptor.server.resumeAccepts();
        acceptors.add(acceptor);
        return acceptor;
    }

    /** Starts to connect. The outcome is reported to the listener after this call has returned. */
    public TcpConnection connect(InetSocketAddress address, TcpConnection.Listener listener) {
        socketOpened();
        TcpConnection connection = new TcpConnection(this, listener);
        IoFuture<StreamConnection> future =
                thread.openStreamConnection(address, connection::established, null, STREAM_OPTIONS);
        connection.setConnectFuture(future);
        future.addNotifier(
                new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                    @Override
                    public void handleFailed(IOException reason, Void none) {
                        execute(connection::connectFailed);
                    }
                },
                null);
        return connection;
    }

    /** Opens a UDP socket on an address that is not shared with other processes. */
    public DatagramEndpoint openDatagramEndpoint(
            InetSocketAddress address, DatagramEndpoint.Handler handler) throws IOException {
        return openDatagramEndpoint(address, false, handler);
    }

    /** Opens a UDP socket; {@code shared} allows other processes to receive on the same address. */
    public DatagramEndpoint openDatagramEndpoint(
            InetSocketAddress address, boolean shared, DatagramEndpoint.Handler handler)
            throws IOException {
        socketOpened();
        try {
            return new DatagramEndpoint(
                    SharingProvider.openShared(
                            shared, () -> worker.createUdpServer(address, OptionMap.EMPTY)),
                    handler);
        } catch (IOException e) {
            throw withAddress(address, e);
        }
    }

    private static IOException withAddress(InetSocketAddress address, IOException cause) {
        return new IOException(
                "can't listen on "
                        + address.getHostString()
                        + ":"
                        + address.getPort()
                        + ": "
                        + cause.getMessage(),
                cause);
    }

    /** Stops the thread and closes all sockets that are still open. */
    public void stop() {
        // Closed first, since a connection accepted by XNIO after this could not be handed over.
        acceptors.forEach(Acceptor::close);
        worker.shutdownNow();
    }

    /**
     * A listening socket. After it is closed, connections are refused.
     *
     * <p>XNIO accepts on a thread of its own and takes everything from the kernel's backlog at
     * once. Those connections would hold descriptors that are not counted, up to the size of the
     * backlog, and no other socket would be served until the last of them was handed over. XNIO is
     * therefore limited to a total number of open connections slightly above the number handed
     * over, and the connections that it accepted are taken from it and counted immediately.
     */
    public final class Acceptor {
        private final Admission admission;
        private final Consumer<TcpConnection> handler;
        private AcceptingChannel<StreamConnection> server;
        private final Deque<TcpConnection> queue = new ArrayDeque<>();

        /** Open connections of this acceptor, including those in the queue. */
        private int openConnections;

        /** Number of open connections at which XNIO stops accepting. */
        private int highWater;

        /** Whether a timer will hand over the next connections. */
        private boolean handOverScheduled;

        private Acceptor(Admission admission, Consumer<TcpConnection> handler) {
            this.admission = admission;
            this.handler = handler;
            highWater = queueTarget();
        }

        private int queueTarget() {
            int available = Math.min(admission.freeDescriptors(), 2 * MAX_QUEUED) + queue.size();
            return Math.max(MIN_QUEUED, Math.min(available / 2, MAX_QUEUED));
        }

        /**
         * Adjusts how many connections XNIO accepts to the room that there is. Small changes are
         * ignored: the limit is set only if it is off by a factor of two.
         */
        private void updateWaterMarks() {
            int handedOver = openConnections - queue.size();
            int current = highWater - handedOver;
            int target = queueTarget();
            if ((current > 2 * target || current < (target + 1) / 2) && server.isOpen()) {
                highWater = handedOver + target;
                try {
                    server.setOption(Options.CONNECTION_HIGH_WATER, highWater);
                    server.setOption(Options.CONNECTION_LOW_WATER, highWater - 1);
                } catch (IOException e) {
                    // The socket is being closed; nothing is accepted any more.
                }
            }
        }

        private void acceptPending(AcceptingChannel<StreamConnection> channel) {
            try {
                for (StreamConnection next = channel.accept();
                        next != null;
                        next = channel.accept()) {
                    openConnections++;
                    TcpConnection connection = new TcpConnection(EventLoop.this, next, this);
                    queue.add(connection);
                    socketOpened();
                }
            } catch (IOException e) {
                // The listening socket is closed, as at program exit; nothing is accepted any more.
            }
            if (!handOverScheduled) {
                handOver();
            }
        }

        /**
         * Hands over queued connections, a few per turn. Other sockets are served in between, so
         * that new connections are read before more are accepted and a burst of connections does
         * not delay the others.
         */
        private void handOver() {
            handOverScheduled = false;
            for (int i = 0; !queue.isEmpty(); i++) {
                boolean admitted = i < MAX_ACCEPTS_PER_TURN && admission.mayAccept();
                if (!admitted) {
                    handOverScheduled = true;
                    schedule(
                            i == MAX_ACCEPTS_PER_TURN ? NEXT_TURN_SECONDS : ACCEPT_RETRY_SECONDS,
                            this::handOver);
                    break;
                }
                handler.accept(queue.remove());
            }
            updateWaterMarks();
        }

        /** Hands over all queued connections without asking for admission. */
        public void handOverAll() {
            while (!queue.isEmpty()) {
                handler.accept(queue.remove());
            }
        }

        /** The address on which this acceptor listens. */
        public InetSocketAddress localAddress() {
            return server.getLocalAddress(InetSocketAddress.class);
        }

        /** Number of open connections of this acceptor, including queued and lingering ones. */
        public int openConnections() {
            return openConnections;
        }

        /** Number of accepted connections that have not been handed over. */
        public int queuedConnections() {
            return queue.size();
        }

        /**
         * Closes this acceptor's connection that has been lingering the longest, if there is one.
         */
        public boolean closeOldestLingering() {
            for (TcpConnection connection : lingering) {
                if (connection.acceptor() == this) {
                    connection.close();
                    return true;
                }
            }
            return false;
        }

        /** Stops listening; accepted connections stay open. */
        public void close() {
            IoUtils.safeClose(server);
            acceptors.remove(this);
        }
    }

    /** A timer that can be cancelled. */
    public interface Timer {
        /** Keeps the task from running if it has not begun. */
        void cancel();
    }
}
