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
final class KeptConnections<T> {

    private final BooleanSupplier room;
    private final Consumer<T> close;
    private int reserved;
    private int open;

    /** Those with a connection on which nothing is out, the longest resting first. */
    private final Set<T> resting = new LinkedHashSet<>();

    private final Set<T> line = new LinkedHashSet<>();

    /**
     * {@code room}: whether one more may be opened than is reserved; {@code close}: has one give
     * its connection up.
     */
    KeptConnections(BooleanSupplier room, Consumer<T> close) {
        this.room = room;
        this.close = close;
    }

    void reserve(int many) {
        reserved = many;
    }

    /** Reserved descriptors that are not taken now. */
    int unused() {
        return Math.max(0, reserved - open);
    }

    /** Whether it may open a connection now; else it is in line. */
    boolean take(T host) {
        if (open >= reserved && !room.getAsBoolean()) {
            if (resting.isEmpty()) {
                line.add(host);
                return false;
            }
            close.accept(resting.iterator().next());
        }
        line.remove(host);
        open++;
        return true;
    }

    /** Its connection is closed. */
    void closed(T host) {
        open--;
        resting.remove(host);
    }

    /** Nothing is out on its connection, or something is. */
    void rests(T host, boolean does) {
        if (does) {
            resting.add(host);
        } else {
            resting.remove(host);
        }
    }

    /** Whether it was in line, which it leaves. */
    boolean leaveLine(T host) {
        return line.remove(host);
    }

    /** Who waits the longest, or null. */
    T first() {
        return line.isEmpty() ? null : line.iterator().next();
    }
}
