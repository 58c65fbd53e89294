package embershift.rig.history;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

/**
 * Whether calls on registers could have happened one after the other, each between its beginning
 * and its end: the search of Wing and Gong with the memory of Lowe, key by key. One that is unknown
 * may have happened at any time after it began, or never.
 */
public final class Linearizable {

    /** Gave up: there were too many ways to tell within the bound. */
    public enum Verdict {
        YES,
        NO,
        GAVE_UP
    }

    /** {@code text}: the key and the calls that can't be put in order, or nothing. */
    public record Finding(Verdict verdict, String text) {}

    /** Calls told of a history that can't be explained. */
    private static final int SHOWN = 12;

    private record Seen(BitSet done, String state) {}

    private final List<Operation> operations;
    private final Set<Seen> seen = new HashSet<>();
    private long steps;

    private Linearizable(List<Operation> operations, long steps) {
        this.operations = operations;
        this.steps = steps;
    }

    /** Looks at each key by itself, with so many steps each. */
    public static Finding check(List<Operation> all, long steps) {
        Map<String, List<Operation>> byKey = new TreeMap<>();
        for (Operation operation : all) {
            byKey.computeIfAbsent(operation.key(), none -> new ArrayList<>()).add(operation);
        }
        Finding worst = new Finding(Verdict.YES, "");
        for (Map.Entry<String, List<Operation>> key : byKey.entrySet()) {
            List<Operation> sorted = new ArrayList<>(key.getValue());
            // A read that nobody heard the end of says nothing.
            sorted.removeIf(
                    each ->
                            each.end() == Operation.End.UNKNOWN
                                    && each.kind() == Operation.Kind.READ);
            sorted.sort(Comparator.comparingDouble(Operation::began));
            Verdict verdict = new Linearizable(sorted, steps).search();
            if (verdict == Verdict.NO) {
                return new Finding(verdict, key.getKey() + ": " + first(sorted, steps));
            }
            if (verdict == Verdict.GAVE_UP) {
                worst = new Finding(verdict, key.getKey() + ": gave up after " + steps + " steps");
            }
        }
        return worst;
    }

    /** The call whose end can't be explained any more, and the last ones before it. */
    private static String first(List<Operation> all, long steps) {
        List<Operation> byEnd =
                all.stream()
                        .filter(each -> each.end() != Operation.End.UNKNOWN)
                        .sorted(Comparator.comparingDouble(Operation::ended))
                        .toList();
        for (Operation last : byEnd) {
            // As it looked when that call had just ended.
            List<Operation> then =
                    all.stream()
                            .filter(each -> each.began() <= last.ended())
                            .map(
                                    each ->
                                            each.ended() <= last.ended()
                                                    ? each
                                                    : new Operation(
                                                            each.caller(),
                                                            each.kind(),
                                                            each.key(),
                                                            each.expected(),
                                                            each.value(),
                                                            each.began(),
                                                            Double.POSITIVE_INFINITY,
                                                            Operation.End.UNKNOWN))
                            .toList();
            if (new Linearizable(then, steps).search() == Verdict.NO) {
                return last
                        + " after "
                        + then.subList(Math.max(0, then.size() - SHOWN), then.size());
            }
        }
        return "all together";
    }

    private record Choice(int from, BitSet done, String state) {}

    private Verdict search() {
        List<Choice> stack = new ArrayList<>();
        stack.add(new Choice(0, new BitSet(), null));
        while (!stack.isEmpty()) {
            Choice choice = stack.remove(stack.size() - 1);
            int first = choice.done.nextClearBit(0);
            double bound = Double.POSITIVE_INFINITY;
            boolean over = true;
            for (int i = first; i < operations.size(); i++) {
                if (!choice.done.get(i) && operations.get(i).end() != Operation.End.UNKNOWN) {
                    over = false;
                    bound = Math.min(bound, operations.get(i).ended());
                }
            }
            if (over) {
                return Verdict.YES;
            }
            // Any that began before the first end may be the next.
            for (int i = first; i < operations.size() && operations.get(i).began() <= bound; i++) {
                if (choice.done.get(i)) {
                    continue;
                }
                if (steps-- <= 0) {
                    return Verdict.GAVE_UP;
                }
                Operation operation = operations.get(i);
                if (fits(operation, choice.state)) {
                    BitSet done = (BitSet) choice.done.clone();
                    done.set(i);
                    String state = after(operation, choice.state);
                    if (seen.add(new Seen(done, state))) {
                        stack.add(new Choice(i, done, state));
                    }
                }
            }
        }
        return Verdict.NO;
    }

    private static boolean fits(Operation operation, String state) {
        return switch (operation.kind()) {
            case READ -> Objects.equals(operation.value(), state);
            case PUT -> true;
            case SWAP ->
                    Objects.equals(operation.expected(), state)
                            != (operation.end() == Operation.End.REFUSED);
        };
    }

    private static String after(Operation operation, String state) {
        return operation.kind() == Operation.Kind.READ || operation.end() == Operation.End.REFUSED
                ? state
                : operation.value();
    }
}
