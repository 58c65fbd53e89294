package embershift.policy;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;

/**
 * Open tunnels whose host or node goes away, in the order in which they are to be moved, one by
 * one.
 */
final class Departures {

    private final Deque<Tunnel> waiting = new ArrayDeque<>();
    private double next;
    private double until;

    /**
     * Queues those that are open: all that wait go evenly over this time, what comes after it at
     * once.
     */
    void addAll(Collection<Tunnel> tunnels, double from, double over) {
        tunnels.stream().filter(tunnel -> tunnel.open && !tunnel.moving).forEach(waiting::add);
        next = from;
        until = from + over;
    }

    /** Lets the turns begin sooner, and go evenly until the same end. */
    void bringForward(double from) {
        next = Math.min(next, from);
    }

    /**
     * No turn comes before this, as tunnels find no host now: who is moved would be declined, and
     * fares better where it stands. All that wait are that much later.
     */
    void hold(double from) {
        double later = Math.max(0, from - next);
        next += later;
        until += later;
    }

    void add(Tunnel tunnel) {
        waiting.add(tunnel);
    }

    /** The tunnel whose turn has come, or null. */
    Tunnel due(double now) {
        // Those that have ended or been moved meanwhile take no turn.
        while (!waiting.isEmpty() && (waiting.peek().host == null || waiting.peek().moving)) {
            waiting.remove();
        }
        if (waiting.isEmpty() || now < next) {
            return null;
        }
        Tunnel tunnel = waiting.remove();
        next = now + Math.max(0, until - now) / Math.max(1, waiting.size());
        return tunnel;
    }

    /** When the next turn comes; never, while none waits. */
    double next() {
        return waiting.isEmpty() ? Double.POSITIVE_INFINITY : next;
    }
}
