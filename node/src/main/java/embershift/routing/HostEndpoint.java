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

/** How this node reaches one host: its address, and one kept connection on which it is asked. */
final class HostEndpoint implements TcpConnection.Listener {

    private static final ByteBuffer STATS_REQUEST = LineCodec.encode("STATS").asReadOnlyBuffer();

    final HostId host;

    /** Setups sent there since this node's start. */
    long setupsSent;

    /**
     * Whether it is listed as ready, and whether staff have it out: what was decided before either
     * changed may still wait.
     */
    boolean listedReady;

    boolean outOfService;
    private final Router router;
    private InetSocketAddress address;
    private TcpConnection link;
    private boolean connected;
    private LineCodec lineReader = new LineCodec();

    /** When the question now out was asked; NaN for none. */
    private double probeStartedAt = Double.NaN;

    /**
     * Whether it has been written to the connection that there is; before that, what comes is no
     * answer to it.
     */
    private boolean probeWritten;

    /** When this connection brought its last answer; negative infinity for none yet. */
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

    /** The roster's latest word on where the host is; at a new address it is another process. */
    void setAddress(InetSocketAddress now) {
        if (!now.equals(address)) {
            address = now;
            if (link != null && !Double.isNaN(probeStartedAt)) {
                // Another process is asked instead: that the one before has not answered tells
                // nothing of it.
                reconnect();
            } else if (link != null) {
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
        if (link == null) {
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
     * Opens a connection for the question that is out, or waits in line for a place: until then no
     * time of the host's runs.
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

    /** Gives the connection up, and its place. */
    private void releaseConnection() {
        if (link != null) {
            link.close();
            link = null;
            router.probeConnections().released(this);
            router.retryWaitingProbe();
        }
    }

    /** In the place of the connection that there may be. */
    private void reconnect() {
        if (link != null) {
            link.close();
        }
        lineReader = new LineCodec();
        connected = false;
        probeWritten = false;
        lastAnswerAt = Double.NEGATIVE_INFINITY;
        link = router.loop().connect(address, this);
    }

    /**
     * Asks; not just after an answer, as that one's double may still come and would be taken for
     * the answer to this.
     */
    private void sendProbe() {
        double settled = lastAnswerAt + router.duplicateAnswerWindow();
        double now = router.now();
        if (now < settled) {
            TcpConnection of = link;
            double asked = probeStartedAt;
            router.loop()
                    .schedule(
                            settled - now,
                            () -> {
                                if (link == of && probeStartedAt == asked && !probeWritten) {
                                    sendProbe();
                                }
                            });
            return;
        }
        probeWritten = true;
        link.write(STATS_REQUEST.duplicate());
    }

    /** Ends the kept connection; a question still out counts as not answered. */
    void disconnect() {
        if (link != null || router.probeConnections().cancelWait(this)) {
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
        double took = router.now() - probeStartedAt;
        probeStartedAt = Double.NaN;
        probeWritten = false;
        lastAnswerAt = router.now();
        if (probeTimer != null) {
            probeTimer.cancel();
            probeTimer = null;
        }
        if (!answered) {
            // A late answer would be taken for that to the next question.
            releaseConnection();
        } else {
            router.probeConnections().setIdle(this, link != null);
            router.retryWaitingProbe();
        }
        unresponsive = !answered;
        router.tally().count(answered ? "probes answered" : "probes failed");
        if (unresponsive) {
            router.hostUnresponsive(this);
        }
        router.enqueueNews(
                news -> {
                    news.probeEnded(host, answered, took);
                    reportLoad(news, report);
                });
    }

    /** Whether the host left the latest question unanswered. */
    boolean isUnresponsive() {
        return unresponsive;
    }

    void reportLoad(NodeEvents news, LoadReport report) {
        if (!report.isEmpty()) {
            news.hostReported(
                    host, report.loadOverCapacity(), report.openTunnels(), report.queued());
        }
    }

    /**
     * A message on an open tunnel took this long: slow ones are told once a second, and their end
     * once.
     */
    void recordMessageDelay(double delay, double now) {
        boolean slow = delay > router.slowMessageDelay();
        if (slow ? now >= messageDelayReportedAt + 1 : messagesSlow) {
            messagesSlow = slow;
            messageDelayReportedAt = now;
            router.enqueueNews(news -> news.messageDelayMeasured(host, delay));
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
            HostLine said = HostLine.parse(LineCodec.decode(line));
            endProbe(said.type() == HostLine.Type.PONG, said.report());
            if (bytes.hasRemaining() && link != null) {
                handleUnexpectedBytes();
            }
        } catch (MalformedDataException e) {
            router.tally().count("probes unreadable");
            failProbe();
        }
    }

    /**
     * What nobody asked for, as a second answer: whatever comes on this connection later may belong
     * to an earlier question.
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
     * A kept connection may be ended by the other side just as a question goes out on it: that is
     * asked again, on a new one, in what is left of its time. Only there does no answer tell
     * something of the host.
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
