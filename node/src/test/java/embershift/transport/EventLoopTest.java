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

public class EventLoopTest {

    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private EventLoop loop;

    @BeforeMethod
    public void begin() throws IOException {
        loop = new EventLoop();
        events.clear();
    }

    @AfterMethod
    public void end() {
        loop.stop();
    }

    /** Records the callbacks of a connection. */
    private class RecordingListener implements TcpConnection.Listener {
        @Override
        public void received(ByteBuffer bytes) {
            events.add("received " + bytes.remaining());
        }

        @Override
        public void inputEnded() {
            events.add("inputEnded");
        }

        @Override
        public void connectionLost() {
            events.add("connectionLost");
        }
    }

    private String nextEvent() throws InterruptedException {
        return events.poll(10, TimeUnit.SECONDS);
    }

    @Test
    public void socketsAreServedBeforeLateTimersAfterAPauseOfTheProcess() throws Exception {
        InetSocketAddress address =
                loop.listen(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                () -> true,
                                connection -> connection.setListener(new RecordingListener()))
                        .localAddress();
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.getOutputStream().write(1);
            assertEquals(nextEvent(), "received 1");
            CountDownLatch sent = new CountDownLatch(1);
            loop.execute(
                    () -> {
                        loop.schedule(0.01, () -> events.add("timer"));
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
            assertEquals(nextEvent(), "received 2");
            assertEquals(nextEvent(), "timer");
        }
        assertEquals(nextEvent(), "inputEnded");
    }

    @Test
    public void pendingOutputIsDiscardedWhenTheConnectionIsClosedBeforeTheFlush() throws Exception {
        int size = 64 << 20;
        InetSocketAddress address =
                loop.listen(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                () -> true,
                                connection -> {
                                    connection.setListener(
                                            new RecordingListener() {
                                                @Override
                                                public void received(ByteBuffer bytes) {
                                                    connection.write(ByteBuffer.allocate(size));
                                                    events.add(
                                                            "waits "
                                                                    + connection
                                                                            .hasPendingWrites());
                                                }

                                                @Override
                                                public void beforeFlush() {
                                                    events.add("beforeFlush");
                                                    connection.close();
                                                }
                                            });
                                })
                        .localAddress();
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(1);
            assertEquals(nextEvent(), "waits true");
            assertEquals(events.size(), 0);
            int received = socket.getInputStream().readAllBytes().length;
            assertEquals(nextEvent(), "beforeFlush");
            assertTrue(received < size, received + " of " + size);
        }
    }

    @Test
    public void readAvailableDeliversReceivedDataAndTheEndOfInputImmediately() throws Exception {
        CountDownLatch sent = new CountDownLatch(1);
        InetSocketAddress address =
                loop.listen(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                () -> true,
                                connection -> {
                                    connection.setListener(new RecordingListener());
                                    try {
                                        sent.await();
                                    } catch (InterruptedException e) {
                                        Thread.currentThread().interrupt();
                                    }
                                    connection.readAvailable();
                                    events.add("returned");
                                })
                        .localAddress();
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.getOutputStream().write(new byte[5000]);
        socket.close();
        sent.countDown();
        assertEquals(nextEvent(), "received 5000");
        assertEquals(nextEvent(), "inputEnded");
        assertEquals(nextEvent(), "returned");
    }

    @Test
    public void cancelledTimerDoesNotRun() throws Exception {
        loop.execute(
                () -> {
                    loop.schedule(0.01, () -> events.add("cancelled")).cancel();
                    loop.schedule(0.02, () -> events.add("kept"));
                });
        assertEquals(nextEvent(), "kept");
    }
}
