package embershift.transport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Datagrams that arrive as fast as they are received. Guards against issue 67 (b): one sender took
 * the turn of everything else on the loop.
 */
public class DatagramTurnTest {

    private EventLoop loop;
    private DatagramEndpoint endpoint;

    @BeforeMethod
    public void startLoop() throws IOException {
        loop = new EventLoop();
    }

    @AfterMethod
    public void stopLoop() {
        loop.stop();
    }

    @Test
    public void tasksRunWhileDatagramsArriveWithoutEnd() throws Exception {
        CompletableFuture<Void> firstReceived = new CompletableFuture<>();
        CompletableFuture<Void> taskRun = new CompletableFuture<>();
        endpoint =
                loop.openDatagramEndpoint(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        (from, content) -> {
                            // The next one has arrived before this one has been handled.
                            endpoint.send(endpoint.localAddress(), content);
                            firstReceived.complete(null);
                        });
        endpoint.send(endpoint.localAddress(), new byte[] {1});
        firstReceived.get(10, TimeUnit.SECONDS);
        loop.execute(() -> taskRun.complete(null));
        try {
            taskRun.get(10, TimeUnit.SECONDS);
        } finally {
            endpoint.close();
        }
    }
}
