package embershift.routing;

import embershift.model.NodeEvents;
import embershift.policy.SeededRandom;
import embershift.protocol.HttpReply;
import embershift.protocol.RosterPage;
import embershift.protocol.Unreadable;
import embershift.protocol.WatchSchedule;
import embershift.transport.Link;
import embershift.transport.Loop;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The calls to discovery, one after the other on a kept connection. When they begin and are given
 * up is decided by {@link WatchSchedule}; where the module is the one to ask, it may have them
 * begin sooner after a failure.
 */
final class Roster implements Link.Events {

    private final Router router;
    private final boolean byItself;
    private final WatchSchedule schedule;
    private InetSocketAddress address;
    private String hostLine;
    private Link link;
    private HttpReply reply;
    private Loop.Timer timer;
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
        schedule = new WatchSchedule(byItself, new SeededRandom(~seed)::nextDecorrelatedDouble);
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
        schedule.stopped();
        follow();
    }

    void watch(boolean on) {
        watching = on;
        if (on && !schedule.calling() && !led) {
            call();
        }
    }

    void ask() {
        if (led) {
            router.listedElsewhere();
            return;
        }
        wholeWanted = true;
        if (!schedule.calling()) {
            call();
        }
    }

    /** Looks at the schedule again when something is due. */
    private void follow() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
        if (schedule.due() < Double.POSITIVE_INFINITY) {
            timer =
                    router.loop()
                            .after(
                                    Math.max(0, schedule.due() - router.now()),
                                    () -> {
                                        if (schedule.calling()) {
                                            failed();
                                        } else {
                                            call();
                                        }
                                    });
        }
    }

    private void call() {
        reply = new HttpReply();
        router.tally().count("roster calls");
        usedBefore = link != null;
        schedule.called(router.now(), usedBefore);
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
                        : "?after=" + generation + "&wait_ms=" + (long) (schedule.mayWait() * 1000);
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
        if (!schedule.calling()) {
            return;
        }
        wholeWanted = false;
        if (watching) {
            schedule.failed(router.now());
        } else {
            schedule.stopped();
        }
        router.tally().count("roster calls failed");
        goOn();
        if (!byItself) {
            router.hear(NodeEvents::rosterWatchLost);
        }
    }

    private void answered() {
        if (!reply.keptOpen()) {
            hangUp();
        }
        if (reply.status() != 200) {
            failed();
            return;
        }
        RosterPage page;
        try {
            page = RosterPage.read(reply.body());
        } catch (Unreadable e) {
            failed();
            return;
        }
        boolean sameAgain =
                page.generation() == generation
                        && !page.listings().isEmpty()
                        && schedule.early(router.now());
        if (usedBefore && (page.generation() < generation || (!wholeAsked && sameAgain))) {
            // On one connection versions only grow: this is an earlier answer that came once more,
            // and the call that is
            // out still waits there.
            outOfStep();
            return;
        }
        // A discovery that came back may count anew: what has changed since its first version is
        // not all that has.
        boolean counted = page.whole() || page.generation() >= generation;
        wholeWanted = (wholeWanted && !page.whole() && !wholeAsked) || !counted;
        schedule.answered(router.now(), page.generation() != generation);
        generation = page.generation();
        router.discoverySaid(page);
        if (led || (!watching && !wholeWanted)) {
            schedule.stopped();
            follow();
        } else if (wholeWanted) {
            call();
        } else {
            goOn();
        }
    }

    private void goOn() {
        if (schedule.due() <= router.now()) {
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
        if (schedule.calling()) {
            send();
        }
    }

    @Override
    public void notConnected() {
        link = null;
        failed();
    }

    @Override
    public void received(ByteBuffer bytes) {
        if (!schedule.calling()) {
            hangUp();
            return;
        }
        try {
            if (reply.take(bytes)) {
                if (bytes.hasRemaining()) {
                    // More than was asked for, as a second answer: the rest of it would be taken
                    // for the next one.
                    hangUp();
                }
                answered();
            }
        } catch (Unreadable e) {
            failed();
        }
    }

    @Override
    public void ended() {
        gone();
    }

    @Override
    public void broken() {
        gone();
    }

    private void gone() {
        hangUp();
        if (!schedule.calling()) {
            return;
        }
        if (reply.end()) {
            answered();
        } else if (usedBefore && !reply.begun()) {
            // A kept connection may be ended by the other side just as a call goes out on it.
            call();
        } else {
            failed();
        }
    }
}
