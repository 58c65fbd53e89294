package embershift.rig.process;

import embershift.fleet.lease.FencingToken;
import embershift.fleet.lease.LeaseHolder;
import embershift.fleet.lease.LeaseSettings;
import embershift.fleet.lease.TaskId;
import embershift.fleet.lease.TaskPlan;
import embershift.fleet.store.SessionId;
import embershift.fleet.store.StoreCommand;
import embershift.hosted.AsyncStoreClient;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * One who would own a duty, as a process: an {@link LeaseHolder} whose steps are orders to
 * receivers, in turn. Arguments: name, duty, steps, instances and receivers, each as
 * HOST:PORT,HOST:PORT.
 */
public final class OwnerStand implements LeaseHolder.Environment {

    private static final LeaseSettings TERMS = new LeaseSettings(2, 0.1, 20, 1000, 2);
    private static final double LONGEST = 0.5;
    private static final double CALL = 1.5;
    private static final int TICK_MS = 20;

    private final ScheduledExecutorService deciding = Executors.newSingleThreadScheduledExecutor();
    private final ExecutorService orders = Executors.newCachedThreadPool();
    private final AsyncStoreClient commands;
    private final AsyncStoreClient words;
    private final List<InetSocketAddress> receivers;
    private final String name;
    private final LeaseHolder owner;

    private OwnerStand(
            String name,
            TaskId duty,
            int steps,
            List<InetSocketAddress> instances,
            List<InetSocketAddress> receivers) {
        this.name = name;
        this.receivers = receivers;
        commands = new AsyncStoreClient(() -> instances, name, this::heard);
        words = new AsyncStoreClient(() -> instances, name, this::heard);
        owner = new LeaseHolder(name, duty, new TaskPlan("plan", steps, LONGEST), TERMS, this);
    }

    public static void main(String[] args) {
        OwnerStand stand =
                new OwnerStand(
                        args[0],
                        new TaskId(args[1]),
                        Integer.parseInt(args[2]),
                        ReceiverStand.addresses(args[3]),
                        ReceiverStand.addresses(args[4]));
        ScheduledFuture<?> unused =
                stand.deciding.scheduleWithFixedDelay(
                        () -> stand.decide(() -> stand.owner.tick(now())),
                        0,
                        TICK_MS,
                        TimeUnit.MILLISECONDS);
        System.out.println("owner " + args[0]);
    }

    private static double now() {
        return System.nanoTime() / 1e9;
    }

    private void decide(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException e) {
            e.printStackTrace();
            Runtime.getRuntime().halt(1);
        }
    }

    private void heard(Runnable what) {
        deciding.execute(() -> decide(what));
    }

    @Override
    public void submit(StoreCommand command) {
        commands.call(command, CALL, answer -> owner.commandCompleted(now(), command, answer));
    }

    @Override
    public void renewSession(SessionId session, double asked) {
        words.renewSession(
                session,
                CALL,
                () -> owner.sessionRenewed(now(), asked),
                () -> owner.sessionEnded(now()));
    }

    @Override
    public void readProgress(TaskId duty) {
        words.readValue(duty.progressKey(), CALL, progress -> owner.progressRead(now(), progress));
    }

    @Override
    public void runStep(TaskId duty, TaskPlan plan, int step, FencingToken fence) {
        orders.execute(
                () -> {
                    LeaseHolder.StepOutcome effect = LeaseHolder.StepOutcome.UNKNOWN;
                    try (Socket socket = new Socket()) {
                        socket.connect(
                                receivers.get(step % receivers.size()), (int) (LONGEST * 1000));
                        socket.setSoTimeout((int) (LONGEST * 1000));
                        socket.getOutputStream()
                                .write(
                                        ("ORDER " + name + " " + step + " " + fence.number() + "\n")
                                                .getBytes(StandardCharsets.US_ASCII));
                        String answer =
                                new BufferedReader(
                                                new InputStreamReader(
                                                        socket.getInputStream(),
                                                        StandardCharsets.US_ASCII))
                                        .readLine();
                        effect =
                                ReceiverStand.TAKEN.equals(answer)
                                        ? LeaseHolder.StepOutcome.DONE
                                        : ReceiverStand.OLD.equals(answer)
                                                ? LeaseHolder.StepOutcome.STALE_TOKEN
                                                : LeaseHolder.StepOutcome.UNKNOWN;
                    } catch (IOException e) {
                        // Nobody can tell.
                    }
                    LeaseHolder.StepOutcome end = effect;
                    heard(() -> owner.stepEnded(now(), step, fence, end));
                });
    }

    @Override
    public void notifyOperator(String what) {
        System.out.println("told: " + what);
    }
}
