package embershift.transport;

import org.xnio.ChannelListener;
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

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

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
    /** Accepts in a row before other sockets get their turn. */
    private static final int ACCEPTS = 8;
    /** Seconds until accepts go on that were stopped for want of room. */
    private static final double ACCEPT_AGAIN = 0.02;
    /** Seconds from which a timer counts as late, and for which it then lets the sockets go first. */
    private static final double LATE = 0.05;
    private static final double WAVE = 0.02;
    /** Held, so that its level stays: the library's greetings tell the operators nothing. */
    private static final List<Logger> QUIET = List.of(Logger.getLogger("org.xnio"),
            Logger.getLogger("org.jboss.threads"));

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final Buffers buffers = new Buffers();
    /** Added to the monotonic clock so that it agrees with the system's as it was at the start. */
    private final double epoch;
    private final int files;
    private int sockets;
    /** Links that were finished and whose peers have not ended yet, the longest finished first. */
    private final Set<Link> lingering = new LinkedHashSet<>();

    public Loop() throws IOException {
        QUIET.forEach(logger -> logger.setLevel(Level.WARNING));
        worker = Xnio.getInstance(Loop.class.getClassLoader()).createWorker(OptionMap.builder()
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

    /** Runs the task on the loop's thread, after all sockets that are ready now have been served. */
    public void execute(Runnable task) {
        try {
            thread.execute(task);
        } catch (RejectedExecutionException e) {
            // The loop is stopping: what sockets tell while they are closed concerns nobody any more.
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
     * A task that comes up late lets the sockets go first, once: after a pause of the whole process all
     * timers are due at once, while the answers that they wait for may already have come.
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
                key = thread.executeAfter(this, Math.max(0, (long) Math.ceil(delay * 1000)),
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
    }

    void closed(Link link) {
        sockets--;
        lingering.remove(link);
    }

    void lingers(Link link) {
        lingering.add(link);
    }

    /** Closes the link that was finished the longest ago, if any lingers: its last words are out. */
    public boolean closeLingering() {
        if (lingering.isEmpty()) {
            return false;
        }
        lingering.iterator().next().close();
        return true;
    }

    /** As below, at an address of this process alone. */
    public Listening listen(InetSocketAddress address, BooleanSupplier room, Consumer<Link> accepted)
            throws IOException {
        return listen(address, false, room, accepted);
    }

    /**
     * Hands each connection that comes in to {@code accepted}; returns where it listens. Without
     * {@code room} connections wait at the system: an accept that fails for want of descriptors would have
     * the library look away for up to half a minute. {@code shared}: other processes may listen there as well.
     */
    public Listening listen(InetSocketAddress address, boolean shared, BooleanSupplier room,
                            Consumer<Link> accepted) throws IOException {
        ChannelListener<AcceptingChannel<StreamConnection>> listener = server -> {
            try {
                // Between a few accepts all sockets get their turn: what has just come in is read before
                // more comes, and a flood of connections does not keep the others waiting.
                for (int i = 0; i < ACCEPTS; i++) {
                    if (!room.getAsBoolean()) {
                        server.suspendAccepts();
                        after(ACCEPT_AGAIN, server::resumeAccepts);
                        return;
                    }
                    StreamConnection next = server.accept();
                    if (next == null) {
                        return;
                    }
                    opened();
                    accepted.accept(new Link(this, next));
                }
            } catch (IOException e) {
                // The listener itself is gone, as at the end of the program: nothing comes any more.
            }
        };
        AcceptingChannel<StreamConnection> server;
        try {
            server = SharingProvider.opening(shared, () -> worker.createStreamConnectionServer(address, listener,
                    OptionMap.builder().addAll(STREAM).set(Options.BACKLOG, BACKLOG)
                            .set(Options.REUSE_ADDRESSES, true).getMap()));
        } catch (IOException e) {
            throw named(address, e);
        }
        server.resumeAccepts();
        return new Listening(server.getLocalAddress(InetSocketAddress.class), server);
    }

    /** Starts to connect; the link tells its events how that went, never before this call returns. */
    public Link connect(InetSocketAddress address, Link.Events events) {
        opened();
        Link link = new Link(this, events);
        IoFuture<StreamConnection> future = thread.openStreamConnection(address,
                link::established, null, STREAM);
        link.connecting(future);
        future.addNotifier(new IoFuture.HandlingNotifier<StreamConnection, Void>() {
            @Override
            public void handleFailed(IOException reason, Void none) {
                execute(link::failed);
            }
        }, null);
        return link;
    }

    /** Opens a socket for datagrams at an address of this process alone. */
    public Datagrams datagrams(InetSocketAddress address, Datagrams.Arrival arrival) throws IOException {
        return datagrams(address, false, arrival);
    }

    /** Opens a socket for datagrams; {@code shared}: other processes may receive there as well. */
    public Datagrams datagrams(InetSocketAddress address, boolean shared, Datagrams.Arrival arrival)
            throws IOException {
        opened();
        try {
            return new Datagrams(SharingProvider.opening(shared,
                    () -> worker.createUdpServer(address, OptionMap.EMPTY)), arrival);
        } catch (IOException e) {
            throw named(address, e);
        }
    }

    private static IOException named(InetSocketAddress address, IOException e) {
        return new IOException("can't listen on " + address.getHostString() + ":" + address.getPort() + ": "
                + e.getMessage(), e);
    }

    /** Ends the thread; sockets still open are closed. */
    public void stop() {
        worker.shutdownNow();
    }

    /** Where connections come in, until it is closed; then they are refused. */
    public record Listening(InetSocketAddress address, AcceptingChannel<StreamConnection> server) {

        public void close() {
            IoUtils.safeClose(server);
        }
    }

    /** A timer that may be taken back. */
    public interface Timer {
        void cancel();
    }
}
