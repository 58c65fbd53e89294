import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;

/** Clients end their sending after a last line, while one of four hosts is slow. */
final class HalfClose {

    private static final double USUAL_LINE_SECONDS = 0.145;
    private static final double SLOWER = 8.5;
    private static final double SLOW_SECONDS = 15;
    private static final double CLIENTS_PER_SECOND = 8;

    public static void main(String[] arguments) throws Exception {
        Rig.run(arguments, HalfClose::check);
    }

    private static boolean check(Rig rig) throws Exception {
        Rig.Discovery discovery = rig.new Discovery("discovery");
        List<Rig.Host> hosts = rig.hosts(4, discovery);
        hosts.forEach(host -> host.lineSeconds = USUAL_LINE_SECONDS);
        int clients = Rig.freePort();
        rig.startNode("n1", clients, Rig.freePort(), discovery);
        double slowUntil = rig.now() + SLOW_SECONDS;
        if (rig.trouble) {
            hosts.get(0).lineSeconds = USUAL_LINE_SECONDS * SLOWER;
            rig.note("h1 runs " + SLOWER + " times slower");
        }
        List<Future<String>> ends = new ArrayList<>();
        for (int i = 0; rig.now() < slowUntil; i++) {
            String id = "c" + i;
            ends.add(Rig.THREADS.submit(() -> talk(rig, clients, id)));
            Rig.sleep(1 / CLIENTS_PER_SECOND);
        }
        hosts.get(0).lineSeconds = USUAL_LINE_SECONDS;
        int opened = 0;
        int lost = 0;
        for (Future<String> end : ends) {
            opened += end.get().isEmpty() ? 0 : 1;
            lost += end.get().equals("lost") ? 1 : 0;
        }
        rig.note(opened + " tunnels were opened, " + hosts.get(0).setupsAfter(0) + " of them at h1; "
                + lost + " clients did not get their last line back");
        if (opened == 0) {
            throw new Rig.CannotRun("no tunnel was opened");
        }
        return lost == 0;
    }

    /** Opens a tunnel, sends one line and half-closes; returns lost or back, or nothing if it was not opened. */
    private static String talk(Rig rig, int port, String id) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(8000);
            Rig.say(socket, "OPEN " + id + " key-" + id + " c=estado,d=3000");
            Rig.Line line = Rig.Line.read(socket.getInputStream(), rig);
            rig.trace("client " + id + " was answered " + line.text);
            if (line.text == null || !line.text.startsWith("UP ")) {
                return "";
            }
            String receipt = line.text;
            Rig.say(socket, "last line of " + id);
            socket.shutdownOutput();
            double sentAt = rig.now();
            String end = "lost";
            while (line.text != null) {
                line = Rig.Line.read(socket.getInputStream(), rig);
                rig.trace("client " + id + " got " + line.text);
                // A client that is told to move comes again and says its line there.
                end = ("last line of " + id).equals(line.text) || "MOVE".equals(line.text) ? "back" : end;
            }
            if (end.equals("lost")) {
                rig.note(String.format("%s, %s: the line did not come back, end after %.3f s",
                        id, receipt, rig.now() - sentAt));
            }
            return end;
        }
    }
}
