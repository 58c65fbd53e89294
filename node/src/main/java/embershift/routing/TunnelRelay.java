package embershift.routing;

import embershift.model.DeclineReason;
import embershift.model.SetupOutcome;
import embershift.model.TunnelId;
import embershift.protocol.HostLine;
import embershift.protocol.HostLineTracker;
import embershift.protocol.LineCodec;
import embershift.protocol.LoadReport;
import embershift.protocol.MalformedDataException;
import embershift.protocol.OpenRequest;
import embershift.protocol.PartialLineBuffer;
import embershift.routing.Tally.Outcome;
import embershift.transport.EventLoop;
import embershift.transport.TcpConnection;
import java.nio.ByteBuffer;

/**
 * Relays one tunnel on this node, from the accept of its client's connection to the end of both
 * connections.
 */
final class TunnelRelay {

    /**
     * Stage of a tunnel: no OPEN line yet, with the policy and without a final answer, open, ended
     * by the client but not yet by the host, or closed.
     */
    private enum State {
        AWAITING_OPEN,
        PENDING,
        OPEN,
        CLOSING,
        CLOSED
    }

    /**
     * Maximum number of bytes that a client may send before its host's answer. They are buffered,
     * as only a connection that is read to its end shows that the client has left; a client that
     * sends more is not waiting for the answer.
     */
    private static final int MAX_EARLY_BYTES = 8 * 1024;

    /**
     * Maximum number of PING lines on one connection before its OPEN line; no front sends hundreds
     * at once.
     */
    private static final int MAX_PINGS = 16;

    private final Router router;
    private final TcpConnection client;
    private State state = State.AWAITING_OPEN;
    private LineCodec firstLineReader = new LineCodec();
    private int pings;
    private OpenRequest openRequest;

    /**
     * The policy's id of this tunnel. It is unique, so that a late event of this tunnel does not
     * reach a later one that the client gave the same id.
     */
    private TunnelId id;

    private double clientTimeoutAt;
    private ByteBuffer earlyBytes;
    private EventLoop.Timer answerTimer;
    private boolean moveRequested;
    private boolean needsHostConnection;

    /** The latest setup, or null before the first. */
    private Setup setup;

    private int setupCount;
    private double firstSetupSentAt;

    /**
     * Time until which a setup may be sent again once an earlier one may have run. Checked here as
     * well, because a connection to a host may be established long after the policy's decision.
     */
    private double repeatableUntil = Double.POSITIVE_INFINITY;

    /** Whether a setup that has ended may have run at its host. */
    private boolean setupMayHaveRun;

    private HostLineTracker hostLineTracker;
    private PartialLineBuffer partialLineBuffer;

    TunnelRelay(Router router, TcpConnection client) {
        this.router = router;
        this.client = client;
        client.setListener(new ClientSide());
    }

    // ---- The client's lines up to OPEN ----

    private void readFirstLines(ByteBuffer bytes) {
        try {
            while (state == State.AWAITING_OPEN) {
                byte[] line = firstLineReader.next(bytes);
                if (line == null) {
                    return;
                }
                handleFirstLine(line);
            }
        } catch (MalformedDataException e) {
            rejectFirstLine(e.getMessage());
        }
    }

    private void handleFirstLine(byte[] line) throws MalformedDataException {
        String text = LineCodec.decode(line);
        if (text.equals("PING")) {
            if (router.isStopping()) {
                throw new MalformedDataException("this node stops");
            }
            if (++pings > MAX_PINGS) {
                throw new MalformedDataException("too many questions");
            }
            router.tally().count("pings answered");
            client.write(LineCodec.encode("PONG"));
            return;
        }
        if (!OpenRequest.isOpenLine(text)) {
            throw new MalformedDataException("a connection begins with OPEN or PING");
        }
        openRequest = OpenRequest.parse(line);
        if (!router.claimId(openRequest)) {
            openRequest = null;
            throw new MalformedDataException("this id has been used");
        }
        id = router.uniqueId(openRequest.id());
        firstLineReader = null;
        router.unopenedConnections().remove(this);
        double margin = Router.answerMargin(openRequest.clientTimeout());
        clientTimeoutAt = router.now() + openRequest.clientTimeout() - margin;
        state = State.PENDING;
        setNeedsHostConnection(true);
        answerTimer =
                router.loop()
                        .schedule(openRequest.clientTimeout() - margin / 2, this::answerOverdue);
        router.tunnelAccepted(this);
    }

    /**
     * Sends a final answer before the client stops waiting (rule 1), even if the policy fails to.
     */
    private void answerOverdue() {
        if (state == State.PENDING) {
            failLocally("tunnels overdue", "out of time");
        }
    }

    /**
     * Ends a pending tunnel without a decision of the policy, which is only notified; a setup in
     * progress is given up.
     */
    private void failLocally(String counter, String reason) {
        router.tally().count(counter);
        router.enqueueEvent(events -> events.tunnelAbandoned(id));
        sendFinalAnswer("ERR " + reason, Outcome.CLOSED_WITH_ERROR);
    }

    /** Answers a first line that is not accepted with an error, and ends the connection. */
    void rejectFirstLine(String reason) {
        router.tally().count("first lines refused");
        client.write(LineCodec.encode("ERR " + reason));
        markClosed();
        client.closeGracefully();
    }

    /**
     * Reads what the client has sent so far, and returns whether it still has not opened a tunnel.
     */
    boolean isUnopenedAfterRead() {
        client.readAvailable();
        return state == State.AWAITING_OPEN;
    }

    /**
     * Ends a connection without a tunnel because its first line is late or its descriptor is
     * needed. A client that has only sent PING lines gets no final line.
     */
    void closeUnopened(String line) {
        if (pings == 0 || firstLineReader.hasPartialLine()) {
            client.write(LineCodec.encode(line));
        }
        markClosed();
        client.closeGracefully();
    }

    /** Sets whether this tunnel needs a connection to a host and does not have one. */
    private void setNeedsHostConnection(boolean needed) {
        if (needsHostConnection != needed) {
            needsHostConnection = needed;
            router.hostConnectionNeeded(needed);
        }
    }

    private void markClosed() {
        if (state == State.AWAITING_OPEN) {
            router.unopenedConnections().remove(this);
        }
        setNeedsHostConnection(false);
        if (answerTimer != null) {
            answerTimer.cancel();
            answerTimer = null;
        }
        state = State.CLOSED;
        stopReplyTimeouts();
        earlyBytes = null;
    }

    /**
     * Stops waiting for a line from the host; returns when the wait began, or NaN if there was
     * none.
     */
    private double stopReplyTimeouts() {
        router.quietTunnels().remove(this);
        return router.awaitingReply().remove(this);
    }

    OpenRequest openRequest() {
        return openRequest;
    }

    /** Whether a setup of this tunnel has run at a host, or may have or may yet. */
    boolean mayHaveRun() {
        return setupMayHaveRun || (setup != null && setup.mayHaveRun());
    }

    TunnelId id() {
        return id;
    }

    /** Whether part of a first line has arrived that may still open a tunnel. */
    boolean hasPartialFirstLine() {
        return state == State.AWAITING_OPEN && firstLineReader.hasPartialLine();
    }

    double timeLeft(double now) {
        return clientTimeoutAt - now;
    }

    // ---- Decisions of the policy ----

    /**
     * Sends the next setup and returns true, unless the client has left. A {@code timeout} of 0
     * means that only the client's timeout applies.
     */
    boolean sendSetup(HostEndpoint endpoint, double timeout) {
        // The decision may be late, after a roster update in the same wake-up or a pause of the
        // process. A
        // host may count an attempt from its connection on, so check first whether the client has
        // left.
        if (state == State.PENDING) {
            client.readAvailable();
        }
        if (state != State.PENDING) {
            return false;
        }
        double left = timeLeft(router.now());
        setup = new Setup(endpoint, setupCount++);
        firstSetupSentAt = setupCount == 1 ? setup.sentAt : firstSetupSentAt;
        setup.start(timeout == 0 ? left : Math.min(left, timeout));
        return true;
    }

    void cancelSetup(int number) {
        if (setup != null && setup.number == number) {
            setup.cancel();
        }
    }

    /** Sends the final answer of a tunnel that the policy declines. */
    void decline(String line, DeclineReason reason) {
        if (state == State.PENDING) {
            router.tally().count(reason);
        }
        sendFinalAnswer(line, Outcome.DECLINED);
    }

    /** Sends the final answer of a pending tunnel and ends it; a setup in progress is given up. */
    void sendFinalAnswer(String line, Outcome outcome) {
        if (state != State.PENDING) {
            return;
        }
        router.tally().count(outcome, openRequest.profile());
        client.write(LineCodec.encode(line));
        markClosed();
        client.closeGracefully();
        if (setup != null) {
            setup.cancel();
        }
        router.remove(this);
    }

    /**
     * Tells an open tunnel's client to open it again (MOVE), as soon as the host's stream is
     * between two lines.
     */
    void move() {
        if (state != State.OPEN || moveRequested) {
            return;
        }
        moveRequested = true;
        moveIfBetweenLines();
    }

    private void moveIfBetweenLines() {
        if (moveRequested && state == State.OPEN && hostLineTracker.atLineBoundary()) {
            router.tally().count("tunnels moved");
            client.write(LineCodec.encode("MOVE"));
            endTunnel(SetupOutcome.CANCELLED, LoadReport.NONE);
            client.closeGracefully();
            setup.connection.closeGracefully();
        }
    }

    /**
     * Handles a host that has not sent a line for a while. If it did not answer the latest probe
     * either, it counts as vanished; otherwise the delay is reported to the policy, which probes
     * the host, and the tunnel goes on waiting.
     */
    void onHostQuiet() {
        if (client.hasPendingWrites()) {
            // A client that does not read keeps its host's lines from arriving; the host is not
            // silent.
            return;
        }
        if (setup.endpoint.isUnresponsive()) {
            onHostSilent();
        } else {
            double now = router.now();
            setup.endpoint.recordMessageDelay(Router.QUIET_SECONDS, now);
            router.quietTunnels().add(this, now);
        }
    }

    boolean isAt(HostEndpoint endpoint) {
        return setup != null && setup.endpoint == endpoint;
    }

    /**
     * Ends a tunnel whose host has not sent a line for too long, and tells its client to move, also
     * one that has ended its sending.
     */
    void onHostSilent() {
        if (state == State.OPEN || state == State.CLOSING) {
            router.tally().count("tunnels at silent hosts");
            moveAndClose(SetupOutcome.BROKEN);
        }
    }

    /** Ends a tunnel at once, and tells its client to move unless a line is incomplete. */
    private void moveAndClose(SetupOutcome outcome) {
        if (hostLineTracker.atLineBoundary()) {
            client.write(LineCodec.encode("MOVE"));
        }
        endTunnel(outcome, LoadReport.NONE);
        client.closeGracefully();
        setup.connection.close();
    }

    /** Marks an open tunnel as ended, and reports that to the policy once. */
    private void endTunnel(SetupOutcome outcome, LoadReport report) {
        markClosed();
        router.closingTunnels().remove(this);
        reportSetupEnd(setup, outcome, report, true);
        router.remove(this);
    }

    private void reportSetupEnd(
            Setup ended, SetupOutcome outcome, LoadReport report, boolean tunnelEnded) {
        double duration = router.now() - ended.sentAt;
        router.tally().count("setups ended " + outcome.name().toLowerCase(java.util.Locale.ROOT));
        router.enqueueEvent(
                events -> {
                    ended.endpoint.reportLoad(events, report);
                    events.setupEnded(
                            id, ended.number, ended.endpoint.host, outcome, duration, tunnelEnded);
                });
    }

    // ---- Events of the two connections ----

    private final class ClientSide implements TcpConnection.Listener {

        @Override
        public void received(ByteBuffer bytes) {
            switch (state) {
                case AWAITING_OPEN -> {
                    readFirstLines(bytes);
                    if (state != State.AWAITING_OPEN && bytes.hasRemaining()) {
                        received(bytes);
                    }
                }
                case PENDING -> keepEarlyBytes(bytes);
                case OPEN -> {
                    if (!router.quietTunnels().contains(TunnelRelay.this)
                            && LineCodec.containsLineEnd(bytes)) {
                        router.awaitingReply().add(TunnelRelay.this, router.now());
                    }
                    router.tally().add("bytes to hosts", bytes.remaining());
                    setup.connection.write(bytes);
                    if (setup.connection.hasPendingWrites()) {
                        client.setReading(false);
                    }
                }
                default -> {
                    if (state == State.CLOSING && setup != null) {
                        setup.connection.write(bytes);
                    }
                }
            }
        }

        private void keepEarlyBytes(ByteBuffer bytes) {
            ByteBuffer grown =
                    ByteBuffer.allocate(
                            (earlyBytes == null ? 0 : earlyBytes.remaining()) + bytes.remaining());
            if (earlyBytes != null) {
                grown.put(earlyBytes);
            }
            earlyBytes = grown.put(bytes).flip();
            if (earlyBytes.remaining() > MAX_EARLY_BYTES) {
                // If reading stopped until a host answers, the client's end would go unnoticed.
                failLocally("tunnels closed for what was sent ahead", "too much before the answer");
            }
        }

        @Override
        public void inputEnded() {
            switch (state) {
                case OPEN -> {
                    // The host may still answer; the tunnel ends when its connection does.
                    state = State.CLOSING;
                    setup.connection.shutdownOutput();
                    router.closingTunnels().add(TunnelRelay.this, router.now());
                }
                default -> clientLeft(false);
            }
        }

        @Override
        public void connectionLost() {
            clientLeft(true);
        }

        @Override
        public void flushed() {
            if (setup != null && setup.connection != null) {
                setup.connection.setReading(true);
            }
        }
    }

    /** The client has closed or reset its connection. */
    private void clientLeft(boolean reset) {
        State previousState = state;
        if (previousState == State.OPEN || previousState == State.CLOSING) {
            endTunnel(SetupOutcome.CANCELLED, LoadReport.NONE);
            if (reset) {
                setup.connection.reset();
            } else {
                setup.connection.closeGracefully();
            }
            client.close();
            return;
        }
        markClosed();
        client.close();
        if (previousState == State.PENDING) {
            router.tally().count("tunnels left early");
            router.tally()
                    .count("tunnels left early " + (setup == null ? "unplaced" : setup.stage()));
            router.enqueueEvent(events -> events.tunnelAbandoned(id));
            if (setup != null) {
                setup.cancel();
            }
            router.remove(this);
        }
    }

    /**
     * Ends this tunnel because the node stops, with a final answer if it is pending and with MOVE
     * where possible if it is open.
     */
    void stop() {
        switch (state) {
            case PENDING -> sendFinalAnswer("ERR node stops", Outcome.CLOSED_WITH_ERROR);
            // A client that has ended its sending may still wait for its host's answer.
            case OPEN, CLOSING -> moveAndClose(SetupOutcome.CANCELLED);
            default -> {}
        }
    }

    /** Handles a host that is silent, after the client has ended its sending. */
    void onClosingTimeout() {
        if (client.hasPendingWrites()) {
            // A client that does not read keeps its host's lines from arriving.
            router.closingTunnels().add(this, router.now());
        } else {
            router.tally().count("half-closed tunnels at silent hosts");
            moveAndClose(SetupOutcome.CANCELLED);
        }
    }

    /** The host of a tunnel whose client has ended its sending is still active. */
    private void restartClosingTimeout() {
        if (state == State.CLOSING) {
            router.closingTunnels().remove(this);
            router.closingTunnels().add(this, router.now());
        }
    }

    /** The host of an open tunnel has ended its sending, or reset the connection. */
    private void hostEnded(boolean reset) {
        if (state == State.CLOSED) {
            return;
        }
        ByteBuffer rest = reset ? null : partialLineBuffer.takeRemainder();
        if (rest != null) {
            setup.writeToClient(rest);
        }
        HostLine.Type lastLineType =
                hostLineTracker.atLineBoundary()
                        ? hostLineTracker.lastLine().type()
                        : HostLine.Type.OTHER;
        // If a host closes after BYE or MOVE while a client's line is in flight, its end arrives as
        // a reset.
        boolean closedNormally =
                lastLineType == HostLine.Type.BYE || lastLineType == HostLine.Type.MOVE;
        SetupOutcome outcome =
                lastLineType == HostLine.Type.BYE
                        ? SetupOutcome.COMPLETED
                        : closedNormally || (state == State.CLOSING && !reset)
                                ? SetupOutcome.CANCELLED
                                : SetupOutcome.BROKEN;
        endTunnel(
                outcome,
                outcome == SetupOutcome.COMPLETED
                        ? hostLineTracker.lastLine().report()
                        : LoadReport.NONE);
        if (reset && !closedNormally) {
            client.reset();
        } else {
            client.closeGracefully();
        }
        setup.connection.closeGracefully();
    }

    /** One setup on its connection to the host, and the open tunnel if the host accepts it. */
    private final class Setup implements TcpConnection.Listener {
        final HostEndpoint endpoint;
        final int number;
        final double sentAt = router.now();
        TcpConnection connection;
        private LineCodec lineReader = new LineCodec();
        private EventLoop.Timer timer;
        private double deadline;

        /**
         * Whether the whole first line has been handed to the system; from then on the setup may
         * have run.
         */
        private boolean firstLineWritten;

        /** Whether the setup has opened its tunnel or ended. */
        private boolean resolved;

        /**
         * The end to report once the host has ended its connection, if this node has given the
         * setup up; else null.
         */
        private SetupOutcome pendingEnd;

        Setup(HostEndpoint endpoint, int number) {
            this.endpoint = endpoint;
            this.number = number;
        }

        void start(double wait) {
            router.tally().count("setups sent");
            deadline = sentAt + wait;
            if (wait <= 0 || endpoint.address() == null) {
                router.loop().execute(() -> end(SetupOutcome.NOT_SENT, LoadReport.NONE));
                return;
            }
            setNeedsHostConnection(false);
            connection = router.loop().connect(endpoint.address(), this);
            timer =
                    router.loop()
                            .schedule(
                                    Math.min(wait, router.connectTimeout()),
                                    () -> end(SetupOutcome.NO_CONNECTION, LoadReport.NONE));
        }

        @Override
        public void connected() {
            timer.cancel();
            client.readAvailable();
            if (resolved) {
                // The client has left, and this setup has been cancelled.
                return;
            }
            double wait = deadline - router.now();
            if (wait <= 0
                    || (!isResuming() && !endpoint.acceptsNewTunnels())
                    || router.now() >= repeatableUntil) {
                // The timeout has passed, or meanwhile the host drains or is gone. The connection
                // may have outlasted the host's grace and the time in which the host drops a repeat
                // (rule 2: no effect twice). In none of these cases is the host unreachable.
                end(SetupOutcome.NOT_SENT, LoadReport.NONE);
                return;
            }
            timer = router.loop().schedule(wait, this::timedOut);
            if (connection.write(openRequest.encodeForHost(wait))
                    && !connection.hasPendingWrites()) {
                markFirstLineWritten();
            }
        }

        /**
         * The rest of the first line has waited for a host that did not read; the client may have
         * left meanwhile.
         */
        @Override
        public void beforeFlush() {
            if (!firstLineWritten) {
                client.readAvailable();
            }
        }

        /** Whether this setup has reached the host and its outcome is not known. */
        boolean mayHaveRun() {
            return firstLineWritten && !resolved;
        }

        /** How far the setup has come, as part of a counter's name. */
        String stage() {
            return isResuming()
                    ? "standing before"
                    : resolved
                            ? "between setups"
                            : pendingEnd != null
                                    ? "while a setup ended"
                                    : firstLineWritten
                                            ? "while a host was asked"
                                            : "while a host was reached";
        }

        private void markFirstLineWritten() {
            firstLineWritten = true;
            router.tally().count(Tally.SETUPS_WRITTEN);
        }

        @Override
        public void connectFailed() {
            connection = null;
            end(SetupOutcome.NO_CONNECTION, LoadReport.NONE);
        }

        private void timedOut() {
            giveUp(SetupOutcome.TIMED_OUT);
        }

        void cancel() {
            if (!resolved && pendingEnd == null) {
                giveUp(SetupOutcome.CANCELLED);
            }
        }

        /**
         * Gives the setup up: ends the sending and waits a moment for the host to end its side, as
         * no other setup may follow while this one is in progress. Does not wait if the client's
         * final answer is due.
         */
        private void giveUp(SetupOutcome outcome) {
            if (resolved) {
                return;
            }
            if (!firstLineWritten
                    || state != State.PENDING
                    || timeLeft(router.now()) < router.giveUpTimeout()) {
                end(firstLineWritten ? outcome : SetupOutcome.NO_CONNECTION, LoadReport.NONE);
                return;
            }
            pendingEnd = outcome;
            timer.cancel();
            timer =
                    router.loop()
                            .schedule(router.giveUpTimeout(), () -> end(outcome, LoadReport.NONE));
            connection.shutdownOutput();
        }

        private void end(SetupOutcome outcome, LoadReport report) {
            if (resolved) {
                return;
            }
            resolved = true;
            if (timer != null) {
                timer.cancel();
            }
            if (connection != null) {
                connection.close();
            }
            setNeedsHostConnection(state == State.PENDING);
            if (isResuming() && outcome.neverRan() && state == State.PENDING) {
                router.resumeLater(TunnelRelay.this);
                return;
            }
            if (isResuming()) {
                router.tally().count("standing tunnels lost");
                sendFinalAnswer(
                        "ERR host " + outcome.name().toLowerCase(java.util.Locale.ROOT),
                        Outcome.CLOSED_WITH_ERROR);
                return;
            }
            if (!outcome.neverRan()) {
                setupMayHaveRun = true;
                repeatableUntil = firstSetupSentAt + router.repeatWindow(openRequest.profile());
            }
            reportSetupEnd(this, outcome, report, state != State.PENDING);
        }

        /** Whether the tunnel was open at a host before this node started. */
        private boolean isResuming() {
            return openRequest.resumeHost() != null;
        }

        @Override
        public void received(ByteBuffer bytes) {
            if (resolved && state != State.OPEN && state != State.CLOSING) {
                return;
            }
            if (!resolved) {
                readAnswer(bytes);
            }
            if (bytes.hasRemaining() && (state == State.OPEN || state == State.CLOSING)) {
                relayToClient(bytes);
            }
        }

        private void readAnswer(ByteBuffer bytes) {
            byte[] line;
            try {
                line = lineReader.next(bytes);
            } catch (MalformedDataException e) {
                end(SetupOutcome.ERROR, LoadReport.NONE);
                return;
            }
            if (line == null) {
                return;
            }
            HostLine answer = HostLine.parse(LineCodec.decode(line));
            switch (answer.type()) {
                case UP -> openTunnel(line);
                case BUSY -> end(SetupOutcome.FULL, answer.report());
                default -> end(SetupOutcome.ERROR, answer.report());
            }
        }

        private void openTunnel(byte[] line) {
            if (pendingEnd != null || state != State.PENDING) {
                // Too late: this node has ended its sending, so the tunnel could not be used.
                end(pendingEnd == null ? SetupOutcome.CANCELLED : pendingEnd, LoadReport.NONE);
                return;
            }
            resolved = true;
            setupMayHaveRun = true;
            lineReader = null;
            timer.cancel();
            answerTimer.cancel();
            answerTimer = null;
            state = State.OPEN;
            hostLineTracker = new HostLineTracker();
            partialLineBuffer = new PartialLineBuffer();
            double duration = router.now() - sentAt;
            if (isResuming()) {
                router.tally().count("standing tunnels resumed");
            }
            router.tally().count(Outcome.OPENED, openRequest.profile());
            client.write(ByteBuffer.wrap(line));
            router.tunnelOpened(TunnelRelay.this, endpoint, number, duration);
            if (earlyBytes != null) {
                connection.write(earlyBytes);
                earlyBytes = null;
                client.setReading(true);
            }
        }

        private void relayToClient(ByteBuffer bytes) {
            double now = router.now();
            double waitingSince = stopReplyTimeouts();
            if (!Double.isNaN(waitingSince)) {
                endpoint.recordMessageDelay(now - waitingSince, now);
            }
            router.tally().add("bytes to clients", bytes.remaining());
            partialLineBuffer.forward(bytes, this::writeToClient);
            if (client.hasPendingWrites()) {
                connection.setReading(false);
            }
            restartClosingTimeout();
            moveIfBetweenLines();
        }

        private void writeToClient(ByteBuffer bytes) {
            hostLineTracker.observe(bytes);
            double load = hostLineTracker.takeLoad();
            if (!Double.isNaN(load)) {
                router.enqueueEvent(events -> events.tunnelLoadMeasured(id, load * 1e-6));
            }
            client.write(bytes);
        }

        @Override
        public void inputEnded() {
            if (!resolved) {
                end(
                        pendingEnd != null
                                ? pendingEnd
                                : firstLineWritten
                                        ? SetupOutcome.BROKEN
                                        : SetupOutcome.NO_CONNECTION,
                        LoadReport.NONE);
            } else {
                hostEnded(false);
            }
        }

        @Override
        public void connectionLost() {
            if (!resolved) {
                end(
                        pendingEnd != null
                                ? pendingEnd
                                : firstLineWritten
                                        ? SetupOutcome.BROKEN
                                        : SetupOutcome.NO_CONNECTION,
                        LoadReport.NONE);
            } else {
                hostEnded(true);
            }
        }

        @Override
        public void flushed() {
            if (!firstLineWritten) {
                markFirstLineWritten();
            }
            restartClosingTimeout();
            client.setReading(true);
        }
    }
}
