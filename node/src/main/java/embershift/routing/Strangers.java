package embershift.routing;

import embershift.transport.EventLoop;
import java.util.function.IntSupplier;

/**
 * The connections from which no tunnel has come yet, and what they may hold: a time, and of the
 * descriptors only what tunnels leave. When these run short, who was turned away goes first, then
 * who says nothing.
 */
final class Strangers implements EventLoop.Admission {

    /**
     * Seconds from the accept within which a whole first line must have come, however many
     * questions come before it. Clients send theirs at once; within three seconds all others must
     * have heard.
     */
    private static final double FIRST_LINE = 2;

    /**
     * Descriptors that no tunnel takes, so that clients can still be read and answered; and those
     * that no client takes, for discovery and for what the loop has accepted and not yet handed
     * over.
     */
    private static final int RESERVE = 32;

    private static final int OWN_RESERVE = RESERVE / 2;

    /**
     * Clients that are read and answered even where others, as tunnels after a lower limit, hold
     * all there is.
     */
    private static final int ALWAYS = 4;

    /** Seconds for which they are left alone then, so that what they have sent is read. */
    private static final double TO_BE_READ = 0.02;

    private final EventLoop loop;
    private final Tally tally;
    private final IntSupplier promised;
    private int sockets;

    /**
     * Whether one is being read on its way out: a tunnel that comes of that sends no other away in
     * turn.
     */
    private boolean looking;

    private final Ageing<Passage> waiting = new Ageing<>(FIRST_LINE);

    /**
     * {@code promised}: descriptors that tunnels taken in will need, or that are for hosts, and are
     * not taken yet.
     */
    Strangers(EventLoop loop, Tally tally, IntSupplier promised) {
        this.loop = loop;
        this.promised = promised;
        this.tally = tally;
    }

    /**
     * The limit on descriptors from now on; what strangers hold beyond it they give back at once.
     */
    void limit(int most) {
        sockets = most;
        while (held() > sockets - OWN_RESERVE
                && waiting.size() + loop.lingeringCount() >= ALWAYS
                && oneGoes()) {
            // One after the other.
        }
    }

    void begin(Passage passage) {
        waiting.begin(passage, loop.now());
    }

    boolean any() {
        return waiting.oldest() != null;
    }

    /** Whether part of a first line has come from one of them. */
    boolean anyBegun() {
        return waiting.all().stream().anyMatch(Passage::greetingBegun);
    }

    /** The node stops: whoever is still here hears so, rather than an end without a word. */
    void turnAway() {
        waiting.all().forEach(passage -> passage.greetingOver("BUSY"));
    }

    void end(Passage passage) {
        waiting.end(passage);
    }

    void expire(double now) {
        waiting.expire(
                now,
                passage -> {
                    // What it has sent by now has come in time, also where the loop stood still
                    // over it.
                    if (passage.stillStranger()) {
                        tally.count("connections silent for too long");
                        passage.greetingOver("ERR no first line came");
                    }
                });
    }

    /** Whether a tunnel may take the descriptors that it needs, once strangers have made room. */
    boolean makeRoom() {
        return leaves(RESERVE);
    }

    /**
     * The same for a tunnel that stood before, whose place has been promised. Any client can say
     * that it is such a one, so it does not get those that no client takes either.
     */
    boolean makeRoomAsPromised() {
        return leaves(OWN_RESERVE);
    }

    /**
     * Has strangers make room, so that a further connection may come in. A few always may: even one
     * that is only to be declined has to be read, or it would wait at the system until its client's
     * time is out.
     */
    @Override
    public boolean mayAccept() {
        while (held() > sockets - OWN_RESERVE) {
            if (waiting.size() + loop.lingeringCount() < ALWAYS) {
                tally.count("connections let in beyond the descriptors");
                return true;
            }
            if (loop.lingeringCount() == 0
                    && waiting.size() <= ALWAYS
                    && loop.now() < waiting.begun(waiting.oldest()) + TO_BE_READ) {
                tally.count("accepts paused");
                return false;
            }
            oneGoes();
        }
        return true;
    }

    @Override
    public int freeDescriptors() {
        return sockets - OWN_RESERVE - held();
    }

    private int held() {
        return loop.openDescriptors() + promised.getAsInt();
    }

    private boolean leaves(int free) {
        while (held() > sockets - free) {
            if (!oneGoes()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Who was turned away goes first, then who says nothing; whether there was one, or one has
     * spoken after all.
     */
    private boolean oneGoes() {
        if (loop.closeOldestLingering()) {
            return true;
        }
        Passage silent = waiting.oldest();
        if (silent == null || looking) {
            return false;
        }
        // What it has sent may be unread, as after a pause of the process; closed over that, it
        // would hear nothing.
        looking = true;
        boolean stranger = silent.stillStranger();
        looking = false;
        if (!stranger) {
            return true;
        }
        tally.count("connections turned away for want of descriptors");
        silent.greetingOver("BUSY");
        return true;
    }
}
