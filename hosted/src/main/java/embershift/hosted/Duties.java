package embershift.hosted;

import embershift.fleet.store.KeyValueStore;
import embershift.transport.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/** The duties that this instance would own, and the nodes that they are for. On the loop. */
final class Duties implements Nodes.Listener {

    /** Seconds by which others wait while a duty is to go to a certain one. */
    static final double HANDED_OVER = 2;

    private static final double TICK = 0.05;

    /** Seconds by which one that has a duty already is slower to claim another. */
    private static final double EACH = 0.3;

    private static final double JITTER = 0.1;

    private final EventLoop loop;
    private final String name;
    private final Supplier<KeyValueStore> record;
    private final Installation.Fleet fleet;
    private final RecordCaller commands;
    private final RecordCaller words;
    private final Nodes nodes;
    private final List<Duty> duties = new ArrayList<>();
    private final BiConsumer<String, Long> count;
    private final Random chance;
    private boolean leaving;

    /** {@code addresses}: where the instances are now, this one too. */
    Duties(
            EventLoop loop,
            String name,
            Installation.Fleet fleet,
            Supplier<KeyValueStore> record,
            Supplier<List<InetSocketAddress>> addresses,
            BiConsumer<String, Long> count,
            long seed) {
        this.loop = loop;
        this.name = name;
        this.fleet = fleet;
        this.record = record;
        this.count = count;
        chance = new Random(seed);
        commands = new RecordCaller(addresses, name, loop::execute);
        words = new RecordCaller(addresses, name, loop::execute);
        nodes =
                new Nodes(
                        loop,
                        record,
                        new RecordCaller(addresses, name, loop::execute),
                        new RecordCaller(addresses, name, loop::execute),
                        this);
        if (fleet != null) {
            if (fleet.discovery() != null) {
                duties.add(new ListsDuty(this));
            }
            duties.add(new RolloutDuty(this));
            if (fleet.discovery() != null && fleet.manager() != null) {
                duties.add(new ReleaseDuty(this));
            }
        }
        loop.execute(this::tick);
    }

    private void tick() {
        nodes.look();
        int has = (int) duties.stream().filter(Duty::holds).count();
        for (Duty duty : duties) {
            duty.tick(EACH * has + JITTER * chance.nextDouble());
        }
        loop.schedule(TICK, this::tick);
    }

    /** Gives all duties back; whether none is left. */
    boolean leave() {
        boolean any = false;
        for (Duty duty : duties) {
            if (duty.owner() != null) {
                if (!leaving) {
                    duty.owner().setShuttingDown(now(), true);
                }
                any |= duty.owner().isHeldOrReleasing();
            }
        }
        leaving = true;
        return !any;
    }

    Nodes nodes() {
        return nodes;
    }

    EventLoop loop() {
        return loop;
    }

    String name() {
        return name;
    }

    Installation.Fleet fleet() {
        return fleet;
    }

    double now() {
        return loop.now();
    }

    KeyValueStore record() {
        return record.get();
    }

    RecordCaller commands() {
        return commands;
    }

    RecordCaller words() {
        return words;
    }

    void after(double delay, Runnable what) {
        loop.schedule(delay, what);
    }

    void counted(String what) {
        count.accept(what, 1L);
    }

    void counted(String what, long many) {
        count.accept(what, many);
    }

    @Override
    public void reported(Nodes.NodeLink node) {
        for (Duty duty : duties) {
            if (duty instanceof Nodes.Listener listener) {
                listener.reported(node);
            }
        }
    }

    @Override
    public void unlinked(Nodes.NodeLink node) {
        for (Duty duty : duties) {
            if (duty instanceof Nodes.Listener listener) {
                listener.unlinked(node);
            }
        }
    }
}
