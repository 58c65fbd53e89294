package embershift;

import embershift.transport.Loop;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;

/** For tests that play a node's clients, hosts and other callers on loopback: a loop, and sockets that end with each. */
public abstract class Loopback {

    protected static final int PATIENCE_MS = 10_000;

    protected Loop loop;
    protected final List<AutoCloseable> open = new ArrayList<>();

    @BeforeMethod
    public void beginLoop() throws IOException {
        loop = new Loop();
    }

    @AfterMethod
    public void endLoop() throws Exception {
        loop.stop();
        for (AutoCloseable each : open) {
            each.close();
        }
        open.clear();
    }

    protected ServerSocket listening() throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        server.setSoTimeout(PATIENCE_MS);
        open.add(server);
        return server;
    }

    /** Does something on the loop's thread, and waits until it is done. */
    protected <T> T on(Callable<T> step) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                done.complete(step.call());
            } catch (Exception e) {
                done.completeExceptionally(e);
            }
        });
        return done.get();
    }

    protected Socket talk(InetSocketAddress to, String words) throws IOException {
        Socket socket = patient(new Socket(to.getAddress(), to.getPort()));
        say(socket, words);
        return socket;
    }

    protected Socket accept(ServerSocket server) throws IOException {
        return patient(server.accept());
    }

    private Socket patient(Socket socket) throws IOException {
        socket.setSoTimeout(PATIENCE_MS);
        open.add(socket);
        return socket;
    }

    protected static void say(Socket socket, String words) throws IOException {
        socket.getOutputStream().write(words.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The next line without its end; null at the end of the stream. */
    protected static String hear(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return line.toString().replace("\r", "");
            }
            line.append((char) b);
        }
        return line.length() == 0 ? null : line.toString();
    }
}
