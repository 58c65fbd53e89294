package embershift.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;

/**
 * A node's trail until the instances have it: entries that wait, and at most one segment that is
 * out. What finds no room drops the oldest that wait; the numbers that are missing then tell of it.
 * A segment keeps its content and number until it is acknowledged, so that two instances that were
 * sent it hold the same.
 */
public final class Diary {

    private static final int SEGMENT = 64;

    private final int most;
    private final Deque<Trace> waiting = new ArrayDeque<>();
    private Hybrid clock = Hybrid.START;
    private long entries;
    private long segments;
    private long dropped;
    private String before = "";
    private Segment out;

    /** {@code most}: entries that may wait. */
    public Diary(int most) {
        this.most = most;
    }

    /** Something happened; {@code millis}: of this machine's clock, which may be set back. */
    public void enter(long millis, Trace.Kind kind, Map<String, String> fields, String words) {
        clock = clock.next(millis);
        if (waiting.size() >= most) {
            waiting.remove();
            dropped++;
        }
        waiting.add(new Trace(++entries, clock, kind, fields, words));
    }

    /** A word came that carried a time. */
    public void heard(Hybrid other, long millis) {
        clock = clock.heard(other, millis);
    }

    public Hybrid clock() {
        return clock;
    }

    /** Entries that were dropped for want of room. */
    public long dropped() {
        return dropped;
    }

    /** The segment to send, again if need be; null while there is nothing to tell. */
    public Segment next(String node, long incarnation) {
        if (out == null && !waiting.isEmpty()) {
            List<Trace> some = new ArrayList<>();
            while (!waiting.isEmpty() && some.size() < SEGMENT) {
                some.add(waiting.remove());
            }
            out = new Segment(node, incarnation, ++segments, before, some);
        }
        return out;
    }

    /** The instances have agreed on that segment and keep it. */
    public void kept(long segment) {
        if (out != null && out.number() == segment) {
            before = out.sum();
            out = null;
        }
    }

    /** Whether all is kept. */
    public boolean empty() {
        return out == null && waiting.isEmpty();
    }
}
