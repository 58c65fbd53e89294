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
 * One tunnel on this node, from its client's connection to its end: both sides, and what is
 * between.
 */
final class TunnelRelay {

    /** Where a tunnel is: its first line, with the module, open, on its way out, or over. */
    private enum State {
        AWAITING_OPEN,
        PENDING,
        OPEN,
        CLOSING,
        CLOSED
    }

    /**
     * What a client may send ahead of its host's answer: who sends more is not waiting, and must
     * still be read to its end.
     */
    private static final int MAX_EARLY_BYTES = 8 * 1024;

    /** Questions that one connection may ask before it opens: hundreds at once are no front's. */
    private static final int MAX_PINGS = 16;

    private final Router router;
    private final TcpConnection client;
    private State state = State.AWAITING_OPEN;
    private LineCodec firstLineReader = new LineCodec();
    private int pings;
    private OpenRequest opening;

    /**
     * What the module calls this tunnel: no other has it, so that late news of this one reaches
     * none that has its id.
     */
    private TunnelId id;

    private double clientTimeoutAt;
    private ByteBuffer earlyBytes;
    private EventLoop.Timer answerTimer;
    private boolean moveRequested;
    private boolean needsHostConnection;

    /** The setup that was sent last, and all that is known of it. */
    private Setup setup;

    private int setupCount;
    private double firstSetupSentAt;

    /**
     * Until when it may be sent again, once it may have run: the module's word is older than a
     * host's late connection.
     */
    private double repeatableUntil = Double.POSITIVE_INFINITY;

    private HostLineTracker hostLineTracker;
    private PartialLineBuffer partialLineBuffer;

    TunnelRelay(Router router, TcpConnection client) {
        this.router = router;
        this.client = client;
        client.setListener(new ClientSide());
    }

    // ---- The client's first lines ----

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
        opening = OpenRequest.parse(line);
        if (router.knows(opening.id())) {
            opening = null;
            throw new MalformedDataException("this id has been used");
        }
        id = router.uniqueId(opening.id());
        firstLineReader = null;
        router.unopenedConnections().remove(this);
        double margin = Router.answerMargin(opening.clientTimeout());
        clientTimeoutAt = router.now() + opening.clientTimeout() - margin;
        state = State.PENDING;
        setNeedsHostConnection(true);
        answerTimer =
                router.loop().schedule(opening.clientTimeout() - margin / 2, this::answerOverdue);
        router.tunnelAccepted(this);
    }

    /** Guards rule 1 whatever befalls the module: the client hears before it stops waiting. */
    private void answerOverdue() {
        if (state == State.PENDING) {
            failLocally("tunnels overdue", "out of time");
        }
    }

    /**
     * Ends a tunnel that still waits, without the module, which hears of it; a setup that is out is
     * given up.
     */
    private void failLocally(String counted, String why) {
        router.tally().count(counted);
        router.enqueueNews(news -> news.tunnelAbandoned(id));
        sendFinalAnswer("ERR " + why, Outcome.CLOSED_WITH_ERROR);
    }

    /** Says what is wrong with a first line, and ends the connection. */
    void rejectFirstLine(String why) {
        router.tally().count("first lines refused");
        client.write(LineCodec.encode("ERR " + why));
        markClosed();
        client.closeGracefully();
    }

    /** Reads what it has sent by now; whether no tunnel has come of that. */
    boolean isUnopenedAfterRead() {
        client.readAvailable();
        return state == State.AWAITING_OPEN;
    }

    /**
     * No whole first line has come in time, or others need the room: who only asked needs no word.
     */
    void closeUnopened(String word) {
        if (pings == 0 || firstLineReader.hasPartialLine()) {
            client.write(LineCodec.encode(word));
        }
        markClosed();
        client.closeGracefully();
    }

    /** Whether it still needs a connection to a host that it does not have. */
    private void setNeedsHostConnection(boolean is) {
        if (needsHostConnection != is) {
            needsHostConnection = is;
            router.hostConnectionNeeded(is);
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

    private double stopReplyTimeouts() {
        router.quietTunnels().remove(this);
        return router.awaitingReply().remove(this);
    }

    OpenRequest opening() {
        return opening;
    }

    TunnelId id() {
        return id;
    }

    /** Whether a first line has begun to come, and may still become a tunnel. */
    boolean hasPartialFirstLine() {
        return state == State.AWAITING_OPEN && firstLineReader.hasPartialLine();
    }

    double timeLeft(double now) {
        return clientTimeoutAt - now;
    }

    // ---- Decisions ----

    /**
     * Sends the next setup, unless the client has left; {@code timeOut} 0 waits as long as the
     * client does.
     */
    boolean sendSetup(HostEndpoint contact, double timeOut) {
        // What was decided may be late: a list that came in the same wake-up, a round behind a
        // pause of the process. A host
        // may count an attempt from its connection on, so the client is looked at before that is
        // begun.
        if (state == State.PENDING) {
            client.readAvailable();
        }
        if (state != State.PENDING) {
            return false;
        }
        double left = timeLeft(router.now());
        setup = new Setup(contact, setupCount++);
        firstSetupSentAt = setupCount == 1 ? setup.sentAt : firstSetupSentAt;
        setup.start(timeOut == 0 ? left : Math.min(left, timeOut));
        return true;
    }

    void cancel(int number) {
        if (setup != null && setup.number == number) {
            setup.cancel();
        }
    }

    /**
     * The final answer of a tunnel that no host took; nothing goes on for it after that, though a
     * setup be out.
     */
    /** The final answer that the module declines it. */
    void decline(String line, DeclineReason reason) {
        if (state == State.PENDING) {
            router.tally().count(reason);
        }
        sendFinalAnswer(line, Outcome.DECLINED);
    }

    void sendFinalAnswer(String line, Outcome outcome) {
        if (state != State.PENDING) {
            return;
        }
        router.tally().count(outcome, opening.profile());
        client.write(LineCodec.encode(line));
        markClosed();
        client.closeGracefully();
        if (setup != null) {
            setup.cancel();
        }
        router.remove(this);
    }

    /** Tells an open tunnel's client to come again, as soon as no line is in the middle. */
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
            setup.link.closeGracefully();
        }
    }

    /**
     * No line has come back for a while. Where the host does not answer questions either, it has
     * vanished; else the module hears of it, which asks the host, and the tunnel waits for longer.
     */
    void onHostQuiet() {
        if (client.hasPendingWrites()) {
            // A client that does not read keeps its host's lines from coming; that is no host's
            // silence.
            return;
        }
        if (setup.contact.isUnresponsive()) {
            onHostSilent();
        } else {
            double now = router.now();
            setup.contact.recordMessageDelay(Router.QUIET_SECONDS, now);
            router.quietTunnels().add(this, now);
        }
    }

    boolean isAt(HostEndpoint contact) {
        return setup != null && setup.contact == contact;
    }

    /**
     * No line has come back from the host for too long: as it says nothing, its client is sent
     * away.
     */
    void onHostSilent() {
        if (state == State.OPEN) {
            router.tally().count("tunnels at silent hosts");
            if (hostLineTracker.atLineBoundary()) {
                client.write(LineCodec.encode("MOVE"));
            }
            endTunnel(SetupOutcome.BROKEN, LoadReport.NONE);
            client.closeGracefully();
            setup.link.close();
        }
    }

    /** The open tunnel has ended; the module hears it once. */
    private void endTunnel(SetupOutcome end, LoadReport report) {
        markClosed();
        reportSetupEnd(setup, end, report, true);
        router.remove(this);
    }

    private void reportSetupEnd(Setup of, SetupOutcome end, LoadReport report, boolean last) {
        double took = router.now() - of.sentAt;
        router.tally().count("setups ended " + end.name().toLowerCase(java.util.Locale.ROOT));
        router.enqueueNews(
                news -> {
                    of.contact.reportLoad(news, report);
                    news.setupEnded(id, of.number, of.contact.host, end, took, last);
                });
    }

    // ---- The two sides ----

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
                    setup.link.write(bytes);
                    if (setup.link.hasPendingWrites()) {
                        client.setReading(false);
                    }
                }
                default -> {
                    if (state == State.CLOSING && setup != null) {
                        setup.link.write(bytes);
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
                // Left unread until a host answers, its end would go unseen.
                failLocally("tunnels closed for what was sent ahead", "too much before the answer");
            }
        }

        @Override
        public void inputEnded() {
            switch (state) {
                case OPEN -> {
                    // The host may still say BYE; what ends the tunnel is the end of its
                    // connection.
                    state = State.CLOSING;
                    stopReplyTimeouts();
                    setup.link.shutdownOutput();
                    router.closingTunnels().add(TunnelRelay.this, router.now());
                }
                case CLOSING -> close();
                default -> clientLeft(false);
            }
        }

        @Override
        public void connectionLost() {
            clientLeft(true);
        }

        @Override
        public void flushed() {
            if (setup != null && setup.link != null) {
                setup.link.setReading(true);
            }
        }
    }

    /** The client is gone. */
    private void clientLeft(boolean reset) {
        State was = state;
        if (was == State.OPEN || was == State.CLOSING) {
            router.closingTunnels().remove(this);
            endTunnel(SetupOutcome.CANCELLED, LoadReport.NONE);
            if (reset) {
                setup.link.reset();
            } else {
                setup.link.closeGracefully();
            }
            client.close();
            return;
        }
        markClosed();
        client.close();
        if (was == State.PENDING) {
            router.tally().count("tunnels left early");
            router.tally()
                    .count("tunnels left early " + (setup == null ? "unplaced" : setup.stage()));
            router.enqueueNews(news -> news.tunnelAbandoned(id));
            if (setup != null) {
                setup.cancel();
            }
            router.remove(this);
        }
    }

    /** The node stops: what is still here ends now, as politely as may be. */
    void stop() {
        switch (state) {
            case PENDING -> sendFinalAnswer("ERR node stops", Outcome.CLOSED_WITH_ERROR);
            case OPEN -> {
                if (hostLineTracker.atLineBoundary()) {
                    client.write(LineCodec.encode("MOVE"));
                }
                endTunnel(SetupOutcome.CANCELLED, LoadReport.NONE);
                client.closeGracefully();
                setup.link.close();
            }
            // Its client has taken its leave: the end goes on to both sides, as it would when the
            // host answers.
            case CLOSING -> close();
            default -> {}
        }
    }

    /** An ending that the host does not answer. */
    void onClosingTimeout() {
        if (state == State.CLOSING) {
            close();
        }
    }

    private void close() {
        router.closingTunnels().remove(this);
        endTunnel(SetupOutcome.CANCELLED, LoadReport.NONE);
        client.closeGracefully();
        setup.link.closeGracefully();
    }

    /** The host has ended its sending, or its connection broke, on an open tunnel. */
    private void hostEnded(boolean reset) {
        if (state == State.CLOSED) {
            return;
        }
        ByteBuffer rest = reset ? null : partialLineBuffer.takeRemainder();
        if (rest != null) {
            setup.writeToClient(rest);
        }
        HostLine.Type last =
                hostLineTracker.atLineBoundary()
                        ? hostLineTracker.lastLine().type()
                        : HostLine.Type.OTHER;
        // A host that takes its leave while a client's line is under way has its end turned into a
        // reset.
        boolean tookLeave = last == HostLine.Type.BYE || last == HostLine.Type.MOVE;
        SetupOutcome end =
                last == HostLine.Type.BYE
                        ? SetupOutcome.COMPLETED
                        : tookLeave || (state == State.CLOSING && !reset)
                                ? SetupOutcome.CANCELLED
                                : SetupOutcome.BROKEN;
        router.closingTunnels().remove(this);
        endTunnel(
                end,
                end == SetupOutcome.COMPLETED
                        ? hostLineTracker.lastLine().report()
                        : LoadReport.NONE);
        if (reset && !tookLeave) {
            client.reset();
        } else {
            client.closeGracefully();
        }
        setup.link.closeGracefully();
    }

    /** A setup, and the tunnel that comes of it, on the connection to its host. */
    private final class Setup implements TcpConnection.Listener {
        final HostEndpoint contact;
        final int number;
        final double sentAt = router.now();
        TcpConnection link;
        private LineCodec lineReader = new LineCodec();
        private EventLoop.Timer timer;
        private double deadline;

        /**
         * Whether the last byte of the first line has been handed over: from then on it may have
         * run.
         */
        private boolean firstLineWritten;

        private boolean resolved;

        /**
         * How it will end once its connection has, where this node has given it up; null before.
         */
        private SetupOutcome pendingEnd;

        Setup(HostEndpoint contact, int number) {
            this.contact = contact;
            this.number = number;
        }

        void start(double wait) {
            router.tally().count("setups sent");
            deadline = sentAt + wait;
            if (wait <= 0 || contact.address() == null) {
                router.loop().execute(() -> end(SetupOutcome.NOT_SENT, LoadReport.NONE));
                return;
            }
            setNeedsHostConnection(false);
            link = router.loop().connect(contact.address(), this);
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
                // The client had left: nothing goes on for it.
                return;
            }
            double wait = deadline - router.now();
            if (wait <= 0
                    || (!standing() && !contact.acceptsNewTunnels())
                    || router.now() >= repeatableUntil) {
                // This node came late to it, or was told meanwhile that the host drains or is gone:
                // by the time that the
                // connection took, the grace may be over, and so may the time in which a repeat is
                // dropped (rule 2).
                // None of these is a host out of reach.
                end(SetupOutcome.NOT_SENT, LoadReport.NONE);
                return;
            }
            timer = router.loop().schedule(wait, this::timedOut);
            if (link.write(opening.encodeForHost(wait)) && !link.hasPendingWrites()) {
                markFirstLineWritten();
            }
        }

        /**
         * A line whose rest waits for a host that does not read: its client may have left
         * meanwhile.
         */
        @Override
        public void beforeFlush() {
            if (!firstLineWritten) {
                client.readAvailable();
            }
        }

        /** How far it has come, for the tally. */
        String stage() {
            return standing()
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
            link = null;
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
         * Ends the sending and waits a moment for the host's end: a setup is out until then, and no
         * other may follow before. A final answer that is due does not wait.
         */
        private void giveUp(SetupOutcome as) {
            if (resolved) {
                return;
            }
            if (!firstLineWritten
                    || state != State.PENDING
                    || timeLeft(router.now()) < router.giveUpTimeout()) {
                end(firstLineWritten ? as : SetupOutcome.NO_CONNECTION, LoadReport.NONE);
                return;
            }
            pendingEnd = as;
            timer.cancel();
            timer = router.loop().schedule(router.giveUpTimeout(), () -> end(as, LoadReport.NONE));
            link.shutdownOutput();
        }

        private void end(SetupOutcome end, LoadReport report) {
            if (resolved) {
                return;
            }
            resolved = true;
            if (timer != null) {
                timer.cancel();
            }
            if (link != null) {
                link.close();
            }
            setNeedsHostConnection(state == State.PENDING);
            if (standing() && end.neverRan() && state == State.PENDING) {
                router.resumeLater(TunnelRelay.this);
                return;
            }
            if (standing()) {
                router.tally().count("standing tunnels lost");
                sendFinalAnswer(
                        "ERR host " + end.name().toLowerCase(java.util.Locale.ROOT),
                        Outcome.CLOSED_WITH_ERROR);
                return;
            }
            if (!end.neverRan()) {
                repeatableUntil = firstSetupSentAt + router.repeatWindow(opening.profile());
            }
            reportSetupEnd(this, end, report, state != State.PENDING);
        }

        private boolean standing() {
            return opening.resumeHost() != null;
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
            HostLine said = HostLine.parse(LineCodec.decode(line));
            switch (said.type()) {
                case UP -> openTunnel(line);
                case BUSY -> end(SetupOutcome.FULL, said.report());
                default -> end(SetupOutcome.ERROR, said.report());
            }
        }

        private void openTunnel(byte[] line) {
            if (pendingEnd != null || state != State.PENDING) {
                // It came too late: this node has ended its sending, and the tunnel could not live
                // so.
                end(pendingEnd == null ? SetupOutcome.CANCELLED : pendingEnd, LoadReport.NONE);
                return;
            }
            resolved = true;
            lineReader = null;
            timer.cancel();
            answerTimer.cancel();
            answerTimer = null;
            state = State.OPEN;
            hostLineTracker = new HostLineTracker();
            partialLineBuffer = new PartialLineBuffer();
            double took = router.now() - sentAt;
            if (standing()) {
                router.tally().count("standing tunnels resumed");
            }
            router.tally().count(Outcome.OPENED, opening.profile());
            client.write(ByteBuffer.wrap(line));
            router.tunnelOpened(TunnelRelay.this, contact, number, took);
            if (earlyBytes != null) {
                link.write(earlyBytes);
                earlyBytes = null;
                client.setReading(true);
            }
        }

        private void relayToClient(ByteBuffer bytes) {
            double now = router.now();
            double since = stopReplyTimeouts();
            if (!Double.isNaN(since)) {
                contact.recordMessageDelay(now - since, now);
            }
            router.tally().add("bytes to clients", bytes.remaining());
            partialLineBuffer.forward(bytes, this::writeToClient);
            if (client.hasPendingWrites()) {
                link.setReading(false);
            }
            moveIfBetweenLines();
        }

        private void writeToClient(ByteBuffer bytes) {
            hostLineTracker.observe(bytes);
            double load = hostLineTracker.takeLoad();
            if (!Double.isNaN(load)) {
                router.enqueueNews(news -> news.tunnelLoadMeasured(id, load * 1e-6));
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
            client.setReading(true);
        }
    }
}
