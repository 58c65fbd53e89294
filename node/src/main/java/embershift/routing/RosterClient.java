package embershift.routing;

import embershift.model.NodeEvents;
import embershift.policy.SeededRandom;
import embershift.protocol.HttpReply;
import embershift.protocol.RosterPage;
import embershift.protocol.Unreadable;
import embershift.protocol.WatchSchedule;
import embershift.transport.Link;
import embershift.transport.Loop;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Calls discovery, one call at a time on a persistent connection. {@link WatchSchedule} decides
 * when a call starts and when it is given up; if the policy requests lists itself, it may start one
 * sooner after a failure.
 */
final class RosterClient implements Link.Events {

    private final Router router;
    private final boolean alwaysWatches;
    private final WatchSchedule schedule;
    private InetSocketAddress address;
    private String hostHeader;
    private Link link;
    private HttpReply reply;
    private Loop.Timer timer;
    private long generation = -1;
    private boolean watching;

    /** Whether the policy or a new generation count requires a full list. */
    private boolean fullListWanted;

    /** Whether the call in progress asks for the full list. */
    private boolean fullListRequested;

    /** Whether the call in progress was started on a connection that was open already. */
    private boolean reusedConnection;

    /** Whether lists come from another source, so that discovery is not called. */
    private boolean external;

    /**
     * With {@code alwaysWatches} the policy relies on lists being delivered without a request, and
     * never requests one.
     */
    RosterClient(Router router, InetSocketAddress address, boolean alwaysWatches, long seed) {
        this.router = router;
        this.alwaysWatches = alwaysWatches;
        schedule =
                new WatchSchedule(alwaysWatches, new SeededRandom(~seed)::nextDecorrelatedDouble);
        setAddress(address);
    }

    private void setAddress(InetSocketAddress next) {
        address = next;
        hostHeader = "Host: " + next.getAddress().getHostAddress() + ":" + next.getPort();
    }

    /**
     * Changes the address of discovery. A call to the old address is given up, as nothing new is
     * published there, and the watch goes on at the new one at once. The known generation belongs
     * to the old address, so the full list is requested.
     */
    void moveTo(InetSocketAddress next) {
        if (next.equals(address)) {
            return;
        }
        setAddress(next);
        stop();
        generation = -1;
        watch(true);
    }

    InetSocketAddress address() {
        return address;
    }

    /**
     * Switches to lists from another source, or back to discovery, which is then asked for the full
     * list.
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
        schedule.stopped();
        scheduleNext();
    }

    void watch(boolean on) {
        watching = on;
        if (on && !schedule.calling() && !external) {
            startCall();
        }
    }

    void requestFullList() {
        if (external) {
            router.applyExternalRoster();
            return;
        }
        fullListWanted = true;
        if (!schedule.calling()) {
            startCall();
        }
    }

    /** Sets the timer for what the schedule has due next. */
    private void scheduleNext() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
        if (schedule.due() < Double.POSITIVE_INFINITY) {
            timer =
                    router.loop()
                            .after(
                                    Math.max(0, schedule.due() - router.now()),
                                    () -> {
                                        if (schedule.calling()) {
                                            callFailed();
                                        } else {
                                            startCall();
                                        }
                                    });
        }
    }

    private void startCall() {
        reply = new HttpReply();
        router.tally().count("roster calls");
        reusedConnection = link != null;
        schedule.called(router.now(), reusedConnection);
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
                        : "?after=" + generation + "&wait_ms=" + (long) (schedule.mayWait() * 1000);
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
        if (!schedule.calling()) {
            return;
        }
        fullListWanted = false;
        if (watching) {
            schedule.failed(router.now());
        } else {
            schedule.stopped();
        }
        router.tally().count("roster calls failed");
        continueWatch();
        if (!alwaysWatches) {
            router.enqueueEvent(NodeEvents::rosterWatchLost);
        }
    }

    private void replyReceived() {
        if (!reply.keptOpen()) {
            closeConnection();
        }
        if (reply.status() != 200) {
            callFailed();
            return;
        }
        RosterPage page;
        try {
            page = RosterPage.read(reply.body());
        } catch (Unreadable e) {
            callFailed();
            return;
        }
        boolean sameAgain =
                page.generation() == generation
                        && !page.listings().isEmpty()
                        && schedule.early(router.now());
        if (reusedConnection
                && (page.generation() < generation || (!fullListRequested && sameAgain))) {
            // On one connection generations only grow: this is a duplicate of an earlier answer,
            // and discovery still holds the call in progress.
            repeatOnNewConnection();
            return;
        }
        // Discovery may count generations from the start again after a restart: changes since its
        // first generation are then not all that has changed, so the full list is needed.
        boolean coversAllChanges = page.whole() || page.generation() >= generation;
        fullListWanted =
                (fullListWanted && !page.whole() && !fullListRequested) || !coversAllChanges;
        schedule.answered(router.now(), page.generation() != generation);
        generation = page.generation();
        router.discoveryAnswered(page);
        if (external || (!watching && !fullListWanted)) {
            schedule.stopped();
            scheduleNext();
        } else if (fullListWanted) {
            startCall();
        } else {
            continueWatch();
        }
    }

    private void continueWatch() {
        if (schedule.due() <= router.now()) {
            startCall();
        } else {
            scheduleNext();
        }
    }

    /**
     * Repeats the call in progress on a new connection, as replies on this one belong to earlier
     * calls.
     */
    private void repeatOnNewConnection() {
        router.tally().count("roster connections out of step");
        closeConnection();
        startCall();
    }

    @Override
    public void connected() {
        if (schedule.calling()) {
            sendRequest();
        }
    }

    @Override
    public void notConnected() {
        link = null;
        callFailed();
    }

    @Override
    public void received(ByteBuffer bytes) {
        if (!schedule.calling()) {
            closeConnection();
            return;
        }
        try {
            if (reply.take(bytes)) {
                if (bytes.hasRemaining()) {
                    // More than one reply: the rest would be taken for the next call's reply.
                    closeConnection();
                }
                replyReceived();
            }
        } catch (Unreadable e) {
            callFailed();
        }
    }

    @Override
    public void ended() {
        connectionEnded();
    }

    @Override
    public void broken() {
        connectionEnded();
    }

    private void connectionEnded() {
        closeConnection();
        if (!schedule.calling()) {
            return;
        }
        if (reply.end()) {
            replyReceived();
        } else if (reusedConnection && !reply.begun()) {
            // Discovery may close a persistent connection just as a call is sent on it.
            startCall();
        } else {
            callFailed();
        }
    }
}
