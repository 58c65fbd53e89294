package embershift.operations;

import embershift.protocol.HttpRequestParser;
import embershift.protocol.HttpResponse;
import embershift.routing.Router;
import embershift.routing.Tally;
import embershift.transport.EventLoop;
import embershift.transport.TcpConnection;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Listens for operators: one call to a connection. Who holds a connection without a whole call
 * keeps nobody out: their number and time are bounded, and the oldest of them gives way to the next
 * that comes.
 */
public final class OperatorServer {

    /**
     * Callers without a whole call at one time; the other descriptors are for answers on their way
     * out.
     */
    private static final int MAX_WAITING = Router.OPERATOR_DESCRIPTORS * 3 / 4;

    /**
     * Of the descriptors for operators, those for callers that the loop has accepted and not handed
     * over.
     */
    private static final int ACCEPTED_AHEAD = 8;

    /** Seconds from the accept within which the whole call must have come. */
    private static final double REQUEST_TIMEOUT_SECONDS = 5;

    private final EventLoop loop;
    private final OperatorApi api;
    private final Tally tally;

    /** Those without a whole call, oldest first. */
    private final Set<OperatorConnection> waiting = new LinkedHashSet<>();

    private final StallDetector stallDetector;
    private EventLoop.Acceptor listener;

    public OperatorServer(EventLoop loop, OperatorApi api, Tally tally) {
        this.loop = loop;
        this.api = api;
        this.tally = tally;
        stallDetector = new StallDetector(loop.now());
    }

    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        heartbeat();
        listener =
                loop.listen(
                        address,
                        new EventLoop.Admission() {
                            @Override
                            public boolean mayAccept() {
                                return makeRoom();
                            }

                            @Override
                            public int freeDescriptors() {
                                return listener == null
                                        ? 0
                                        : Router.OPERATOR_DESCRIPTORS
                                                - ACCEPTED_AHEAD
                                                - listener.openConnections();
                            }
                        },
                        link -> {
                            tally.count("operators' connections");
                            new OperatorConnection(link);
                        });
        return listener.localAddress();
    }

    private void heartbeat() {
        stallDetector.heartbeat(loop.now());
        loop.schedule(StallDetector.HEARTBEAT_SECONDS, this::heartbeat);
    }

    /**
     * Whether one more may come in, once others have made room. Only their own descriptors count,
     * which no client takes: where tunnels hold more than there is, as after a lower limit,
     * operators have to be heard all the more.
     */
    private boolean makeRoom() {
        while (waiting.size() >= MAX_WAITING) {
            evictOldest();
        }
        while (listener.openConnections() > Router.OPERATOR_DESCRIPTORS - ACCEPTED_AHEAD) {
            if (!listener.closeOldestLingering() && !evictOldest()) {
                return false;
            }
        }
        return true;
    }

    private boolean evictOldest() {
        Iterator<OperatorConnection> oldest = waiting.iterator();
        if (!oldest.hasNext()) {
            return false;
        }
        tally.count("operators' connections that gave way");
        OperatorConnection caller = oldest.next();
        caller.answer(HttpResponse.error(503, "others call, and no whole call has come here"));
        // Nothing that it sent is unread, so the answer is not lost by this.
        caller.link.close();
        return true;
    }

    private final class OperatorConnection implements TcpConnection.Listener {
        private final TcpConnection link;
        private final HttpRequestParser request = new HttpRequestParser();
        private final EventLoop.Timer timeout;

        OperatorConnection(TcpConnection link) {
            this.link = link;
            waiting.add(this);
            timeout =
                    loop.schedule(
                            REQUEST_TIMEOUT_SECONDS,
                            () -> answerAndFinish(HttpResponse.error(408, "no whole call came")));
            link.setListener(this);
        }

        private void answer(HttpResponse answer) {
            stopWaiting();
            if (!link.isClosed()) {
                tally.count("operators' calls answered " + answer.status());
                link.write(answer.encode());
            }
        }

        private void answerAndFinish(HttpResponse answer) {
            answer(answer);
            link.closeGracefully();
        }

        private void stopWaiting() {
            timeout.cancel();
            waiting.remove(this);
        }

        @Override
        public void received(ByteBuffer bytes) {
            if (!waiting.contains(this)) {
                return;
            }
            try {
                if (request.parse(bytes)) {
                    stopWaiting();
                    api.handle(
                            request, stallDetector.mayBeStale(loop.now()), this::answerAndFinish);
                }
            } catch (HttpRequestParser.RejectedException e) {
                answerAndFinish(HttpResponse.error(e.status(), e.getMessage()));
            }
        }

        /**
         * A caller may end its sending once its call is out; one without a whole call hears nothing
         * more.
         */
        @Override
        public void inputEnded() {
            if (waiting.contains(this)) {
                connectionLost();
            }
        }

        @Override
        public void connectionLost() {
            stopWaiting();
            link.close();
        }
    }
}
