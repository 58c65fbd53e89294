package embershift.rig.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * What each direction between two processes is like just now. A cut is silent: what is sent waits,
 * and arrives once the cut ends. Safe for many threads.
 */
public final class Ways {

    /** From one to the other. */
    public record Way(String from, String to) {}

    /**
     * {@code delay}, {@code jitter}: seconds, the second at the most; {@code piece}: bytes that
     * pass at a time, 0 for all.
     */
    public record State(boolean cut, double delay, double jitter, int piece) {

        static final State CLEAR = new State(false, 0, 0, 0);
    }

    private final Map<Way, State> states = new HashMap<>();
    private final Set<Way> resets = new HashSet<>();
    private final Random chance;

    public Ways(long seed) {
        chance = new Random(seed);
    }

    public synchronized State state(Way way) {
        return states.getOrDefault(way, State.CLEAR);
    }

    public synchronized void set(Way way, State state) {
        if (state.equals(State.CLEAR)) {
            states.remove(way);
        } else {
            states.put(way, state);
        }
        notifyAll();
    }

    public void cut(Way way, boolean cut) {
        State state = state(way);
        set(way, new State(cut, state.delay, state.jitter, state.piece));
    }

    /** Both directions, all at once or not at all, as their callers see it. */
    public synchronized void cutBoth(String one, String other, boolean cut) {
        cut(new Way(one, other), cut);
        cut(new Way(other, one), cut);
    }

    /** The next bytes this way pass in half, and then the connection is reset. */
    public synchronized void resetNext(Way way) {
        resets.add(way);
    }

    synchronized boolean takeReset(Way way) {
        return resets.remove(way);
    }

    public synchronized void clearAll() {
        states.clear();
        resets.clear();
        notifyAll();
    }

    /** Nanoseconds by which something sent now is late. */
    synchronized long lateness(Way way) {
        State state = state(way);
        return (long) ((state.delay + state.jitter * chance.nextDouble()) * 1e9);
    }

    /** Waits while this way is cut. */
    synchronized void awaitOpen(Way way) throws InterruptedException {
        while (state(way).cut) {
            wait();
        }
    }
}
