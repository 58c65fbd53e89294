package embershift.operations;

import embershift.protocol.HttpAnswer;
import embershift.protocol.HttpRequest;
import embershift.routing.Router;
import embershift.routing.Tally;
import embershift.transport.Link;
import embershift.transport.Loop;
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
    private static final int MAX_WAITING = Router.OPERATORS * 3 / 4;

    /**
     * How many of the descriptors for operators are left for connections that the loop has accepted
     * and not yet handed over.
     */
    private static final int ACCEPTED_AHEAD = 8;

    /** Seconds after the accept within which the complete request must have arrived. */
    private static final double REQUEST_TIMEOUT_SECONDS = 5;

    private final Loop loop;
    private final OperatorApi api;
    private final Tally tally;

    /** Connections without a complete request, oldest first. */
    private final Set<OperatorConnection> waiting = new LinkedHashSet<>();

    private final StallDetector stallDetector;
    private Loop.Listening listener;

    public OperatorServer(Loop loop, OperatorApi api, Tally tally) {
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
                        new Loop.Admission() {
                            @Override
                            public boolean mayAccept() {
                                return makeRoom();
                            }

                            @Override
                            public int free() {
                                return listener == null
                                        ? 0
                                        : Router.OPERATORS - ACCEPTED_AHEAD - listener.open();
                            }
                        },
                        link -> {
                            tally.count("operators' connections");
                            new OperatorConnection(link);
                        });
        return listener.address();
    }

    private void heartbeat() {
        stallDetector.heartbeat(loop.now());
        loop.after(StallDetector.HEARTBEAT_SECONDS, this::heartbeat);
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
        while (listener.open() > Router.OPERATORS - ACCEPTED_AHEAD) {
            if (!listener.closeLingering() && !evictOldest()) {
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
        OperatorConnection connection = oldest.next();
        connection.answer(HttpAnswer.error(503, "others call, and no whole call has come here"));
        // All that it sent has been read, so closing does not reset the connection and lose the
        // answer.
        connection.link.close();
        return true;
    }

    private final class OperatorConnection implements Link.Events {
        private final Link link;
        private final HttpRequest request = new HttpRequest();
        private final Loop.Timer timeout;

        OperatorConnection(Link link) {
            this.link = link;
            waiting.add(this);
            timeout =
                    loop.after(
                            REQUEST_TIMEOUT_SECONDS,
                            () -> answerAndFinish(HttpAnswer.error(408, "no whole call came")));
            link.events(this);
        }

        private void answer(HttpAnswer answer) {
            stopWaiting();
            if (!link.closed()) {
                tally.count("operators' calls answered " + answer.status());
                link.write(answer.bytes());
            }
        }

        private void answerAndFinish(HttpAnswer answer) {
            answer(answer);
            link.finish();
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
                if (request.read(bytes)) {
                    stopWaiting();
                    api.handle(
                            request, stallDetector.mayBeStale(loop.now()), this::answerAndFinish);
                }
            } catch (HttpRequest.Refused e) {
                answerAndFinish(HttpAnswer.error(e.status(), e.getMessage()));
            }
        }

        /**
         * The caller has closed its sending side, which is allowed after a complete request;
         * without one, the connection is closed without an answer.
         */
        @Override
        public void ended() {
            if (waiting.contains(this)) {
                broken();
            }
        }

        @Override
        public void broken() {
            stopWaiting();
            link.close();
        }
    }
}
