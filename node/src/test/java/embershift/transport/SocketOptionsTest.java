package embershift.transport;

import static org.testng.Assert.assertTrue;

import embershift.LoopbackTestBase;
import java.io.IOException;
import java.lang.reflect.Field;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import org.xnio.Options;
import org.xnio.StreamConnection;

/** What the system is told of each socket that the loop opens or accepts. */
public class SocketOptionsTest extends LoopbackTestBase {

    /** Asks the system, not the program: what a library was told need not have got there. */
    private static boolean sendsAtOnce(TcpConnection link)
            throws ReflectiveOperationException, IOException {
        Field connection = TcpConnection.class.getDeclaredField("connection");
        connection.setAccessible(true);
        return ((StreamConnection) connection.get(link)).getOption(Options.TCP_NODELAY);
    }

    private static final class Deaf implements TcpConnection.Listener {
        private final CompletableFuture<Void> up = new CompletableFuture<>();

        @Override
        public void connected() {
            up.complete(null);
        }

        @Override
        public void received(ByteBuffer bytes) {
            // Nothing is said here.
        }

        @Override
        public void inputEnded() {
            // As above.
        }

        @Override
        public void connectionLost() {
            // As above.
        }
    }

    @Test
    public void smallWritesOnWhatIsOpenedAndAcceptedWaitForNoAcknowledgement() throws Exception {
        for (boolean shared : new boolean[] {false, true}) {
            CompletableFuture<TcpConnection> accepted = new CompletableFuture<>();
            EventLoop.Acceptor listening =
                    loop.listen(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                            shared,
                            () -> true,
                            accepted::complete);
            connect(listening.localAddress(), "");
            TcpConnection link = accepted.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            assertTrue(callOnLoop(() -> sendsAtOnce(link)));
        }
        ServerSocket host = openServerSocket();
        Deaf events = new Deaf();
        TcpConnection opened =
                callOnLoop(
                        () ->
                                loop.connect(
                                        (InetSocketAddress) host.getLocalSocketAddress(), events));
        events.up.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertTrue(callOnLoop(() -> sendsAtOnce(opened)));
    }
}
