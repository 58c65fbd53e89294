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
 * The HTTP server for operators, with one request to a connection. Connections without a complete
 * request can't block other callers: their number and time are bounded, and the oldest of them is
 * closed to make room for a new one.
 */
public final class OperatorServer {

    /**
     * Connections without a complete request at one time; the other descriptors are left for
     * answers that are still being sent.
     */
    private static final int MAX_WAITING = Router.OPERATOR_DESCRIPTORS * 3 / 4;

    /**
     * How many of the descriptors for operators are left for connections that the loop has accepted
     * and not yet handed over.
     */
    private static final int ACCEPTED_AHEAD = 8;

    /** Seconds after the accept within which the complete request must have arrived. */
    private static final double REQUEST_TIMEOUT_SECONDS = 5;

    private final EventLoop loop;
    private final OperatorApi api;
    private final Tally tally;

    /** Connections without a complete request, oldest first. */
    private final Set<OperatorConnection> waiting = new LinkedHashSet<>();

    private final StallDetector stallDetector;
    private EventLoop.Acceptor listener;

    /** Creates a server that does not listen yet. */
    public OperatorServer(EventLoop loop, OperatorApi api, Tally tally) {
        this.loop = loop;
        this.api = api;
        this.tally = tally;
        stallDetector = new StallDetector(loop.now());
    }

    /** Listens at the address and returns the one that the system has bound. */
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
                        connection -> {
                            tally.count("operators' connections");
                            new OperatorConnection(connection);
                        });
        return listener.localAddress();
    }

    private void heartbeat() {
        stallDetector.heartbeat(loop.now());
        loop.schedule(StallDetector.HEARTBEAT_SECONDS, this::heartbeat);
    }

    /**
     * Makes room for one more connection if necessary; returns whether there is room. Only the
     * descriptors reserved for operators count, which clients never take: where tunnels hold more
     * descriptors than the limit allows, as after it was lowered, operators must be able to reach
     * the node all the more.
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
        OperatorConnection evicted = oldest.next();
        evicted.answer(
                HttpResponse.error(
                        503,
                        "no complete request was received, and the connection is needed for others"));
        // All that it sent has been read, so closing does not reset the connection and lose the
        // answer.
        evicted.connection.close();
        return true;
    }

    private final class OperatorConnection implements TcpConnection.Listener {
        private final TcpConnection connection;
        private final HttpRequestParser request = new HttpRequestParser();
        private final EventLoop.Timer timeout;

        OperatorConnection(TcpConnection connection) {
            this.connection = connection;
            waiting.add(this);
            timeout =
                    loop.schedule(
                            REQUEST_TIMEOUT_SECONDS,
                            () ->
                                    answerAndFinish(
                                            HttpResponse.error(
                                                    408,
                                                    "no complete request was received in time")));
            connection.setListener(this);
        }

        private void answer(HttpResponse answer) {
            stopWaiting();
            if (!connection.isClosed()) {
                tally.count("operators' calls answered " + answer.status());
                connection.write(answer.encode());
            }
        }

        private void answerAndFinish(HttpResponse answer) {
            answer(answer);
            connection.closeGracefully();
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
         * The caller has closed its sending side, which is allowed after a complete request;
         * without one, the connection is closed without an answer.
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
            connection.close();
        }
    }
}
