package embershift.routing;

import embershift.model.HostId;
import embershift.model.NodeEvents;
import embershift.protocol.HostLine;
import embershift.protocol.LineCodec;
import embershift.protocol.LoadReport;
import embershift.protocol.MalformedDataException;
import embershift.transport.EventLoop;
import embershift.transport.TcpConnection;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/** How this node reaches one host: its address, and a persistent connection for probes. */
final class HostEndpoint implements TcpConnection.Listener {

    private static final ByteBuffer STATS_REQUEST = LineCodec.encode("STATS").asReadOnlyBuffer();

    final HostId host;

    /** Number of setups sent to this host since this node started. */
    long setupsSent;

    /**
     * Whether the host is listed as ready. Kept here, with {@link #outOfService}, because a
     * decision made before either changed may still be waiting.
     */
    boolean listedReady;

    /** Whether an operator has taken the host out of service. */
    boolean outOfService;

    private final Router router;
    private InetSocketAddress address;
    private TcpConnection connection;
    private boolean connected;
    private LineCodec lineReader = new LineCodec();

    /** When the probe in progress was started; NaN if there is none. */
    private double probeStartedAt = Double.NaN;

    /**
     * Whether the probe has been written to the current connection; what arrives before that is no
     * answer to it.
     */
    private boolean probeWritten;

    /** When the last answer arrived on this connection; negative infinity if none has. */
    private double lastAnswerAt = Double.NEGATIVE_INFINITY;

    private EventLoop.Timer probeTimer;
    private boolean unresponsive;
    private double messageDelayReportedAt = Double.NEGATIVE_INFINITY;
    private boolean messagesSlow;

    HostEndpoint(Router router, HostId host) {
        this.router = router;
        this.host = host;
    }

    InetSocketAddress address() {
        return address;
    }

    boolean acceptsNewTunnels() {
        return listedReady && !outOfService;
    }

    /** Sets the host's address as on the latest roster; at a new address it is another process. */
    void setAddress(InetSocketAddress latest) {
        if (!latest.equals(address)) {
            address = latest;
            if (connection != null && !Double.isNaN(probeStartedAt)) {
                // Probe the new process instead: a missing answer of the previous one says nothing
                // about it.
                reconnect();
            } else if (connection != null) {
                disconnect();
            }
        }
    }

    void probe() {
        if (!Double.isNaN(probeStartedAt)) {
            return;
        }
        probeStartedAt = router.now();
        router.tally().count("probes sent");
        if (address == null) {
            router.loop().execute(() -> endProbe(false, LoadReport.NONE));
            return;
        }
        if (connection == null) {
            connectForProbe();
            return;
        }
        router.probeConnections().setIdle(this, false);
        startProbeTimer();
        if (connected) {
            sendProbe();
        }
    }

    /**
     * Opens a connection for the probe in progress, or queues for one; the host's time to answer
     * only starts with the connection.
     */
    void connectForProbe() {
        if (router.probeConnections().tryAcquire(this)) {
            probeStartedAt = router.now();
            startProbeTimer();
            reconnect();
        }
    }

    private void startProbeTimer() {
        probeTimer =
                router.loop()
                        .schedule(router.probeTimeout(), () -> endProbe(false, LoadReport.NONE));
    }

    /** Closes the connection and returns its place to the pool. */
    private void releaseConnection() {
        if (connection != null) {
            connection.close();
            connection = null;
            router.probeConnections().released(this);
            router.retryWaitingProbe();
        }
    }

    /** Opens a new connection in place of the current one, if any. */
    private void reconnect() {
        if (connection != null) {
            connection.close();
        }
        lineReader = new LineCodec();
        connected = false;
        probeWritten = false;
        lastAnswerAt = Double.NEGATIVE_INFINITY;
        connection = router.loop().connect(address, this);
    }

    /**
     * Sends the probe. Waits if the last answer was just received, as a duplicate of that one may
     * still arrive and would be taken for the answer to this probe.
     */
    private void sendProbe() {
        double notBefore = lastAnswerAt + router.duplicateAnswerWindow();
        double now = router.now();
        if (now < notBefore) {
            TcpConnection current = connection;
            double startedAt = probeStartedAt;
            router.loop()
                    .schedule(
                            notBefore - now,
                            () -> {
                                if (connection == current
                                        && probeStartedAt == startedAt
                                        && !probeWritten) {
                                    sendProbe();
                                }
                            });
            return;
        }
        probeWritten = true;
        connection.write(STATS_REQUEST.duplicate());
    }

    /** Closes the probe connection; a probe in progress counts as not answered. */
    void disconnect() {
        if (connection != null || router.probeConnections().cancelWait(this)) {
            releaseConnection();
            if (!Double.isNaN(probeStartedAt)) {
                router.loop().execute(() -> endProbe(false, LoadReport.NONE));
            }
        }
    }

    private void endProbe(boolean answered, LoadReport report) {
        if (Double.isNaN(probeStartedAt)) {
            return;
        }
        double duration = router.now() - probeStartedAt;
        probeStartedAt = Double.NaN;
        probeWritten = false;
        lastAnswerAt = router.now();
        if (probeTimer != null) {
            probeTimer.cancel();
            probeTimer = null;
        }
        if (!answered) {
            // A late answer would be taken for the answer to the next probe.
            releaseConnection();
        } else {
            router.probeConnections().setIdle(this, connection != null);
            router.retryWaitingProbe();
        }
        unresponsive = !answered;
        router.tally().count(answered ? "probes answered" : "probes failed");
        if (unresponsive) {
            router.hostUnresponsive(this);
        }
        router.enqueueEvent(
                events -> {
                    events.probeEnded(host, answered, duration);
                    reportLoad(events, report);
                });
    }

    /** Whether the host did not answer the latest probe. */
    boolean isUnresponsive() {
        return unresponsive;
    }

    void reportLoad(NodeEvents events, LoadReport report) {
        if (!report.isEmpty()) {
            events.hostReported(
                    host, report.loadOverCapacity(), report.openTunnels(), report.queued());
        }
    }

    /**
     * Records how long a message on an open tunnel took. Slow messages are reported to the policy
     * at most once a second, and the first fast one after them once.
     */
    void recordMessageDelay(double delay, double now) {
        boolean slow = delay > router.slowMessageDelay();
        if (slow ? now >= messageDelayReportedAt + 1 : messagesSlow) {
            messagesSlow = slow;
            messageDelayReportedAt = now;
            router.enqueueEvent(events -> events.messageDelayMeasured(host, delay));
        }
    }

    @Override
    public void connected() {
        connected = true;
        if (!Double.isNaN(probeStartedAt)) {
            sendProbe();
        }
    }

    @Override
    public void connectFailed() {
        failProbe();
    }

    @Override
    public void received(ByteBuffer bytes) {
        if (!probeWritten) {
            handleUnexpectedBytes();
            return;
        }
        try {
            byte[] line = lineReader.next(bytes);
            if (line == null) {
                return;
            }
            HostLine answer = HostLine.parse(LineCodec.decode(line));
            endProbe(answer.type() == HostLine.Type.PONG, answer.report());
            if (bytes.hasRemaining() && connection != null) {
                handleUnexpectedBytes();
            }
        } catch (MalformedDataException e) {
            router.tally().count("probes unreadable");
            failProbe();
        }
    }

    /**
     * Handles bytes that answer no probe, such as a second answer. Anything that arrives later on
     * this connection may belong to an earlier probe, so the connection is closed, or replaced if a
     * probe is in progress.
     */
    private void handleUnexpectedBytes() {
        router.tally().count("probe connections out of step");
        if (Double.isNaN(probeStartedAt)) {
            disconnect();
        } else {
            reconnect();
        }
    }

    @Override
    public void inputEnded() {
        connectionLost();
    }

    /**
     * The host may close a persistent connection just as a probe is sent on it. The probe is then
     * repeated on a new connection within its remaining time, as only a missing answer there says
     * something about the host.
     */
    @Override
    public void connectionLost() {
        if (!Double.isNaN(probeStartedAt)
                && lastAnswerAt > Double.NEGATIVE_INFINITY
                && !lineReader.hasPartialLine()) {
            router.tally().count("probes asked again");
            reconnect();
        } else {
            failProbe();
        }
    }

    private void failProbe() {
        releaseConnection();
        endProbe(false, LoadReport.NONE);
    }
}
