package embershift.emulator.world;

import java.util.Locale;
import java.util.function.Consumer;

/**
 * The life of one tunnel, host or node, told line by line in order; or nobody's, which costs
 * nothing.
 */
public final class Trace {

    /** A trace that tells nothing. */
    public static final Trace NONE = new Trace("", line -> {});

    private final String of;
    private final Consumer<String> lines;

    /**
     * Tells of all that {@code of} has a part in: a tunnel's id, a caller's number as {@code c12},
     * a host or a node.
     */
    public Trace(String of, Consumer<String> lines) {
        this.of = of;
        this.lines = lines;
    }

    public boolean wants(String one, String other) {
        return !of.isEmpty() && (of.equals("all") || of.equals(one) || of.equals(other));
    }

    boolean wants(Attempt attempt, String other) {
        return !of.isEmpty()
                && (wants(attempt.id.name(), other) || of.equals("c" + attempt.caller.number));
    }

    public void tell(double at, String what) {
        lines.accept(String.format(Locale.ROOT, "%9.4f  %s", at, what));
    }

    void of(double at, Attempt attempt, String what) {
        if (wants(attempt, attempt.node == null ? "" : attempt.node.name)) {
            tell(at, attempt.id.name() + " (c" + attempt.caller.number + ") " + what);
        }
    }

    void of(double at, Attempt attempt, Host host, String what) {
        if (wants(attempt, host.name) || wants("", attempt.node == null ? "" : attempt.node.name)) {
            tell(
                    at,
                    attempt.id.name()
                            + " (c"
                            + attempt.caller.number
                            + ") "
                            + what
                            + " "
                            + host.name);
        }
    }

    public void of(double at, String place, String what) {
        if (wants(place, "")) {
            tell(at, place + " " + what);
        }
    }
}
