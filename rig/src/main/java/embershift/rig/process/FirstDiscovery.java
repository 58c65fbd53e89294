package embershift.rig.process;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/** A discovery as a node may find it at its start, in this process. */
public final class FirstDiscovery implements AutoCloseable {

    /** How it behaves, to every call. */
    public enum Kind {
        SOUND,
        /** Nothing listens there. */
        REFUSED,
        /** It takes connections and calls, and says nothing. */
        SILENT,
        /** It answers late. */
        SLOW,
        /** The first half of an answer comes, then nothing more; the connection stays. */
        HALF,
        /** An answer comes that never ends. */
        ENDLESS
    }

    private static final double SLOW_S = 8;
    private static final double PIECE_S = 0.05;
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ";

    private final Kind kind;
    private final Supplier<String> page;
    private final ServerSocket server;
    private final int port;
    private final Set<Socket> callers = ConcurrentHashMap.newKeySet();

    /** {@code page}: the list that it tells where it tells one. */
    public FirstDiscovery(Kind kind, Supplier<String> page) throws IOException {
        this.kind = kind;
        this.page = page;
        server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        port = server.getLocalPort();
        if (kind == Kind.REFUSED) {
            server.close();
        } else {
            HostsStand.accept(server, this::serve);
        }
    }

    public int port() {
        return port;
    }

    private void serve(Socket socket) throws IOException {
        callers.add(socket);
        try {
            InputStream in = socket.getInputStream();
            for (int said = in.read(new byte[8192]); said >= 0; said = in.read(new byte[8192])) {
                answer(socket);
            }
        } finally {
            callers.remove(socket);
        }
    }

    private void answer(Socket socket) throws IOException {
        String text = page.get();
        switch (kind) {
            case SOUND, SLOW -> {
                if (kind == Kind.SLOW) {
                    Instances.sleep(SLOW_S);
                }
                say(socket, HEAD + text.length() + "\r\n\r\n" + text);
            }
            case HALF ->
                    say(
                            socket,
                            HEAD
                                    + text.length()
                                    + "\r\n\r\n"
                                    + text.substring(0, text.length() / 2));
            case ENDLESS -> {
                say(socket, HEAD + Integer.MAX_VALUE + "\r\n\r\n" + text);
                while (!server.isClosed()) {
                    Instances.sleep(PIECE_S);
                    say(socket, " ".repeat(100));
                }
            }
            default -> {}
        }
    }

    private static void say(Socket socket, String words) throws IOException {
        socket.getOutputStream().write(words.getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket caller : callers) {
            caller.close();
        }
    }
}
