package embershift.transport;

import static org.testng.Assert.assertEquals;

import embershift.LoopbackTestBase;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Data that a peer sent before its connection was reset is still delivered. */
public class DataBeforeResetTest extends LoopbackTestBase {

    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private TcpConnection host;

    private static byte[] content(ByteBuffer bytes) {
        byte[] all = new byte[bytes.remaining()];
        bytes.get(all);
        return all;
    }

    /**
     * Guards against losing a host's final line. The host sends it and resets the connection, as a
     * close with unread input does, while a line for the host is being read from the other side.
     * The write of that line then detects the reset before the final line is read.
     */
    @Test
    public void dataSentBeforeAResetIsDeliveredWhenAWriteDetectsTheReset() throws Exception {
        CompletableFuture<TcpConnection> accepted = new CompletableFuture<>();
        EventLoop.Acceptor acceptor =
                loop.listen(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        () -> true,
                        accepted::complete);
        Socket peer = connect(acceptor.localAddress(), "");
        host = accepted.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        callOnLoop(
                () -> {
                    host.setListener(
                            new TcpConnection.Listener() {
                                @Override
                                public void received(ByteBuffer bytes) {
                                    events.add(
                                            new String(
                                                    content(bytes), StandardCharsets.ISO_8859_1));
                                }

                                @Override
                                public void inputEnded() {
                                    events.add("inputEnded");
                                }

                                @Override
                                public void connectionLost() {
                                    events.add("connectionLost");
                                }
                            });
                    return null;
                });
        EventLoop.Acceptor otherAcceptor =
                loop.listen(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        () -> true,
                        connection ->
                                connection.setListener(
                                        new TcpConnection.Listener() {
                                            @Override
                                            public void received(ByteBuffer bytes) {
                                                try {
                                                    send(peer, "BYE\r\n");
                                                    reset(peer);
                                                } catch (IOException e) {
                                                    events.add(e.toString());
                                                }
                                                host.write(bytes);
                                            }

                                            @Override
                                            public void inputEnded() {
                                                // The test has ended.
                                            }

                                            @Override
                                            public void connectionLost() {
                                                // The test has ended.
                                            }
                                        }));
        connect(otherAcceptor.localAddress(), "line\r\n");
        assertEquals(events.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS), "BYE\r\n");
        assertEquals(events.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS), "connectionLost");
    }
}
