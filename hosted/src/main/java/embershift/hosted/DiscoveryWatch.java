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
 * A watch at discovery: long-polling calls one after the other, timed by {@link WatchSchedule}.
 * Keeps the complete roster. Confined to an event loop.
 */
final class DiscoveryWatch implements TcpConnection.Listener {

    /**
     * Is called for each answer; {@code isRestarted}: discovery has restarted, and its generations
     * are not comparable with earlier ones.
     */
    interface Listener {
        void answerReceived(long generation, Map<String, String> entries, boolean isRestarted);
    }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Listener listener;
    private final TreeMap<String, String> entries = new TreeMap<>();
    private final WatchSchedule schedule;
    private long generation = -1;
    private TcpConnection connection;
    private HttpResponseParser response;
    private EventLoop.Timer timer;
    private boolean isClosed;

    /** Whether this connection has delivered an answer; after that its generations only grow. */
    private boolean hasAnsweredOnConnection;

    /** Whether discovery counts generations anew and the listener has not been notified yet. */
    private boolean isRestartUnreported;

    private double callStartedAt;
    private double confirmedAt = Double.NEGATIVE_INFINITY;
    private long callCount;

    DiscoveryWatch(EventLoop loop, InetSocketAddress address, Listener listener) {
        this(loop, address, WatchSchedule.MAX_WAIT, listener);
    }

    /**
     * Starts a watch.
     *
     * @param maxWaitSeconds how long a call may wait for changes at discovery
     */
    DiscoveryWatch(
            EventLoop loop, InetSocketAddress address, double maxWaitSeconds, Listener listener) {
        this.loop = loop;
        this.address = address;
        this.listener = listener;
        schedule = new WatchSchedule(true, new Random()::nextDouble, maxWaitSeconds);
        call();
    }

    /**
     * Returns a time since which discovery has certainly listed what this watch has: when the
     * latest call that was answered began. The answer may have been written at any time after that.
     */
    double confirmedAt() {
        return confirmedAt;
    }

    Map<String, String> entries() {
        return entries;
    }

    long callCount() {
        return callCount;
    }

    private void call() {
        callCount++;
        callStartedAt = loop.now();
        response = new HttpResponseParser();
        schedule.callStarted(callStartedAt, connection != null);
        scheduleNextAction();
        if (connection == null) {
            hasAnsweredOnConnection = false;
            connection = loop.connect(address, this);
        } else {
            send();
        }
    }

    /** Sets the timer for the next action of the schedule. */
    private void scheduleNextAction() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
        if (!isClosed) {
            timer =
                    loop.schedule(
                            Math.max(0, schedule.nextActionAt() - loop.now()),
                            schedule.isCalling() ? this::callFailed : this::call);
        }
    }

    private void send() {
        String query =
                generation < 0
                        ? ""
                        : "?after=" + generation + "&wait_ms=" + (long) (schedule.maxWait() * 1000);
        connection.write(
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

    private void callFailed() {
        disconnect();
        if (schedule.isCalling()) {
            schedule.callFailed(loop.now());
            callOrWait();
        }
    }

    private void disconnect() {
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    private void handleResponse() {
        if (!response.keepAlive()) {
            disconnect();
        }
        ObjectNode body =
                response.status() == 200 ? JsonMessages.parse(response.body()).orElse(null) : null;
        if (body == null
                || !body.path("generation").isNumber()
                || !body.path("instances").isArray()) {
            callFailed();
            return;
        }
        long newGeneration = body.path("generation").asLong();
        boolean isMarkedComplete = body.path("reset").asBoolean();
        boolean isCompleteRequested = generation < 0;
        boolean isComplete = isMarkedComplete || isCompleteRequested;
        boolean isRestarted = newGeneration < generation;
        boolean isRepeated =
                newGeneration == generation
                        && !body.path("instances").isEmpty()
                        && schedule.isEarly(loop.now());
        boolean isOutOfStep =
                isRestarted || isRepeated || (isCompleteRequested && !isMarkedComplete);
        if (hasAnsweredOnConnection && isOutOfStep) {
            // An earlier answer was delivered again, perhaps a complete one. Hosts that it lists
            // as ready may have been told to drain since, and the call in flight still waits
            // at discovery.
            disconnect();
            call();
            return;
        }
        hasAnsweredOnConnection = true;
        schedule.callAnswered(loop.now(), newGeneration != generation);
        isRestartUnreported |= isRestarted;
        if (isRestarted && !isComplete) {
            // A difference from a roster that this instance does not have.
            generation = -1;
            callOrWait();
            return;
        }
        if (isComplete) {
            entries.clear();
        }
        for (JsonNode entry : body.path("instances")) {
            if (entry.isObject() && entry.path("instanceId").isTextual()) {
                entries.put(entry.path("instanceId").asText(), entry.toString());
            }
        }
        generation = newGeneration;
        confirmedAt = callStartedAt;
        listener.answerReceived(newGeneration, entries, isRestartUnreported);
        isRestartUnreported = false;
        callOrWait();
    }

    private void callOrWait() {
        if (!isClosed && schedule.nextActionAt() <= loop.now()) {
            call();
        } else {
            scheduleNextAction();
        }
    }

    void close() {
        isClosed = true;
        schedule.stop();
        scheduleNextAction();
        disconnect();
    }

    @Override
    public void connected() {
        if (schedule.isCalling()) {
            send();
        }
    }

    @Override
    public void connectFailed() {
        connection = null;
        callFailed();
    }

    @Override
    public void received(ByteBuffer bytes) {
        try {
            if (schedule.isCalling() && response.feed(bytes)) {
                if (bytes.hasRemaining()) {
                    // More data than one response: the rest would be taken for the answer to the
                    // next call.
                    disconnect();
                }
                handleResponse();
            }
        } catch (MalformedDataException e) {
            callFailed();
        }
    }

    @Override
    public void inputEnded() {
        try {
            if (schedule.isCalling() && response.endOfInput()) {
                disconnect();
                handleResponse();
                return;
            }
        } catch (RuntimeException e) {
            // The response was incomplete.
        }
        callFailed();
    }

    @Override
    public void connectionLost() {
        callFailed();
    }
}
