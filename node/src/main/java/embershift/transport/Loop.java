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
public final class Loop {

    static {
        SharingProvider.install();
    }

    private static final OptionMap STREAM = OptionMap.create(Options.TCP_NODELAY, true);

    /** Descriptors that the program holds besides its sockets, where the machine can't tell. */
    private static final int USUAL_FILES = 64;

    /** Descriptors that the loop itself takes for its selectors. */
    private static final int OWN_FILES = 12;

    private static final int BACKLOG = 1024;

    /**
     * Connections handed over in a row before other sockets get their turn, and seconds until the
     * next ones are.
     */
    private static final int ACCEPTS = 8;

    private static final double NEXT_TURN = 0.001;

    /**
     * Connections that may have been accepted and not yet been handed over, at the least and at the
     * most.
     */
    private static final int LEAST_AHEAD = 4;

    private static final int MOST_AHEAD = 256;

    /** Seconds until accepts go on that were stopped for want of room. */
    private static final double ACCEPT_AGAIN = 0.02;

    /**
     * Seconds from which a timer counts as late, and for which it then lets the sockets go first.
     */
    private static final double LATE = 0.05;

    private static final double WAVE = 0.02;

    /** Held, so that its level stays: the library's greetings tell the operators nothing. */
    private static final List<Logger> QUIET =
            List.of(Logger.getLogger("org.xnio"), Logger.getLogger("org.jboss.threads"));

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final Buffers buffers = new Buffers();

    /** Added to the monotonic clock so that it agrees with the system's as it was at the start. */
    private final double epoch;

    private final int files;
    private int sockets;

    /** Links that were finished and whose peers have not ended yet, the longest finished first. */
    private final Set<Link> lingering = new LinkedHashSet<>();

    private final List<Listening> listenings = new CopyOnWriteArrayList<>();

    public Loop() throws IOException {
        QUIET.forEach(logger -> logger.setLevel(Level.WARNING));
        worker =
                Xnio.getInstance(Loop.class.getClassLoader())
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .set(Options.WORKER_NAME, "embershift")
                                        .set(Options.STACK_SIZE, 256L * 1024)
                                        .getMap());
        thread = worker.getIoThread(0);
        epoch = System.currentTimeMillis() / 1e3 - System.nanoTime() / 1e9;
        String[] open = new File("/proc/self/fd").list();
        files = open == null ? USUAL_FILES : open.length + OWN_FILES;
    }

    /** Seconds since 1970, never running backwards. */
    public double now() {
        return epoch + System.nanoTime() / 1e9;
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
    public void aside(Runnable task) {
        try {
            worker.execute(task);
        } catch (RejectedExecutionException e) {
            // The loop is stopping.
        }
    }

    /** A timer on the loop's thread. */
    public Timer after(double delay, Runnable task) {
        Delayed delayed = new Delayed(task, now() + delay);
        delayed.schedule(delay);
        return delayed;
    }

    /**
     * A task that comes up late lets the sockets go first, once: after a pause of the whole process
     * all timers are due at once, while the answers that they wait for may already have come.
     */
    private final class Delayed implements Runnable, Timer {
        private final Runnable task;
        private final double due;
        private XnioExecutor.Key key;
        private boolean waved;
        private boolean cancelled;

        Delayed(Runnable task, double due) {
            this.task = task;
            this.due = due;
        }

        void schedule(double delay) {
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
            if (!waved && now() > due + LATE) {
                waved = true;
                schedule(WAVE);
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
    public int descriptors() {
        return files + sockets;
    }

    Buffers buffers() {
        return buffers;
    }

    void opened() {
        sockets++;
        for (Listening listening : listenings) {
            listening.allow();
        }
    }

    void closed(Link link) {
        sockets--;
        lingering.remove(link);
        if (link.from() != null) {
            link.from().open--;
            link.from().allow();
        }
    }

    void lingers(Link link) {
        lingering.add(link);
    }

    /**
     * Closes the link that was finished the longest ago, if any lingers: its last words are out.
     */
    public boolean closeLingering() {
        if (lingering.isEmpty()) {
            return false;
        }
        lingering.iterator().next().close();
        return true;
    }

    /** Links that were finished and whose peers have not ended yet. */
    public int lingering() {
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
        default int free() {
            return Integer.MAX_VALUE;
        }
    }

    /** As below, at an address of this process alone. */
    public Listening listen(InetSocketAddress address, Admission admission, Consumer<Link> accepted)
            throws IOException {
        return listen(address, false, admission, accepted);
    }

    /**
     * Hands each connection that comes in to {@code accepted}; returns where it listens. Those for
     * which there is no room wait, few of them here and the others at the system: an accept that
     * fails for want of descriptors would have the library look away for up to half a minute.
     * {@code shared}: other processes may listen there as well.
     */
    public Listening listen(
            InetSocketAddress address, boolean shared, Admission admission, Consumer<Link> accepted)
            throws IOException {
        Listening listening = new Listening(admission, accepted);
        try {
            listening.server =
                    SharingProvider.opening(
                            shared,
                            () ->
                                    worker.createStreamConnectionServer(
                                            address,
                                            listening::arrived,
                                            OptionMap.builder()
                                                    .addAll(STREAM)
                                                    .set(Options.BACKLOG, BACKLOG)
                                                    .set(Options.REUSE_ADDRESSES, true)
                                                    .set(
                                                            Options.CONNECTION_HIGH_WATER,
                                                            listening.high)
                                                    .set(
                                                            Options.CONNECTION_LOW_WATER,
                                                            listening.high - 1)
                                                    .getMap()));
        } catch (IOException e) {
            throw named(address, e);
        }
        listening.server.resumeAccepts();
        listenings.add(listening);
        return listening;
    }

    /**
     * Starts to connect; the link tells its events how that went, never before this call returns.
     */
    public Link connect(InetSocketAddress address, Link.Events events) {
        opened();
        Link link = new Link(this, events);
        IoFuture<StreamConnection> future =
                thread.openStreamConnection(address, link::established, null, STREAM);
        link.connecting(future);
        future.addNotifier(
                new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                    @Override
                    public void handleFailed(IOException reason, Void none) {
                        execute(link::failed);
                    }
                },
                null);
        return link;
    }

    /** Opens a socket for datagrams at an address of this process alone. */
    public Datagrams datagrams(InetSocketAddress address, Datagrams.Arrival arrival)
            throws IOException {
        return datagrams(address, false, arrival);
    }

    /** Opens a socket for datagrams; {@code shared}: other processes may receive there as well. */
    public Datagrams datagrams(InetSocketAddress address, boolean shared, Datagrams.Arrival arrival)
            throws IOException {
        opened();
        try {
            return new Datagrams(
                    SharingProvider.opening(
                            shared, () -> worker.createUdpServer(address, OptionMap.EMPTY)),
                    arrival);
        } catch (IOException e) {
            throw named(address, e);
        }
    }

    private static IOException named(InetSocketAddress address, IOException e) {
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
        listenings.forEach(Listening::close);
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
    public final class Listening {
        private final Admission admission;
        private final Consumer<Link> accepted;
        private AcceptingChannel<StreamConnection> server;
        private final Deque<Link> waiting = new ArrayDeque<>();

        /**
         * Connections that came in here and are open, the waiting ones as well; and how many the
         * library lets be.
         */
        private int open;

        private int high;

        /** Whether the next ones are handed over by a timer. */
        private boolean due;

        private Listening(Admission admission, Consumer<Link> accepted) {
            this.admission = admission;
            this.accepted = accepted;
            high = ahead();
        }

        private int ahead() {
            int room = Math.min(admission.free(), 2 * MOST_AHEAD) + waiting.size();
            return Math.max(LEAST_AHEAD, Math.min(room / 2, MOST_AHEAD));
        }

        /**
         * Has the library take in no more than there is room for, and no fewer; told only where
         * that has changed by half.
         */
        private void allow() {
            int handed = open - waiting.size();
            int now = high - handed;
            int ahead = ahead();
            if ((now > 2 * ahead || now < (ahead + 1) / 2) && server.isOpen()) {
                high = handed + ahead;
                try {
                    server.setOption(Options.CONNECTION_HIGH_WATER, high);
                    server.setOption(Options.CONNECTION_LOW_WATER, high - 1);
                } catch (IOException e) {
                    // It is being closed: nothing comes any more.
                }
            }
        }

        private void arrived(AcceptingChannel<StreamConnection> from) {
            try {
                for (StreamConnection next = from.accept(); next != null; next = from.accept()) {
                    open++;
                    Link link = new Link(Loop.this, next, this);
                    waiting.add(link);
                    opened();
                }
            } catch (IOException e) {
                // The listener itself is gone, as at the end of the program: nothing comes any
                // more.
            }
            if (!due) {
                handOver();
            }
        }

        /**
         * Between a few all sockets get their turn: what has just come in is read before more
         * comes, and a flood of connections does not keep the others waiting.
         */
        private void handOver() {
            due = false;
            for (int i = 0; !waiting.isEmpty(); i++) {
                boolean may = i < ACCEPTS && admission.mayAccept();
                if (!may) {
                    due = true;
                    after(i == ACCEPTS ? NEXT_TURN : ACCEPT_AGAIN, this::handOver);
                    break;
                }
                accepted.accept(waiting.remove());
            }
            allow();
        }

        /** Hands over all that have come in, without asking for room. */
        public void handOverAll() {
            while (!waiting.isEmpty()) {
                accepted.accept(waiting.remove());
            }
        }

        public InetSocketAddress address() {
            return server.getLocalAddress(InetSocketAddress.class);
        }

        /** Connections that came in here and are open, also those that were finished and linger. */
        public int open() {
            return open;
        }

        /** Connections that came in and have not been handed over. */
        public int waiting() {
            return waiting.size();
        }

        /** Closes the link that came in here and was finished the longest ago, if any lingers. */
        public boolean closeLingering() {
            for (Link link : lingering) {
                if (link.from() == this) {
                    link.close();
                    return true;
                }
            }
            return false;
        }

        public void close() {
            IoUtils.safeClose(server);
            listenings.remove(this);
        }
    }

    /** A timer that may be taken back. */
    public interface Timer {
        void cancel();
    }
}
