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
public final class Callers {

    /**
     * Callers without a whole call at one time; the other descriptors are for answers on their way
     * out.
     */
    private static final int MOST = Router.OPERATORS * 3 / 4;

    /**
     * Of the descriptors for operators, those for callers that the loop has accepted and not handed
     * over.
     */
    private static final int AHEAD = 8;

    /** Seconds from the accept within which the whole call must have come. */
    private static final double PATIENCE = 5;

    private final EventLoop loop;
    private final Desk desk;
    private final Tally tally;

    /** Those without a whole call, oldest first. */
    private final Set<Caller> waiting = new LinkedHashSet<>();

    private final Stillness stillness;
    private EventLoop.Acceptor listening;

    public Callers(EventLoop loop, Desk desk, Tally tally) {
        this.loop = loop;
        this.desk = desk;
        this.tally = tally;
        stillness = new Stillness(loop.now());
    }

    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        beat();
        listening =
                loop.listen(
                        address,
                        new EventLoop.Admission() {
                            @Override
                            public boolean mayAccept() {
                                return makeRoom();
                            }

                            @Override
                            public int freeDescriptors() {
                                return listening == null
                                        ? 0
                                        : Router.OPERATORS - AHEAD - listening.openConnections();
                            }
                        },
                        link -> {
                            tally.count("operators' connections");
                            new Caller(link);
                        });
        return listening.localAddress();
    }

    private void beat() {
        stillness.beat(loop.now());
        loop.schedule(Stillness.BEAT, this::beat);
    }

    /**
     * Whether one more may come in, once others have made room. Only their own descriptors count,
     * which no client takes: where tunnels hold more than there is, as after a lower limit,
     * operators have to be heard all the more.
     */
    private boolean makeRoom() {
        while (waiting.size() >= MOST) {
            giveWay();
        }
        while (listening.openConnections() > Router.OPERATORS - AHEAD) {
            if (!listening.closeOldestLingering() && !giveWay()) {
                return false;
            }
        }
        return true;
    }

    private boolean giveWay() {
        Iterator<Caller> oldest = waiting.iterator();
        if (!oldest.hasNext()) {
            return false;
        }
        tally.count("operators' connections that gave way");
        Caller caller = oldest.next();
        caller.answer(HttpResponse.error(503, "others call, and no whole call has come here"));
        // Nothing that it sent is unread, so the answer is not lost by this.
        caller.link.close();
        return true;
    }

    private final class Caller implements TcpConnection.Listener {
        private final TcpConnection link;
        private final HttpRequestParser call = new HttpRequestParser();
        private final EventLoop.Timer patience;

        Caller(TcpConnection link) {
            this.link = link;
            waiting.add(this);
            patience =
                    loop.schedule(
                            PATIENCE, () -> last(HttpResponse.error(408, "no whole call came")));
            link.setListener(this);
        }

        private void answer(HttpResponse answer) {
            leaveQueue();
            if (!link.isClosed()) {
                tally.count("operators' calls answered " + answer.status());
                link.write(answer.encode());
            }
        }

        private void last(HttpResponse answer) {
            answer(answer);
            link.closeGracefully();
        }

        private void leaveQueue() {
            patience.cancel();
            waiting.remove(this);
        }

        @Override
        public void received(ByteBuffer bytes) {
            if (!waiting.contains(this)) {
                return;
            }
            try {
                if (call.parse(bytes)) {
                    leaveQueue();
                    desk.take(call, stillness.mayHaveWaited(loop.now()), this::last);
                }
            } catch (HttpRequestParser.RejectedException e) {
                last(HttpResponse.error(e.status(), e.getMessage()));
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
            leaveQueue();
            link.close();
        }
    }
}
