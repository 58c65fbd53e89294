package embershift.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * How the owner of the duty {@code rollout} brings each node to the revision that it should go by:
 * a few first, then all, with a halt where those few refuse, are lost or serve badly; stragglers by
 * difference, then whole, then replaced, then shut out, never many of them. Fed time, reports and
 * the record; decides only. Times in seconds that never run backwards.
 */
public final class Rollout {

    /**
     * {@code settle}: that the first go by a revision before all do; {@code patience}: that they
     * may take for it; {@code again}: until a node that has not taken an order is told anew,
     * doubled each time up to {@code patience}; {@code flight}: nodes that are told at one time;
     * {@code tries}: until a node is replaced, and as many again until it is shut out; {@code
     * silent}: without a word of a node that is linked; {@code share}: of all nodes that go first,
     * and that may be shut out without a person; {@code service}: share of tunnels that must be
     * opened of those that were not declined.
     */
    public record Terms(
            double settle,
            double patience,
            double again,
            int flight,
            int tries,
            double silent,
            double share,
            double service) {

        public static final Terms USUAL = new Terms(2, 10, 0.5, 16, 4, 3, 0.1, 0.8);
    }

    public enum State {
        CURRENT,
        BEHIND,
        SILENT,
        DIVERGED,
        SHUT_OUT,
        COMING_BACK
    }

    public enum Stage {
        FIRST,
        ALL,
        HALTED
    }

    /**
     * What a node says that it goes by. {@code content}: a sum of what its parts really go by, read
     * back from them; {@code refused}: the revision that it refused last, 0 for none. {@code
     * opened}, {@code failed}: tunnels since its start.
     */
    public record Report(
            String node,
            long incarnation,
            long revision,
            String chain,
            String content,
            boolean ready,
            long refused,
            String why,
            long opened,
            long failed) {}

    /** What is done for it. None of these may call back. */
    public interface Hands {

        /** Tells a node a revision: whole for {@code base} 0, else what differs from that one. */
        void order(String node, Revision revision, long base);

        /**
         * Notes in the record how far it is, under this owner's fence; {@link Rollout#noted} is
         * owed once it is there.
         */
        void note(String text);

        /** No node below this revision may act for the fleet. */
        void floor(long revision);

        void shutOut(String node, long incarnation, String why);

        /** A node should be started anew. */
        void replace(String node, String why);

        void told(String what);
    }

    private record Sums(String chain, String content) {

        static Sums of(Revision revision) {
            return new Sums(revision.chain(), revision.content());
        }
    }

    private static final class Node {
        private Report report;
        private boolean linked;
        private double heard = Double.NEGATIVE_INFINITY;
        private double next = Double.NEGATIVE_INFINITY;
        private int tries;
        private boolean replaced;
        private long goal;
        private boolean inFlight;
        private double inFlightUntil;

        /** By its own report the incarnation that was told the stage's revision first, 0 before. */
        private long toldIncarnation;

        private double tookAt = Double.NaN;
        private long openedAtStart;
        private long failedAtStart;
    }

    private final Terms terms;
    private final Hands hands;
    private final TreeMap<Long, Revision> revisions = new TreeMap<>();

    /** Of each revision, reckoned once: nodes are compared with them many times a second. */
    private final Map<Long, Sums> sums = new HashMap<>();

    private final TreeMap<String, Node> nodes = new TreeMap<>();

    /** The highest incarnation of each name that is shut out, and why. */
    private final Map<String, Long> out = new TreeMap<>();

    private final TreeSet<String> outByDuty = new TreeSet<>();
    private long hurry;
    private long floor;
    private long number;
    private Stage stage = Stage.ALL;
    private long good;
    private List<String> first = List.of();
    private String why = "";
    private double stageSince;

    /**
     * Notes that the record may not have yet: what follows from them is not ordered before, as an
     * owner after this one goes by them.
     */
    private int notes;

    private boolean cutTold;
    private double now;

    public Rollout(Terms terms, Hands hands) {
        this.terms = terms;
        this.hands = hands;
        known(Revision.NONE, false);
    }

    // What the record says.

    /** A revision that the record has. {@code now}: it goes to all at once. */
    public void known(Revision revision, boolean atOnce) {
        if (revisions.put(revision.number(), revision) == null) {
            sums.put(revision.number(), Sums.of(revision));
        }
        if (atOnce) {
            hurry = Math.max(hurry, revision.number());
        }
    }

    /** How far the owners before were, as they noted it; null for nothing. */
    public void found(double time, String text) {
        stageSince = time;
        String[] words = text == null ? new String[0] : text.split(" ", 5);
        if (words.length < 4 || !words[0].matches("\\d{1,18}") || !words[2].matches("\\d{1,18}")) {
            return;
        }
        number = Long.parseLong(words[0]);
        good = Long.parseLong(words[2]);
        first = words[3].equals("-") ? List.of() : List.of(words[3].split(","));
        why = words.length > 4 ? words[4] : "";
        for (Stage each : Stage.values()) {
            if (each.name().equals(words[1])) {
                stage = each;
            }
        }
    }

    public void floorIs(long revision) {
        floor = Math.max(floor, revision);
    }

    /** A node that the record has a name for. */
    public void named(String name) {
        nodes.computeIfAbsent(name, none -> new Node());
    }

    /** {@code incarnation} and those before it are out; 0: nobody of that name is. */
    public void outIs(String name, long incarnation, boolean byDuty) {
        if (incarnation == 0) {
            out.remove(name);
            outByDuty.remove(name);
        } else {
            out.put(name, incarnation);
            if (byDuty) {
                outByDuty.add(name);
            }
        }
    }

    /** The record has forgotten a node. */
    public void forgotten(String name) {
        nodes.remove(name);
    }

    /** The record has what was to be noted longest ago. */
    public void noted() {
        notes--;
    }

    // What nodes say.

    public void heard(double time, Report report) {
        Node node = nodes.computeIfAbsent(report.node(), none -> new Node());
        boolean another = node.report == null || node.report.incarnation() != report.incarnation();
        if (node.report != null && report.incarnation() < node.report.incarnation()) {
            return;
        }
        if (another || node.report.revision() != report.revision()) {
            node.tries = 0;
            node.next = Double.NEGATIVE_INFINITY;
        }
        if (another) {
            node.replaced = false;
        }
        node.report = report;
        node.linked = true;
        node.heard = time;
        if (report.revision() >= node.goal) {
            node.inFlight = false;
        }
    }

    /** How an order ended: taken, or not ({@code whole}: the node wants it whole). */
    public void answered(double time, String name, boolean taken, boolean whole) {
        Node node = nodes.get(name);
        if (node != null) {
            node.inFlight = false;
            if (whole) {
                node.tries = Math.max(node.tries, 1);
                node.next = time;
            } else if (taken) {
                // Its own report tells what it goes by.
                node.next = Math.max(node.next, time + terms.again());
            }
        }
    }

    public void unlinked(String name) {
        Node node = nodes.get(name);
        if (node != null) {
            node.linked = false;
            node.inFlight = false;
        }
    }

    // What is so.

    public State state(String name) {
        Node node = nodes.get(name);
        if (isOut(name, node)) {
            return State.SHUT_OUT;
        }
        if (node == null
                || node.report == null
                || !node.linked
                || now - node.heard > terms.silent()) {
            return State.SILENT;
        }
        if (foreign(node.report) || diverged(node.report)) {
            return State.DIVERGED;
        }
        if (node.report.revision() < floor) {
            return State.COMING_BACK;
        }
        return node.report.revision() < goal(name) ? State.BEHIND : State.CURRENT;
    }

    public String why(String name) {
        Node node = nodes.get(name);
        return switch (state(name)) {
            case SHUT_OUT -> "up to incarnation " + out.get(name);
            case SILENT ->
                    node == null || node.report == null
                            ? "not heard by this owner"
                            : "went by "
                                    + node.report.revision()
                                    + " when it was heard last: what it goes by now is not known";
            case DIVERGED ->
                    foreign(node.report)
                            ? "goes by " + node.report.revision() + ", which the record never had"
                            : "goes by something else than revision "
                                    + node.report.revision()
                                    + " says";
            case COMING_BACK -> "goes by " + node.report.revision() + ", under the floor " + floor;
            case BEHIND ->
                    "goes by "
                            + node.report.revision()
                            + " of "
                            + goal(name)
                            + (node.report.refused() >= goal(name)
                                    ? ", refused it: " + node.report.why()
                                    : "");
            case CURRENT -> "";
        };
    }

    private boolean isOut(String name, Node node) {
        Long until = out.get(name);
        return until != null
                && (node == null || node.report == null || node.report.incarnation() <= until);
    }

    private boolean foreign(Report report) {
        Sums known = sums.get(report.revision());
        return report.revision() > revisions.lastKey()
                || (known != null && !known.chain.equals(report.chain()));
    }

    private boolean diverged(Report report) {
        Sums known = sums.get(report.revision());
        return report.revision() > 0 && known != null && !known.content.equals(report.content());
    }

    /** The revision by which that node should go. */
    public long goal(String name) {
        return stage == Stage.ALL || (stage == Stage.FIRST && first.contains(name)) ? number : good;
    }

    public Collection<String> names() {
        return nodes.keySet();
    }

    public Stage stage() {
        return stage;
    }

    public long number() {
        return number;
    }

    public long floor() {
        return floor;
    }

    // What is done.

    /** Time has passed. To be called several times a second. */
    public void tick(double time) {
        now = time;
        if (notes > 0) {
            return;
        }
        begin();
        if (stage == Stage.FIRST && notes == 0) {
            lookAtFirst();
        }
        if (notes == 0) {
            orders();
            raiseFloor();
        }
    }

    private void begin() {
        long latest = revisions.lastKey();
        if (latest <= number) {
            return;
        }
        List<String> able =
                nodes.keySet().stream()
                        .filter(
                                name -> {
                                    State state = state(name);
                                    return state == State.CURRENT
                                            || state == State.BEHIND
                                            || state == State.COMING_BACK;
                                })
                        .toList();
        if (able.isEmpty()) {
            return;
        }
        number = latest;
        stageSince = now;
        why = "";
        if (latest <= hurry) {
            first = List.of();
            become(Stage.ALL);
            return;
        }
        int many = Math.max(1, (int) Math.ceil(terms.share() * able.size()));
        List<String> some = new ArrayList<>();
        for (int i = 0; i < Math.min(many, able.size()); i++) {
            // Each revision is tried on others.
            some.add(able.get((int) ((number * many + i) % able.size())));
        }
        first = some;
        nodes.values()
                .forEach(
                        node -> {
                            node.toldIncarnation = 0;
                            node.tookAt = Double.NaN;
                        });
        become(Stage.FIRST);
    }

    private void become(Stage next) {
        stage = next;
        if (next == Stage.ALL) {
            good = number;
        }
        notes++;
        hands.note(
                number
                        + " "
                        + stage
                        + " "
                        + good
                        + " "
                        + (first.isEmpty() ? "-" : String.join(",", first))
                        + (why.isEmpty() ? "" : " " + why));
        hands.told(
                "revision "
                        + number
                        + ": "
                        + (next == Stage.FIRST
                                ? "first on " + String.join(", ", first)
                                : next == Stage.ALL ? "for all" : "halted, " + why));
    }

    private void halt(String reason) {
        why = reason;
        become(Stage.HALTED);
    }

    private void lookAtFirst() {
        long silentOnes =
                nodes.keySet().stream().filter(name -> state(name) == State.SILENT).count();
        // Rather a cut, maybe of this owner alone, than so many that the revision ended: nobody is
        // judged by silence then.
        boolean cut = 2 * silentOnes > nodes.size();
        if (cut) {
            stageSince = now;
        }
        boolean all = true;
        for (String name : first) {
            Node node = nodes.get(name);
            Report report = node == null ? null : node.report;
            boolean silent = report == null || !node.linked || now - node.heard > terms.silent();
            if (report != null && report.refused() == number) {
                halt(name + " refused it: " + report.why());
                return;
            }
            if (report != null
                    && node.toldIncarnation != 0
                    && report.incarnation() != node.toldIncarnation) {
                halt(name + " was started anew while it took it");
                return;
            }
            if ((silent && now - stageSince > terms.silent())
                    || now - stageSince > terms.patience() + terms.settle()) {
                halt(name + (silent ? " is silent" : " did not take it in time"));
                return;
            }
            if (silent || report.revision() != number || !report.ready()) {
                all = false;
                continue;
            }
            if (Double.isNaN(node.tookAt)) {
                node.tookAt = now;
                node.openedAtStart = report.opened();
                node.failedAtStart = report.failed();
            }
            long opened = report.opened() - node.openedAtStart;
            long failed = report.failed() - node.failedAtStart;
            if (failed > 2 && opened < terms.service() * (opened + failed)) {
                halt(
                        name
                                + " closed "
                                + failed
                                + " of "
                                + (opened + failed)
                                + " tunnels with error by it");
                return;
            }
            all &= now - node.tookAt >= terms.settle();
        }
        if (all) {
            become(Stage.ALL);
        }
    }

    private void orders() {
        long inFlight =
                nodes.values().stream()
                        .filter(node -> node.inFlight && now < node.inFlightUntil)
                        .count();
        for (Map.Entry<String, Node> each : nodes.entrySet()) {
            String name = each.getKey();
            Node node = each.getValue();
            State state = state(name);
            if (state == State.SILENT || state == State.SHUT_OUT || state == State.CURRENT) {
                continue;
            }
            if (foreign(node.report)) {
                shutOut(name, node);
                continue;
            }
            if (now < node.next || (node.inFlight && now < node.inFlightUntil)) {
                continue;
            }
            if (node.report.refused() >= goal(name)
                    && node.report.refused() == number
                    && stage != Stage.ALL) {
                continue;
            }
            if (node.tries >= terms.tries() && !node.replaced) {
                node.replaced = true;
                hands.replace(name, why(name));
            }
            if (node.tries >= 2 * terms.tries() && shutOut(name, node)) {
                continue;
            }
            // One that may not be shut out is told on, however long it takes.
            if (inFlight >= terms.flight()) {
                continue;
            }
            inFlight++;
            tell(name, node, state);
        }
    }

    private void tell(String name, Node node, State state) {
        Revision wanted = revisions.get(Math.max(goal(name), node.report.revision()));
        if (wanted == null) {
            return;
        }
        boolean byDifference =
                node.tries == 0
                        && state != State.DIVERGED
                        && node.report.revision() > 0
                        && revisions.containsKey(node.report.revision());
        if (wanted.number() == number && stage == Stage.FIRST) {
            node.toldIncarnation = node.report.incarnation();
        }
        node.goal = wanted.number();
        node.inFlight = true;
        node.inFlightUntil = now + terms.silent();
        node.next = now + Math.min(terms.patience(), terms.again() * Math.pow(2, node.tries));
        node.tries++;
        hands.order(name, wanted, byDifference ? node.report.revision() : 0);
    }

    /** Whether it is, from now on; not where so many are already that it is for a person to say. */
    private boolean shutOut(String name, Node node) {
        int most = Math.max(1, (int) (terms.share() * nodes.size()));
        if (outByDuty.size() >= most) {
            if (!cutTold) {
                cutTold = true;
                hands.told(
                        name
                                + " would be shut out, but "
                                + outByDuty.size()
                                + " are already: that is for a person");
            }
            return false;
        }
        String reason = why(name);
        out.put(name, node.report.incarnation());
        outByDuty.add(name);
        hands.shutOut(name, node.report.incarnation(), reason);
        return true;
    }

    private void raiseFloor() {
        if (stage != Stage.ALL || floor >= number || nodes.isEmpty()) {
            return;
        }
        boolean all =
                nodes.keySet().stream()
                        .allMatch(
                                name ->
                                        state(name) == State.SHUT_OUT
                                                || (state(name) == State.CURRENT
                                                        && nodes.get(name).report.revision()
                                                                >= number));
        if (all) {
            floor = number;
            hands.floor(floor);
        }
    }

    /** Those that are not current, for one line. */
    public String summary() {
        return nodes.keySet().stream()
                .filter(name -> state(name) != State.CURRENT)
                .map(name -> name + " " + state(name))
                .collect(Collectors.joining(", "));
    }
}
