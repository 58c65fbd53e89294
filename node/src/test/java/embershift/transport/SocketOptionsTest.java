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

/**
 * Socket options of the connections that the event loop opens and accepts: with TCP_NODELAY, small
 * writes do not wait for an acknowledgement.
 */
public class SocketOptionsTest extends LoopbackTestBase {

    /**
     * Reads the option from the socket, as an option given to the library may not have reached it.
     */
    private static boolean isNoDelaySet(TcpConnection connection)
            throws ReflectiveOperationException, IOException {
        Field field = TcpConnection.class.getDeclaredField("connection");
        field.setAccessible(true);
        return ((StreamConnection) field.get(connection)).getOption(Options.TCP_NODELAY);
    }

    private static final class IgnoringListener implements TcpConnection.Listener {
        private final CompletableFuture<Void> connected = new CompletableFuture<>();

        @Override
        public void connected() {
            connected.complete(null);
        }

        @Override
        public void received(ByteBuffer bytes) {
            // No data is sent in this test.
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
    public void openedAndAcceptedConnectionsHaveTcpNoDelay() throws Exception {
        for (boolean shared : new boolean[] {false, true}) {
            CompletableFuture<TcpConnection> accepted = new CompletableFuture<>();
            EventLoop.Acceptor acceptor =
                    loop.listen(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                            shared,
                            () -> true,
                            accepted::complete);
            connect(acceptor.localAddress(), "");
            TcpConnection connection = accepted.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            assertTrue(callOnLoop(() -> isNoDelaySet(connection)));
        }
        ServerSocket host = openServerSocket();
        IgnoringListener listener = new IgnoringListener();
        TcpConnection outbound =
                callOnLoop(
                        () ->
                                loop.connect(
                                        (InetSocketAddress) host.getLocalSocketAddress(),
                                        listener));
        listener.connected.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertTrue(callOnLoop(() -> isNoDelaySet(outbound)));
    }
}
