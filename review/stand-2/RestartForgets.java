import java.util.LinkedHashMap;
import java.util.Map;

/** A node is restarted as planned after all nodes have taken a host out by a revision. */
final class RestartForgets {

    public static void main(String[] arguments) throws Exception {
        Rig.run(arguments, RestartForgets::check);
    }

    private static boolean check(Rig rig) throws Exception {
        Rig.Host out = rig.new Host("h1");
        Rig.Host other = rig.new Host("h2");
        Rig.Host third = rig.new Host("h3");
        Rig.Discovery discovery = rig.new Discovery("discovery");
        discovery.list("h1", out.port(), "in_service");
        discovery.list("h2", other.port(), "in_service");
        discovery.list("h3", third.port(), "in_service");
        Map<String, Integer> ports = new LinkedHashMap<>();
        for (String name : new String[] {"i1", "i2", "i3"}) {
            ports.put(name, discovery.port());
        }
        Rig.Instances instances = rig.new Instances(ports);
        int clients = Rig.freePort();
        int operators = Rig.freePort();
        String command =
                "exec java -jar door/target/embershift-door.jar serve --configuration "
                        + rig.write(
                                "n1.json",
                                Rig.configuration(
                                        "n1", clients, operators, discovery.port(), discovery.whole()))
                        + " --door "
                        + rig.write("door.toml", instances.toml());
        Map<String, String> variables = Map.of("TMPDIR", rig.temporary.toString());
        Process node = rig.start("n1", command, variables);
        rig.await("n1 is ready", 20, () -> Rig.call("GET", operators, "/api/ready") == 200);
        rig.openUntil(rig.now() + 4, clients, 10, "a");
        if (out.setupsAfter(0) == 0) {
            throw new Rig.CannotRun("the host that is to go out got no tunnel before");
        }
        if (!instances.fleet("revise", "out/h1=worn", "--now", "--at", instances.all()).done) {
            throw new Rig.CannotRun("the revision could not be made");
        }
        for (int tries = 0; !instances.value("rollout/floor").equals("1"); Rig.sleep(0.3)) {
            if (++tries > 20) {
                throw new Rig.CannotRun("the node does not go by the revision");
            }
        }
        double outAt = rig.now();
        rig.openUntil(rig.now() + 4, clients, 10, "b");
        if (out.setupsAfter(outAt) > 0) {
            throw new Rig.CannotRun("the host is used although the floor is at its revision");
        }
        if (rig.trouble) {
            rig.signal(node, "TERM");
            rig.openUntil(rig.now() + 0.4, clients, 10, "c");
            rig.note("n1 ended with status " + node.waitFor());
            rig.start("n1-again", command, variables);
            rig.await("n1 answers PING with PONG", 20, () -> pong(clients));
            rig.note("/api/ready: " + Rig.call("GET", operators, "/api/ready"));
        }
        rig.openUntil(rig.now() + 10, clients, 20, "d");
        long again = out.setupsAfter(outAt);
        rig.note("setups sent to h1 while the revision takes it out: " + again);
        rig.note("setups sent to h2 and h3: " + (other.setupsAfter(outAt) + third.setupsAfter(outAt)));
        return again == 0;
    }

    private static boolean pong(int port) {
        try (java.net.Socket socket = new java.net.Socket("127.0.0.1", port)) {
            socket.setSoTimeout(500);
            Rig.say(socket, "PING");
            byte[] answer = socket.getInputStream().readNBytes(4);
            return new String(answer, java.nio.charset.StandardCharsets.US_ASCII).equals("PONG");
        } catch (java.io.IOException e) {
            return false;
        }
    }
}
