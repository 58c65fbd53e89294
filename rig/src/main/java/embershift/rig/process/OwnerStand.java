package embershift.rig.process;

import embershift.fleet.Command;
import embershift.fleet.DutyId;
import embershift.fleet.Fence;
import embershift.fleet.Owner;
import embershift.fleet.Plan;
import embershift.fleet.SessionId;
import embershift.hosted.RecordCaller;
import embershift.hosted.RecordClient;
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
 * One who would own a duty, as a process: an {@link Owner} whose steps are orders to receivers, in
 * turn. Arguments: name, duty, steps, instances and receivers, each as HOST:PORT,HOST:PORT.
 */
public final class OwnerStand implements Owner.Hands {

    private static final Owner.Terms TERMS = new Owner.Terms(2, 0.1, 20, 1000, 2);
    private static final double LONGEST = 0.5;
    private static final double CALL = 1.5;
    private static final int TICK_MS = 20;

    private final ScheduledExecutorService deciding = Executors.newSingleThreadScheduledExecutor();
    private final ExecutorService orders = Executors.newCachedThreadPool();
    private final RecordCaller commands;
    private final RecordCaller words;
    private final List<InetSocketAddress> receivers;
    private final String name;
    private final Owner owner;

    private OwnerStand(
            String name,
            DutyId duty,
            int steps,
            List<InetSocketAddress> instances,
            List<InetSocketAddress> receivers) {
        this.name = name;
        this.receivers = receivers;
        commands = new RecordCaller(() -> instances, name, this::heard);
        words = new RecordCaller(() -> instances, name, this::heard);
        owner = new Owner(name, duty, new Plan("plan", steps, LONGEST), TERMS, this);
    }

    public static void main(String[] args) {
        OwnerStand stand =
                new OwnerStand(
                        args[0],
                        new DutyId(args[1]),
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
    public void ask(Command command) {
        commands.ask(command, CALL, answer -> owner.answered(now(), command, answer));
    }

    @Override
    public void renew(SessionId session, double asked) {
        words.ask(
                RecordClient.call("renew").put("session", session.number()),
                CALL,
                outcome -> {
                    if (outcome.done()) {
                        owner.renewed(now(), asked);
                    } else if (outcome.reason().equals("no-session")) {
                        owner.sessionOver(now());
                    }
                });
    }

    @Override
    public void look(DutyId duty) {
        words.ask(
                RecordClient.call("get").put("key", duty.progressKey()),
                CALL,
                outcome -> {
                    if (outcome.done()) {
                        var item = outcome.answer().path("items").path(0);
                        owner.found(
                                now(), item.isMissingNode() ? null : item.path("value").asText());
                    }
                });
    }

    @Override
    public void act(DutyId duty, Plan plan, int step, Fence fence) {
        orders.execute(
                () -> {
                    Owner.Effect effect = Owner.Effect.UNKNOWN;
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
                                "TAKEN".equals(answer)
                                        ? Owner.Effect.DONE
                                        : "OLD".equals(answer)
                                                ? Owner.Effect.OLD
                                                : Owner.Effect.UNKNOWN;
                    } catch (IOException e) {
                        // Nobody can tell.
                    }
                    Owner.Effect end = effect;
                    heard(() -> owner.acted(now(), step, fence, end));
                });
    }

    @Override
    public void told(String what) {
        System.out.println("told: " + what);
    }
}
