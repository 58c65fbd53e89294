package embershift.operations;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import embershift.LoopbackTestBase;
import embershift.model.DeclineReason;
import embershift.protocol.HttpResponseParser;
import embershift.protocol.NodeConfiguration;
import embershift.routing.Router;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Operators' requests over loopback sockets, next to the tunnels that they ask about. */
public class OperatorsTest extends LoopbackTestBase {

    private InetSocketAddress clients;
    private InetSocketAddress operators;
    private volatile boolean ready;

    @BeforeMethod
    public void resetReady() {
        ready = true;
    }

    private NodeConfiguration configuration(int sockets, ServerSocket... hosts) throws Exception {
        List<String> known = new ArrayList<>();
        for (ServerSocket host : hosts) {
            known.add(
                    "{\"instanceId\":\"s%d\",\"hostPort\":\"127.0.0.1:%d\",\"zone\":\"a\","
                                    .formatted(known.size(), host.getLocalPort())
                            + "\"lifecycle\":\"in_service\",\"weight\":1,\"startedAtMs\":0}");
        }
        return NodeConfiguration.parse(
                """
            {"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1","limits":{"sockets":%d},
             "known":{"generation":1,"reset":true,"instances":[%s]},
             "settings":{"balancers":1,"az":"a","discovery":"subscribe",
              "profiles":[{"name":"p\\"q","repeat":"at_most_once","setup-goal-s":0.5,"client-timeout-s":3}],
              "report":{"columns":[]},"domain":{"mode":"proxy"},
              "limits":{"may-probe":false,"may-cancel":true,"may-duplicate":false,"most-setups":3,
                        "retry-after":true,"max-retry-after-s":1,"connect-timeout-s":0.25},
              "rules":{"must-ask-in-s":2,"drain-grace-s":1,"cold-from":0.3,"warm-after-s":8,
                       "fall-multiple":4,"fall-s":1.5}}}"""
                        .formatted(sockets, String.join(",", known)),
                "127.0.0.1:0");
    }

    private void start(int sockets, ServerSocket... hosts) throws Exception {
        NodeConfiguration configuration = configuration(sockets, hosts);
        callOnLoop(
                () -> {
                    router = new Router(loop, configuration, line -> {});
                    operators =
                            new OperatorServer(
                                            loop,
                                            new OperatorApi(
                                                    router,
                                                    new HostEjections(loop, router, null),
                                                    () -> ready),
                                            router.tally())
                                    .listen(configuration.management());
                    clients = router.listen(configuration.listen());
                    return null;
                });
    }

    private static HttpResponseParser reply(Socket socket) throws Exception {
        HttpResponseParser reply = new HttpResponseParser();
        // Reads to the end of the connection, as each answer must close it.
        reply.feed(ByteBuffer.wrap(socket.getInputStream().readAllBytes()));
        assertTrue(reply.endOfInput());
        return reply;
    }

    private HttpResponseParser call(String method, String path) throws Exception {
        return reply(connect(operators, method + " " + path + " HTTP/1.1\r\nHost: n\r\n\r\n"));
    }

    /**
     * Requests a tunnel; returns the client's socket and the host's, which has read the request.
     */
    private Socket[] tunnel(ServerSocket host, String id) throws IOException {
        Socket client = connect(clients, "OPEN " + id + " k c=p\"q,d=3000\r\n");
        Socket hostSide = accept(host);
        readLine(hostSide);
        return new Socket[] {client, hostSide};
    }

    private void awaitTelemetry(String expected) throws Exception {
        String body = "";
        for (long deadline = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
                System.nanoTime() < deadline; ) {
            body = call("GET", "/api/telemetry").body().trim();
            if (body.equals(expected)) {
                return;
            }
        }
        assertEquals(body, expected);
    }

    /**
     * The expected telemetry; each declined tunnel counts as throttled and under its one reason.
     */
    private static String telemetry(
            int fulfilled,
            int faulted,
            int relayed,
            int open,
            int avoided,
            DeclineReason... declined) {
        StringBuilder reasons = new StringBuilder();
        for (DeclineReason reason : DeclineReason.values()) {
            reasons.append(",\"")
                    .append(reason.name().toLowerCase(Locale.ROOT))
                    .append("\":")
                    .append(Collections.frequency(List.of(declined), reason));
        }
        return ("{\"operations\":{\"p\\\"q\":{\"fulfilled\":%d,\"throttled\":%d,\"faulted\":%d}},"
                        + "\"relayed\":%d,\"open_requests\":%d,\"registry_entries\":1,\"out_of_rotation\":%d,"
                        + "\"declined\":{\"want_of_descriptors\":0%s}}")
                .formatted(fulfilled, declined.length, faulted, relayed, open, avoided, reasons);
    }

    @Test
    public void eachRequestIsAnsweredWithItsStatus() throws Exception {
        start(1024);
        assertEquals(call("GET", "/api/ready").status(), 200);
        ready = false;
        assertEquals(call("GET", "/api/ready").status(), 503);
        assertEquals(call("GET", "/api/telemetry?x").status(), 200);
        assertEquals(call("GET", "/api/nothing").status(), 404);
        assertEquals(call("GET", "/").status(), 404);
        assertEquals(call("POST", "/api/ready").status(), 405);
        assertEquals(call("DELETE", "/api/telemetry").status(), 405);
        assertEquals(call("GET", "nowhere").status(), 400);
    }

    @Test
    public void ejectedHostIsNotUsedOnceTheRequestIsAnswered() throws Exception {
        ServerSocket host = openServerSocket();
        start(1024, host);
        assertEquals(call("GET", "/api/exclude/s0").status(), 405);
        assertEquals(call("POST", "/api/exclude/unheard%22of").status(), 404);
        for (int i = 0; i < 2; i++) {
            assertEquals(call("POST", "/api/exclude/s0").status(), 200);
        }
        assertTrue(readLine(connect(clients, "OPEN a k c=p\"q,d=3000\r\n")).startsWith("BUSY"));
        awaitTelemetry(telemetry(0, 0, 0, 0, 1, DeclineReason.NO_HOST_READY));
        for (int i = 0; i < 2; i++) {
            assertEquals(call("POST", "/api/include/s%30").status(), 200);
        }
        awaitTelemetry(telemetry(0, 0, 0, 0, 0, DeclineReason.NO_HOST_READY));
    }

    @Test
    public void telemetryCountsEachTunnelOnceByItsAnswer() throws Exception {
        ServerSocket host = openServerSocket();
        start(1024, host);
        awaitTelemetry(telemetry(0, 0, 0, 0, 0));
        Socket[] opened = tunnel(host, "a");
        send(opened[1], "UP r\r\n");
        assertEquals(readLine(opened[0]), "UP r");
        awaitTelemetry(telemetry(1, 0, 1, 1, 0));
        Socket[] failed = tunnel(host, "b");
        send(failed[1], "ERR\r\n");
        assertTrue(readLine(failed[0]).startsWith("ERR"));
        awaitTelemetry(telemetry(1, 1, 2, 1, 1));
        host.close();
        Socket declined = connect(clients, "OPEN c k c=p\"q,d=3000\r\n");
        assertTrue(readLine(declined).startsWith("BUSY"));
        send(opened[1], "BYE\r\n");
        opened[1].close();
        awaitTelemetry(telemetry(1, 1, 2, 0, 1, DeclineReason.HOSTS_SILENT));
    }

    @Test
    public void connectionsWithoutACompleteRequestBlockNeitherOperatorsNorClients()
            throws Exception {
        ServerSocket host = openServerSocket();
        // On top of what this process holds already, as earlier tests may have left descriptors.
        start(callOnLoop(loop::openDescriptors) + 1024, host);
        Socket first = connect(operators, "");
        for (int i = 0; i < 100; i++) {
            connect(operators, i % 2 == 0 ? "" : "GET /api/re");
        }
        assertEquals(call("GET", "/api/ready").status(), 200);
        assertEquals(reply(first).status(), 503);
        Socket slow = connect(operators, "GET /api/ready HTTP/1.1\r\n");
        for (int i = 0; i < 7; i++) {
            connect(operators, "");
        }
        send(slow, "\r\n");
        assertEquals(reply(slow).status(), 200);
        tunnel(host, "a");
    }

    @Test
    public void operatorsAreAnsweredWhereTunnelsExceedALoweredDescriptorLimit() throws Exception {
        ServerSocket host = openServerSocket();
        int descriptorsBefore = callOnLoop(loop::openDescriptors);
        start(descriptorsBefore + 200, host);
        List<Socket[]> tunnels = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            Socket[] ends = tunnel(host, "t" + i);
            send(ends[1], "UP r\r\n");
            assertEquals(readLine(ends[0]), "UP r");
            tunnels.add(ends);
        }
        NodeConfiguration lower = configuration(descriptorsBefore + 20, host);
        callOnLoop(
                () -> {
                    router.reconfigure(lower);
                    return null;
                });
        for (int i = 0; i < 2 * Router.OPERATOR_DESCRIPTORS; i++) {
            assertEquals(call("GET", "/api/ready").status(), 200);
        }
        for (int i = 0; i < 100; i++) {
            connect(operators, i % 2 == 0 ? "" : "GET /api/re");
        }
        assertEquals(call("GET", "/api/ready").status(), 200);
        for (Socket[] ends : tunnels) {
            send(ends[0], "still here\r\n");
            assertEquals(readLine(ends[1]), "still here");
        }
    }

    @Test
    public void operatorsAreAnsweredWhereClientsHoldAllDescriptors() throws Exception {
        start(callOnLoop(loop::openDescriptors) + Router.OPERATOR_DESCRIPTORS + 60);
        for (int i = 0; i < 150; i++) {
            connect(clients, i % 2 == 0 ? "" : "OPEN ");
        }
        while (!callOnLoop(() -> router.tally().toString()).contains("accepts paused")
                && !callOnLoop(() -> router.tally().toString()).contains("turned away")) {
            Thread.onSpinWait();
        }
        for (int i = 0; i < 2 * Router.OPERATOR_DESCRIPTORS; i++) {
            assertEquals(call("GET", "/api/ready").status(), 200);
        }
    }
}
