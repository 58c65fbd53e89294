package embershift.routing;

import embershift.model.NodeEvents;
import embershift.policy.SeededRandom;
import embershift.protocol.HttpResponseParser;
import embershift.protocol.MalformedDataException;
import embershift.protocol.RosterUpdate;
import embershift.protocol.WatchSchedule;
import embershift.transport.EventLoop;
import embershift.transport.TcpConnection;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The calls to discovery, one after the other on a kept connection. When they begin and are given
 * up is decided by {@link WatchSchedule}; where the module is the one to ask, it may have them
 * begin sooner after a failure.
 */
final class RosterClient implements TcpConnection.Listener {

    private final Router router;
    private final boolean alwaysWatches;
    private final WatchSchedule schedule;
    private InetSocketAddress address;
    private String hostHeader;
    private TcpConnection link;
    private HttpResponseParser reply;
    private EventLoop.Timer timer;
    private long generation = -1;
    private boolean watching;
    private boolean fullListWanted;

    /** Whether the call that is out asks for the whole list. */
    private boolean fullListRequested;

    private boolean reusedConnection;

    /** Lists come from elsewhere: discovery is not asked. */
    private boolean external;

    /** {@code byItself}: the module counts on news that come unasked, and never asks for them. */
    RosterClient(Router router, InetSocketAddress address, boolean byItself, long seed) {
        this.router = router;
        this.alwaysWatches = byItself;
        schedule = new WatchSchedule(byItself, new SeededRandom(~seed)::nextDecorrelatedDouble);
        setAddress(address);
    }

    private void setAddress(InetSocketAddress where) {
        address = where;
        hostHeader = "Host: " + where.getAddress().getHostAddress() + ":" + where.getPort();
    }

    /**
     * Discovery is elsewhere from now on: what is still out at the old address is given up, as
     * nothing more is told there, and the watch goes on here at once. Versions are those of the old
     * one, so the whole list is asked for.
     */
    void moveTo(InetSocketAddress where) {
        if (where.equals(address)) {
            return;
        }
        setAddress(where);
        stop();
        generation = -1;
        watch(true);
    }

    InetSocketAddress address() {
        return address;
    }

    /**
     * Lists come from elsewhere from now on, or do no more: then discovery is asked again, for all
     * of it.
     */
    void useExternalRoster(boolean on) {
        external = on;
        if (on) {
            stop();
            fullListWanted = false;
        } else {
            generation = -1;
            if (watching || alwaysWatches) {
                watch(true);
            }
        }
    }

    void setGeneration(long generation) {
        this.generation = generation;
    }

    private void stop() {
        closeConnection();
        schedule.stop();
        scheduleNext();
    }

    void watch(boolean on) {
        watching = on;
        if (on && !schedule.isCalling() && !external) {
            startCall();
        }
    }

    void requestFullList() {
        if (external) {
            router.applyExternalRoster();
            return;
        }
        fullListWanted = true;
        if (!schedule.isCalling()) {
            startCall();
        }
    }

    /** Looks at the schedule again when something is due. */
    private void scheduleNext() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
        if (schedule.nextActionAt() < Double.POSITIVE_INFINITY) {
            timer =
                    router.loop()
                            .schedule(
                                    Math.max(0, schedule.nextActionAt() - router.now()),
                                    () -> {
                                        if (schedule.isCalling()) {
                                            callFailed();
                                        } else {
                                            startCall();
                                        }
                                    });
        }
    }

    private void startCall() {
        reply = new HttpResponseParser();
        router.tally().count("roster calls");
        reusedConnection = link != null;
        schedule.callStarted(router.now(), reusedConnection);
        scheduleNext();
        if (link == null) {
            link = router.loop().connect(address, this);
        } else {
            sendRequest();
        }
    }

    private void sendRequest() {
        fullListRequested = fullListWanted || generation < 0;
        String query =
                fullListRequested
                        ? ""
                        : "?after=" + generation + "&wait_ms=" + (long) (schedule.maxWait() * 1000);
        link.write(
                ByteBuffer.wrap(
                        ("GET /api/targets"
                                        + query
                                        + " HTTP/1.1\r\n"
                                        + hostHeader
                                        + "\r\nAccept: application/json\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII)));
    }

    private void closeConnection() {
        if (link != null) {
            link.close();
            link = null;
        }
    }

    private void callFailed() {
        closeConnection();
        if (!schedule.isCalling()) {
            return;
        }
        fullListWanted = false;
        if (watching) {
            schedule.callFailed(router.now());
        } else {
            schedule.stop();
        }
        router.tally().count("roster calls failed");
        continueWatch();
        if (!alwaysWatches) {
            router.enqueueNews(NodeEvents::rosterWatchLost);
        }
    }

    private void replyReceived() {
        if (!reply.keepAlive()) {
            closeConnection();
        }
        if (reply.status() != 200) {
            callFailed();
            return;
        }
        RosterUpdate page;
        try {
            page = RosterUpdate.parse(reply.body());
        } catch (MalformedDataException e) {
            callFailed();
            return;
        }
        boolean sameAgain =
                page.generation() == generation
                        && !page.listings().isEmpty()
                        && schedule.isEarly(router.now());
        if (reusedConnection
                && (page.generation() < generation || (!fullListRequested && sameAgain))) {
            // On one connection versions only grow: this is an earlier answer that came once more,
            // and the call that is
            // out still waits there.
            repeatOnNewConnection();
            return;
        }
        // A discovery that came back may count anew: what has changed since its first version is
        // not all that has.
        boolean counted = page.full() || page.generation() >= generation;
        fullListWanted = (fullListWanted && !page.full() && !fullListRequested) || !counted;
        schedule.callAnswered(router.now(), page.generation() != generation);
        generation = page.generation();
        router.discoveryAnswered(page);
        if (external || (!watching && !fullListWanted)) {
            schedule.stop();
            scheduleNext();
        } else if (fullListWanted) {
            startCall();
        } else {
            continueWatch();
        }
    }

    private void continueWatch() {
        if (schedule.nextActionAt() <= router.now()) {
            startCall();
        } else {
            scheduleNext();
        }
    }

    /**
     * What comes on this connection answers other calls than the one that is out: that one is made
     * anew.
     */
    private void repeatOnNewConnection() {
        router.tally().count("roster connections out of step");
        closeConnection();
        startCall();
    }

    @Override
    public void connected() {
        if (schedule.isCalling()) {
            sendRequest();
        }
    }

    @Override
    public void connectFailed() {
        link = null;
        callFailed();
    }

    @Override
    public void received(ByteBuffer bytes) {
        if (!schedule.isCalling()) {
            closeConnection();
            return;
        }
        try {
            if (reply.feed(bytes)) {
                if (bytes.hasRemaining()) {
                    // More than was asked for, as a second answer: the rest of it would be taken
                    // for the next one.
                    closeConnection();
                }
                replyReceived();
            }
        } catch (MalformedDataException e) {
            callFailed();
        }
    }

    @Override
    public void inputEnded() {
        connectionEnded();
    }

    @Override
    public void connectionLost() {
        connectionEnded();
    }

    private void connectionEnded() {
        closeConnection();
        if (!schedule.isCalling()) {
            return;
        }
        if (reply.endOfInput()) {
            replyReceived();
        } else if (reusedConnection && !reply.hasStarted()) {
            // A kept connection may be ended by the other side just as a call goes out on it.
            startCall();
        } else {
            callFailed();
        }
    }
}
