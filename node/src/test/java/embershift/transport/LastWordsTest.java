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

/** What a peer said before its connection broke. */
public class LastWordsTest extends LoopbackTestBase {

    private final BlockingQueue<String> seen = new LinkedBlockingQueue<>();
    private TcpConnection host;

    private static byte[] text(ByteBuffer bytes) {
        byte[] all = new byte[bytes.remaining()];
        bytes.get(all);
        return all;
    }

    /**
     * A host says its last words and resets, as a close over unread bytes does, in the moment in
     * which a line for it is read from the other side: writing that finds the reset before the
     * words are read.
     */
    @Test
    public void lastWordsAreHeardThoughAWriteFoundTheResetThatFollowsThem() throws Exception {
        CompletableFuture<TcpConnection> taken = new CompletableFuture<>();
        EventLoop.Acceptor listening =
                loop.listen(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        () -> true,
                        taken::complete);
        Socket peer = connect(listening.localAddress(), "");
        host = taken.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        callOnLoop(
                () -> {
                    host.setListener(
                            new TcpConnection.Listener() {
                                @Override
                                public void received(ByteBuffer bytes) {
                                    seen.add(new String(text(bytes), StandardCharsets.ISO_8859_1));
                                }

                                @Override
                                public void inputEnded() {
                                    seen.add("ended");
                                }

                                @Override
                                public void connectionLost() {
                                    seen.add("broken");
                                }
                            });
                    return null;
                });
        EventLoop.Acceptor other =
                loop.listen(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        () -> true,
                        link ->
                                link.setListener(
                                        new TcpConnection.Listener() {
                                            @Override
                                            public void received(ByteBuffer bytes) {
                                                try {
                                                    send(peer, "BYE\r\n");
                                                    reset(peer);
                                                } catch (IOException e) {
                                                    seen.add(e.toString());
                                                }
                                                host.write(bytes);
                                            }

                                            @Override
                                            public void inputEnded() {
                                                // The test is over.
                                            }

                                            @Override
                                            public void connectionLost() {
                                                // The test is over.
                                            }
                                        }));
        connect(other.localAddress(), "line\r\n");
        assertEquals(seen.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS), "BYE\r\n");
        assertEquals(seen.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS), "broken");
    }
}
