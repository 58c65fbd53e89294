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

/** The one thread on which all of a node's sockets and timers are served, and its clock. */
public final class EventLoop {

    static {
        SharingProvider.install();
    }

    private static final OptionMap STREAM_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    /** Descriptors that the program holds besides its sockets, where the machine can't tell. */
    private static final int DEFAULT_OPEN_FILES = 64;

    /** Descriptors that the loop itself takes for its selectors. */
    private static final int SELECTOR_FILES = 12;

    private static final int BACKLOG = 1024;

    /**
     * Connections handed over in a row before other sockets get their turn, and seconds until the
     * next ones are.
     */
    private static final int MAX_ACCEPTS_PER_TURN = 8;

    private static final double NEXT_TURN_SECONDS = 0.001;

    /**
     * Connections that may have been accepted and not yet been handed over, at the least and at the
     * most.
     */
    private static final int MIN_QUEUED = 4;

    private static final int MAX_QUEUED = 256;

    /** Seconds until accepts go on that were stopped for want of room. */
    private static final double ACCEPT_RETRY_SECONDS = 0.02;

    /**
     * Seconds from which a timer counts as late, and for which it then lets the sockets go first.
     */
    private static final double LATE_TIMER_SECONDS = 0.05;

    private static final double LATE_TIMER_DELAY_SECONDS = 0.02;

    /** Held, so that its level stays: the library's greetings tell the operators nothing. */
    private static final List<Logger> LIBRARY_LOGGERS =
            List.of(Logger.getLogger("org.xnio"), Logger.getLogger("org.jboss.threads"));

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final BufferPool buffers = new BufferPool();

    /** Added to the monotonic clock so that it agrees with the system's as it was at the start. */
    private final double clockOffset;

    private final int nonSocketDescriptors;
    private int sockets;

    /** Links that were finished and whose peers have not ended yet, the longest finished first. */
    private final Set<TcpConnection> lingering = new LinkedHashSet<>();

    private final List<Acceptor> acceptors = new CopyOnWriteArrayList<>();

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
        String[] open = new File("/proc/self/fd").list();
        nonSocketDescriptors = open == null ? DEFAULT_OPEN_FILES : open.length + SELECTOR_FILES;
    }

    /** Seconds since 1970, never running backwards. */
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
            // The loop is stopping: what sockets tell while they are closed concerns nobody any
            // more.
        }
    }

    /** Runs the task, which may wait for a disk, on a thread of its own, one after the other. */
    public void executeBlocking(Runnable task) {
        try {
            worker.execute(task);
        } catch (RejectedExecutionException e) {
            // The loop is stopping.
        }
    }

    /** A timer on the loop's thread. */
    public Timer schedule(double delay, Runnable task) {
        ScheduledTask delayed = new ScheduledTask(task, now() + delay);
        delayed.submit(delay);
        return delayed;
    }

    /**
     * A task that comes up late lets the sockets go first, once: after a pause of the whole process
     * all timers are due at once, while the answers that they wait for may already have come.
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
                // The loop is stopping: nothing is due any more.
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

    /** Descriptors that this process holds. */
    public int openDescriptors() {
        return nonSocketDescriptors + sockets;
    }

    BufferPool buffers() {
        return buffers;
    }

    void socketOpened() {
        sockets++;
        for (Acceptor listening : acceptors) {
            listening.updateWaterMarks();
        }
    }

    void connectionClosed(TcpConnection link) {
        sockets--;
        lingering.remove(link);
        if (link.acceptor() != null) {
            link.acceptor().openConnections--;
            link.acceptor().updateWaterMarks();
        }
    }

    void addLingering(TcpConnection link) {
        lingering.add(link);
    }

    /**
     * Closes the link that was finished the longest ago, if any lingers: its last words are out.
     */
    public boolean closeOldestLingering() {
        if (lingering.isEmpty()) {
            return false;
        }
        lingering.iterator().next().close();
        return true;
    }

    /** Links that were finished and whose peers have not ended yet. */
    public int lingeringCount() {
        return lingering.size();
    }

    /** Whether connections may come in, and for how many there are descriptors. */
    public interface Admission {

        /** Asked before each that is handed over; whoever says no is asked again a moment later. */
        boolean mayAccept();

        /**
         * Descriptors left for those that come in; zero and less where each has to have room made
         * for it.
         */
        default int freeDescriptors() {
            return Integer.MAX_VALUE;
        }
    }

    /** As below, at an address of this process alone. */
    public Acceptor listen(
            InetSocketAddress address, Admission admission, Consumer<TcpConnection> accepted)
            throws IOException {
        return listen(address, false, admission, accepted);
    }

    /**
     * Hands each connection that comes in to {@code accepted}; returns where it listens. Those for
     * which there is no room wait, few of them here and the others at the system: an accept that
     * fails for want of descriptors would have the library look away for up to half a minute.
     * {@code shared}: other processes may listen there as well.
     */
    public Acceptor listen(
            InetSocketAddress address,
            boolean shared,
            Admission admission,
            Consumer<TcpConnection> accepted)
            throws IOException {
        Acceptor listening = new Acceptor(admission, accepted);
        try {
            listening.server =
                    SharingProvider.openShared(
                            shared,
                            () ->
                                    worker.createStreamConnectionServer(
                                            address,
                                            listening::acceptPending,
                                            OptionMap.builder()
                                                    .addAll(STREAM_OPTIONS)
                                                    .set(Options.BACKLOG, BACKLOG)
                                                    .set(Options.REUSE_ADDRESSES, true)
                                                    .set(
                                                            Options.CONNECTION_HIGH_WATER,
                                                            listening.highWater)
                                                    .set(
                                                            Options.CONNECTION_LOW_WATER,
                                                            listening.highWater - 1)
                                                    .getMap()));
        } catch (IOException e) {
            throw withAddress(address, e);
        }
        listening.server.resumeAccepts();
        acceptors.add(listening);
        return listening;
    }

    /**
     * Starts to connect; the link tells its events how that went, never before this call returns.
     */
    public TcpConnection connect(InetSocketAddress address, TcpConnection.Listener events) {
        socketOpened();
        TcpConnection link = new TcpConnection(this, events);
        IoFuture<StreamConnection> future =
                thread.openStreamConnection(address, link::established, null, STREAM_OPTIONS);
        link.setConnectFuture(future);
        future.addNotifier(
                new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                    @Override
                    public void handleFailed(IOException reason, Void none) {
                        execute(link::connectFailed);
                    }
                },
                null);
        return link;
    }

    /** Opens a socket for datagrams at an address of this process alone. */
    public DatagramEndpoint openDatagramEndpoint(
            InetSocketAddress address, DatagramEndpoint.Handler arrival) throws IOException {
        return openDatagramEndpoint(address, false, arrival);
    }

    /** Opens a socket for datagrams; {@code shared}: other processes may receive there as well. */
    public DatagramEndpoint openDatagramEndpoint(
            InetSocketAddress address, boolean shared, DatagramEndpoint.Handler arrival)
            throws IOException {
        socketOpened();
        try {
            return new DatagramEndpoint(
                    SharingProvider.openShared(
                            shared, () -> worker.createUdpServer(address, OptionMap.EMPTY)),
                    arrival);
        } catch (IOException e) {
            throw withAddress(address, e);
        }
    }

    private static IOException withAddress(InetSocketAddress address, IOException e) {
        return new IOException(
                "can't listen on "
                        + address.getHostString()
                        + ":"
                        + address.getPort()
                        + ": "
                        + e.getMessage(),
                e);
    }

    /** Ends the thread; sockets still open are closed. */
    public void stop() {
        // First of all: what the library accepted from now on it could hand to nobody.
        acceptors.forEach(Acceptor::close);
        worker.shutdownNow();
    }

    /**
     * Where connections come in, until it is closed; then they are refused.
     *
     * <p>The library accepts on a thread of its own, and all at once that the system has: whatever
     * it held would be descriptors that nobody counts, up to the whole queue of the system, and it
     * would let no other socket have a turn until the last of them was handed over. So it is told
     * how many connections may be open in all, only a few beyond those that were handed over, and
     * what it has is taken from it, and counted, at once.
     */
    public final class Acceptor {
        private final Admission admission;
        private final Consumer<TcpConnection> handler;
        private AcceptingChannel<StreamConnection> server;
        private final Deque<TcpConnection> queue = new ArrayDeque<>();

        /**
         * Connections that came in here and are open, the waiting ones as well; and how many the
         * library lets be.
         */
        private int openConnections;

        private int highWater;

        /** Whether the next ones are handed over by a timer. */
        private boolean handOverScheduled;

        private Acceptor(Admission admission, Consumer<TcpConnection> accepted) {
            this.admission = admission;
            this.handler = accepted;
            highWater = queueTarget();
        }

        private int queueTarget() {
            int room = Math.min(admission.freeDescriptors(), 2 * MAX_QUEUED) + queue.size();
            return Math.max(MIN_QUEUED, Math.min(room / 2, MAX_QUEUED));
        }

        /**
         * Has the library take in no more than there is room for, and no fewer; told only where
         * that has changed by half.
         */
        private void updateWaterMarks() {
            int handed = openConnections - queue.size();
            int now = highWater - handed;
            int ahead = queueTarget();
            if ((now > 2 * ahead || now < (ahead + 1) / 2) && server.isOpen()) {
                highWater = handed + ahead;
                try {
                    server.setOption(Options.CONNECTION_HIGH_WATER, highWater);
                    server.setOption(Options.CONNECTION_LOW_WATER, highWater - 1);
                } catch (IOException e) {
                    // It is being closed: nothing comes any more.
                }
            }
        }

        private void acceptPending(AcceptingChannel<StreamConnection> from) {
            try {
                for (StreamConnection next = from.accept(); next != null; next = from.accept()) {
                    openConnections++;
                    TcpConnection link = new TcpConnection(EventLoop.this, next, this);
                    queue.add(link);
                    socketOpened();
                }
            } catch (IOException e) {
                // The listener itself is gone, as at the end of the program: nothing comes any
                // more.
            }
            if (!handOverScheduled) {
                handOver();
            }
        }

        /**
         * Between a few all sockets get their turn: what has just come in is read before more
         * comes, and a flood of connections does not keep the others waiting.
         */
        private void handOver() {
            handOverScheduled = false;
            for (int i = 0; !queue.isEmpty(); i++) {
                boolean may = i < MAX_ACCEPTS_PER_TURN && admission.mayAccept();
                if (!may) {
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

        /** Hands over all that have come in, without asking for room. */
        public void handOverAll() {
            while (!queue.isEmpty()) {
                handler.accept(queue.remove());
            }
        }

        public InetSocketAddress localAddress() {
            return server.getLocalAddress(InetSocketAddress.class);
        }

        /** Connections that came in here and are open, also those that were finished and linger. */
        public int openConnections() {
            return openConnections;
        }

        /** Connections that came in and have not been handed over. */
        public int queuedConnections() {
            return queue.size();
        }

        /** Closes the link that came in here and was finished the longest ago, if any lingers. */
        public boolean closeOldestLingering() {
            for (TcpConnection link : lingering) {
                if (link.acceptor() == this) {
                    link.close();
                    return true;
                }
            }
            return false;
        }

        public void close() {
            IoUtils.safeClose(server);
            acceptors.remove(this);
        }
    }

    /** A timer that may be taken back. */
    public interface Timer {
        void cancel();
    }
}
