package embershift.policy;

import embershift.model.Decisions;
import java.util.Collection;

/**
 * A node that leaves asks the others whether one of them is here, again and again, and keeps its
 * tunnels until one says so: moved while all others are away, clients would find nobody to come
 * back to. It keeps them no longer than leaves time to move them all.
 */
final class Farewell {

    /**
     * Words between nodes; the id of a host, which is what else they tell, is never one such byte.
     */
    private static final byte[] QUESTION = {1};

    private static final byte[] ANSWER = {2};

    /** Periods that a node which leaves is given at the most; less where clients wait for less. */
    private static final double LONGEST_STAY = 3;

    /** Part of that for which it keeps its tunnels while no other node is here to take them. */
    private static final double HELD = 0.75;

    /** Periods for which the front may still send to a node that leaves. */
    private static final double FRONT_LAG = 0.5;

    /** Periods between two questions: datagrams get lost, and a node may come back meanwhile. */
    private static final double PAUSE = 0.25;

    private final Departures departures;
    private final double period;
    private boolean begun;
    private double answerFrom;
    private double nextQuestion = Double.POSITIVE_INFINITY;

    Farewell(Departures departures, double period) {
        this.departures = departures;
        this.period = period;
    }

    /** Whether this node is leaving. */
    boolean begun() {
        return begun;
    }

    /** Leaving has begun, with these tunnels, whose clients wait no longer than that. */
    void begin(
            Collection<Tunnel> tunnels,
            double now,
            double longestTimeout,
            boolean mayAsk,
            boolean replaced) {
        begun = true;
        double stay = Math.min(LONGEST_STAY * period, longestTimeout);
        if (replaced) {
            // Who takes them is here, and no front has to notice: all the time is theirs.
            departures.addAll(tunnels, now, stay);
            return;
        }
        answerFrom = now + FRONT_LAG * period;
        departures.addAll(tunnels, now + HELD * stay, stay - HELD * stay);
        if (mayAsk) {
            nextQuestion = now;
        } else {
            departures.bringForward(answerFrom);
        }
    }

    void ask(double now, Decisions decisions) {
        if (now >= departures.next()) {
            nextQuestion = Double.POSITIVE_INFINITY;
        } else if (now >= nextQuestion) {
            nextQuestion = now + PAUSE * period;
            decisions.tellAllNodes(QUESTION);
        }
    }

    double nextQuestion() {
        return nextQuestion;
    }

    /** Takes what another node said if it is about leaving. */
    boolean heard(int node, byte[] content, double now, Decisions decisions) {
        if (content.length != 1 || content[0] > ANSWER[0]) {
            return false;
        }
        if (content[0] == QUESTION[0] && !begun) {
            decisions.tellNode(node, ANSWER);
        } else if (content[0] == ANSWER[0] && begun) {
            nextQuestion = Double.POSITIVE_INFINITY;
            departures.bringForward(Math.max(now, answerFrom));
        }
        return true;
    }
}
