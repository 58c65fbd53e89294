package embershift.door;

import embershift.fleet.lease.FencingGuard;
import embershift.fleet.lease.TaskId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the latest fencing tokens of tasks that send orders before this process knows a token of
 * them; tokens known to the previous process are lost with it.
 */
final class FencingTokenReads {

    private static final double RETRY_SECONDS = 0.2;

    private final FencingGuard guard;
    private final List<InstanceConnection> connections;
    private final Map<TaskId, Double> lastReadAtByTask = new HashMap<>();
    private int nextConnection;

    FencingTokenReads(FencingGuard guard, List<InstanceConnection> connections) {
        this.guard = guard;
        this.connections = connections;
    }

    /** Requests that a task's token be read at the next tick. */
    void request(TaskId task) {
        lastReadAtByTask.putIfAbsent(task, Double.NEGATIVE_INFINITY);
    }

    void tick(double now) {
        if (!connections.isEmpty()) {
            lastReadAtByTask.replaceAll((task, readAt) -> readIfDue(task, readAt, now));
        }
    }

    private double readIfDue(TaskId task, double readAt, double now) {
        if (guard.highestKnown(task).isPresent() || now - readAt < RETRY_SECONDS) {
            return readAt;
        }
        connections.get(nextConnection % connections.size()).readFencingToken(task);
        nextConnection++;
        return now;
    }
}
