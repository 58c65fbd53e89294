package embershift.routing;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Decides which hosts may have a connection for probes. A number of them is reserved, whatever
 * clients hold. Beyond the reserve a host gets one only if there is room; otherwise it takes the
 * place of an idle one, or waits.
 *
 * @param <T> the type that identifies a host
 */
final class ProbeConnectionPool<T> {

    private final BooleanSupplier hasRoomBeyondReserve;
    private final Consumer<T> close;
    private int reserved;
    private int open;

    /** Hosts with a connection and no probe in progress, the longest idle first. */
    private final Set<T> idle = new LinkedHashSet<>();

    /** Hosts that wait for a connection, the longest waiting first. */
    private final Set<T> waiting = new LinkedHashSet<>();

    /**
     * {@code hasRoomBeyondReserve} tells whether a connection may be opened beyond the reserve;
     * {@code close} closes a host's connection.
     */
    ProbeConnectionPool(BooleanSupplier hasRoomBeyondReserve, Consumer<T> close) {
        this.hasRoomBeyondReserve = hasRoomBeyondReserve;
        this.close = close;
    }

    void reserve(int count) {
        reserved = count;
    }

    /** Number of reserved descriptors that are not in use. */
    int unusedReserve() {
        return Math.max(0, reserved - open);
    }

    /** Returns whether the host may open a connection now; if not, it is queued. */
    boolean tryAcquire(T host) {
        if (open >= reserved && !hasRoomBeyondReserve.getAsBoolean()) {
            if (idle.isEmpty()) {
                waiting.add(host);
                return false;
            }
            close.accept(idle.iterator().next());
        }
        waiting.remove(host);
        open++;
        return true;
    }

    /** Removes the host's connection, which has been closed. */
    void released(T host) {
        open--;
        idle.remove(host);
    }

    /** Sets whether the host's connection is idle, or has a probe in progress. */
    void setIdle(T host, boolean isIdle) {
        if (isIdle) {
            idle.add(host);
        } else {
            idle.remove(host);
        }
    }

    /** Removes the host from the queue; returns whether it was waiting. */
    boolean cancelWait(T host) {
        return waiting.remove(host);
    }

    /** The host that has waited longest, or null. */
    T firstWaiting() {
        return waiting.isEmpty() ? null : waiting.iterator().next();
    }
}
