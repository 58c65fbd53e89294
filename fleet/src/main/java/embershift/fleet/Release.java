package embershift.fleet;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * One step of a release: its parts are taken out, started anew and brought back, with never more
 * away than stated. Whoever starts things anew knows no fence: it is called by an id that it
 * remembers, so that an owner of before can't have anything done twice, and what an abort leaves
 * undone is made void there first. Fed time and answers; decides only. Times in seconds.
 */
public final class Release {

    /** {@code NEVER}: not called by that id yet; {@code VOID}: never was, and won't be. */
    public enum Managed {
        NEVER,
        GOING,
        DONE,
        VOID,
        UNKNOWN
    }

    /**
     * A node that has a name in the record and is not shut out. {@code out}: the hosts that it was
     * told are out, and took.
     */
    public record NodeView(boolean reached, boolean ready, Collection<String> out) {}

    /** What is seen of the fleet. */
    public interface View {

        Map<String, NodeView> nodes();

        /** Whether discovery lists the host as in service. */
        boolean inService(String host);

        /** Share of tunnels opened of those not declined, lately; NaN where there were none. */
        double service();
    }

    /** What is done for it. None of these may call back. */
    public interface Hands {

        /**
         * From now on these hosts, and no others, are out for this release; all nodes are to be
         * told.
         */
        void out(Set<String> hosts);

        /**
         * Has a part started anew; {@link Release#managed} is owed, or nothing, then it is asked
         * again.
         */
        void startAnew(ReleasePlan.Part part, String id);

        /** Has an id made void. */
        void makeVoid(String id);

        /** The step is done, or was brought to a sound end. */
        void ended(boolean aborted);

        /** Nothing goes on until somebody says so. */
        void halted(String why);
    }

    private enum Phase {
        WAITING,
        TAKING_OUT,
        STARTING_ANEW,
        WARMING,
        BACK
    }

    private static final class Work {
        private Phase phase = Phase.WAITING;
        private double asked = Double.NEGATIVE_INFINITY;
        private boolean called;

        /** An owner before this one may have called for it. */
        private boolean perhaps;

        private boolean voided;
        private Managed managed = Managed.NEVER;
        private double servesSince = Double.NaN;
    }

    /**
     * Seconds between two calls for the same part, and for which a node may not know yet what it
     * was told.
     */
    private static final double AGAIN = 0.25;

    private final ReleasePlan plan;
    private final int step;
    private final View view;
    private final Hands hands;
    private final Map<ReleasePlan.Part, Work> works = new LinkedHashMap<>();
    private double progressed;
    private boolean ended;
    private boolean halted;
    private boolean aborting;
    private boolean paused;
    private String waitsFor = "";
    private Set<String> out = Set.of();

    /**
     * {@code now}: when this owner began the step; {@code takenOver}: an owner before may have
     * begun it, and calls of that one may still come: each part is out, and counts as away, until
     * whoever is called has said what became of it.
     */
    public Release(
            double now, ReleasePlan plan, int step, boolean takenOver, View view, Hands hands) {
        this.plan = plan;
        this.step = step;
        this.view = view;
        this.hands = hands;
        progressed = now;
        plan.step(step)
                .forEach(
                        part -> {
                            Work work = new Work();
                            work.perhaps = takenOver;
                            works.put(part, work);
                        });
    }

    /** Operators' wish. */
    public void wish(double now, String wish) {
        if (paused && !wish.equals("pause")) {
            halted = false;
            progressed = now;
        }
        paused = wish.equals("pause");
        aborting |= wish.equals("abort");
    }

    /** What whoever starts things anew says of an id. */
    public void managed(double now, String id, Managed what) {
        works.forEach(
                (part, work) -> {
                    if (plan.id(step, part).equals(id) && what != Managed.UNKNOWN) {
                        if (work.managed != what) {
                            progressed = now;
                        }
                        work.managed = what;
                        work.called |= what == Managed.GOING || what == Managed.DONE;
                        work.voided |= what == Managed.VOID;
                    }
                });
    }

    /** What holds it up, in one line, or "". */
    public String waitsFor() {
        return waitsFor;
    }

    public void tick(double now) {
        if (ended) {
            return;
        }
        waitsFor = "";
        works.forEach((part, work) -> part(now, part, work));
        Set<String> wanted = new TreeSet<>();
        works.forEach(
                (part, work) -> {
                    if (!part.node() && away(work) && Double.isNaN(work.servesSince)) {
                        wanted.add(part.name());
                    }
                });
        if (!wanted.equals(out)) {
            out = wanted;
            hands.out(Set.copyOf(wanted));
        }
        if (works.values().stream().allMatch(work -> work.phase == Phase.BACK)) {
            ended = true;
            hands.ended(aborting);
        } else if (!paused && !halted && now - progressed > plan.patience()) {
            halted = true;
            hands.halted(
                    waitsFor.isEmpty() ? "nothing got on for " + plan.patience() + " s" : waitsFor);
        }
    }

    private void part(double now, ReleasePlan.Part part, Work work) {
        switch (work.phase) {
            case WAITING -> begin(now, part, work);
            case TAKING_OUT -> takeOut(now, part, work);
            case STARTING_ANEW -> startAnew(now, part, work);
            case WARMING -> warm(now, part, work);
            default -> {}
        }
    }

    private void become(double now, Work work, Phase phase) {
        work.phase = phase;
        work.asked = Double.NEGATIVE_INFINITY;
        progressed = now;
    }

    private void begin(double now, ReleasePlan.Part part, Work work) {
        if (aborting) {
            // Perhaps an owner before this one called for it: only who is called can tell.
            if (work.voided) {
                become(now, work, Phase.BACK);
            } else if (work.called) {
                become(now, work, Phase.STARTING_ANEW);
            } else {
                makeVoid(now, part, work);
            }
            return;
        }
        if (paused) {
            waitsFor = "it is paused";
            return;
        }
        double service = view.service();
        if (service < plan.service()) {
            waitsFor = String.format("service is %.3f", service);
            return;
        }
        Set<String> away = away();
        if (!away.contains(key(part)) && away.size() >= plan.size()) {
            waitsFor = "away already: " + String.join(", ", away);
            return;
        }
        become(now, work, part.node() ? Phase.STARTING_ANEW : Phase.TAKING_OUT);
    }

    private void makeVoid(double now, ReleasePlan.Part part, Work work) {
        if (now - work.asked >= AGAIN) {
            work.asked = now;
            hands.makeVoid(plan.id(step, part));
        }
        waitsFor = part + " is to be left alone";
    }

    private static String key(ReleasePlan.Part part) {
        return part.toString();
    }

    private static boolean away(Work work) {
        return work.phase == Phase.WAITING ? work.perhaps : work.phase != Phase.BACK;
    }

    /** All that is away: parts under way, nodes that can't be reached or are not ready. */
    private Set<String> away() {
        Set<String> away = new LinkedHashSet<>();
        works.forEach(
                (part, work) -> {
                    if (away(work)) {
                        away.add(key(part));
                    }
                });
        view.nodes()
                .forEach(
                        (name, node) -> {
                            if (!node.reached() || !node.ready()) {
                                away.add("node " + name);
                            }
                        });
        return away;
    }

    private void takeOut(double now, ReleasePlan.Part part, Work work) {
        if (aborting) {
            become(now, work, Phase.WAITING);
            return;
        }
        List<String> ignorant = ignorant(part);
        if (ignorant.isEmpty()) {
            become(now, work, Phase.STARTING_ANEW);
        } else {
            waitsFor = part + " is still in use at " + String.join(", ", ignorant);
        }
    }

    /** Nodes that can be reached and may use the host still. */
    private List<String> ignorant(ReleasePlan.Part part) {
        return part.node()
                ? List.of()
                : view.nodes().entrySet().stream()
                        .filter(
                                node ->
                                        node.getValue().reached()
                                                && !node.getValue().out().contains(part.name()))
                        .map(Map.Entry::getKey)
                        .toList();
    }

    private void startAnew(double now, ReleasePlan.Part part, Work work) {
        if (work.managed == Managed.DONE) {
            become(now, work, Phase.WARMING);
            return;
        }
        if (work.managed == Managed.VOID) {
            become(now, work, Phase.BACK);
            return;
        }
        if (aborting && !work.called) {
            makeVoid(now, part, work);
            return;
        }
        Set<String> away = away();
        if (!work.called && away.size() > plan.size()) {
            // Since it was begun something else went away.
            waitsFor = "away already: " + String.join(", ", away);
            return;
        }
        if (!work.called && !ignorant(part).isEmpty()) {
            // One that could not be reached, and counted as away, is back and knows nothing of it.
            become(now, work, Phase.TAKING_OUT);
            return;
        }
        if (now - work.asked >= AGAIN) {
            work.asked = now;
            hands.startAnew(part, plan.id(step, part));
        }
        waitsFor = part + " is being started anew";
    }

    private void warm(double now, ReleasePlan.Part part, Work work) {
        NodeView node = view.nodes().get(part.name());
        boolean serves =
                part.node()
                        ? node != null && node.reached() && node.ready()
                        : view.inService(part.name());
        if (!serves) {
            work.servesSince = Double.NaN;
            waitsFor = part + " is not back";
        } else if (Double.isNaN(work.servesSince)) {
            work.servesSince = now;
            progressed = now;
        } else if (now - work.servesSince >= plan.warm()) {
            become(now, work, Phase.BACK);
        } else {
            waitsFor = part + " is warming";
        }
    }
}
