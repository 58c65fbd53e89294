package embershift.emulator.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import embershift.emulator.baseline.Baselines;
import embershift.emulator.day.Day;
import embershift.emulator.day.DayReader;
import embershift.emulator.day.DayWriter;
import embershift.emulator.day.Trouble.What;
import embershift.emulator.day.UnreadableDay;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Looks for days on which the module does badly: draws troubles, sizes and loads, plays each day
 * with the module and with the baseline that sees everything, and keeps the one that shows the
 * largest loss - a broken rule first of all. What is found is shrunk: everything is left out or
 * made smaller that the loss does not need.
 */
public final class Hunt {

    /**
     * A found day: its text, the seed by which it shows, and how bad it is: 2 and more where a rule
     * is broken.
     */
    public record Find(String text, long seed, double badness, Result own, Result top) {}

    private record Draft(ObjectNode tree, long seed) {}

    private static final double BROKEN = 2;

    /** Part of a loss that a smaller day must still show to stand for the larger one. */
    private static final double STILL = 0.8;

    private static final int ROUNDS_OF_SHRINKING = 6;
    private static final int[][] SIZES = {
        {1, 4}, {2, 6}, {3, 12}, {5, 16}, {8, 24}, {30, 30}, {60, 40}
    };

    private final DayReader reader;
    private final ObjectNode base;
    private final String name;
    private final int cores;
    private final UniformRandomProvider chance;

    /** {@code base}: the day whose fleet and clients all drawn days share. */
    public Hunt(DayReader reader, ObjectNode base, String name, long seed, int cores) {
        this.reader = reader;
        this.base = base;
        this.name = name;
        this.cores = cores;
        this.chance = RandomSource.XO_SHI_RO_256_PP.create(new long[] {seed, ~seed, 7, 11});
    }

    /**
     * Hunts until {@code done} is reached, in steps of {@code days} drawn days each, then shrinks
     * the worst.
     */
    public Find hunt(int days, java.util.function.IntPredicate goesOn, Consumer<String> progress)
            throws UnreadableDay {
        ExecutorService threads = Executors.newFixedThreadPool(cores);
        try {
            Find worst = null;
            Draft worstDraft = null;
            int played = 0;
            while (goesOn.test(played)) {
                List<Draft> drafts = new ArrayList<>();
                List<Future<Find>> finds = new ArrayList<>();
                for (int i = 0; i < days; i++) {
                    Draft draft = draw();
                    drafts.add(draft);
                    finds.add(threads.submit(() -> play(draft)));
                }
                for (int i = 0; i < days; i++) {
                    Find find = get(finds.get(i));
                    played++;
                    if (find != null && (worst == null || find.badness > worst.badness)) {
                        worst = find;
                        worstDraft = drafts.get(i);
                        progress.accept(
                                String.format(
                                        Locale.ROOT,
                                        "day %d: %.3f %s",
                                        played,
                                        worst.badness,
                                        told(worst)));
                    }
                }
            }
            return worst == null ? null : shrink(worstDraft, worst, threads, progress);
        } finally {
            threads.shutdownNow();
        }
    }

    private static String told(Find find) {
        return find.badness >= BROKEN
                ? find.own.breaches().get(0)
                : String.format(
                        Locale.ROOT,
                        "(service %.3f, the top %.3f)",
                        find.own.service(),
                        find.top.service());
    }

    private static Find get(Future<Find> future) throws UnreadableDay {
        try {
            return future.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("ended before the hunt was over", e);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof UnreadableDay unreadable) {
                throw unreadable;
            }
            throw new IllegalStateException(e.getCause());
        }
    }

    private Find play(Draft draft) throws UnreadableDay {
        String text = DayWriter.write(draft.tree);
        Day day;
        try {
            day = reader.read(draft.tree, text, name);
        } catch (UnreadableDay e) {
            if (draft.tree.path("trouble").size() == 0) {
                throw e;
            }
            return null; // a smaller fleet may lack a host or zone that a trouble names
        }
        Result own = Play.of(day, Baselines.OWN, draft.seed).result();
        Result top = Play.of(day, "top", draft.seed).result();
        double badness =
                own.counts().get("breaches") > 0
                        ? BROKEN + Math.min(1, own.counts().get("breaches") / 100.0)
                        : Math.max(0, top.score() - own.service());
        return new Find(text, draft.seed, badness, own, top);
    }

    // ---- Drawing ----

    private double within(double from, double to) {
        return Math.round((from + (to - from) * chance.nextDouble()) * 10) / 10.0;
    }

    private Draft draw() {
        ObjectNode tree = base.deepCopy();
        int[] size = SIZES[chance.nextInt(SIZES.length)];
        double lasts = tree.path("lasts").asDouble(60);
        size(tree, size[0], size[1]);
        table(tree, "traffic").put("load", within(0.3, 0.8));
        ArrayNode troubles = tree.putArray("trouble");
        for (int many = 1 + chance.nextInt(4); many > 0; many--) {
            trouble(troubles.addObject(), lasts);
        }
        return new Draft(tree, 1 + chance.nextInt(1000));
    }

    private static ObjectNode table(ObjectNode tree, String key) {
        return tree.has(key) ? (ObjectNode) tree.get(key) : tree.putObject(key);
    }

    private static void size(ObjectNode tree, int nodes, int hosts) {
        table(tree, "fleet").put("nodes", nodes).put("hosts", hosts);
    }

    private void trouble(ObjectNode trouble, double lasts) {
        What[] all = What.values();
        What what = all[chance.nextInt(all.length)];
        String sort = what.aims().split(" or ")[chance.nextInt(what.aims().split(" or ").length)];
        boolean shared =
                List.of("hosts", "nodes", "clients").contains(sort)
                        && what != What.TRAFFIC
                        && what != What.COSTLY;
        double share = Math.max(0.1, within(0.1, 1));
        trouble.put("what", what.written());
        trouble.put("whom", sort + (shared ? " share " + share : ""));
        trouble.put("at", within(2, lasts * 0.8));
        switch (what) {
            case STALL, FLAP ->
                    trouble.put("for", within(0.1, 1.5))
                            .put("every", within(2, 6))
                            .put("times", 2 + chance.nextInt(6));
            case PAUSE -> trouble.put("for", within(0.2, 2));
            case DROP -> trouble.put("for", within(0.3, 3));
            default -> trouble.put("for", within(1, 20));
        }
        switch (what) {
            case SLOW, STORE_SLOW -> trouble.put("factor", within(1.5, 8));
            case TRAFFIC -> trouble.put("factor", within(1.3, 2.5));
            case COSTLY -> trouble.put("factor", within(4, 25)).put("part", 0.02);
            case ROSTER_OLD -> trouble.put("factor", within(2, 15));
            case FAIL_FAST, HALF_ANSWER, NEIGHBOUR, RESTART, ROSTER_SHRINKS ->
                    trouble.put("part", Math.max(0.1, within(0.2, 0.9)));
            case CUT ->
                    trouble.put("direction", List.of("in", "out", "both").get(chance.nextInt(3)))
                            .put(
                                    "peer",
                                    sort.equals("hosts")
                                            ? "nodes share " + Math.max(0.1, within(0.2, 1))
                                            : List.of("hosts share 0.5", "roster")
                                                    .get(chance.nextInt(2)));
            case VANISH -> trouble.put("other-address", chance.nextBoolean());
            default -> {}
        }
    }

    // ---- Shrinking ----

    private Find shrink(Draft from, Find found, ExecutorService threads, Consumer<String> progress)
            throws UnreadableDay {
        Draft draft = from;
        Find best = found;
        double enough = found.badness >= BROKEN ? BROKEN : found.badness * STILL;
        for (int round = 0; round < ROUNDS_OF_SHRINKING; round++) {
            boolean smaller = false;
            List<ObjectNode> steps = smaller(draft.tree);
            List<Future<Find>> finds = new ArrayList<>();
            for (ObjectNode step : steps) {
                Draft next = new Draft(step, draft.seed);
                finds.add(threads.submit(() -> play(next)));
            }
            for (int i = 0; i < steps.size() && !smaller; i++) {
                Find find = get(finds.get(i));
                if (find != null && find.badness >= enough) {
                    draft = new Draft(steps.get(i), draft.seed);
                    best = find;
                    smaller = true;
                    round = -1; // each step makes it smaller, so this ends
                }
            }
            if (!smaller) {
                break;
            }
            progress.accept(
                    String.format(
                            Locale.ROOT,
                            "shrunk to %d troubles, %s: %.3f",
                            draft.tree.path("trouble").size(),
                            draft.tree.path("fleet"),
                            best.badness));
        }
        return best;
    }

    /** All days that are one step smaller than this one, the largest steps first. */
    private static List<ObjectNode> smaller(ObjectNode tree) {
        List<ObjectNode> steps = new ArrayList<>();
        int troubles = tree.path("trouble").size();
        for (int i = 0; i < troubles && troubles > 1; i++) {
            ObjectNode step = tree.deepCopy();
            ((ArrayNode) step.get("trouble")).remove(i);
            steps.add(step);
        }
        int nodes = tree.path("fleet").path("nodes").asInt();
        int hosts = tree.path("fleet").path("hosts").asInt();
        for (int[] size : SIZES) {
            if (size[0] <= nodes && size[1] <= hosts && size[0] + size[1] < nodes + hosts) {
                ObjectNode step = tree.deepCopy();
                size(step, size[0], size[1]);
                steps.add(step);
            }
        }
        for (int i = 0; i < troubles; i++) {
            JsonNode trouble = tree.get("trouble").get(i);
            int halvedCount = trouble.path("times").asInt(1) / 2;
            halved(tree, steps, i, "times", halvedCount, 1);
            halved(tree, steps, i, "for", trouble.path("for").asDouble() / 2, 0.5);
            halved(tree, steps, i, "factor", trouble.path("factor").asDouble() / 2, 1.5);
            halved(tree, steps, i, "part", trouble.path("part").asDouble() / 2, 0.1);
        }
        return steps;
    }

    private static void halved(
            ObjectNode tree,
            List<ObjectNode> steps,
            int trouble,
            String key,
            double value,
            double least) {
        if (value >= least && tree.get("trouble").get(trouble).has(key)) {
            ObjectNode step = tree.deepCopy();
            ObjectNode changed = (ObjectNode) step.get("trouble").get(trouble);
            if (key.equals("times")) {
                changed.put(key, (int) value);
            } else {
                changed.put(key, Math.round(value * 100) / 100.0);
            }
            steps.add(step);
        }
    }
}
