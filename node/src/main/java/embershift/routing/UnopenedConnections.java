package embershift.routing;

import embershift.transport.EventLoop;
import java.util.function.IntSupplier;

/**
 * The connections from which no tunnel has come yet, and what they may hold: a time, and of the
 * descriptors only what tunnels leave. When these run short, who was turned away goes first, then
 * who says nothing.
 */
final class UnopenedConnections implements EventLoop.Admission {

    /**
     * Seconds from the accept within which a whole first line must have come, however many
     * questions come before it. Clients send theirs at once; within three seconds all others must
     * have heard.
     */
    private static final double FIRST_LINE_SECONDS = 2;

    /**
     * Descriptors that no tunnel takes, so that clients can still be read and answered; and those
     * that no client takes, for discovery and for what the loop has accepted and not yet handed
     * over.
     */
    private static final int CLIENT_RESERVE = 32;

    private static final int NODE_RESERVE = CLIENT_RESERVE / 2;

    /**
     * Clients that are read and answered even where others, as tunnels after a lower limit, hold
     * all there is.
     */
    private static final int MIN_CLIENTS = 4;

    /** Seconds for which they are left alone then, so that what they have sent is read. */
    private static final double READ_GRACE_SECONDS = 0.02;

    private final EventLoop loop;
    private final Tally tally;
    private final IntSupplier promised;
    private int descriptorLimit;

    /**
     * Whether one is being read on its way out: a tunnel that comes of that sends no other away in
     * turn.
     */
    private boolean readingOldest;

    private final TimeoutQueue<TunnelRelay> waiting = new TimeoutQueue<>(FIRST_LINE_SECONDS);

    /**
     * {@code promised}: descriptors that tunnels taken in will need, or that are for hosts, and are
     * not taken yet.
     */
    UnopenedConnections(EventLoop loop, Tally tally, IntSupplier promised) {
        this.loop = loop;
        this.promised = promised;
        this.tally = tally;
    }

    /**
     * The limit on descriptors from now on; what strangers hold beyond it they give back at once.
     */
    void setDescriptorLimit(int most) {
        descriptorLimit = most;
        while (heldDescriptors() > descriptorLimit - NODE_RESERVE
                && waiting.size() + loop.lingeringCount() >= MIN_CLIENTS
                && evictOne()) {
            // One after the other.
        }
    }

    void add(TunnelRelay passage) {
        waiting.add(passage, loop.now());
    }

    boolean hasAny() {
        return waiting.oldest() != null;
    }

    /** Whether part of a first line has come from one of them. */
    boolean hasPartialFirstLine() {
        return waiting.snapshot().stream().anyMatch(TunnelRelay::hasPartialFirstLine);
    }

    /** The node stops: whoever is still here hears so, rather than an end without a word. */
    void closeAll() {
        waiting.snapshot().forEach(passage -> passage.closeUnopened("BUSY"));
    }

    void remove(TunnelRelay passage) {
        waiting.remove(passage);
    }

    void expire(double now) {
        waiting.expire(
                now,
                passage -> {
                    // What it has sent by now has come in time, also where the loop stood still
                    // over it.
                    if (passage.isUnopenedAfterRead()) {
                        tally.count("connections silent for too long");
                        passage.closeUnopened("ERR no first line came");
                    }
                });
    }

    /** Whether a tunnel may take the descriptors that it needs, once strangers have made room. */
    boolean makeRoom() {
        return makeRoomLeaving(CLIENT_RESERVE);
    }

    /**
     * The same for a tunnel that stood before, whose place has been promised. Any client can say
     * that it is such a one, so it does not get those that no client takes either.
     */
    boolean makeRoomForStanding() {
        return makeRoomLeaving(NODE_RESERVE);
    }

    /**
     * Has strangers make room, so that a further connection may come in. A few always may: even one
     * that is only to be declined has to be read, or it would wait at the system until its client's
     * time is out.
     */
    @Override
    public boolean mayAccept() {
        while (heldDescriptors() > descriptorLimit - NODE_RESERVE) {
            if (waiting.size() + loop.lingeringCount() < MIN_CLIENTS) {
                tally.count("connections let in beyond the descriptors");
                return true;
            }
            if (loop.lingeringCount() == 0
                    && waiting.size() <= MIN_CLIENTS
                    && loop.now() < waiting.addedAt(waiting.oldest()) + READ_GRACE_SECONDS) {
                tally.count("accepts paused");
                return false;
            }
            evictOne();
        }
        return true;
    }

    @Override
    public int freeDescriptors() {
        return descriptorLimit - NODE_RESERVE - heldDescriptors();
    }

    private int heldDescriptors() {
        return loop.openDescriptors() + promised.getAsInt();
    }

    private boolean makeRoomLeaving(int free) {
        while (heldDescriptors() > descriptorLimit - free) {
            if (!evictOne()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Who was turned away goes first, then who says nothing; whether there was one, or one has
     * spoken after all.
     */
    private boolean evictOne() {
        if (loop.closeOldestLingering()) {
            return true;
        }
        TunnelRelay silent = waiting.oldest();
        if (silent == null || readingOldest) {
            return false;
        }
        // What it has sent may be unread, as after a pause of the process; closed over that, it
        // would hear nothing.
        readingOldest = true;
        boolean stranger = silent.isUnopenedAfterRead();
        readingOldest = false;
        if (!stranger) {
            return true;
        }
        tally.count("connections turned away for want of descriptors");
        silent.closeUnopened("BUSY");
        return true;
    }
}
