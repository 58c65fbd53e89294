package embershift.raft;

import java.util.ArrayList;
import java.util.List;

/**
 * Reads that wait until a quorum has confirmed that this member still leads (thesis, 6.4). At most
 * one heartbeat round is active; it serves all reads queued before it.
 */
final class ReadRequests {

    private final RaftState state;
    private final Replication replication;
    private final List<Long> queuedTickets = new ArrayList<>();
    private List<Long> activeTickets = List.of();
    private long activeReadIndex;
    private long activeRound;

    ReadRequests(RaftState state, Replication replication) {
        this.state = state;
        this.replication = replication;
    }

    void add(long ticket) {
        queuedTickets.add(ticket);
    }

    /**
     * Starts a round for the queued reads, unless one is active. Waits until the leader has
     * committed an entry of its term, as before that it may not know the latest commit index.
     */
    void startRound() {
        if (!activeTickets.isEmpty()
                || queuedTickets.isEmpty()
                || state.commitIndex < state.termStartIndex) {
            return;
        }
        activeTickets = List.copyOf(queuedTickets);
        activeReadIndex = state.commitIndex;
        queuedTickets.clear();
        activeRound = replication.startHeartbeatRound();
        completeRound();
    }

    /** Completes the reads of the active round once a quorum has replied to it. */
    void completeRound() {
        while (!activeTickets.isEmpty() && state.isLeader()) {
            if (!replication.hasQuorumSince(activeRound)) {
                return;
            }
            List<Long> completed = activeTickets;
            activeTickets = List.of();
            completed.forEach(ticket -> state.environment.readReady(ticket, activeReadIndex));
            startRound();
        }
    }

    /** Rejects all reads, as this member is no longer leader. */
    void rejectAll() {
        activeTickets.forEach(state.environment::readRejected);
        queuedTickets.forEach(state.environment::readRejected);
        activeTickets = List.of();
        queuedTickets.clear();
    }
}
