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
public final class Callers {

    /**
     * Callers without a whole call at one time; the other descriptors are for answers on their way
     * out.
     */
    private static final int MOST = Router.OPERATOR_DESCRIPTORS * 3 / 4;

    /**
     * Of the descriptors for operators, those for callers that the loop has accepted and not handed
     * over.
     */
    private static final int AHEAD = 8;

    /** Seconds from the accept within which the whole call must have come. */
    private static final double PATIENCE = 5;

    private final Loop loop;
    private final Desk desk;
    private final Tally tally;

    /** Those without a whole call, oldest first. */
    private final Set<Caller> waiting = new LinkedHashSet<>();

    private final Stillness stillness;
    private Loop.Listening listening;

    public Callers(Loop loop, Desk desk, Tally tally) {
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
                        new Loop.Admission() {
                            @Override
                            public boolean mayAccept() {
                                return makeRoom();
                            }

                            @Override
                            public int free() {
                                return listening == null
                                        ? 0
                                        : Router.OPERATOR_DESCRIPTORS - AHEAD - listening.open();
                            }
                        },
                        link -> {
                            tally.count("operators' connections");
                            new Caller(link);
                        });
        return listening.address();
    }

    private void beat() {
        stillness.beat(loop.now());
        loop.after(Stillness.BEAT, this::beat);
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
        while (listening.open() > Router.OPERATOR_DESCRIPTORS - AHEAD) {
            if (!listening.closeLingering() && !giveWay()) {
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
        caller.answer(HttpAnswer.error(503, "others call, and no whole call has come here"));
        // Nothing that it sent is unread, so the answer is not lost by this.
        caller.link.close();
        return true;
    }

    private final class Caller implements Link.Events {
        private final Link link;
        private final HttpRequest call = new HttpRequest();
        private final Loop.Timer patience;

        Caller(Link link) {
            this.link = link;
            waiting.add(this);
            patience =
                    loop.after(PATIENCE, () -> last(HttpAnswer.error(408, "no whole call came")));
            link.events(this);
        }

        private void answer(HttpAnswer answer) {
            leaveQueue();
            if (!link.closed()) {
                tally.count("operators' calls answered " + answer.status());
                link.write(answer.bytes());
            }
        }

        private void last(HttpAnswer answer) {
            answer(answer);
            link.finish();
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
                if (call.read(bytes)) {
                    leaveQueue();
                    desk.take(call, stillness.mayHaveWaited(loop.now()), this::last);
                }
            } catch (HttpRequest.Refused e) {
                last(HttpAnswer.error(e.status(), e.getMessage()));
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
            leaveQueue();
            link.close();
        }
    }
}
