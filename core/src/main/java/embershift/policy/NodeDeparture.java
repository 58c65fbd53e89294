package embershift.policy;

import embershift.model.Decisions;
import java.util.Collection;

/**
 * A node that leaves asks the others whether one of them is here, again and again, and keeps its
 * tunnels until one says so: moved while all others are away, clients would find nobody to come
 * back to. It keeps them no longer than leaves time to move them all.
 */
final class NodeDeparture {

    /**
     * Words between nodes; the id of a host, which is what else they tell, is never one such byte.
     */
    private static final byte[] QUESTION = {1};

    private static final byte[] ANSWER = {2};

    /** Periods that a node which leaves is given at the most; less where clients wait for less. */
    private static final double MAX_STAY_PERIODS = 3;

    /** Part of that for which it keeps its tunnels while no other node is here to take them. */
    private static final double HOLD_SHARE = 0.75;

    /** Periods for which the front may still send to a node that leaves. */
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

    /** Leaving has begun, with these tunnels, whose clients wait no longer than that. */
    void begin(
            Collection<Tunnel> tunnels,
            double now,
            double longestTimeout,
            boolean mayMessageNodes,
            boolean replaced) {
        hasBegun = true;
        double stay = Math.min(MAX_STAY_PERIODS * period, longestTimeout);
        if (replaced) {
            // Who takes them is here, and no front has to notice: all the time is theirs.
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

    /** Takes what another node said if it is about leaving. */
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
