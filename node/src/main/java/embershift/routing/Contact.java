package embershift.routing;

import embershift.model.HostId;
import embershift.model.News;
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
    private final Router router;
    private InetSocketAddress address;
    private Link link;
    private boolean connected;
    private Line lines = new Line();
    /** When the question now out was asked; NaN for none. */
    private double askedAt = Double.NaN;
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

    /** The roster's latest word on where the host is; at a new address it is another process. */
    void reachedAt(InetSocketAddress now) {
        if (!now.equals(address)) {
            address = now;
            hangUp();
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
        patience = router.loop().after(router.probePatience(), () -> answer(false, Report.NONE));
        if (link == null) {
            lines = new Line();
            connected = false;
            link = router.loop().connect(address, this);
        } else if (connected) {
            link.write(QUESTION.duplicate());
        }
    }

    /** Ends the kept connection; a question still out counts as not answered. */
    void hangUp() {
        if (link != null) {
            link.close();
            link = null;
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
        if (patience != null) {
            patience.cancel();
            patience = null;
        }
        if (!answered && link != null) {
            // A late answer would be taken for that to the next question.
            link.close();
            link = null;
        }
        unheard = !answered;
        router.tally().count(answered ? "probes answered" : "probes failed");
        if (unheard) {
            router.hostUnheard(this);
        }
        router.hear(news -> {
            news.probeEnded(host, answered, took);
            tell(news, report);
        });
    }

    /** Whether the host left the latest question unanswered. */
    boolean unheard() {
        return unheard;
    }

    void tell(News news, Report report) {
        if (!report.empty()) {
            news.hostReported(host, report.loadOverCapacity(), report.openTunnels(), report.queued());
        }
    }

    /** A message on an open tunnel took this long: slow ones are told once a second, and their end once. */
    void messageTook(double delay, double now) {
        boolean slow = delay > router.slowMessage();
        if (slow ? now >= messageDelayToldAt + 1 : messagesSlow) {
            messagesSlow = slow;
            messageDelayToldAt = now;
            router.hear(news -> news.messageDelayNoted(host, delay));
        }
    }

    @Override
    public void connected() {
        connected = true;
        if (!Double.isNaN(askedAt)) {
            link.write(QUESTION.duplicate());
        }
    }

    @Override
    public void notConnected() {
        link = null;
        answer(false, Report.NONE);
    }

    @Override
    public void received(ByteBuffer bytes) {
        try {
            for (byte[] line = lines.next(bytes); line != null; line = lines.next(bytes)) {
                HostLine said = HostLine.read(Line.text(line));
                answer(said.word() == HostLine.Word.PONG, said.report());
                if (link == null) {
                    return;
                }
            }
        } catch (Unreadable e) {
            router.tally().count("probes unreadable");
            broken();
        }
    }

    @Override
    public void ended() {
        broken();
    }

    @Override
    public void broken() {
        if (link != null) {
            link.close();
            link = null;
        }
        answer(false, Report.NONE);
    }
}
