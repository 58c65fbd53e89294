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
 * Listens for operators: one call to a connection. Who holds a connection without a whole call
 * keeps nobody out: their number and time are bounded, and the oldest of them gives way to the next
 * that comes.
 */
public final class OperatorServer {

    /**
     * Callers without a whole call at one time; the other descriptors are for answers on their way
     * out.
     */
    private static final int MAX_WAITING = Router.OPERATORS * 3 / 4;

    /**
     * Of the descriptors for operators, those for callers that the loop has accepted and not handed
     * over.
     */
    private static final int ACCEPTED_AHEAD = 8;

    /** Seconds from the accept within which the whole call must have come. */
    private static final double REQUEST_TIMEOUT_SECONDS = 5;

    private final Loop loop;
    private final OperatorApi api;
    private final Tally tally;

    /** Those without a whole call, oldest first. */
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
     * Whether one more may come in, once others have made room. Only their own descriptors count,
     * which no client takes: where tunnels hold more than there is, as after a lower limit,
     * operators have to be heard all the more.
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
        OperatorConnection caller = oldest.next();
        caller.answer(HttpAnswer.error(503, "others call, and no whole call has come here"));
        // Nothing that it sent is unread, so the answer is not lost by this.
        caller.link.close();
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
         * A caller may end its sending once its call is out; one without a whole call hears nothing
         * more.
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
