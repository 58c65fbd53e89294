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
     * Queues the open tunnels among these. All queued tunnels are moved evenly over {@code
     * duration}; those added after it are moved at once.
     */
    void addOpenTunnels(Collection<Tunnel> tunnels, double from, double duration) {
        tunnels.stream().filter(tunnel -> tunnel.open && !tunnel.moving).forEach(queue::add);
        nextMoveAt = from;
        endAt = from + duration;
    }

    /** Starts the moves earlier, spread evenly until the same end. */
    void bringForward(double startAt) {
        nextMoveAt = Math.min(nextMoveAt, startAt);
    }

    /**
     * Postpones the next move to this time, as tunnels find no host now: a moved one would be
     * declined, and is better off where it is. The end is postponed by as much.
     */
    void delayUntil(double earliest) {
        double delay = Math.max(0, earliest - nextMoveAt);
        nextMoveAt += delay;
        endAt += delay;
    }

    void add(Tunnel tunnel) {
        queue.add(tunnel);
    }

    /** Removes and returns the tunnel whose move is due, or null. */
    Tunnel pollDue(double now) {
        // Tunnels that have ended or been moved meanwhile are skipped.
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

    /** When the next move is due; infinite while none is queued. */
    double nextMoveAt() {
        return queue.isEmpty() ? Double.POSITIVE_INFINITY : nextMoveAt;
    }
}
