package embershift.routing;

import embershift.model.DeclineReason;
import embershift.model.SetupOutcome;
import embershift.model.TunnelId;
import embershift.protocol.HostLine;
import embershift.protocol.Line;
import embershift.protocol.Opening;
import embershift.protocol.Report;
import embershift.protocol.Tail;
import embershift.protocol.Trail;
import embershift.protocol.Unreadable;
import embershift.routing.Tally.Outcome;
import embershift.transport.Link;
import embershift.transport.Loop;
import java.nio.ByteBuffer;

/**
 * One tunnel on this node, from its client's connection to its end: both sides, and what is
 * between.
 */
final class Passage {

    /** Where a tunnel is: its first line, with the module, open, on its way out, or over. */
    private enum State {
        GREETING,
        TAKEN,
        OPEN,
        ENDING,
        OVER
    }

    /**
     * What a client may send ahead of its host's answer: who sends more is not waiting, and must
     * still be read to its end.
     */
    private static final int AHEAD = 8 * 1024;

    /** Questions that one connection may ask before it opens: hundreds at once are no front's. */
    private static final int MOST_PINGS = 16;

    private final Router router;
    private final Link client;
    private State state = State.GREETING;
    private Line greeting = new Line();
    private int pings;
    private Opening opening;

    /**
     * What the module calls this tunnel: no other has it, so that late news of this one reaches
     * none that has its id.
     */
    private TunnelId id;

    private double clientTimeoutAt;
    private ByteBuffer ahead;
    private Loop.Timer overdue;
    private boolean askingToMove;
    private boolean unlinked;

    /** The setup that was sent last, and all that is known of it. */
    private Setup setup;

    private int setups;
    private double firstSentAt;

    /**
     * Until when it may be sent again, once it may have run: the module's word is older than a
     * host's late connection.
     */
    private double repeatsUntil = Double.POSITIVE_INFINITY;

    private Trail trail;
    private Tail tail;

    Passage(Router router, Link client) {
        this.router = router;
        this.client = client;
        client.events(new ClientSide());
    }

    // ---- The client's first lines ----

    private void greet(ByteBuffer bytes) {
        try {
            while (state == State.GREETING) {
                byte[] line = greeting.next(bytes);
                if (line == null) {
                    return;
                }
                take(line);
            }
        } catch (Unreadable e) {
            refuse(e.getMessage());
        }
    }

    private void take(byte[] line) throws Unreadable {
        String text = Line.text(line);
        if (text.equals("PING")) {
            if (router.stopping()) {
                throw new Unreadable("this node stops");
            }
            if (++pings > MOST_PINGS) {
                throw new Unreadable("too many questions");
            }
            router.tally().count("pings answered");
            client.write(Line.of("PONG"));
            return;
        }
        if (!Opening.isOne(text)) {
            throw new Unreadable("a connection begins with OPEN or PING");
        }
        opening = Opening.read(line);
        if (router.knows(opening.id())) {
            opening = null;
            throw new Unreadable("this id has been used");
        }
        id = router.named(opening.id());
        greeting = null;
        router.strangers().end(this);
        double margin = Router.margin(opening.clientTimeout());
        clientTimeoutAt = router.now() + opening.clientTimeout() - margin;
        state = State.TAKEN;
        unlinked(true);
        overdue = router.loop().after(opening.clientTimeout() - margin / 2, this::overdue);
        router.taken(this);
    }

    /** Guards rule 1 whatever befalls the module: the client hears before it stops waiting. */
    private void overdue() {
        if (state == State.TAKEN) {
            failUnasked("tunnels overdue", "out of time");
        }
    }

    /**
     * Ends a tunnel that still waits, without the module, which hears of it; a setup that is out is
     * given up.
     */
    private void failUnasked(String counted, String why) {
        router.tally().count(counted);
        router.hear(news -> news.tunnelAbandoned(id));
        answer("ERR " + why, Outcome.CLOSED_WITH_ERROR);
    }

    /** Says what is wrong with a first line, and ends the connection. */
    void refuse(String why) {
        router.tally().count("first lines refused");
        client.write(Line.of("ERR " + why));
        over();
        client.finish();
    }

    /** Reads what it has sent by now; whether no tunnel has come of that. */
    boolean stillStranger() {
        client.look();
        return state == State.GREETING;
    }

    /**
     * No whole first line has come in time, or others need the room: who only asked needs no word.
     */
    void greetingOver(String word) {
        if (pings == 0 || greeting.begun()) {
            client.write(Line.of(word));
        }
        over();
        client.finish();
    }

    /** Whether it still needs a connection to a host that it does not have. */
    private void unlinked(boolean is) {
        if (unlinked != is) {
            unlinked = is;
            router.wantsLink(is);
        }
    }

    private void over() {
        if (state == State.GREETING) {
            router.strangers().end(this);
        }
        unlinked(false);
        if (overdue != null) {
            overdue.cancel();
            overdue = null;
        }
        state = State.OVER;
        endSilence();
        ahead = null;
    }

    private double endSilence() {
        router.longSilences().end(this);
        return router.silences().end(this);
    }

    Opening opening() {
        return opening;
    }

    TunnelId id() {
        return id;
    }

    /** Whether a first line has begun to come, and may still become a tunnel. */
    boolean greetingBegun() {
        return state == State.GREETING && greeting.begun();
    }

    double timeLeft(double now) {
        return clientTimeoutAt - now;
    }

    // ---- Decisions ----

    /**
     * Sends the next setup, unless the client has left; {@code timeOut} 0 waits as long as the
     * client does.
     */
    boolean setUp(Contact contact, double timeOut) {
        // What was decided may be late: a list that came in the same wake-up, a round behind a
        // pause of the process. A host
        // may count an attempt from its connection on, so the client is looked at before that is
        // begun.
        if (state == State.TAKEN) {
            client.look();
        }
        if (state != State.TAKEN) {
            return false;
        }
        double left = timeLeft(router.now());
        setup = new Setup(contact, setups++);
        firstSentAt = setups == 1 ? setup.sentAt : firstSentAt;
        setup.begin(timeOut == 0 ? left : Math.min(left, timeOut));
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
        if (state == State.TAKEN) {
            router.tally().count(reason);
        }
        answer(line, Outcome.DECLINED);
    }

    void answer(String line, Outcome outcome) {
        if (state != State.TAKEN) {
            return;
        }
        router.tally().count(outcome, opening.profile());
        client.write(Line.of(line));
        over();
        client.finish();
        if (setup != null) {
            setup.cancel();
        }
        router.forget(this);
    }

    /** Tells an open tunnel's client to come again, as soon as no line is in the middle. */
    void move() {
        if (state != State.OPEN || askingToMove) {
            return;
        }
        askingToMove = true;
        moveBetweenLines();
    }

    private void moveBetweenLines() {
        if (askingToMove && state == State.OPEN && trail.betweenLines()) {
            router.tally().count("tunnels moved");
            client.write(Line.of("MOVE"));
            finish(SetupOutcome.CANCELLED, Report.NONE);
            client.finish();
            setup.link.finish();
        }
    }

    /**
     * No line has come back for a while. Where the host does not answer questions either, it has
     * vanished; else the module hears of it, which asks the host, and the tunnel waits for longer.
     */
    void quiet() {
        if (client.backedUp()) {
            // A client that does not read keeps its host's lines from coming; that is no host's
            // silence.
            return;
        }
        if (setup.contact.unheard()) {
            silent();
        } else {
            double now = router.now();
            setup.contact.messageTook(Router.QUIET, now);
            router.longSilences().begin(this, now);
        }
    }

    boolean isAt(Contact contact) {
        return setup != null && setup.contact == contact;
    }

    /**
     * No line has come back from the host for too long: as it says nothing, its client is sent
     * away.
     */
    void silent() {
        if (state == State.OPEN) {
            router.tally().count("tunnels at silent hosts");
            if (trail.betweenLines()) {
                client.write(Line.of("MOVE"));
            }
            finish(SetupOutcome.BROKEN, Report.NONE);
            client.finish();
            setup.link.close();
        }
    }

    /** The open tunnel has ended; the module hears it once. */
    private void finish(SetupOutcome end, Report report) {
        over();
        tellEnd(setup, end, report, true);
        router.forget(this);
    }

    private void tellEnd(Setup of, SetupOutcome end, Report report, boolean last) {
        double took = router.now() - of.sentAt;
        router.tally().count("setups ended " + end.name().toLowerCase(java.util.Locale.ROOT));
        router.hear(
                news -> {
                    of.contact.tell(news, report);
                    news.setupEnded(id, of.number, of.contact.host, end, took, last);
                });
    }

    // ---- The two sides ----

    private final class ClientSide implements Link.Events {

        @Override
        public void received(ByteBuffer bytes) {
            switch (state) {
                case GREETING -> {
                    greet(bytes);
                    if (state != State.GREETING && bytes.hasRemaining()) {
                        received(bytes);
                    }
                }
                case TAKEN -> keepAhead(bytes);
                case OPEN -> {
                    if (!router.longSilences().has(Passage.this) && Line.endsIn(bytes)) {
                        router.silences().begin(Passage.this, router.now());
                    }
                    router.tally().add("bytes to hosts", bytes.remaining());
                    setup.link.write(bytes);
                    if (setup.link.backedUp()) {
                        client.receive(false);
                    }
                }
                default -> {
                    if (state == State.ENDING && setup != null) {
                        setup.link.write(bytes);
                    }
                }
            }
        }

        private void keepAhead(ByteBuffer bytes) {
            ByteBuffer grown =
                    ByteBuffer.allocate(
                            (ahead == null ? 0 : ahead.remaining()) + bytes.remaining());
            if (ahead != null) {
                grown.put(ahead);
            }
            ahead = grown.put(bytes).flip();
            if (ahead.remaining() > AHEAD) {
                // Left unread until a host answers, its end would go unseen.
                failUnasked("tunnels closed for what was sent ahead", "too much before the answer");
            }
        }

        @Override
        public void ended() {
            switch (state) {
                case OPEN -> {
                    // The host may still say BYE; what ends the tunnel is the end of its
                    // connection.
                    state = State.ENDING;
                    endSilence();
                    setup.link.endSending();
                    router.endings().begin(Passage.this, router.now());
                }
                case ENDING -> close();
                default -> left(false);
            }
        }

        @Override
        public void broken() {
            left(true);
        }

        @Override
        public void drained() {
            if (setup != null && setup.link != null) {
                setup.link.receive(true);
            }
        }
    }

    /** The client is gone. */
    private void left(boolean reset) {
        State was = state;
        if (was == State.OPEN || was == State.ENDING) {
            router.endings().end(this);
            finish(SetupOutcome.CANCELLED, Report.NONE);
            if (reset) {
                setup.link.reset();
            } else {
                setup.link.finish();
            }
            client.close();
            return;
        }
        over();
        client.close();
        if (was == State.TAKEN) {
            router.tally().count("tunnels left early");
            router.tally()
                    .count("tunnels left early " + (setup == null ? "unplaced" : setup.stage()));
            router.hear(news -> news.tunnelAbandoned(id));
            if (setup != null) {
                setup.cancel();
            }
            router.forget(this);
        }
    }

    /** The node stops: what is still here ends now, as politely as may be. */
    void stop() {
        switch (state) {
            case TAKEN -> answer("ERR node stops", Outcome.CLOSED_WITH_ERROR);
            case OPEN -> {
                if (trail.betweenLines()) {
                    client.write(Line.of("MOVE"));
                }
                finish(SetupOutcome.CANCELLED, Report.NONE);
                client.finish();
                setup.link.close();
            }
            // Its client has taken its leave: the end goes on to both sides, as it would when the
            // host answers.
            case ENDING -> close();
            default -> {}
        }
    }

    /** An ending that the host does not answer. */
    void endingTooLong() {
        if (state == State.ENDING) {
            close();
        }
    }

    private void close() {
        router.endings().end(this);
        finish(SetupOutcome.CANCELLED, Report.NONE);
        client.finish();
        setup.link.finish();
    }

    /** The host has ended its sending, or its connection broke, on an open tunnel. */
    private void hostEnded(boolean reset) {
        if (state == State.OVER) {
            return;
        }
        ByteBuffer rest = reset ? null : tail.rest();
        if (rest != null) {
            setup.toClient(rest);
        }
        HostLine.Word last = trail.betweenLines() ? trail.last().word() : HostLine.Word.OTHER;
        // A host that takes its leave while a client's line is under way has its end turned into a
        // reset.
        boolean tookLeave = last == HostLine.Word.BYE || last == HostLine.Word.MOVE;
        SetupOutcome end =
                last == HostLine.Word.BYE
                        ? SetupOutcome.COMPLETED
                        : tookLeave || (state == State.ENDING && !reset)
                                ? SetupOutcome.CANCELLED
                                : SetupOutcome.BROKEN;
        router.endings().end(this);
        finish(end, end == SetupOutcome.COMPLETED ? trail.last().report() : Report.NONE);
        if (reset && !tookLeave) {
            client.reset();
        } else {
            client.finish();
        }
        setup.link.finish();
    }

    /** A setup, and the tunnel that comes of it, on the connection to its host. */
    private final class Setup implements Link.Events {
        final Contact contact;
        final int number;
        final double sentAt = router.now();
        Link link;
        private Line lines = new Line();
        private Loop.Timer timer;
        private double waitsUntil;

        /**
         * Whether the last byte of the first line has been handed over: from then on it may have
         * run.
         */
        private boolean written;

        private boolean answered;

        /**
         * How it will end once its connection has, where this node has given it up; null before.
         */
        private SetupOutcome givenUp;

        Setup(Contact contact, int number) {
            this.contact = contact;
            this.number = number;
        }

        void begin(double wait) {
            router.tally().count("setups sent");
            waitsUntil = sentAt + wait;
            if (wait <= 0 || contact.address() == null) {
                router.loop().execute(() -> end(SetupOutcome.NOT_SENT, Report.NONE));
                return;
            }
            unlinked(false);
            link = router.loop().connect(contact.address(), this);
            timer =
                    router.loop()
                            .after(
                                    Math.min(wait, router.connectTimeout()),
                                    () -> end(SetupOutcome.NO_CONNECTION, Report.NONE));
        }

        @Override
        public void connected() {
            timer.cancel();
            client.look();
            if (answered) {
                // The client had left: nothing goes on for it.
                return;
            }
            double wait = waitsUntil - router.now();
            if (wait <= 0 || (!standing() && !contact.takesNew()) || router.now() >= repeatsUntil) {
                // This node came late to it, or was told meanwhile that the host drains or is gone:
                // by the time that the
                // connection took, the grace may be over, and so may the time in which a repeat is
                // dropped (rule 2).
                // None of these is a host out of reach.
                end(SetupOutcome.NOT_SENT, Report.NONE);
                return;
            }
            timer = router.loop().after(wait, this::timedOut);
            if (link.write(opening.toHost(wait)) && !link.backedUp()) {
                writtenWhole();
            }
        }

        /**
         * A line whose rest waits for a host that does not read: its client may have left
         * meanwhile.
         */
        @Override
        public void draining() {
            if (!written) {
                client.look();
            }
        }

        /** How far it has come, for the tally. */
        String stage() {
            return standing()
                    ? "standing before"
                    : answered
                            ? "between setups"
                            : givenUp != null
                                    ? "while a setup ended"
                                    : written
                                            ? "while a host was asked"
                                            : "while a host was reached";
        }

        private void writtenWhole() {
            written = true;
            router.tally().count(Tally.RELAYED);
        }

        @Override
        public void notConnected() {
            link = null;
            end(SetupOutcome.NO_CONNECTION, Report.NONE);
        }

        private void timedOut() {
            giveUp(SetupOutcome.TIMED_OUT);
        }

        void cancel() {
            if (!answered && givenUp == null) {
                giveUp(SetupOutcome.CANCELLED);
            }
        }

        /**
         * Ends the sending and waits a moment for the host's end: a setup is out until then, and no
         * other may follow before. A final answer that is due does not wait.
         */
        private void giveUp(SetupOutcome as) {
            if (answered) {
                return;
            }
            if (!written || state != State.TAKEN || timeLeft(router.now()) < router.endPatience()) {
                end(written ? as : SetupOutcome.NO_CONNECTION, Report.NONE);
                return;
            }
            givenUp = as;
            timer.cancel();
            timer = router.loop().after(router.endPatience(), () -> end(as, Report.NONE));
            link.endSending();
        }

        private void end(SetupOutcome end, Report report) {
            if (answered) {
                return;
            }
            answered = true;
            if (timer != null) {
                timer.cancel();
            }
            if (link != null) {
                link.close();
            }
            unlinked(state == State.TAKEN);
            if (standing() && end.neverRan() && state == State.TAKEN) {
                router.resumeLater(Passage.this);
                return;
            }
            if (standing()) {
                router.tally().count("standing tunnels lost");
                answer(
                        "ERR host " + end.name().toLowerCase(java.util.Locale.ROOT),
                        Outcome.CLOSED_WITH_ERROR);
                return;
            }
            if (!end.neverRan()) {
                repeatsUntil = firstSentAt + router.repeatableFor(opening.profile());
            }
            tellEnd(this, end, report, state != State.TAKEN);
        }

        private boolean standing() {
            return opening.standingAt() != null;
        }

        @Override
        public void received(ByteBuffer bytes) {
            if (answered && state != State.OPEN && state != State.ENDING) {
                return;
            }
            if (!answered) {
                firstLine(bytes);
            }
            if (bytes.hasRemaining() && (state == State.OPEN || state == State.ENDING)) {
                passOn(bytes);
            }
        }

        private void firstLine(ByteBuffer bytes) {
            byte[] line;
            try {
                line = lines.next(bytes);
            } catch (Unreadable e) {
                end(SetupOutcome.ERROR, Report.NONE);
                return;
            }
            if (line == null) {
                return;
            }
            HostLine said = HostLine.read(Line.text(line));
            switch (said.word()) {
                case UP -> up(line);
                case BUSY -> end(SetupOutcome.FULL, said.report());
                default -> end(SetupOutcome.ERROR, said.report());
            }
        }

        private void up(byte[] line) {
            if (givenUp != null || state != State.TAKEN) {
                // It came too late: this node has ended its sending, and the tunnel could not live
                // so.
                end(givenUp == null ? SetupOutcome.CANCELLED : givenUp, Report.NONE);
                return;
            }
            answered = true;
            lines = null;
            timer.cancel();
            overdue.cancel();
            overdue = null;
            state = State.OPEN;
            trail = new Trail();
            tail = new Tail();
            double took = router.now() - sentAt;
            if (standing()) {
                router.tally().count("standing tunnels resumed");
            }
            router.tally().count(Outcome.OPENED, opening.profile());
            client.write(ByteBuffer.wrap(line));
            router.opened(Passage.this, contact, number, took);
            if (ahead != null) {
                link.write(ahead);
                ahead = null;
                client.receive(true);
            }
        }

        private void passOn(ByteBuffer bytes) {
            double now = router.now();
            double since = endSilence();
            if (!Double.isNaN(since)) {
                contact.messageTook(now - since, now);
            }
            router.tally().add("bytes to clients", bytes.remaining());
            tail.pass(bytes, this::toClient);
            if (client.backedUp()) {
                link.receive(false);
            }
            moveBetweenLines();
        }

        private void toClient(ByteBuffer bytes) {
            trail.follow(bytes);
            double load = trail.takeLoad();
            if (!Double.isNaN(load)) {
                router.hear(news -> news.tunnelLoadMeasured(id, load * 1e-6));
            }
            client.write(bytes);
        }

        @Override
        public void ended() {
            if (!answered) {
                end(
                        givenUp != null
                                ? givenUp
                                : written ? SetupOutcome.BROKEN : SetupOutcome.NO_CONNECTION,
                        Report.NONE);
            } else {
                hostEnded(false);
            }
        }

        @Override
        public void broken() {
            if (!answered) {
                end(
                        givenUp != null
                                ? givenUp
                                : written ? SetupOutcome.BROKEN : SetupOutcome.NO_CONNECTION,
                        Report.NONE);
            } else {
                hostEnded(true);
            }
        }

        @Override
        public void drained() {
            if (!written) {
                writtenWhole();
            }
            client.receive(true);
        }
    }
}
