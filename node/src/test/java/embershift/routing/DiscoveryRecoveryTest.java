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
 * Checks that a node gets the roster within six seconds from when discovery is reachable again,
 * however the earlier calls failed. Nodes are simulated in virtual time, with the policy where that
 * requests the roster, and run on loopback.
 */
public class DiscoveryRecoveryTest extends LoopbackTestBase {

    private static final double ROSTER_DEADLINE_S = 6;

    /** Discovery answers within this time: it ends a call that waits longer with status 503. */
    private static final double MAX_ANSWER_S = 2;

    private static final double STEP_S = 0.05;
    private static final double LONGEST_OUTAGE_S = 40;

    /** Values of {@code must-ask-in-s}; 0 stands for changes that are to come unsolicited. */
    private static final double[] MUST_ASK_S = {0, 2, 9, 10, 30};

    /**
     * How a call fails during an outage of discovery, and after how many seconds the node detects
     * it.
     */
    private enum Fault {
        REFUSED(0.001),
        RESET(0.02),
        TRUNCATED(0.05),
        BUSY(0.01),
        DELAYED_BUSY(2),
        SILENT(Double.POSITIVE_INFINITY),
        PARTIAL_THEN_SILENT(Double.POSITIVE_INFINITY),
        TRICKLING(Double.POSITIVE_INFINITY);

        final double detectedAfterS;

        Fault(double detectedAfterS) {
            this.detectedAfterS = detectedAfterS;
        }
    }

    /**
     * Simulates the calls of a node from the moment, at time 0, at which its watch breaks or falls
     * silent, as long as all calls fail.
     */
    private static final class SimulatedNode implements Decisions {
        final List<Double> callTimes = new ArrayList<>();
        private final Fault fault;
        private final WatchSchedule schedule;
        private final Policy policy;
        private final PriorityQueue<Double> wakeups = new PriorityQueue<>();
        private double now;
        private double failsAt;

        /**
         * Creates and simulates a node.
         *
         * @param watchStartedAt when the last call of the watch began, up to three seconds before
         *     the outage
         */
        SimulatedNode(long seed, double mustAskS, Fault fault, double watchStartedAt) {
            this.fault = fault;
            schedule =
                    new WatchSchedule(
                            mustAskS == 0, new SeededRandom(~seed)::nextDecorrelatedDouble);
            policy = mustAskS == 0 ? null : createPolicy(seed, mustAskS);
            now = watchStartedAt;
            schedule.callStarted(now, true);
            failsAt = Double.isInfinite(fault.detectedAfterS) ? fault.detectedAfterS : 0;
            simulate();
        }

        private Policy createPolicy(long seed, double mustAskS) {
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
                            mustAskS,
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
            Policy newPolicy = new Policy(deployment, new HostCapacityEstimate(deployment));
            newPolicy.round(-100, events -> events.rosterReplaced(List.of(), true), this);
            newPolicy.round(-50, events -> {}, this);
            newPolicy.round(-49, events -> events.rosterChanged(List.of()), this);
            callTimes.clear();
            wakeups.clear();
            return newPolicy;
        }

        private void simulate() {
            while (now < 2 * LONGEST_OUTAGE_S) {
                double nextWakeup = wakeups.isEmpty() ? Double.POSITIVE_INFINITY : wakeups.peek();
                double next = Math.min(Math.min(failsAt, schedule.nextActionAt()), nextWakeup);
                assertTrue(next < Double.POSITIVE_INFINITY, "no further call after " + now);
                now = Math.max(now, next);
                if (next == failsAt || (next == schedule.nextActionAt() && schedule.isCalling())) {
                    failsAt = Double.POSITIVE_INFINITY;
                    schedule.callFailed(now);
                    runRound(NodeEvents::rosterWatchLost);
                } else if (next == schedule.nextActionAt()) {
                    call();
                } else {
                    wakeups.poll();
                    runRound(events -> {});
                }
            }
        }

        private void runRound(Consumer<NodeEvents> arrivals) {
            if (policy != null) {
                policy.round(now, arrivals, this);
            }
        }

        private void call() {
            callTimes.add(now);
            schedule.callStarted(now, false);
            failsAt = now + fault.detectedAfterS;
        }

        /** Returns when the first call begins after discovery has returned. */
        double firstCallAfter(double returnsAt) {
            int at = Collections.binarySearch(callTimes, returnsAt);
            return callTimes.get(at < 0 ? -at - 1 : at);
        }

        @Override
        public void watchRoster(boolean on) {
            if (schedule != null && !schedule.isCalling() && policy != null) {
                call();
            }
        }

        @Override
        public void wakeAfter(double delay) {
            wakeups.add(now + delay);
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
     * Returns the longest time in seconds from the return of discovery until all nodes have the
     * roster, over returns at each step of the outage.
     */
    private static double longestDelay(List<SimulatedNode> nodes) {
        double longestS = 0;
        for (double returnsAt = 0; returnsAt < LONGEST_OUTAGE_S; returnsAt += STEP_S) {
            for (SimulatedNode node : nodes) {
                longestS =
                        Math.max(
                                longestS,
                                node.firstCallAfter(returnsAt) + MAX_ANSWER_S - returnsAt);
            }
        }
        return longestS;
    }

    @DataProvider
    public Object[][] faults() {
        List<Object[]> rows = new ArrayList<>();
        for (Fault fault : Fault.values()) {
            for (double mustAskS : MUST_ASK_S) {
                rows.add(new Object[] {fault, mustAskS});
            }
        }
        return rows.toArray(new Object[0][]);
    }

    @Test(dataProvider = "faults")
    public void nodeGetsRosterInTimeAfterDiscoveryReturns(Fault fault, double mustAskS) {
        double longestS = 0;
        for (double watchStartedAt = -3; watchStartedAt <= 0; watchStartedAt += STEP_S) {
            longestS =
                    Math.max(
                            longestS,
                            longestDelay(
                                    List.of(
                                            new SimulatedNode(
                                                    1, mustAskS, fault, watchStartedAt))));
        }
        assertTrue(
                longestS < ROSTER_DEADLINE_S - 0.15,
                "roster received " + longestS + " s after the return of discovery");
    }

    private static List<SimulatedNode> simulateNodes(int count, double mustAskS, Fault fault) {
        List<SimulatedNode> nodes = new ArrayList<>();
        Random seeds = new Random(41);
        for (int i = 0; i < count; i++) {
            // All nodes were told the last change at the same time, so their watches began
            // together.
            nodes.add(new SimulatedNode(seeds.nextLong(), mustAskS, fault, -1));
        }
        return nodes;
    }

    @Test(dataProvider = "faults")
    public void thirtyNodesGetRosterInTimeAfterDiscoveryReturns(Fault fault, double mustAskS) {
        double longestS = longestDelay(simulateNodes(30, mustAskS, fault));
        assertTrue(
                longestS < ROSTER_DEADLINE_S - 0.15,
                "roster received " + longestS + " s after the return of discovery");
    }

    /**
     * Returns the calls per second of a hundred nodes: the mean during the outage, and the highest
     * number in the first second after a return of discovery.
     */
    private static double[] callRates(double mustAskS, Fault fault) {
        List<Double> callTimes = new ArrayList<>();
        List<SimulatedNode> nodes = simulateNodes(100, mustAskS, fault);
        nodes.forEach(node -> callTimes.addAll(node.callTimes));
        double measuredFrom = 10;
        long count =
                callTimes.stream()
                        .filter(time -> time >= measuredFrom && time < LONGEST_OUTAGE_S)
                        .count();
        long maxInOneSecond = 0;
        for (double returnsAt = measuredFrom; returnsAt < LONGEST_OUTAGE_S; returnsAt += STEP_S) {
            double returnTime = returnsAt;
            maxInOneSecond =
                    Math.max(
                            maxInOneSecond,
                            nodes.stream()
                                    .filter(
                                            node ->
                                                    node.firstCallAfter(returnTime)
                                                            < returnTime + 1)
                                    .count());
        }
        return new double[] {count / (LONGEST_OUTAGE_S - measuredFrom), maxInOneSecond};
    }

    /**
     * Acts as discovery for one node on loopback: fails the first call, at which {@code
     * onFirstCall} is run, and answers the next one.
     */
    private void serveFailureThenAnswer(ServerSocket server, Fault fault, Runnable onFirstCall)
            throws IOException {
        Socket failingConnection = accept(server);
        readRequest(failingConnection);
        onFirstCall.run();
        String answer = okResponse(rosterJson(2, true) + " ".repeat(500));
        switch (fault) {
            case RESET -> reset(failingConnection);
            case BUSY -> send(failingConnection, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            case TRUNCATED -> {
                send(failingConnection, answer.substring(0, 70));
                failingConnection.close();
            }
            case PARTIAL_THEN_SILENT, TRICKLING -> send(failingConnection, answer.substring(0, 70));
            default -> {}
        }
        server.setSoTimeout(100);
        for (long deadline = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
                System.nanoTime() < deadline; ) {
            try {
                Socket nextConnection = accept(server);
                readRequest(nextConnection);
                sendOkResponse(nextConnection, rosterJson(2, true));
                assertEquals(
                        readRequest(nextConnection),
                        "GET /api/targets?after=2&wait_ms=3000 HTTP/1.1");
                return;
            } catch (SocketTimeoutException e) {
                if (fault == Fault.TRICKLING) {
                    send(failingConnection, " ");
                }
            }
        }
        fail("no retry of the failed call");
    }

    @Test
    public void thirtyNodesOnLoopbackRetryFailedCallInTime() throws Exception {
        List<Fault> faults =
                List.of(
                        Fault.RESET,
                        Fault.TRUNCATED,
                        Fault.BUSY,
                        Fault.SILENT,
                        Fault.PARTIAL_THEN_SILENT,
                        Fault.TRICKLING);
        List<FutureTask<Void>> tasks = new ArrayList<>();
        List<CompletableFuture<Long>> callCounts = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            Fault fault = faults.get(i % faults.size());
            double mustAskS = List.of(0.0, 10.0, 30.0).get(i / faults.size() % 3);
            discovery = openServerSocket();
            rosterOnRequest = mustAskS > 0;
            settingOverrides =
                    new String[] {
                        "must-ask-in-s", String.valueOf(mustAskS), "seed", "\"" + i + "\""
                    };
            ServerSocket server = discovery;
            startRouter("1024");
            Router node = router;
            CompletableFuture<Long> count = new CompletableFuture<>();
            callCounts.add(count);
            // A call without an answer is abandoned after 3.8 s. The count is taken on the loop's
            // clock, so that a busy machine delays both alike.
            FutureTask<Void> task =
                    new FutureTask<>(
                            () -> {
                                serveFailureThenAnswer(
                                        server,
                                        fault,
                                        () ->
                                                loop.execute(
                                                        () ->
                                                                loop.schedule(
                                                                        4.4,
                                                                        () ->
                                                                                count.complete(
                                                                                        node.tally()
                                                                                                .of(
                                                                                                        "roster calls")))));
                                return null;
                            });
            tasks.add(task);
            new Thread(task).start();
        }
        for (int i = 0; i < tasks.size(); i++) {
            tasks.get(i).get();
            assertTrue(
                    callCounts.get(i).get() >= 2,
                    "no retry in time after " + faults.get(i % faults.size()));
        }
    }

    /**
     * To get the roster in time a node has to call every four seconds, which is 25 calls per second
     * for a hundred nodes. Where discovery has to be asked every ten seconds or more often, the
     * policy calls more often than that while calls fail at once.
     */
    @Test(dataProvider = "faults")
    public void hundredNodesStayWithinDiscoveryCallRate(Fault fault, double mustAskS) {
        double[] rates = callRates(mustAskS, fault);
        Reporter.log(
                String.format(
                        "%s, must-ask-in-s %.0f: %.1f calls per second, %.0f in the worst second of a return, roster after %.2f s",
                        fault,
                        mustAskS,
                        rates[0],
                        rates[1],
                        longestDelay(simulateNodes(30, mustAskS, fault))));
        assertTrue(
                rates[0] < (mustAskS == 0 ? 27.5 : mustAskS == 30 ? 31 : mustAskS == 2 ? 205 : 46),
                rates[0] + " calls per second");
        // Holds for nodes that lost discovery at the same time.
        assertTrue(
                mustAskS == 2 || rates[1] <= 70,
                rates[1] + " calls in one second of the return of discovery");
    }
}
