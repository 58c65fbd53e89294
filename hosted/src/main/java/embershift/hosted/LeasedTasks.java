package embershift.hosted;

import embershift.fleet.store.KeyValueStore;
import embershift.transport.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * The tasks that this instance competes for, and the nodes that they act on. Confined to the event
 * loop.
 */
final class LeasedTasks implements NodeConnections.Listener {

    /**
     * Seconds by which the other instances delay acquiring a lease that is to be transferred to
     * one.
     */
    static final double TRANSFER_DELAY_SECONDS = 2;

    private static final double TICK_SECONDS = 0.05;

    /**
     * Seconds of delay per lease already held before acquiring another, which spreads the tasks
     * over the instances.
     */
    private static final double DELAY_PER_HELD_TASK_SECONDS = 0.3;

    /** The random part of the delay, which keeps instances from competing at the same moment. */
    private static final double MAX_JITTER_SECONDS = 0.1;

    private final EventLoop loop;
    private final String name;
    private final Supplier<KeyValueStore> store;
    private final InstanceSettings.FleetSettings settings;
    private final AsyncStoreClient commandClient;
    private final AsyncStoreClient queryClient;
    private final NodeConnections nodes;
    private final List<LeasedTask> tasks = new ArrayList<>();
    private final BiConsumer<String, Long> counter;
    private final Random random;
    private boolean isLeaving;

    /**
     * Creates the tasks.
     *
     * @param settings null if this instance is to hold no leases
     * @param addresses the current addresses of all instances, including this one
     */
    LeasedTasks(
            EventLoop loop,
            String name,
            InstanceSettings.FleetSettings settings,
            Supplier<KeyValueStore> store,
            Supplier<List<InetSocketAddress>> addresses,
            BiConsumer<String, Long> counter,
            long seed) {
        this.loop = loop;
        this.name = name;
        this.settings = settings;
        this.store = store;
        this.counter = counter;
        random = new Random(seed);
        commandClient = new AsyncStoreClient(addresses, name, loop::execute);
        queryClient = new AsyncStoreClient(addresses, name, loop::execute);
        nodes =
                new NodeConnections(
                        loop::now,
                        store,
                        new AsyncStoreClient(addresses, name, loop::execute),
                        new AsyncStoreClient(addresses, name, loop::execute),
                        this);
        if (settings != null) {
            if (settings.discovery() != null) {
                tasks.add(new RosterTask(this));
            }
            tasks.add(new RolloutTask(this));
            if (settings.discovery() != null && settings.manager() != null) {
                tasks.add(new RollingRestartTask(this));
            }
        }
        loop.execute(this::tick);
    }

    private void tick() {
        nodes.checkConnections();
        int held = (int) tasks.stream().filter(LeasedTask::holdsLease).count();
        for (LeasedTask task : tasks) {
            task.tick(
                    DELAY_PER_HELD_TASK_SECONDS * held + MAX_JITTER_SECONDS * random.nextDouble());
        }
        loop.schedule(TICK_SECONDS, this::tick);
    }

    /** Starts to release all leases; returns whether none is held any more. */
    boolean releaseAll() {
        boolean anyHeld = false;
        for (LeasedTask task : tasks) {
            if (task.leaseHolder() != null) {
                if (!isLeaving) {
                    task.leaseHolder().setShuttingDown(now(), true);
                }
                anyHeld |= task.leaseHolder().isHeldOrReleasing();
            }
        }
        isLeaving = true;
        return !anyHeld;
    }

    NodeConnections nodes() {
        return nodes;
    }

    EventLoop loop() {
        return loop;
    }

    String name() {
        return name;
    }

    InstanceSettings.FleetSettings settings() {
        return settings;
    }

    double now() {
        return loop.now();
    }

    KeyValueStore store() {
        return store.get();
    }

    AsyncStoreClient commandClient() {
        return commandClient;
    }

    AsyncStoreClient queryClient() {
        return queryClient;
    }

    void schedule(double delay, Runnable action) {
        loop.schedule(delay, action);
    }

    void count(String name) {
        counter.accept(name, 1L);
    }

    void count(String name, long amount) {
        counter.accept(name, amount);
    }

    @Override
    public void nodeReported(NodeConnections.NodeConnection node) {
        for (LeasedTask task : tasks) {
            if (task instanceof NodeConnections.Listener listener) {
                listener.nodeReported(node);
            }
        }
    }

    @Override
    public void nodeDisconnected(NodeConnections.NodeConnection node) {
        for (LeasedTask task : tasks) {
            if (task instanceof NodeConnections.Listener listener) {
                listener.nodeDisconnected(node);
            }
        }
    }
}
