package embershift.policy;

import embershift.model.Decisions;
import java.util.Collection;

/**
 * The departure of this node. A leaving node repeatedly asks the others whether one of them is
 * available, and keeps its tunnels until one answers: if they were moved while all other nodes are
 * down, clients would find no node to reconnect to. It keeps them no longer than leaves time to
 * move them all.
 */
final class NodeDeparture {

    /**
     * Messages between nodes. The only other message is the id of a host, which is never one of
     * these single bytes.
     */
    private static final byte[] QUESTION = {1};

    private static final byte[] ANSWER = {2};

    /**
     * Maximum number of periods that a leaving node is given; fewer where clients wait for less.
     */
    private static final double MAX_STAY_PERIODS = 3;

    /**
     * Share of that time for which it keeps its tunnels while no other node is available to take
     * them.
     */
    private static final double HOLD_SHARE = 0.75;

    /** Periods for which the front may still send new tunnels to a leaving node. */
    private static final double FRONT_LAG_PERIODS = 0.5;

    /** Periods between two questions: datagrams get lost, and a node may come back meanwhile. */
    private static final double QUESTION_INTERVAL_PERIODS = 0.25;

    private final MoveQueue moveQueue;
    private final double period;
    private boolean hasBegun;
    private double earliestMoveAt;
    private double nextQuestionAt = Double.POSITIVE_INFINITY;

    NodeDeparture(MoveQueue moveQueue, double period) {
        this.moveQueue = moveQueue;
        this.period = period;
    }

    /** Whether this node is leaving. */
    boolean hasBegun() {
        return hasBegun;
    }

    /**
     * Begins to leave. {@code longestTimeout}: no client of these tunnels waits longer than this.
     */
    void begin(
            Collection<Tunnel> tunnels,
            double now,
            double longestTimeout,
            boolean mayMessageNodes,
            boolean replaced) {
        hasBegun = true;
        double stay = Math.min(MAX_STAY_PERIODS * period, longestTimeout);
        if (replaced) {
            // The successor is already running, and no front has to notice: all the time is left
            // for moves.
            moveQueue.addOpenTunnels(tunnels, now, stay);
            return;
        }
        earliestMoveAt = now + FRONT_LAG_PERIODS * period;
        moveQueue.addOpenTunnels(tunnels, now + HOLD_SHARE * stay, stay - HOLD_SHARE * stay);
        if (mayMessageNodes) {
            nextQuestionAt = now;
        } else {
            moveQueue.bringForward(earliestMoveAt);
        }
    }

    void askOtherNodes(double now, Decisions decisions) {
        if (now >= moveQueue.nextMoveAt()) {
            nextQuestionAt = Double.POSITIVE_INFINITY;
        } else if (now >= nextQuestionAt) {
            nextQuestionAt = now + QUESTION_INTERVAL_PERIODS * period;
            decisions.sendToAllNodes(QUESTION);
        }
    }

    double nextQuestionAt() {
        return nextQuestionAt;
    }

    /** Handles a message from another node, and returns whether it was one about leaving. */
    boolean handleMessage(int node, byte[] content, double now, Decisions decisions) {
        if (content.length != 1 || content[0] > ANSWER[0]) {
            return false;
        }
        if (content[0] == QUESTION[0] && !hasBegun) {
            decisions.sendToNode(node, ANSWER);
        } else if (content[0] == ANSWER[0] && hasBegun) {
            nextQuestionAt = Double.POSITIVE_INFINITY;
            moveQueue.bringForward(Math.max(now, earliestMoveAt));
        }
        return true;
    }
}
