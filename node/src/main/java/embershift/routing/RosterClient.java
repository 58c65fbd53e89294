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
 * Calls discovery, one call at a time on a persistent connection. {@link WatchSchedule} decides
 * when a call starts and when it is given up; if the policy requests lists itself, it may start one
 * sooner after a failure.
 */
final class RosterClient implements TcpConnection.Listener {

    private final Router router;
    private final boolean alwaysWatches;
    private final WatchSchedule schedule;
    private InetSocketAddress address;
    private String hostHeader;
    private TcpConnection connection;
    private HttpResponseParser response;
    private EventLoop.Timer timer;
    private long generation = -1;
    private boolean watching;

    /**
     * Whether the policy or a new generation count requires a full list. A failed call does not
     * change that: the next one asks for the full list again.
     */
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
     * to the old address, so the full list is requested. Returns whether the address has changed.
     */
    boolean moveTo(InetSocketAddress next) {
        if (next.equals(address)) {
            return false;
        }
        setAddress(next);
        stop();
        generation = -1;
        schedule.beginUrgentCalls(router.now());
        watch(true);
        return true;
    }

    /**
     * Starts the watch of a starting node: requests the full list, even if the generation of a
     * remembered list is known, and retries soon if a call fails or is not answered.
     */
    void startWatch() {
        fullListWanted = true;
        schedule.beginUrgentCalls(router.now());
        watch(true);
    }

    InetSocketAddress address() {
        return address;
    }

    /**
     * Switches to lists from another source, or back to discovery, which is then asked for the full
     * list.
     */
    void useExternalRoster(boolean enabled) {
        external = enabled;
        if (enabled) {
            stop();
            fullListWanted = false;
        } else {
            generation = -1;
            schedule.beginUrgentCalls(router.now());
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

    void watch(boolean enabled) {
        watching = enabled;
        if (enabled && !schedule.isCalling() && !external) {
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

    /** Sets the timer for what the schedule has due next. */
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
        response = new HttpResponseParser();
        router.tally().count("roster calls");
        reusedConnection = connection != null;
        schedule.callStarted(router.now(), reusedConnection);
        scheduleNext();
        if (connection == null) {
            connection = router.loop().connect(address, this);
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
        connection.write(
                ByteBuffer.wrap(
                        ("GET /api/targets"
                                        + query
                                        + " HTTP/1.1\r\n"
                                        + hostHeader
                                        + "\r\nAccept: application/json\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII)));
    }

    private void closeConnection() {
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    private void callFailed() {
        closeConnection();
        if (!schedule.isCalling()) {
            return;
        }
        if (watching) {
            schedule.callFailed(router.now());
        } else {
            schedule.stop();
        }
        router.tally().count("roster calls failed");
        continueWatch();
        if (!alwaysWatches) {
            router.enqueueEvent(NodeEvents::rosterWatchLost);
        }
    }

    private void responseReceived() {
        if (!response.keepAlive()) {
            closeConnection();
        }
        if (response.status() != 200) {
            callFailed();
            return;
        }
        RosterUpdate update;
        try {
            update = RosterUpdate.parse(response.body());
        } catch (MalformedDataException e) {
            callFailed();
            return;
        }
        boolean repeatsLastAnswer =
                update.generation() == generation
                        && !update.entries().isEmpty()
                        && schedule.isEarly(router.now());
        boolean isOutOfStep =
                update.generation() < generation
                        || (fullListRequested ? !update.full() : repeatsLastAnswer);
        if (reusedConnection && isOutOfStep) {
            // On one connection generations only grow, and a full list is answered as such: this
            // is a duplicate of an earlier answer, and discovery still holds the call in progress.
            repeatOnNewConnection();
            return;
        }
        // Discovery may count generations from the start again after a restart: changes since its
        // first generation are then not all that has changed, so the full list is needed.
        boolean coversAllChanges = update.full() || update.generation() >= generation;
        fullListWanted =
                (fullListWanted && !update.full() && !fullListRequested) || !coversAllChanges;
        schedule.callAnswered(router.now(), update.generation() != generation);
        generation = update.generation();
        router.discoveryAnswered(update, !fullListWanted);
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
     * Repeats the call in progress on a new connection, as responses on this one belong to earlier
     * calls.
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
        connection = null;
        callFailed();
    }

    @Override
    public void received(ByteBuffer bytes) {
        if (!schedule.isCalling()) {
            closeConnection();
            return;
        }
        try {
            if (response.feed(bytes)) {
                if (bytes.hasRemaining()) {
                    // More than one response: the rest would be taken for the next call's.
                    closeConnection();
                }
                responseReceived();
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
        if (response.endOfInput()) {
            responseReceived();
        } else if (reusedConnection && !response.hasStarted()) {
            // Discovery may close a persistent connection just as a call is sent on it.
            startCall();
        } else {
            callFailed();
        }
    }
}
