package embershift.emulator.world;

import embershift.emulator.day.Day;
import embershift.model.HostId;
import embershift.model.RosterEntry;
import embershift.model.ZoneId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The roster: late, knowing only whether a program runs. It answers calls in turn and pushes
 * changes to those that watch it. It can be away (calls fail, watches break), come back with an
 * older list, or leave hosts out of it.
 */
final class Roster extends Place {

    private record Version(double at, Map<HostId, RosterEntry> list) {}

    private final Day.Roster figures;
    private final Agenda agenda;
    private final Network network;
    private final Dice dice;
    private final Map<HostId, RosterEntry> list = new LinkedHashMap<>();
    private final Map<HostId, Double> changedAt = new LinkedHashMap<>();
    private final List<Version> versions = new ArrayList<>();
    private final Set<NodeShell> watchers = new LinkedHashSet<>();

    /** The connection on which each node was last answered: its changes come in order. */
    private final Map<NodeShell, Wire> wires = new LinkedHashMap<>();

    private final Set<HostId> leftOut = new LinkedHashSet<>();
    private Map<HostId, RosterEntry> older;
    private int away;
    private double busyUntil;
    long calls;
    long entries;

    Roster(Day.Roster figures, String zone, Agenda agenda, Network network, Dice dice) {
        super(Sort.ROSTER, 0, "roster", zone);
        this.figures = figures;
        this.agenda = agenda;
        this.network = network;
        this.dice = dice;
    }

    private static RosterEntry listing(Host host, HostId address, RosterEntry.State state) {
        return new RosterEntry(
                address,
                state,
                new ZoneId(host.zone),
                1,
                host.cell,
                Math.max(0, host.launchedAt()));
    }

    void begin(List<Host> hosts) {
        for (Host host : hosts) {
            list.put(host.address(), listing(host, host.address(), RosterEntry.State.READY));
        }
        versions.add(new Version(agenda.now(), Map.copyOf(list)));
    }

    List<RosterEntry> present() {
        return new ArrayList<>(list.values());
    }

    /** A host's program has changed: the roster will see it, late. */
    void changed(Host host) {
        HostId address = host.address();
        RosterEntry.State state =
                switch (host.state()) {
                    case RUNNING -> RosterEntry.State.READY;
                    case DRAINING -> RosterEntry.State.DRAINING;
                    case DOWN, SILENT -> RosterEntry.State.GONE;
                };
        RosterEntry seen = listing(host, address, state);
        agenda.in(
                dice.within(figures.lag()),
                () -> {
                    RosterEntry before = list.get(address);
                    if (before != null && before.launchedAt() > seen.launchedAt()) {
                        return;
                    }
                    if (state == RosterEntry.State.GONE) {
                        list.remove(address);
                    } else {
                        list.put(address, seen);
                    }
                    changedAt.put(address, agenda.now());
                    versions.add(new Version(agenda.now(), new LinkedHashMap<>(list)));
                    if (older == null && !leftOut.contains(address)) {
                        push(List.of(seen));
                    }
                });
    }

    /** When the roster last changed its word on this host, as the day's begin if never. */
    double changedAt(HostId address) {
        return changedAt.getOrDefault(address, 0.0);
    }

    /** Whether by its true list this host is wanted. */
    boolean lists(HostId address) {
        RosterEntry listing = list.get(address);
        return listing != null && listing.state() == RosterEntry.State.READY;
    }

    boolean reachable() {
        return away == 0;
    }

    private void push(List<RosterEntry> changes) {
        if (away > 0) {
            return;
        }
        for (NodeShell node : List.copyOf(watchers)) {
            entries += changes.size();
            wires.get(node).send(network, this, node, () -> deliver(node, changes, false));
        }
    }

    private void deliver(NodeShell node, List<RosterEntry> listings, boolean whole) {
        if (node.runs()) {
            node.rosterSays(listings, whole);
        }
    }

    /** What it would answer now. */
    private List<RosterEntry> whole() {
        List<RosterEntry> all = new ArrayList<>();
        for (RosterEntry listing : (older != null ? older : list).values()) {
            if (!leftOut.contains(listing.host())) {
                all.add(listing);
            }
        }
        return all;
    }

    /**
     * A node asks for the whole list; with {@code watch}, changes follow until the watch breaks.
     */
    void call(NodeShell node, boolean watch) {
        calls++;
        watchers.remove(node);
        Wire wire = new Wire();
        wires.put(node, wire);
        if (!network.openBothWays(node, this)) {
            agenda.in(figures.patience(), () -> lost(node));
            return;
        }
        agenda.in(
                network.delay(node, this),
                () -> {
                    if (away > 0) {
                        network.stream(this, node, () -> lost(node));
                        return;
                    }
                    busyUntil = Math.max(agenda.now(), busyUntil) + figures.callWork();
                    if (busyUntil - agenda.now() > figures.patience()) {
                        busyUntil -= figures.callWork();
                        agenda.in(figures.patience(), () -> lost(node));
                        return;
                    }
                    agenda.at(
                            busyUntil,
                            () -> {
                                if (away > 0) {
                                    network.stream(this, node, () -> lost(node));
                                    return;
                                }
                                List<RosterEntry> all = whole();
                                entries += all.size();
                                if (watch && node.runs() && wires.get(node) == wire) {
                                    watchers.add(node);
                                }
                                wire.send(network, this, node, () -> deliver(node, all, true));
                            });
                });
    }

    private void lost(NodeShell node) {
        if (node.runs()) {
            node.rosterLost();
        }
    }

    void forget(NodeShell node) {
        watchers.remove(node);
        wires.remove(node);
    }

    boolean watches(NodeShell node) {
        return watchers.contains(node);
    }

    // ---- Troubles ----

    void away(boolean on) {
        away += on ? 1 : -1;
        if (on) {
            breakWatches(watchers);
        }
    }

    private void breakWatches(Iterable<NodeShell> broken) {
        List<NodeShell> all = new ArrayList<>();
        broken.forEach(all::add);
        for (NodeShell node : all) {
            watchers.remove(node);
            network.stream(this, node, () -> lost(node));
        }
    }

    /** Ways have been cut or mended: a watch across a cut breaks when a call's patience is over. */
    void waysChanged() {
        for (NodeShell node : List.copyOf(watchers)) {
            if (!network.openBothWays(node, this)) {
                agenda.in(
                        figures.patience(),
                        () -> {
                            if (watchers.contains(node) && !network.openBothWays(node, this)) {
                                watchers.remove(node);
                                lost(node);
                            }
                        });
            }
        }
    }

    /**
     * Comes back with the list of so many seconds ago, and holds it for the truth until {@code
     * until}.
     */
    void older(double ago, double until) {
        double then = agenda.now() - ago;
        Map<HostId, RosterEntry> found = versions.get(0).list;
        for (Version version : versions) {
            if (version.at <= then) {
                found = version.list;
            }
        }
        older = found;
        agenda.at(
                until,
                () -> {
                    older = null;
                    breakWatches(List.copyOf(watchers));
                });
    }

    void leaveOut(Set<HostId> hosts, boolean on) {
        if (on) {
            leftOut.addAll(hosts);
        } else {
            leftOut.removeAll(hosts);
        }
        if (away == 0) {
            List<RosterEntry> all = whole();
            for (NodeShell node : List.copyOf(watchers)) {
                wires.get(node).send(network, this, node, () -> deliver(node, all, true));
            }
        }
    }
}
