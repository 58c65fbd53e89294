package embershift.routing;

import embershift.model.News;
import embershift.policy.Chance;
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
 * The calls to discovery, one after the other on a kept connection. When they begin and are given
 * up is decided by {@link WatchSchedule}; where the module is the one to ask, it may have them
 * begin sooner after a failure.
 */
final class Roster implements TcpConnection.Listener {

    private final Router router;
    private final boolean byItself;
    private final WatchSchedule schedule;
    private InetSocketAddress address;
    private String hostLine;
    private TcpConnection link;
    private HttpResponseParser reply;
    private EventLoop.Timer timer;
    private long generation = -1;
    private boolean watching;
    private boolean wholeWanted;

    /** Whether the call that is out asks for the whole list. */
    private boolean wholeAsked;

    private boolean usedBefore;

    /** Lists come from elsewhere: discovery is not asked. */
    private boolean led;

    /** {@code byItself}: the module counts on news that come unasked, and never asks for them. */
    Roster(Router router, InetSocketAddress address, boolean byItself, long seed) {
        this.router = router;
        this.byItself = byItself;
        schedule = new WatchSchedule(byItself, new Chance(~seed)::nextApart);
        at(address);
    }

    private void at(InetSocketAddress where) {
        address = where;
        hostLine = "Host: " + where.getAddress().getHostAddress() + ":" + where.getPort();
    }

    /**
     * Discovery is elsewhere from now on: what is still out at the old address is given up, as
     * nothing more is told there, and the watch goes on here at once. Versions are those of the old
     * one, so the whole list is asked for.
     */
    void moveTo(InetSocketAddress where) {
        if (where.equals(address)) {
            return;
        }
        at(where);
        stop();
        generation = -1;
        watch(true);
    }

    InetSocketAddress address() {
        return address;
    }

    /**
     * Lists come from elsewhere from now on, or do no more: then discovery is asked again, for all
     * of it.
     */
    void led(boolean on) {
        led = on;
        if (on) {
            stop();
            wholeWanted = false;
        } else {
            generation = -1;
            if (watching || byItself) {
                watch(true);
            }
        }
    }

    void known(long generation) {
        this.generation = generation;
    }

    private void stop() {
        hangUp();
        schedule.stop();
        follow();
    }

    void watch(boolean on) {
        watching = on;
        if (on && !schedule.isCalling() && !led) {
            call();
        }
    }

    void ask() {
        if (led) {
            router.listedElsewhere();
            return;
        }
        wholeWanted = true;
        if (!schedule.isCalling()) {
            call();
        }
    }

    /** Looks at the schedule again when something is due. */
    private void follow() {
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
                                            failed();
                                        } else {
                                            call();
                                        }
                                    });
        }
    }

    private void call() {
        reply = new HttpResponseParser();
        router.tally().count("roster calls");
        usedBefore = link != null;
        schedule.callStarted(router.now(), usedBefore);
        follow();
        if (link == null) {
            link = router.loop().connect(address, this);
        } else {
            send();
        }
    }

    private void send() {
        wholeAsked = wholeWanted || generation < 0;
        String query =
                wholeAsked
                        ? ""
                        : "?after=" + generation + "&wait_ms=" + (long) (schedule.maxWait() * 1000);
        link.write(
                ByteBuffer.wrap(
                        ("GET /api/targets"
                                        + query
                                        + " HTTP/1.1\r\n"
                                        + hostLine
                                        + "\r\nAccept: application/json\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII)));
    }

    private void hangUp() {
        if (link != null) {
            link.close();
            link = null;
        }
    }

    private void failed() {
        hangUp();
        if (!schedule.isCalling()) {
            return;
        }
        wholeWanted = false;
        if (watching) {
            schedule.callFailed(router.now());
        } else {
            schedule.stop();
        }
        router.tally().count("roster calls failed");
        goOn();
        if (!byItself) {
            router.hear(News::rosterLost);
        }
    }

    private void answered() {
        if (!reply.keepAlive()) {
            hangUp();
        }
        if (reply.status() != 200) {
            failed();
            return;
        }
        RosterUpdate page;
        try {
            page = RosterUpdate.parse(reply.body());
        } catch (MalformedDataException e) {
            failed();
            return;
        }
        boolean sameAgain =
                page.generation() == generation
                        && !page.listings().isEmpty()
                        && schedule.isEarly(router.now());
        if (usedBefore && (page.generation() < generation || (!wholeAsked && sameAgain))) {
            // On one connection versions only grow: this is an earlier answer that came once more,
            // and the call that is
            // out still waits there.
            outOfStep();
            return;
        }
        // A discovery that came back may count anew: what has changed since its first version is
        // not all that has.
        boolean counted = page.full() || page.generation() >= generation;
        wholeWanted = (wholeWanted && !page.full() && !wholeAsked) || !counted;
        schedule.callAnswered(router.now(), page.generation() != generation);
        generation = page.generation();
        router.discoverySaid(page);
        if (led || (!watching && !wholeWanted)) {
            schedule.stop();
            follow();
        } else if (wholeWanted) {
            call();
        } else {
            goOn();
        }
    }

    private void goOn() {
        if (schedule.nextActionAt() <= router.now()) {
            call();
        } else {
            follow();
        }
    }

    /**
     * What comes on this connection answers other calls than the one that is out: that one is made
     * anew.
     */
    private void outOfStep() {
        router.tally().count("roster connections out of step");
        hangUp();
        call();
    }

    @Override
    public void connected() {
        if (schedule.isCalling()) {
            send();
        }
    }

    @Override
    public void connectFailed() {
        link = null;
        failed();
    }

    @Override
    public void received(ByteBuffer bytes) {
        if (!schedule.isCalling()) {
            hangUp();
            return;
        }
        try {
            if (reply.feed(bytes)) {
                if (bytes.hasRemaining()) {
                    // More than was asked for, as a second answer: the rest of it would be taken
                    // for the next one.
                    hangUp();
                }
                answered();
            }
        } catch (MalformedDataException e) {
            failed();
        }
    }

    @Override
    public void inputEnded() {
        gone();
    }

    @Override
    public void connectionLost() {
        gone();
    }

    private void gone() {
        hangUp();
        if (!schedule.isCalling()) {
            return;
        }
        if (reply.endOfInput()) {
            answered();
        } else if (usedBefore && !reply.hasStarted()) {
            // A kept connection may be ended by the other side just as a call goes out on it.
            call();
        } else {
            failed();
        }
    }
}
