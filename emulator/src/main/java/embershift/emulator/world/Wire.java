package embershift.emulator.world;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One direction of one connection: what is sent arrives in that order, or does not arrive at all.
 */
final class Wire {

    private static final class Part {
        final Runnable what;
        boolean here;

        Part(Runnable what) {
            this.what = what;
        }
    }

    private final Deque<Part> parts = new ArrayDeque<>(2);

    void send(Network network, Place from, Place to, Runnable what) {
        Part part = new Part(what);
        parts.add(part);
        network.stream(
                from,
                to,
                () -> {
                    part.here = true;
                    while (!parts.isEmpty() && parts.peek().here) {
                        parts.remove().what.run();
                    }
                });
    }
}
