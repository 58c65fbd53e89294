package embershift.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import embershift.LoopbackTestBase;
import embershift.model.Decisions;
import embershift.model.DeclineReason;
import embershift.model.Deployment;
import embershift.model.HostId;
import embershift.model.NodeEvents;
import embershift.model.ProfileId;
import embershift.model.TunnelId;
import embershift.model.ZoneId;
import embershift.policy.HostCapacityEstimate;
import embershift.policy.Policy;
import embershift.policy.SeededRandom;
import embershift.protocol.WatchSchedule;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.FutureTask;
import java.util.function.Consumer;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * What discovery has counts as told six seconds after it could be reached, whatever became of the
 * calls before. Nodes are played in virtual time, with the module where it is the one to ask, and
 * on loopback.
 */
public class DiscoveryRecoveryTest extends LoopbackTestBase {

    private static final double TOLD = 6;

    /**
     * Seconds that discovery takes for an answer at the most: it ends what waited longer with 503.
     */
    private static final double ANSWER = 2;

    private static final double STEP = 0.05;
    private static final double LONGEST_OUTAGE = 40;

    /** Settings by which discovery has to be asked so often; 0: changes are to come unasked. */
    private static final double[] MUST_ASK = {0, 2, 9, 10, 30};

    /**
     * What becomes of a call while discovery can't be reached, and seconds after which the node
     * knows it.
     */
    private enum Fault {
        REFUSED(0.001),
        RESET(0.02),
        CUT_IN_HALF(0.05),
        BUSY(0.01),
        BUSY_AFTER_A_WHILE(2),
        SILENT(Double.POSITIVE_INFINITY),
        HALF_THEN_SILENT(Double.POSITIVE_INFINITY),
        NEVER_ENDING(Double.POSITIVE_INFINITY);

        final double knownAfter;

        Fault(double knownAfter) {
            this.knownAfter = knownAfter;
        }
    }

    /**
     * A node's calls from the moment on in which its watch breaks or falls silent, at time 0, for
     * as long as all fail.
     */
    private static final class Caller implements Decisions {
        final List<Double> calls = new ArrayList<>();
        private final Fault fault;
        private final WatchSchedule schedule;
        private final Policy module;
        private final PriorityQueue<Double> wakes = new PriorityQueue<>();
        private double now;
        private double fails;

        /** {@code begun}: when the watch's last call began, up to three seconds before. */
        Caller(long seed, double mustAsk, Fault fault, double begun) {
            this.fault = fault;
            schedule =
                    new WatchSchedule(
                            mustAsk == 0, new SeededRandom(~seed)::nextDecorrelatedDouble);
            module = mustAsk == 0 ? null : watching(seed, mustAsk);
            now = begun;
            schedule.callStarted(now, true);
            fails = Double.isInfinite(fault.knownAfter) ? fault.knownAfter : 0;
            play();
        }

        private Policy watching(long seed, double mustAsk) {
            Deployment.Profile profile =
                    new Deployment.Profile(
                            new ProfileId("p"),
                            Deployment.Repeat.REPEATABLE,
                            Deployment.DedupScope.ALL,
                            0,
                            0.5,
                            3,
                            0.1,
                            1);
            Deployment deployment =
                    new Deployment(
                            seed,
                            100,
                            0,
                            new ZoneId("a"),
                            List.of(profile),
                            true,
                            mustAsk,
                            true,
                            true,
                            true,
                            true,
                            false,
                            4,
                            true,
                            1.5,
                            0.25,
                            0.016,
                            0.5,
                            0.3,
                            8,
                            3,
                            2,
                            Deployment.RetryBudget.NONE,
                            false,
                            0);
            Policy policy = new Policy(deployment, new HostCapacityEstimate(deployment));
            policy.round(-100, news -> news.rosterReplaced(List.of(), true), this);
            policy.round(-50, news -> {}, this);
            policy.round(-49, news -> news.rosterChanged(List.of()), this);
            calls.clear();
            wakes.clear();
            return policy;
        }

        private void play() {
            while (now < 2 * LONGEST_OUTAGE) {
                double wake = wakes.isEmpty() ? Double.POSITIVE_INFINITY : wakes.peek();
                double next = Math.min(Math.min(fails, schedule.nextActionAt()), wake);
                assertTrue(next < Double.POSITIVE_INFINITY, "never called again after " + now);
                now = Math.max(now, next);
                if (next == fails || (next == schedule.nextActionAt() && schedule.isCalling())) {
                    fails = Double.POSITIVE_INFINITY;
                    schedule.callFailed(now);
                    round(NodeEvents::rosterWatchLost);
                } else if (next == schedule.nextActionAt()) {
                    call();
                } else {
                    wakes.poll();
                    round(news -> {});
                }
            }
        }

        private void round(Consumer<NodeEvents> arrivals) {
            if (module != null) {
                module.round(now, arrivals, this);
            }
        }

        private void call() {
            calls.add(now);
            schedule.callStarted(now, false);
            fails = now + fault.knownAfter;
        }

        /** When the first call begins that finds discovery back. */
        double finds(double back) {
            int at = Collections.binarySearch(calls, back);
            return calls.get(at < 0 ? -at - 1 : at);
        }

        @Override
        public void watchRoster(boolean on) {
            if (schedule != null && !schedule.isCalling() && module != null) {
                call();
            }
        }

        @Override
        public void wakeAfter(double delay) {
            wakes.add(now + delay);
        }

        @Override
        public void sendSetup(TunnelId id, HostId host, double timeOut) {}

        @Override
        public void cancelSetup(TunnelId id, int setup) {}

        @Override
        public void decline(TunnelId id, double returnAfter, DeclineReason reason) {}

        @Override
        public void closeWithError(TunnelId id) {}

        @Override
        public void move(TunnelId id) {}

        @Override
        public void probe(HostId host) {}

        @Override
        public void closeIdle(HostId host) {}

        @Override
        public void requestRoster() {}

        @Override
        public void sendToNode(int node, byte[] content) {}

        @Override
        public void sendToAllNodes(byte[] content) {}

        @Override
        public void logForOperators(String line) {}
    }

    /**
     * The longest time from a return of discovery until the last of the nodes is told, over returns
     * at each step.
     */
    private static double longest(List<Caller> nodes) {
        double longest = 0;
        for (double back = 0; back < LONGEST_OUTAGE; back += STEP) {
            for (Caller node : nodes) {
                longest = Math.max(longest, node.finds(back) + ANSWER - back);
            }
        }
        return longest;
    }

    @DataProvider
    public Object[][] faults() {
        List<Object[]> rows = new ArrayList<>();
        for (Fault fault : Fault.values()) {
            for (double mustAsk : MUST_ASK) {
                rows.add(new Object[] {fault, mustAsk});
            }
        }
        return rows.toArray(new Object[0][]);
    }

    @Test(dataProvider = "faults")
    public void nodeIsToldInTimeWheneverDiscoveryIsBack(Fault fault, double mustAsk) {
        double longest = 0;
        for (double begun = -3; begun <= 0; begun += STEP) {
            longest = Math.max(longest, longest(List.of(new Caller(1, mustAsk, fault, begun))));
        }
        assertTrue(longest < TOLD - 0.15, "told " + longest + " s after discovery was back");
    }

    private static List<Caller> callers(int many, double mustAsk, Fault fault) {
        List<Caller> nodes = new ArrayList<>();
        Random seeds = new Random(41);
        for (int i = 0; i < many; i++) {
            // The last change was told to all at once, so their watches began together.
            nodes.add(new Caller(seeds.nextLong(), mustAsk, fault, -1));
        }
        return nodes;
    }

    @Test(dataProvider = "faults")
    public void thirtyNodesAreToldInTimeWheneverDiscoveryIsBack(Fault fault, double mustAsk) {
        double longest = longest(callers(30, mustAsk, fault));
        assertTrue(longest < TOLD - 0.15, "told " + longest + " s after discovery was back");
    }

    /**
     * Calls a second of a hundred nodes in the mean while discovery is away, and in the worst
     * second of its return.
     */
    private static double[] callsASecond(double mustAsk, Fault fault) {
        List<Double> calls = new ArrayList<>();
        List<Caller> nodes = callers(100, mustAsk, fault);
        nodes.forEach(node -> calls.addAll(node.calls));
        double from = 10;
        long many = calls.stream().filter(at -> at >= from && at < LONGEST_OUTAGE).count();
        long worst = 0;
        for (double back = from; back < LONGEST_OUTAGE; back += STEP) {
            double begin = back;
            worst =
                    Math.max(
                            worst,
                            nodes.stream().filter(node -> node.finds(begin) < begin + 1).count());
        }
        return new double[] {many / (LONGEST_OUTAGE - from), worst};
    }

    /**
     * Plays discovery for one node on loopback: one call fares ill, the next is answered. {@code
     * atCall} is run at the first.
     */
    private void fareIll(ServerSocket at, Fault fault, Runnable atCall) throws IOException {
        Socket first = accept(at);
        readRequest(first);
        atCall.run();
        String answer = okResponse(rosterJson(2, true) + " ".repeat(500));
        switch (fault) {
            case RESET -> reset(first);
            case BUSY -> send(first, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            case CUT_IN_HALF -> {
                send(first, answer.substring(0, 70));
                first.close();
            }
            case HALF_THEN_SILENT, NEVER_ENDING -> send(first, answer.substring(0, 70));
            default -> {}
        }
        at.setSoTimeout(100);
        for (long until = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
                System.nanoTime() < until; ) {
            try {
                Socket next = accept(at);
                readRequest(next);
                sendOkResponse(next, rosterJson(2, true));
                assertEquals(readRequest(next), "GET /api/targets?after=2&wait_ms=3000 HTTP/1.1");
                return;
            } catch (SocketTimeoutException e) {
                if (fault == Fault.NEVER_ENDING) {
                    send(first, " ");
                }
            }
        }
        fail("never called again");
    }

    @Test
    public void thirtyNodesOnLoopbackCallAgainInTimeAfterACallThatFaredIll() throws Exception {
        List<Fault> kinds =
                List.of(
                        Fault.RESET,
                        Fault.CUT_IN_HALF,
                        Fault.BUSY,
                        Fault.SILENT,
                        Fault.HALF_THEN_SILENT,
                        Fault.NEVER_ENDING);
        List<FutureTask<Void>> played = new ArrayList<>();
        List<CompletableFuture<Long>> calls = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            Fault fault = kinds.get(i % kinds.size());
            double mustAsk = List.of(0.0, 10.0, 30.0).get(i / kinds.size() % 3);
            discovery = openServerSocket();
            rosterOnRequest = mustAsk > 0;
            settingOverrides =
                    new String[] {
                        "must-ask-in-s", String.valueOf(mustAsk), "seed", "\"" + i + "\""
                    };
            ServerSocket at = discovery;
            startRouter("1024");
            Router node = router;
            CompletableFuture<Long> many = new CompletableFuture<>();
            calls.add(many);
            // A call that brings nothing is given up after 3.8 s. On the loop's own clock: a busy
            // machine holds up both.
            FutureTask<Void> play =
                    new FutureTask<>(
                            () -> {
                                fareIll(
                                        at,
                                        fault,
                                        () ->
                                                loop.execute(
                                                        () ->
                                                                loop.schedule(
                                                                        4.4,
                                                                        () ->
                                                                                many.complete(
                                                                                        node.tally()
                                                                                                .of(
                                                                                                        "roster calls")))));
                                return null;
                            });
            played.add(play);
            new Thread(play).start();
        }
        for (int i = 0; i < played.size(); i++) {
            played.get(i).get();
            assertTrue(
                    calls.get(i).get() >= 2,
                    "not called again in time after " + kinds.get(i % kinds.size()));
        }
    }

    /**
     * Told in time can only be who calls each four seconds, 25 a second of a hundred nodes; where
     * discovery has to be asked each ten seconds or less, the module calls more often while calls
     * fail at once.
     */
    @Test(dataProvider = "faults")
    public void hundredNodesCallNoMoreOftenThanDiscoveryBears(Fault fault, double mustAsk) {
        double[] calls = callsASecond(mustAsk, fault);
        Reporter.log(
                String.format(
                        "%s, must ask %.0f: %.1f calls a second, %.0f in the worst second of a return, told %.2f s",
                        fault, mustAsk, calls[0], calls[1], longest(callers(30, mustAsk, fault))));
        assertTrue(
                calls[0] < (mustAsk == 0 ? 27.5 : mustAsk == 30 ? 31 : mustAsk == 2 ? 205 : 46),
                calls[0] + " calls a second");
        // Of those that lost discovery together.
        assertTrue(mustAsk == 2 || calls[1] <= 70, calls[1] + " calls in a second of its return");
    }
}
