package embershift.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LoopTest {

    private final BlockingQueue<String> seen = new LinkedBlockingQueue<>();
    private EventLoop loop;

    @BeforeMethod
    public void begin() throws IOException {
        loop = new EventLoop();
        seen.clear();
    }

    @AfterMethod
    public void end() {
        loop.stop();
    }

    /** Notes what a link tells. */
    private class Seen implements TcpConnection.Listener {
        @Override
        public void received(ByteBuffer bytes) {
            seen.add("received " + bytes.remaining());
        }

        @Override
        public void inputEnded() {
            seen.add("ended");
        }

        @Override
        public void connectionLost() {
            seen.add("broken");
        }
    }

    private String next() throws InterruptedException {
        return seen.poll(10, TimeUnit.SECONDS);
    }

    @Test
    public void afterAPauseOfTheProcessSocketsGoBeforeLateTimers() throws Exception {
        InetSocketAddress address =
                loop.listen(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                () -> true,
                                link -> link.setListener(new Seen()))
                        .localAddress();
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.getOutputStream().write(1);
            assertEquals(next(), "received 1");
            CountDownLatch sent = new CountDownLatch(1);
            loop.execute(
                    () -> {
                        loop.schedule(0.01, () -> seen.add("timer"));
                        double until = loop.now() + 0.2;
                        try {
                            sent.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                        while (loop.now() < until) {
                            Thread.onSpinWait();
                        }
                    });
            socket.getOutputStream().write(new byte[] {1, 2});
            sent.countDown();
            assertEquals(next(), "received 2");
            assertEquals(next(), "timer");
        }
        assertEquals(next(), "ended");
    }

    @Test
    public void whatWaitsForAPeerIsKeptBackByWhoClosesTheLinkAsItIsAboutToGoOut() throws Exception {
        int many = 64 << 20;
        InetSocketAddress address =
                loop.listen(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                () -> true,
                                link -> {
                                    link.setListener(
                                            new Seen() {
                                                @Override
                                                public void received(ByteBuffer bytes) {
                                                    link.write(ByteBuffer.allocate(many));
                                                    seen.add("waits " + link.hasPendingWrites());
                                                }

                                                @Override
                                                public void beforeFlush() {
                                                    seen.add("draining");
                                                    link.close();
                                                }
                                            });
                                })
                        .localAddress();
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(1);
            assertEquals(next(), "waits true");
            assertEquals(seen.size(), 0);
            int came = socket.getInputStream().readAllBytes().length;
            assertEquals(next(), "draining");
            assertTrue(came < many, came + " of " + many);
        }
    }

    @Test
    public void lookTakesInAtOnceWhatHasComeAndItsEnd() throws Exception {
        CountDownLatch sent = new CountDownLatch(1);
        InetSocketAddress address =
                loop.listen(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                () -> true,
                                link -> {
                                    link.setListener(new Seen());
                                    try {
                                        sent.await();
                                    } catch (InterruptedException e) {
                                        Thread.currentThread().interrupt();
                                    }
                                    link.readAvailable();
                                    seen.add("looked");
                                })
                        .localAddress();
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.getOutputStream().write(new byte[5000]);
        socket.close();
        sent.countDown();
        assertEquals(next(), "received 5000");
        assertEquals(next(), "ended");
        assertEquals(next(), "looked");
    }

    @Test
    public void timerThatIsTakenBackDoesNotRun() throws Exception {
        loop.execute(
                () -> {
                    loop.schedule(0.01, () -> seen.add("taken back")).cancel();
                    loop.schedule(0.02, () -> seen.add("kept"));
                });
        assertEquals(next(), "kept");
    }
}
