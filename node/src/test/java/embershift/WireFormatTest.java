package embershift;

import static org.testng.Assert.assertEquals;

import embershift.model.HostId;
import embershift.operations.HostEjections;
import embershift.operations.OperatorApi;
import embershift.operations.OperatorServer;
import embershift.protocol.EjectionList;
import embershift.testing.GoldenSamples;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.TreeSet;
import org.testng.annotations.Test;

/**
 * Compares what a node sends to clients, hosts, discovery and operators, and the names of its
 * counters, with samples of earlier versions.
 */
public class WireFormatTest extends LoopbackTestBase {

    private final GoldenSamples samples = new GoldenSamples();

    private static String normalize(String text, ServerSocket... servers) {
        String normalized =
                text.replaceAll("d=[12]\\d{3}", "d=MILLIS")
                        .replaceAll("wait_ms=\\d+", "wait_ms=MILLIS");
        for (int i = 0; i < servers.length; i++) {
            normalized = normalized.replace(String.valueOf(servers[i].getLocalPort()), "PORT-" + i);
        }
        return normalized;
    }

    private String callOperatorsApi(InetSocketAddress operators, String request) throws Exception {
        Socket caller =
                connect(
                        operators,
                        request
                                + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        return readUntilClosed(caller);
    }

    private String readFullRequest(Socket connection) throws Exception {
        StringBuilder received = new StringBuilder();
        for (String line = readLine(connection); line != null; line = readLine(connection)) {
            received.append(line).append('\n');
            if (line.isEmpty()) {
                break;
            }
        }
        return received.toString();
    }

    @Test
    public void messagesMatchGoldenSamples() throws Exception {
        ServerSocket host = openServerSocket();
        startRouter("1024", host);
        InetSocketAddress operators =
                callOnLoop(
                        () ->
                                new OperatorServer(
                                                loop,
                                                new OperatorApi(
                                                        router,
                                                        new HostEjections(loop, router, null),
                                                        () -> true),
                                                router.tally())
                                        .listen(
                                                new InetSocketAddress(
                                                        InetAddress.getLoopbackAddress(), 0)));
        Socket watch = accept(discovery);
        samples.text("call of discovery", normalize(readFullRequest(watch), discovery));
        sendOkResponse(watch, rosterJson(3, true, rosterEntry(host, "in_service")));
        samples.text("next call of discovery", normalize(readFullRequest(watch), discovery));
        Socket client = sampleClientsAndHosts(host);
        sampleOperatorsApi(operators, host);
        callOnLoop(
                () -> {
                    router.leave(true);
                    return null;
                });
        samples.text("line of a node that moves its sessions", readLine(client));
        samples.text(
                "ban list", EjectionList.format(List.of(new HostId("h1"), new HostId("h \"2\""))));
        assertEquals(
                EjectionList.parse(
                        EjectionList.format(List.of(new HostId("h1"), new HostId("h2")))),
                List.of(new HostId("h1"), new HostId("h2")));
        TreeSet<String> names = new TreeSet<>();
        callOnLoop(() -> router.tally().toString())
                .lines()
                .forEach(line -> names.add(line.replaceAll(" \\d+$", "")));
        samples.text("counters", String.join("\n", names));
        samples.assertMatch(getClass(), "wire-format.txt");
    }

    private Socket sampleClientsAndHosts(ServerSocket host) throws Exception {
        Socket client = connectClient("PING\r\nOPEN i1 k c=p,x=1,d=3000,g=room\r\nahead\r\n");
        samples.text("answer to PING", readLine(client));
        Socket hostSocket = accept(host);
        samples.text("first line at a host", normalize(readLine(hostSocket)));
        send(hostSocket, "UP  r-1 z\r\nline of the host\r\n");
        samples.text("first lines at a client", readLine(client) + "\n" + readLine(client));
        samples.text("line that came ahead of the answer", readLine(hostSocket));
        send(client, "line of the client\r\n");
        samples.text("line of a client at its host", readLine(hostSocket));
        samples.text(
                "id of an open session",
                normalize(readUntilClosed(connectClient("OPEN i1 k c=p,d=3000\r\n"))));
        samples.text("no first line", readUntilClosed(connectClient("GET / HTTP/1.1\r\n\r\n")));
        samples.text(
                "no such class", readUntilClosed(connectClient("OPEN i2 k c=unheard,d=5\r\n")));
        samples.text("nothing is asked for", readUntilClosed(connectClient("OPEN\r\n")));
        Socket refused = connectClient("OPEN i3 k c=p,d=3000\r\n");
        for (int i = 0; i < 3; i++) {
            Socket nextSetup = accept(host);
            readLine(nextSetup);
            send(nextSetup, "ERR full\r\n");
            nextSetup.close();
        }
        samples.text(
                "answer once hosts have refused", readUntilClosed(refused).replaceAll("\\d+", "N"));
        Socket cancelled = connectClient("OPEN i4 k c=p,d=3000\r\n");
        Socket nextSetup = accept(host);
        readLine(nextSetup);
        reset(cancelled);
        samples.text("at a host once its client has gone", readUntilClosed(nextSetup));
        return client;
    }

    private void sampleOperatorsApi(InetSocketAddress operators, ServerSocket host)
            throws Exception {
        samples.text("GET ready", callOperatorsApi(operators, "GET /api/ready"));
        samples.text(
                "GET telemetry",
                callOperatorsApi(operators, "GET /api/telemetry")
                        .replaceAll("\\d+(?=[,}\r])", "N"));
        samples.text(
                "POST exclude",
                normalize(
                        callOperatorsApi(operators, "POST /api/exclude/" + instanceId(host)),
                        host));
        samples.text(
                "POST include",
                normalize(
                        callOperatorsApi(operators, "POST /api/include/" + instanceId(host)),
                        host));
        samples.text(
                "POST exclude of no host", callOperatorsApi(operators, "POST /api/exclude/none"));
        samples.text("GET exclude", callOperatorsApi(operators, "GET /api/exclude/none"));
        samples.text("POST ready", callOperatorsApi(operators, "POST /api/ready"));
        samples.text("GET of nothing", callOperatorsApi(operators, "GET /api/nothing"));
        samples.text("no request", readUntilClosed(connect(operators, "nonsense\r\n\r\n")));
    }
}
