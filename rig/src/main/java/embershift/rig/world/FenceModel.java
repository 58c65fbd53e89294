package embershift.rig.world;

import embershift.fleet.lease.FencingGuard;
import embershift.fleet.lease.FencingToken;
import embershift.fleet.lease.TaskId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Grants, orders and gates as a small model, explored to the end in all interleavings, breadth
 * first: two owners, two receivers, one restart of each, and so many grants. The receivers go by
 * the very {@link FencingGuard} of the program.
 */
public final class FenceModel {

    /** Known mistakes, one at a time, each of which has to be found. */
    public enum Mistake {
        NONE,
        /** An owner counts its lease from the answer, not from before it asked. */
        LEASE_FROM_ANSWER,
        /**
         * The record lets go of an owner before the owner has stopped: a new leader that counts on,
         * or a fast clock.
         */
        RECORD_LETS_GO_EARLY,
        /** A receiver that has just started takes the first fence that comes. */
        TAKES_FIRST_AFTER_START,
        /** The record's word was asked for before the receiver started. */
        WORD_FROM_BEFORE,
        /** The fence goes with its owner, and begins anew. */
        FENCE_FORGOTTEN
    }

    /**
     * {@code broken}: the steps that lead to a broken promise, as a script, or null; {@code
     * states}: how many there are.
     */
    public record Result(String broken, int states) {}

    private static final TaskId DUTY = new TaskId("d");
    private static final int FLIGHT = 2;

    /**
     * Grants are numbered as they were made, whatever their fences say; {@code fence}, {@code
     * holder} are the record's, the rest by owner or receiver.
     */
    private static final class State {
        byte fence;
        byte holder = -1;
        byte grants;
        final byte[] answer = new byte[2];
        final byte[] own = new byte[2];
        final byte[] ownerStarts = new byte[2];

        /**
         * Known fence of each receiver, -1 unsure; the record's word on its way, -1 none; the
         * highest ever taken.
         */
        final byte[] known = {-1, -1};

        final byte[] word = {-1, -1};
        final byte[] taken = new byte[2];
        final byte[] starts = new byte[2];

        /** Orders on their way, fence * 2 + receiver, sorted. */
        List<Byte> flight = List.of();

        /** Whether two have held at once. */
        boolean two;

        State copy() {
            State copy = new State();
            copy.fence = fence;
            copy.holder = holder;
            copy.grants = grants;
            copy.two = two;
            for (int i = 0; i < 2; i++) {
                copy.answer[i] = answer[i];
                copy.own[i] = own[i];
                copy.ownerStarts[i] = ownerStarts[i];
                copy.known[i] = known[i];
                copy.word[i] = word[i];
                copy.taken[i] = taken[i];
                copy.starts[i] = starts[i];
            }
            copy.flight = new ArrayList<>(flight);
            return copy;
        }

        /** The whole state in a few characters. */
        String key() {
            StringBuilder key = new StringBuilder(32);
            key.append((char) fence)
                    .append((char) (holder + 1))
                    .append((char) grants)
                    .append(two ? '2' : '1');
            for (byte[] each :
                    new byte[][] {answer, own, ownerStarts, known, word, taken, starts}) {
                key.append((char) (each[0] + 1)).append((char) (each[1] + 1));
            }
            flight.forEach(order -> key.append((char) order.byteValue()));
            return key.toString();
        }
    }

    private record Found(String before, String step) {}

    private final Mistake mistake;
    private final boolean clocksKeep;
    private final int most;
    private final Map<String, Found> seen = new HashMap<>();
    private final Deque<State> next = new ArrayDeque<>();
    private String broken;

    private FenceModel(Mistake mistake, boolean clocksKeep, int most) {
        this.most = most;
        this.mistake = mistake;
        this.clocksKeep = clocksKeep;
    }

    /**
     * {@code clocksKeep}: clocks keep within the bound that leases assume; then no two hold at
     * once. In any case the fences taken at a receiver never fall. {@code grants}: how many there
     * are in all.
     */
    public static Result explore(Mistake mistake, boolean clocksKeep, int grants) {
        return new FenceModel(mistake, clocksKeep, grants).explore();
    }

    /** What a mistake in the gate itself leads to, as a script, or null. */
    public static String firstBroken() {
        return explore(Mistake.NONE, false, 2).broken;
    }

    private Result explore() {
        State first = new State();
        seen.put(first.key(), new Found(null, "begin"));
        next.add(first);
        while (!next.isEmpty() && broken == null) {
            State state = next.remove();
            for (int i = 0; i < 2 && broken == null; i++) {
                owner(state, i);
                receiver(state, i);
            }
            orders(state);
        }
        return new Result(broken, seen.size());
    }

    private void reach(State before, State state, String step) {
        if (broken == null
                && seen.putIfAbsent(state.key(), new Found(before.key(), step)) == null) {
            if (clocksKeep && state.two) {
                broken = script(state, "two owners hold at once");
            }
            next.add(state);
        }
    }

    private String script(State last, String what) {
        List<String> steps = new ArrayList<>();
        for (Found found = seen.get(last.key());
                found != null && found.before != null;
                found = seen.get(found.before)) {
            steps.add(found.step);
        }
        Collections.reverse(steps);
        return what + ": " + String.join("; ", steps);
    }

    private void owner(State state, int i) {
        if (state.holder < 0 && state.grants < most && state.answer[i] == 0) {
            State then = state.copy();
            then.grants++;
            then.fence++;
            then.holder = (byte) i;
            then.answer[i] = then.fence;
            reach(state, then, "o" + i + " is granted " + then.fence);
        }
        if (state.answer[i] > 0) {
            // The answer comes in time, or when the lease that began before the call is over.
            boolean over = state.holder != i || state.fence != state.answer[i];
            State then = state.copy();
            then.answer[i] = 0;
            if (!over || mistake == Mistake.LEASE_FROM_ANSWER || !clocksKeep) {
                hold(then, i, state.answer[i]);
            }
            reach(state, then, "o" + i + " hears of its grant");
        }
        if (state.holder == i) {
            // An owner has stopped by itself before the record lets go, if clocks keep; its answer
            // may still be on the way.
            boolean stopped = state.own[i] == 0;
            if (stopped || !clocksKeep || mistake == Mistake.RECORD_LETS_GO_EARLY) {
                State then = state.copy();
                then.holder = -1;
                reach(state, then, "the record lets go of o" + i);
            }
        }
        if (state.own[i] > 0) {
            State then = state.copy();
            then.own[i] = 0;
            reach(state, then, "o" + i + " stops by itself");
            if (state.ownerStarts[i] == 0) {
                State anew = state.copy();
                anew.own[i] = 0;
                anew.answer[i] = 0;
                anew.ownerStarts[i] = 1;
                reach(state, anew, "o" + i + " starts anew");
            }
            for (int to = 0; to < 2; to++) {
                if (state.flight.size() < FLIGHT) {
                    State sent = state.copy();
                    sent.flight.add((byte) (state.own[i] * 2 + to));
                    Collections.sort(sent.flight);
                    reach(
                            state,
                            sent,
                            "o" + i + " sends an order by " + state.own[i] + " to r" + to);
                }
            }
        }
    }

    private void hold(State state, int i, byte fence) {
        state.own[i] = fence;
        state.two |= state.own[1 - i] > 0;
    }

    private void receiver(State state, int i) {
        if (state.known[i] < 0 && state.word[i] < 0) {
            State asked = state.copy();
            asked.word[i] = state.fence;
            reach(state, asked, "the record answers r" + i + " with " + state.fence);
        }
        if (state.word[i] >= 0) {
            State told = state.copy();
            FencingGuard gate = gate(state.known[i]);
            gate.learnLatest(DUTY, fence(state.word[i]));
            told.known[i] = known(gate);
            told.word[i] = -1;
            reach(state, told, "r" + i + " hears the record");
        }
        if (state.starts[i] == 0) {
            State anew = state.copy();
            anew.starts[i] = 1;
            anew.known[i] = (byte) (mistake == Mistake.TAKES_FIRST_AFTER_START ? 0 : -1);
            // What was asked before the start is not heard by the one that has started.
            anew.word[i] = mistake == Mistake.WORD_FROM_BEFORE ? state.word[i] : -1;
            reach(state, anew, "r" + i + " starts anew");
        }
        if (mistake == Mistake.WORD_FROM_BEFORE && state.word[i] < 0 && state.starts[i] == 0) {
            State early = state.copy();
            early.word[i] = state.fence;
            reach(state, early, "the record answers r" + i + " early with " + state.fence);
        }
    }

    private FencingToken fence(byte grant) {
        return new FencingToken(mistake == Mistake.FENCE_FORGOTTEN ? Math.min(grant, 1) : grant);
    }

    private static FencingGuard gate(byte known) {
        FencingGuard gate = new FencingGuard();
        if (known >= 0) {
            gate.learnLatest(DUTY, new FencingToken(known));
        }
        return gate;
    }

    private static byte known(FencingGuard gate) {
        return gate.highestKnown(DUTY).map(token -> (byte) token.number()).orElse((byte) -1);
    }

    private void orders(State state) {
        for (int i = 0; i < state.flight.size() && broken == null; i++) {
            if (i > 0 && state.flight.get(i).equals(state.flight.get(i - 1))) {
                continue;
            }
            byte fence = (byte) (state.flight.get(i) / 2);
            int to = state.flight.get(i) % 2;
            State then = state.copy();
            then.flight.remove(i);
            FencingGuard gate = gate(state.known[to]);
            FencingGuard.Verdict verdict = gate.admit(DUTY, fence(fence));
            then.known[to] = known(gate);
            String step = "r" + to + " finds the order by " + fence + " " + verdict;
            if (verdict == FencingGuard.Verdict.ADMITTED) {
                if (fence < state.taken[to]) {
                    broken =
                            script(
                                    state,
                                    "r"
                                            + to
                                            + " takes an order by "
                                            + fence
                                            + " after one by "
                                            + state.taken[to]);
                    return;
                }
                then.taken[to] = fence;
            }
            reach(state, then, step);
        }
    }
}
