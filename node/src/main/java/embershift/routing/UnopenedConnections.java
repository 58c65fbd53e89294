package embershift.routing;

import embershift.transport.EventLoop;
import java.util.function.IntSupplier;

/**
 * Client connections that have not opened a tunnel yet. They have a limited time for that, and may
 * use only descriptors that tunnels leave free. When descriptors run short, connections that were
 * already rejected are closed first, then those that have waited longest without opening a tunnel.
 */
final class UnopenedConnections implements EventLoop.Admission {

    /**
     * Seconds from the accept within which the whole OPEN line must have arrived, however many PING
     * lines come before it. Clients send it at once; all others must have had an answer within
     * three seconds.
     */
    private static final double FIRST_LINE_SECONDS = 2;

    /** Descriptors that no tunnel takes, so that clients can still be read and answered. */
    private static final int CLIENT_RESERVE = 32;

    /**
     * Descriptors that no client takes: for discovery, and for connections that the loop has
     * accepted and not yet handed over.
     */
    private static final int NODE_RESERVE = CLIENT_RESERVE / 2;

    /**
     * Number of clients that are always read and answered, even if others hold all descriptors,
     * such as tunnels after the limit was lowered.
     */
    private static final int MIN_CLIENTS = 4;

    /** Seconds for which those are not evicted then, so that what they have sent is read. */
    private static final double READ_GRACE_SECONDS = 0.02;

    private final EventLoop loop;
    private final Tally tally;
    private final IntSupplier committedDescriptors;
    private int descriptorLimit;

    /**
     * Whether a connection is being read before its eviction: a tunnel that this opens must not
     * evict another connection in turn.
     */
    private boolean readingOldest;

    private final TimeoutQueue<TunnelRelay> waiting = new TimeoutQueue<>(FIRST_LINE_SECONDS);

    /**
     * {@code promised} gives the number of descriptors not taken yet that accepted tunnels will
     * need or that are reserved for probe connections.
     */
    UnopenedConnections(EventLoop loop, Tally tally, IntSupplier committedDescriptors) {
        this.loop = loop;
        this.committedDescriptors = committedDescriptors;
        this.tally = tally;
    }

    /**
     * Sets the limit on descriptors; connections beyond it are closed at once, until fewer than
     * {@link #MIN_CLIENTS} are left.
     */
    void setDescriptorLimit(int limit) {
        descriptorLimit = limit;
        while (heldDescriptors() > descriptorLimit - NODE_RESERVE
                && waiting.size() + loop.lingeringCount() >= MIN_CLIENTS
                && evictOne()) {
            // Evict one at a time.
        }
    }

    void add(TunnelRelay relay) {
        waiting.add(relay, loop.now());
    }

    boolean hasAny() {
        return waiting.oldest() != null;
    }

    /** Whether part of a first line has arrived on any of them. */
    boolean hasPartialFirstLine() {
        return waiting.snapshot().stream().anyMatch(TunnelRelay::hasPartialFirstLine);
    }

    /** Closes all connections because the node stops, with BUSY rather than without an answer. */
    void closeAll() {
        waiting.snapshot().forEach(relay -> relay.closeUnopened("BUSY"));
    }

    void remove(TunnelRelay relay) {
        waiting.remove(relay);
    }

    void expire(double now) {
        waiting.expire(
                now,
                relay -> {
                    // What the client has sent by now is in time, even if the loop was stalled
                    // and has not read it.
                    if (relay.isUnopenedAfterRead()) {
                        tally.count("connections silent for too long");
                        relay.closeUnopened("ERR no first line came");
                    }
                });
    }

    /**
     * Evicts connections as needed so that a tunnel can take its descriptors; returns whether it
     * can.
     */
    boolean makeRoom() {
        return makeRoomLeaving(CLIENT_RESERVE);
    }

    /**
     * The same for a tunnel that was open before this node started and is to keep its place. It may
     * use descriptors that other tunnels must leave free, but not the node's own reserve, as any
     * client can claim to be such a tunnel.
     */
    boolean makeRoomForResumed() {
        return makeRoomLeaving(NODE_RESERVE);
    }

    /**
     * Evicts connections as needed so that another may be accepted. A few always may: even a
     * connection that is only to be declined has to be read, or it would wait in the system's
     * backlog until its client's timeout.
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
        return loop.openDescriptors() + committedDescriptors.getAsInt();
    }

    private boolean makeRoomLeaving(int reserve) {
        while (heldDescriptors() > descriptorLimit - reserve) {
            if (!evictOne()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Closes a connection that was already rejected, or else the oldest without a tunnel. Returns
     * false if there was none; true also if the oldest has opened a tunnel after all.
     */
    private boolean evictOne() {
        if (loop.closeOldestLingering()) {
            return true;
        }
        TunnelRelay oldest = waiting.oldest();
        if (oldest == null || readingOldest) {
            return false;
        }
        // Its input may be unread, as after a pause of the process; if it were closed with unread
        // input, the client would not receive the answer.
        readingOldest = true;
        boolean unopened = oldest.isUnopenedAfterRead();
        readingOldest = false;
        if (!unopened) {
            return true;
        }
        tally.count("connections turned away for want of descriptors");
        oldest.closeUnopened("BUSY");
        return true;
    }
}
