package embershift.emulator.judge;

import embershift.emulator.day.Day;
import embershift.emulator.world.Witness;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Keeps the four rules in a ledger of its own. It knows what clients heard, what hosts ran, what
 * passed on the wire and what the roster delivered; no node's word is taken for anything.
 *
 * <ol>
 *   <li>Each tunnel taken by a node that runs gets exactly one final answer before its client gives
 *       up.
 *   <li>No effect twice: see {@link #ran} and {@link #answered}; and never two setups of a tunnel
 *       at once.
 *   <li>Nothing new to a host later than the grace after that node was told that it drains or is
 *       gone.
 *   <li>No host that has just started is pushed over.
 * </ol>
 */
public final class Judge implements Witness {

    /** On the way to the client a decline may pass the end of a window that it was decided in. */
    private static final double ON_ITS_WAY = 0.05;

    private record Run(double at, String host, String zone, int cell) {}

    private static final class Row {
        final int profile;
        final String node;
        Answer answer;
        double answeredAt;
        boolean gaveUp;
        final List<Run> runs = new ArrayList<>(1);

        /** Setups that are out on the wire, by host, since when. */
        final Map<String, Double> out = new LinkedHashMap<>(2);

        Row(int profile, String node) {
            this.profile = profile;
            this.node = node;
        }
    }

    private final Day day;
    private final Map<String, Row> rows = new HashMap<>();

    /** By node and host: since when the node knows that nothing new may go there. */
    private final Map<String, Map<String, Double>> unwanted = new HashMap<>();

    private final List<Breach> breaches = new ArrayList<>();

    public Judge(Day day) {
        this.day = day;
    }

    /** What was broken, in the order in which it was seen. */
    public List<Breach> breaches() {
        return List.copyOf(breaches);
    }

    private void breach(int rule, double at, String tunnel, String seen, Object... parts) {
        breaches.add(new Breach(rule, at, tunnel, String.format(Locale.ROOT, seen, parts)));
    }

    @Override
    public void taken(double at, String tunnel, String node, int profile, double patienceEnds) {
        rows.put(tunnel, new Row(profile, node));
    }

    @Override
    public void answered(double at, String tunnel, Answer answer) {
        Row row = rows.get(tunnel);
        if (row == null) {
            return;
        }
        if (row.answer != null) {
            breach(
                    1,
                    at,
                    tunnel,
                    "answered %s by %s at %.4f and %s now",
                    row.answer,
                    row.node,
                    row.answeredAt,
                    answer);
        } else if (row.gaveUp) {
            breach(1, at, tunnel, "%s by %s after its client had given up", answer, row.node);
        }
        row.answer = answer;
        row.answeredAt = at;
        if (answer == Answer.DECLINED && !row.runs.isEmpty()) {
            declinedAfterRun(at, tunnel, row);
        }
    }

    /** A decline promises that trying again is harmless. */
    private void declinedAfterRun(double at, String tunnel, Row row) {
        Day.Profile profile = day.profile().get(row.profile);
        Run first = row.runs.get(0);
        if (profile.repeat() == Day.Repeat.ONCE_ONLY) {
            breach(
                    2,
                    at,
                    tunnel,
                    "declined by %s though %s had run it at %.4f, once only",
                    row.node,
                    first.host,
                    first.at);
        } else if (profile.repeat() == Day.Repeat.REFERENCED) {
            if (profile.scope() != Day.Scope.ALL) {
                breach(
                        2,
                        at,
                        tunnel,
                        "declined by %s though %s had run it at %.4f: not all hosts drop its repeats",
                        row.node,
                        first.host,
                        first.at);
            } else if (at > first.at + profile.window() + ON_ITS_WAY) {
                breach(
                        2,
                        at,
                        tunnel,
                        "declined by %s though %s had run it at %.4f, longer ago than repeats are dropped",
                        row.node,
                        first.host,
                        first.at);
            }
        }
    }

    @Override
    public void gaveUp(double at, String tunnel, boolean excused) {
        Row row = rows.get(tunnel);
        if (row != null && row.answer == null) {
            row.gaveUp = true;
            if (!excused) {
                breach(
                        1,
                        at,
                        tunnel,
                        "%s gave no final answer before its client gave up%s",
                        row.node,
                        row.out.isEmpty()
                                ? ""
                                : "; setups out at " + String.join(", ", row.out.keySet()));
            }
        }
    }

    @Override
    public void sent(double at, String tunnel, String node, String host) {
        Map<String, Double> told = unwanted.get(node);
        Double since = told == null ? null : told.get(host);
        if (since != null && at > since + day.rules().drainGrace()) {
            breach(
                    3,
                    at,
                    tunnel,
                    "%s sent a setup to %s, %.3f s after it was told that it drains or is gone",
                    node,
                    host,
                    at - since);
        }
        Row row = rows.get(tunnel);
        if (row != null) {
            row.out.forEach(
                    (other, sent) ->
                            breach(
                                    2,
                                    at,
                                    tunnel,
                                    "%s sent a setup to %s while one to %s was out since %.4f",
                                    node,
                                    host,
                                    other,
                                    sent));
            row.out.put(host, at);
        }
    }

    @Override
    public void closed(double at, String tunnel, String host) {
        Row row = rows.get(tunnel);
        if (row != null) {
            row.out.remove(host);
        }
    }

    @Override
    public void ran(double at, String tunnel, String host, String zone, int cell) {
        Row row = rows.get(tunnel);
        if (row == null) {
            return;
        }
        Day.Profile profile = day.profile().get(row.profile);
        if (!row.runs.isEmpty() && profile.repeat() != Day.Repeat.REPEATABLE) {
            Run first = row.runs.get(0);
            boolean dropped =
                    profile.repeat() == Day.Repeat.REFERENCED
                            && at <= first.at + profile.window() + ON_ITS_WAY
                            && switch (profile.scope()) {
                                case ALL -> true;
                                case ZONE -> first.zone.equals(zone);
                                case CELL -> first.cell == cell;
                            };
            if (!dropped) {
                breach(
                        2,
                        at,
                        tunnel,
                        "run by %s at %.4f and again by %s, sent by %s",
                        first.host,
                        first.at,
                        host,
                        row.node);
            }
        }
        row.runs.add(new Run(at, host, zone, cell));
    }

    @Override
    public void told(double at, String node, String host, boolean isUnwanted) {
        Map<String, Double> hosts = unwanted.computeIfAbsent(node, name -> new HashMap<>());
        if (isUnwanted) {
            hosts.putIfAbsent(host, at);
        } else {
            hosts.remove(host);
        }
    }

    @Override
    public void nodeChanged(double at, String node, boolean runs) {
        unwanted.remove(node);
    }

    @Override
    public void pushedOver(double at, String host, double rate, double allowed) {
        breach(
                4,
                at,
                "",
                "%s, just started, was sent %.2f setups a second by all nodes together, and too many for "
                        + "%.2f s; it can bear %.2f",
                host,
                rate,
                day.rules().fallAfter(),
                allowed);
    }
}
