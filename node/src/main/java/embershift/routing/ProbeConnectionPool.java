package embershift.routing;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Who of the hosts may keep a connection on which it is asked. So many are reserved, whatever
 * clients hold; beyond those one is kept only where there is room, else it takes the place of one
 * that rests, or waits for a place.
 *
 * @param <T> one host
 */
final class ProbeConnectionPool<T> {

    private final BooleanSupplier hasRoomBeyondReserve;
    private final Consumer<T> close;
    private int reserved;
    private int open;

    /** Those with a connection on which nothing is out, the longest resting first. */
    private final Set<T> idle = new LinkedHashSet<>();

    private final Set<T> waiting = new LinkedHashSet<>();

    /**
     * {@code room}: whether one more may be opened than is reserved; {@code close}: has one give
     * its connection up.
     */
    ProbeConnectionPool(BooleanSupplier room, Consumer<T> close) {
        this.hasRoomBeyondReserve = room;
        this.close = close;
    }

    void reserve(int many) {
        reserved = many;
    }

    /** Reserved descriptors that are not taken now. */
    int unusedReserve() {
        return Math.max(0, reserved - open);
    }

    /** Whether it may open a connection now; else it is in line. */
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

    /** Its connection is closed. */
    void released(T host) {
        open--;
        idle.remove(host);
    }

    /** Nothing is out on its connection, or something is. */
    void setIdle(T host, boolean does) {
        if (does) {
            idle.add(host);
        } else {
            idle.remove(host);
        }
    }

    /** Whether it was in line, which it leaves. */
    boolean cancelWait(T host) {
        return waiting.remove(host);
    }

    /** Who waits the longest, or null. */
    T firstWaiting() {
        return waiting.isEmpty() ? null : waiting.iterator().next();
    }
}
