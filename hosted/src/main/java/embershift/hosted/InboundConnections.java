package embershift.hosted;

import embershift.raft.MemberId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The accepted connections of an instance by what is at their other end, and the limits of each
 * group: of callers, of nodes and of other instances. Confined to the event loop.
 */
final class InboundConnections {

    /** Nodes that may be connected at one time. */
    static final int MAX_NODES = 4096;

    /** Connections of instances that are not members, such as those of a group to be joined. */
    static final int MAX_NON_MEMBERS = 16;

    /** Seconds until a frame must have arrived completely, and until answers must be read. */
    private static final double MAX_HOLD_SECONDS = 10;

    /**
     * The part of the heap that incomplete frames may take, and that answers which are not read yet
     * may take.
     */
    private static final int HEAP_DIVISOR = 8;

    private final int maxCallers;

    /** Connections that are neither of other instances nor of nodes, oldest first. */
    private final Set<InboundConnection> callers = new LinkedHashSet<>();

    private final Set<InboundConnection> nodes = new HashSet<>();

    /** The newest connection from each other instance; only this one is read. */
    private final Map<MemberId, InboundConnection> peers = new LinkedHashMap<>();

    private final HeldBytes<InboundConnection> incompleteFrames;
    private final HeldBytes<InboundConnection> unreadAnswers;

    InboundConnections(int maxCallers, long heapBytes) {
        this.maxCallers = maxCallers;
        incompleteFrames = new HeldBytes<>(heapBytes / HEAP_DIVISOR, MAX_HOLD_SECONDS);
        unreadAnswers = new HeldBytes<>(heapBytes / HEAP_DIVISOR, MAX_HOLD_SECONDS);
    }

    void addCaller(InboundConnection connection) {
        callers.add(connection);
    }

    /**
     * Closes callers until one more is within the limit: first those that wait for no answer, in
     * the order in which they came.
     */
    int makeRoomForCaller() {
        int closed = 0;
        while (callers.size() >= maxCallers) {
            callers.stream()
                    .filter(caller -> !caller.hasOpenCalls())
                    .findFirst()
                    .orElseGet(() -> callers.iterator().next())
                    .close();
            closed++;
        }
        return closed;
    }

    /** Makes a caller's connection one of a node; returns false if there are too many. */
    boolean becomeNode(InboundConnection connection) {
        callers.remove(connection);
        return nodes.size() < MAX_NODES && nodes.add(connection);
    }

    /** Makes a caller's connection the one of another instance, and closes its earlier one. */
    void becomePeer(MemberId peer, InboundConnection connection, Set<MemberId> members) {
        callers.remove(connection);
        InboundConnection previous = peers.put(peer, connection);
        if (previous != null) {
            // What it still holds is from an earlier run of the sender, or the sender
            // abandoned it.
            previous.close();
        }
        List<MemberId> nonMembers = new ArrayList<>(peers.keySet());
        nonMembers.removeAll(members);
        if (nonMembers.size() > MAX_NON_MEMBERS) {
            peers.get(nonMembers.get(0)).close();
        }
    }

    /** The connection of another instance that is read, or null. */
    InboundConnection peer(MemberId peer) {
        return peers.get(peer);
    }

    /** Forgets a connection that is closed or has ended its work. */
    void remove(InboundConnection connection) {
        callers.remove(connection);
        nodes.remove(connection);
        peers.values().remove(connection);
        incompleteFrames.release(connection);
        unreadAnswers.release(connection);
    }

    /** Records how much of a frame a connection has sent so far. */
    void recordIncompleteFrame(InboundConnection connection, long bytes, double now) {
        incompleteFrames.record(connection, bytes, now);
        closeLargest(incompleteFrames);
    }

    /**
     * Notes that a connection has sent a complete frame, so that the next one has its full time.
     */
    void frameCompleted(InboundConnection connection) {
        incompleteFrames.release(connection);
    }

    /** Records how much has been written to a connection that its other end has not taken. */
    void recordUnreadAnswers(InboundConnection connection, long bytes, double now) {
        unreadAnswers.record(connection, bytes, now);
        closeLargest(unreadAnswers);
    }

    private static void closeLargest(HeldBytes<InboundConnection> bound) {
        for (Optional<InboundConnection> largest = bound.largestBeyondLimit();
                largest.isPresent();
                largest = bound.largestBeyondLimit()) {
            bound.release(largest.get());
            largest.get().abandon("connections closed for the memory that they took");
        }
    }

    /** Closes connections that have held bytes for too long. Call it several times a second. */
    void closeOverdue(double now) {
        incompleteFrames
                .overdue(now)
                .forEach(each -> each.abandon("connections with frames that did not end"));
        unreadAnswers
                .overdue(now)
                .forEach(each -> each.abandon("connections that did not read their answers"));
    }
}
