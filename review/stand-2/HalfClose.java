import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients end their sending after a last line, while their host is slow. */
final class HalfClose {

    private static final double USUAL_LINE_SECONDS = 0.145;
    private static final double SLOWER = 8.5;
    private static final int CLIENTS = 10;

    public static void main(String[] arguments) throws Exception {
        Rig.run(arguments, HalfClose::check);
    }

    private static boolean check(Rig rig) throws Exception {
        Rig.Discovery discovery = rig.new Discovery("discovery");
        Rig.Host host = rig.hosts(1, discovery).get(0);
        host.lineSeconds = USUAL_LINE_SECONDS;
        int clients = Rig.freePort();
        rig.startNode("n1", clients, Rig.freePort(), discovery);
        if (rig.trouble) {
            host.lineSeconds = USUAL_LINE_SECONDS * SLOWER;
            rig.note("the host runs " + SLOWER + " times slower");
        }
        AtomicInteger answered = new AtomicInteger();
        for (int i = 0; i < CLIENTS; i++) {
            talk(rig, clients, "c" + i, answered);
        }
        rig.note(answered.get() + " of " + CLIENTS + " clients got their last line back");
        return answered.get() == CLIENTS;
    }

    private static void talk(Rig rig, int port, String id, AtomicInteger answered)
            throws IOException, Rig.CannotRun {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(8000);
            Rig.say(socket, "OPEN " + id + " key-" + id + " c=estado,d=3000");
            Rig.Line up = Rig.Line.read(socket.getInputStream(), rig);
            if (up.text == null || !up.text.startsWith("UP ")) {
                throw new Rig.CannotRun("a client was answered " + up.text);
            }
            Rig.say(socket, "last line of " + id);
            socket.shutdownOutput();
            double sentAt = rig.now();
            boolean back = false;
            Rig.Line line = Rig.Line.read(socket.getInputStream(), rig);
            for (; line.text != null; line = Rig.Line.read(socket.getInputStream(), rig)) {
                rig.trace("client " + id + " got " + line.text);
                back |= line.text.equals("last line of " + id);
            }
            rig.note(String.format("client %s: %s, end after %.3f s",
                    id, back ? "its line came back" : "its line did not come back", rig.now() - sentAt));
            answered.addAndGet(back ? 1 : 0);
        }
    }
}
