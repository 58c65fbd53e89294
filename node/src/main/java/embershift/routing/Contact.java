package embershift.routing;

import embershift.model.HostId;
import embershift.model.NodeEvents;
import embershift.protocol.HostLine;
import embershift.protocol.Line;
import embershift.protocol.Report;
import embershift.protocol.Unreadable;
import embershift.transport.Link;
import embershift.transport.Loop;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/** How this node reaches one host: its address, and one kept connection on which it is asked. */
final class Contact implements Link.Events {

    private static final ByteBuffer QUESTION = Line.of("STATS").asReadOnlyBuffer();

    final HostId host;

    /** Setups sent there since this node's start. */
    long setUps;

    /**
     * Whether it is listed as ready, and whether staff have it out: what was decided before either
     * changed may still wait.
     */
    boolean listedReady;

    boolean byHand;
    private final Router router;
    private InetSocketAddress address;
    private Link link;
    private boolean connected;
    private Line lines = new Line();

    /** When the question now out was asked; NaN for none. */
    private double askedAt = Double.NaN;

    /**
     * Whether it has been written to the connection that there is; before that, what comes is no
     * answer to it.
     */
    private boolean written;

    /** When this connection brought its last answer; negative infinity for none yet. */
    private double answeredAt = Double.NEGATIVE_INFINITY;

    private Loop.Timer patience;
    private boolean unheard;
    private double messageDelayToldAt = Double.NEGATIVE_INFINITY;
    private boolean messagesSlow;

    Contact(Router router, HostId host) {
        this.router = router;
        this.host = host;
    }

    InetSocketAddress address() {
        return address;
    }

    boolean takesNew() {
        return listedReady && !byHand;
    }

    /** The roster's latest word on where the host is; at a new address it is another process. */
    void reachedAt(InetSocketAddress now) {
        if (!now.equals(address)) {
            address = now;
            if (link != null && !Double.isNaN(askedAt)) {
                // Another process is asked instead: that the one before has not answered tells
                // nothing of it.
                connectAnew();
            } else if (link != null) {
                hangUp();
            }
        }
    }

    void probe() {
        if (!Double.isNaN(askedAt)) {
            return;
        }
        askedAt = router.now();
        router.tally().count("probes sent");
        if (address == null) {
            router.loop().execute(() -> answer(false, Report.NONE));
            return;
        }
        if (link == null) {
            reach();
            return;
        }
        router.kept().rests(this, false);
        begin();
        if (connected) {
            question();
        }
    }

    /**
     * Opens a connection for the question that is out, or waits in line for a place: until then no
     * time of the host's runs.
     */
    void reach() {
        if (router.kept().take(this)) {
            askedAt = router.now();
            begin();
            connectAnew();
        }
    }

    private void begin() {
        patience = router.loop().after(router.probePatience(), () -> answer(false, Report.NONE));
    }

    /** Gives the connection up, and its place. */
    private void drop() {
        if (link != null) {
            link.close();
            link = null;
            router.kept().closed(this);
            router.serveLine();
        }
    }

    /** In the place of the connection that there may be. */
    private void connectAnew() {
        if (link != null) {
            link.close();
        }
        lines = new Line();
        connected = false;
        written = false;
        answeredAt = Double.NEGATIVE_INFINITY;
        link = router.loop().connect(address, this);
    }

    /**
     * Asks; not just after an answer, as that one's double may still come and would be taken for
     * the answer to this.
     */
    private void question() {
        double settled = answeredAt + router.doubleMayFollow();
        double now = router.now();
        if (now < settled) {
            Link of = link;
            double asked = askedAt;
            router.loop()
                    .after(
                            settled - now,
                            () -> {
                                if (link == of && askedAt == asked && !written) {
                                    question();
                                }
                            });
            return;
        }
        written = true;
        link.write(QUESTION.duplicate());
    }

    /** Ends the kept connection; a question still out counts as not answered. */
    void hangUp() {
        if (link != null || router.kept().leaveLine(this)) {
            drop();
            if (!Double.isNaN(askedAt)) {
                router.loop().execute(() -> answer(false, Report.NONE));
            }
        }
    }

    private void answer(boolean answered, Report report) {
        if (Double.isNaN(askedAt)) {
            return;
        }
        double took = router.now() - askedAt;
        askedAt = Double.NaN;
        written = false;
        answeredAt = router.now();
        if (patience != null) {
            patience.cancel();
            patience = null;
        }
        if (!answered) {
            // A late answer would be taken for that to the next question.
            drop();
        } else {
            router.kept().rests(this, link != null);
            router.serveLine();
        }
        unheard = !answered;
        router.tally().count(answered ? "probes answered" : "probes failed");
        if (unheard) {
            router.hostUnheard(this);
        }
        router.hear(
                news -> {
                    news.probeEnded(host, answered, took);
                    tell(news, report);
                });
    }

    /** Whether the host left the latest question unanswered. */
    boolean unheard() {
        return unheard;
    }

    void tell(NodeEvents news, Report report) {
        if (!report.empty()) {
            news.hostReported(
                    host, report.loadOverCapacity(), report.openTunnels(), report.queued());
        }
    }

    /**
     * A message on an open tunnel took this long: slow ones are told once a second, and their end
     * once.
     */
    void messageTook(double delay, double now) {
        boolean slow = delay > router.slowMessage();
        if (slow ? now >= messageDelayToldAt + 1 : messagesSlow) {
            messagesSlow = slow;
            messageDelayToldAt = now;
            router.hear(news -> news.messageDelayMeasured(host, delay));
        }
    }

    @Override
    public void connected() {
        connected = true;
        if (!Double.isNaN(askedAt)) {
            question();
        }
    }

    @Override
    public void notConnected() {
        lost();
    }

    @Override
    public void received(ByteBuffer bytes) {
        if (!written) {
            outOfStep();
            return;
        }
        try {
            byte[] line = lines.next(bytes);
            if (line == null) {
                return;
            }
            HostLine said = HostLine.read(Line.text(line));
            answer(said.word() == HostLine.Word.PONG, said.report());
            if (bytes.hasRemaining() && link != null) {
                outOfStep();
            }
        } catch (Unreadable e) {
            router.tally().count("probes unreadable");
            lost();
        }
    }

    /**
     * What nobody asked for, as a second answer: whatever comes on this connection later may belong
     * to an earlier question.
     */
    private void outOfStep() {
        router.tally().count("probe connections out of step");
        if (Double.isNaN(askedAt)) {
            hangUp();
        } else {
            connectAnew();
        }
    }

    @Override
    public void ended() {
        broken();
    }

    /**
     * A kept connection may be ended by the other side just as a question goes out on it: that is
     * asked again, on a new one, in what is left of its time. Only there does no answer tell
     * something of the host.
     */
    @Override
    public void broken() {
        if (!Double.isNaN(askedAt) && answeredAt > Double.NEGATIVE_INFINITY && !lines.begun()) {
            router.tally().count("probes asked again");
            connectAnew();
        } else {
            lost();
        }
    }

    private void lost() {
        drop();
        answer(false, Report.NONE);
    }
}
