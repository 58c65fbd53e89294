package embershift.rig.process;

import embershift.fleet.lease.FencingGuard;
import embershift.fleet.lease.FencingToken;
import embershift.fleet.lease.TaskId;
import embershift.hosted.StoreClient;
import java.io.BufferedReader;
import java.io.FileWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Writer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * A receiver of orders, as a process: goes by a gate, and writes each order that reached it, and
 * what became of it, to a file. Arguments: name, duty, file, instances as HOST:PORT,HOST:PORT. An
 * order is a line: ORDER owner step fence.
 */
public final class ReceiverStand {

    /** What a receiver answers to an order that it takes, and to one with a stale token. */
    static final String TAKEN = "TAKEN";

    static final String OLD = "OLD";

    /** Seconds that an effect takes. */
    private static final double EFFECT = 0.05;

    private final TaskId duty;
    private final Writer history;
    private final FencingGuard gate = new FencingGuard();

    private ReceiverStand(TaskId duty, Writer history) {
        this.duty = duty;
        this.history = history;
    }

    public static void main(String[] args) throws IOException {
        TaskId duty = new TaskId(args[1]);
        ReceiverStand receiver =
                new ReceiverStand(duty, new FileWriter(args[2], StandardCharsets.UTF_8, true));
        receiver.note("started", "", 0, 0);
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Thread asking = new Thread(() -> receiver.askRecord(addresses(args[3])), "record");
            asking.setDaemon(true);
            asking.start();
            System.out.println("receiver at " + server.getLocalPort());
            while (true) {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> receiver.serve(socket), "orders");
                thread.setDaemon(true);
                thread.start();
            }
        }
    }

    static List<InetSocketAddress> addresses(String text) {
        return Arrays.stream(text.split(","))
                .map(
                        each ->
                                new InetSocketAddress(
                                        each.split(":")[0], Integer.parseInt(each.split(":")[1])))
                .toList();
    }

    /** Until the record has answered a read that began after this start. */
    private void askRecord(List<InetSocketAddress> instances) {
        try (StoreClient client = new StoreClient(instances, "receiver")) {
            while (true) {
                StoreClient.Outcome outcome =
                        client.call(StoreClient.newCall("get").put("key", duty.tokenKey()), 5);
                if (outcome.isDone()) {
                    synchronized (this) {
                        gate.learnLatest(
                                duty,
                                new FencingToken(
                                        outcome.answer()
                                                .path("items")
                                                .path(0)
                                                .path("revision")
                                                .asLong()));
                    }
                    return;
                }
            }
        }
    }

    private synchronized void note(String what, String owner, int step, long fence) {
        try {
            // The machine's monotonic time, the same for all processes.
            history.write(
                    String.format(
                            Locale.ROOT,
                            "%d %s %s %d %d%n",
                            System.nanoTime(),
                            what,
                            owner,
                            step,
                            fence));
            history.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private synchronized String take(String owner, int step, long fence) {
        FencingGuard.Verdict verdict = gate.admit(duty, new FencingToken(fence));
        String answer =
                switch (verdict) {
                    case ADMITTED -> TAKEN;
                    case STALE -> OLD;
                    case UNKNOWN -> "UNSURE";
                };
        note(answer, owner, step, fence);
        return answer;
    }

    private void serve(Socket socket) {
        try (socket;
                BufferedReader in =
                        new BufferedReader(
                                new InputStreamReader(
                                        socket.getInputStream(), StandardCharsets.US_ASCII))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String[] words = line.split(" ");
                String answer =
                        words.length == 4 && words[0].equals("ORDER")
                                ? take(
                                        words[1],
                                        Integer.parseInt(words[2]),
                                        Long.parseLong(words[3]))
                                : "UNREADABLE";
                Instances.sleep(EFFECT);
                socket.getOutputStream().write((answer + "\n").getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            // Its sender is gone.
        }
    }
}
