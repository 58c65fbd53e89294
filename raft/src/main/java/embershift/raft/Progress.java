package embershift.raft;

import java.util.ArrayDeque;
import java.util.Deque;

/** How far another member is, as its leader knows. */
final class Progress {

    /**
     * Looking for where the logs agree, one message at a time; sending ahead; or sending a
     * snapshot.
     */
    enum Way {
        PROBING,
        AHEAD,
        SNAPSHOT
    }

    Way way = Way.PROBING;

    /** The last place known to be on its disk; the next to send. */
    long match;

    long next;

    /** A probe is out; the next heartbeat lets another go. */
    boolean waits;

    /** The last places of the messages that are out. */
    final Deque<Long> flight = new ArrayDeque<>();

    /** Since the leader last looked; and in the time before that. */
    boolean heard;

    boolean heardBefore;
    long round;
    long run;
    Snapshot snapshot;
    long offset;

    /** Ticks since the last piece went out. */
    int sincePiece;

    Progress(long next) {
        this.next = next;
    }

    void lookAgain() {
        heardBefore = heard;
        heard = false;
    }

    void probe(long from) {
        way = Way.PROBING;
        next = Math.max(from, match + 1);
        waits = false;
        flight.clear();
        snapshot = null;
    }

    void acknowledged(long index) {
        match = Math.max(match, index);
        next = Math.max(next, match + 1);
        while (!flight.isEmpty() && flight.peek() <= match) {
            flight.remove();
        }
    }
}
