package embershift.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.door.JsonMessages;
import embershift.protocol.HttpResponseParser;
import embershift.protocol.MalformedDataException;
import embershift.protocol.WatchSchedule;
import embershift.transport.EventLoop;
import embershift.transport.TcpConnection;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * A watch at discovery: one call after the other, each waiting for news there, at the times of
 * {@link WatchSchedule}. Keeps the whole list; on a loop.
 */
final class Discovery implements TcpConnection.Listener {

    /** Hears of each answer. {@code anew}: the generations before it are those of another. */
    interface Listener {
        void heard(long generation, Map<String, String> whole, boolean anew);
    }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Listener listener;
    private final TreeMap<String, String> entries = new TreeMap<>();
    private final WatchSchedule schedule = new WatchSchedule(true, new Random()::nextDouble);
    private long generation = -1;
    private TcpConnection link;
    private HttpResponseParser reply;
    private EventLoop.Timer timer;
    private boolean closed;

    /** Whether this connection has brought an answer: from then on its versions only grow. */
    private boolean answeredHere;

    private double heardAt = Double.NEGATIVE_INFINITY;
    private long calls;

    Discovery(EventLoop loop, InetSocketAddress address, Listener listener) {
        this.loop = loop;
        this.address = address;
        this.listener = listener;
        call();
    }

    /** When an answer came last. */
    double heardAt() {
        return heardAt;
    }

    Map<String, String> entries() {
        return entries;
    }

    long calls() {
        return calls;
    }

    private void call() {
        calls++;
        reply = new HttpResponseParser();
        schedule.callStarted(loop.now(), link != null);
        follow();
        if (link == null) {
            answeredHere = false;
            link = loop.connect(address, this);
        } else {
            send();
        }
    }

    /** Looks at the schedule again when something is due. */
    private void follow() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
        if (!closed) {
            timer =
                    loop.schedule(
                            Math.max(0, schedule.nextActionAt() - loop.now()),
                            schedule.isCalling() ? this::failed : this::call);
        }
    }

    private void send() {
        String query =
                generation < 0
                        ? ""
                        : "?after=" + generation + "&wait_ms=" + (long) (schedule.maxWait() * 1000);
        link.write(
                ByteBuffer.wrap(
                        ("GET /api/targets"
                                        + query
                                        + " HTTP/1.1\r\nHost: "
                                        + address.getAddress().getHostAddress()
                                        + ":"
                                        + address.getPort()
                                        + "\r\nAccept: application/json\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII)));
    }

    private void failed() {
        hangUp();
        if (schedule.isCalling()) {
            schedule.callFailed(loop.now());
            goOn();
        }
    }

    private void hangUp() {
        if (link != null) {
            link.close();
            link = null;
        }
    }

    private void answered() {
        if (!reply.keepAlive()) {
            hangUp();
        }
        ObjectNode page =
                reply.status() == 200 ? JsonMessages.parse(reply.body()).orElse(null) : null;
        if (page == null
                || !page.path("generation").isNumber()
                || !page.path("instances").isArray()) {
            failed();
            return;
        }
        heardAt = loop.now();
        long told = page.path("generation").asLong();
        boolean whole = page.path("reset").asBoolean() || generation < 0;
        boolean anew = told < generation;
        boolean sameAgain =
                told == generation
                        && !page.path("instances").isEmpty()
                        && schedule.isEarly(loop.now());
        if (answeredHere && (anew || sameAgain)) {
            // An earlier answer that came once more, whole perhaps: what it lists as ready may have
            // been told to drain since,
            // and the call that is out still waits there.
            hangUp();
            call();
            return;
        }
        answeredHere = true;
        schedule.callAnswered(loop.now(), told != generation);
        if (anew && !whole) {
            // Changes against a list that nobody here has.
            generation = -1;
            goOn();
            return;
        }
        if (whole) {
            entries.clear();
        }
        for (JsonNode each : page.path("instances")) {
            if (each.isObject() && each.path("instanceId").isTextual()) {
                entries.put(each.path("instanceId").asText(), each.toString());
            }
        }
        generation = told;
        listener.heard(told, entries, anew);
        goOn();
    }

    private void goOn() {
        if (!closed && schedule.nextActionAt() <= loop.now()) {
            call();
        } else {
            follow();
        }
    }

    void close() {
        closed = true;
        schedule.stop();
        follow();
        hangUp();
    }

    @Override
    public void connected() {
        if (schedule.isCalling()) {
            send();
        }
    }

    @Override
    public void connectFailed() {
        link = null;
        failed();
    }

    @Override
    public void received(ByteBuffer bytes) {
        try {
            if (schedule.isCalling() && reply.feed(bytes)) {
                if (bytes.hasRemaining()) {
                    // More than was asked for: the rest of it would be taken for the next answer.
                    hangUp();
                }
                answered();
            }
        } catch (MalformedDataException e) {
            failed();
        }
    }

    @Override
    public void inputEnded() {
        try {
            if (schedule.isCalling() && reply.endOfInput()) {
                hangUp();
                answered();
                return;
            }
        } catch (RuntimeException e) {
            // It ended in the middle.
        }
        failed();
    }

    @Override
    public void connectionLost() {
        failed();
    }
}
