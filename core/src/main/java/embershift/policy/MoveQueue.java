package embershift.policy;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;

/**
 * Open tunnels whose host or node goes away, in the order in which they are to be moved, one by
 * one.
 */
final class MoveQueue {

    private final Deque<Tunnel> queue = new ArrayDeque<>();
    private double nextMoveAt;
    private double endAt;

    /**
     * Queues those that are open: all that wait go evenly over this time, what comes after it at
     * once.
     */
    void addOpenTunnels(Collection<Tunnel> tunnels, double from, double duration) {
        tunnels.stream().filter(tunnel -> tunnel.open && !tunnel.moving).forEach(queue::add);
        nextMoveAt = from;
        endAt = from + duration;
    }

    /** Lets the turns begin sooner, and go evenly until the same end. */
    void bringForward(double from) {
        nextMoveAt = Math.min(nextMoveAt, from);
    }

    /**
     * No turn comes before this, as tunnels find no host now: who is moved would be declined, and
     * fares better where it stands. All that wait are that much later.
     */
    void delayUntil(double from) {
        double delay = Math.max(0, from - nextMoveAt);
        nextMoveAt += delay;
        endAt += delay;
    }

    void add(Tunnel tunnel) {
        queue.add(tunnel);
    }

    /** The tunnel whose turn has come, or null. */
    Tunnel pollDue(double now) {
        // Those that have ended or been moved meanwhile take no turn.
        while (!queue.isEmpty() && (queue.peek().host == null || queue.peek().moving)) {
            queue.remove();
        }
        if (queue.isEmpty() || now < nextMoveAt) {
            return null;
        }
        Tunnel tunnel = queue.remove();
        nextMoveAt = now + Math.max(0, endAt - now) / Math.max(1, queue.size());
        return tunnel;
    }

    /** When the next turn comes; never, while none waits. */
    double nextMoveAt() {
        return queue.isEmpty() ? Double.POSITIVE_INFINITY : nextMoveAt;
    }
}
