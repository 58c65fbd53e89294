package embershift.emulator.baseline;

import embershift.emulator.world.Module;
import embershift.model.Decisions;
import embershift.model.DeclineReason;
import embershift.model.Deployment;
import embershift.model.Deployment.DedupScope;
import embershift.model.Deployment.Profile;
import embershift.model.Deployment.Repeat;
import embershift.model.GroupId;
import embershift.model.HostId;
import embershift.model.NodeEvents;
import embershift.model.ParticipantId;
import embershift.model.ProfileId;
import embershift.model.RosterEntry;
import embershift.model.SetupOutcome;
import embershift.model.SubjectId;
import embershift.model.TunnelId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A node that does its chores as plainly as the rules allow - the roster watched, each tunnel set
 * up, tried again elsewhere, declined or closed with error - and leaves the choice of host to a
 * {@link Choice}.
 */
final class Plain implements Module, NodeEvents {

    /** How a host is chosen; {@code eligible} is never empty, in the order of names. */
    interface Choice {

        /** The host, or null to decline. */
        Host choose(List<Host> eligible, String group);

        /**
         * For how many setup goals a setup may take that is not the last one; 0 for as long as its
         * client waits.
         */
        default double patience() {
            return 3;
        }

        /** Seconds between probes of all hosts; 0 for none. */
        default double probesEvery() {
            return 0;
        }

        /** The part of a host's tunnels to be moved off now; asked once a second. */
        default double moves(Host host) {
            return 0;
        }
    }

    /** What is known of a host. */
    static final class Host {
        final HostId id;
        RosterEntry.State state = RosterEntry.State.GONE;
        RosterEntry listing;
        final Map<TunnelId, Row> own = new LinkedHashMap<>();
        double load = Double.NaN;

        Host(HostId id) {
            this.id = id;
        }

        boolean near(Deployment deployment) {
            return listing != null && deployment.zone().equals(listing.zone());
        }
    }

    private static final class Row {
        final TunnelId id;
        final Profile profile;
        final String group;
        final double until;
        final List<Host> tried = new ArrayList<>(2);
        int setups;
        double firstSentAt;
        Host host;
        Host ranAt;
        boolean mayHaveRun;
        boolean open;

        Row(TunnelId id, Profile profile, String group, double until) {
            this.id = id;
            this.profile = profile;
            this.group = group;
            this.until = until;
        }
    }

    private static final double LEAST_LEFT = 0.05;

    private final Deployment deployment;
    private final Choice choice;
    private final UniformRandomProvider chance;
    private final Map<ProfileId, Profile> profiles = new HashMap<>();
    private final Map<String, Host> hosts = new TreeMap<>();
    private final Map<TunnelId, Row> rows = new LinkedHashMap<>();
    private double now = Double.NEGATIVE_INFINITY;
    private double rosterAt = Double.NEGATIVE_INFINITY;
    private double probesAt = Double.NEGATIVE_INFINITY;
    private double movesAt;
    private Decisions decisions;

    Plain(Deployment deployment, Choice choice) {
        this.deployment = deployment;
        this.choice = choice;
        this.chance = random(deployment, 1);
        deployment.profiles().forEach(profile -> profiles.put(profile.id(), profile));
    }

    static UniformRandomProvider random(Deployment deployment, long purpose) {
        return RandomSource.XO_SHI_RO_256_PP.create(
                new long[] {deployment.seed(), purpose, ~deployment.seed(), 1});
    }

    @Override
    public void round(double at, Consumer<NodeEvents> arrivals, Decisions out) {
        if (now == Double.NEGATIVE_INFINITY) {
            movesAt = at + 1;
        }
        now = at;
        decisions = out;
        arrivals.accept(this);
        if (now >= rosterAt) {
            rosterAt = Double.POSITIVE_INFINITY;
            out.watchRoster(true);
        }
        double every = choice.probesEvery();
        if (every > 0 && now >= probesAt) {
            probesAt = now + every;
            hosts.values().stream()
                    .filter(host -> host.state == RosterEntry.State.READY)
                    .forEach(host -> out.probe(host.id));
        }
        if (now >= movesAt) {
            movesAt = now + 1;
            hosts.values().forEach(this::moveOff);
        }
        double next =
                Math.min(
                        rosterAt,
                        Math.min(movesAt, every > 0 ? probesAt : Double.POSITIVE_INFINITY));
        out.wakeAfter(Math.max(0.001, next - now));
    }

    private void moveOff(Host host) {
        double part = choice.moves(host) * host.own.size();
        int many = (int) (part + chance.nextDouble());
        for (Row row : List.copyOf(host.own.values())) {
            if (many-- <= 0) {
                return;
            }
            if (row.open) {
                decisions.move(row.id);
            }
        }
    }

    // ---- The roster ----

    @Override
    public void rosterReplaced(List<RosterEntry> listings, boolean remembered) {
        hosts.values().forEach(host -> host.state = RosterEntry.State.GONE);
        rosterChanged(listings);
    }

    @Override
    public void rosterChanged(List<RosterEntry> listings) {
        for (RosterEntry listing : listings) {
            Host host =
                    hosts.computeIfAbsent(listing.host().name(), name -> new Host(listing.host()));
            host.state = listing.state();
            host.listing = listing;
        }
    }

    @Override
    public void rosterWatchLost() {
        rosterAt = now + deployment.rosterCallDeadline() / 8 * (0.5 + chance.nextDouble());
    }

    // ---- Tunnels ----

    @Override
    public void tunnelArrived(
            TunnelId id,
            ProfileId profile,
            ParticipantId participant,
            SubjectId subject,
            GroupId group,
            double timeLeft,
            boolean midFlow) {
        Row row =
                new Row(
                        id,
                        profiles.get(profile),
                        group == null ? null : group.name(),
                        now + timeLeft);
        rows.put(id, row);
        place(row);
    }

    @Override
    public void tunnelResumed(
            TunnelId id,
            ProfileId profile,
            ParticipantId participant,
            SubjectId subject,
            GroupId group,
            HostId at) {
        Row row =
                new Row(
                        id,
                        profiles.get(profile),
                        group == null ? null : group.name(),
                        Double.POSITIVE_INFINITY);
        row.setups = 1;
        row.open = true;
        row.host = hosts.computeIfAbsent(at.name(), name -> new Host(at));
        row.host.own.put(id, row);
        rows.put(id, row);
    }

    private boolean mayRunAgain(Row row) {
        return !row.mayHaveRun
                || switch (row.profile.repeat()) {
                    case REPEATABLE -> true;
                    case REFERENCED -> now < row.firstSentAt + row.profile.dedupWindow();
                    case ONCE_ONLY -> false;
                };
    }

    private boolean dropsRepeats(Row row, Host host) {
        if (!row.mayHaveRun || row.profile.repeat() != Repeat.REFERENCED) {
            return true;
        }
        return row.ranAt != null
                && row.ranAt.listing != null
                && switch (row.profile.dedupScope()) {
                    case ALL -> true;
                    case ZONE -> row.ranAt.listing.zone().equals(host.listing.zone());
                    case CELL -> row.ranAt.listing.cell() == host.listing.cell();
                };
    }

    private void place(Row row) {
        double left = row.until - now;
        Host host = null;
        if (row.setups < deployment.maxSetups() && left > LEAST_LEFT && mayRunAgain(row)) {
            List<Host> eligible = new ArrayList<>();
            for (Host one : hosts.values()) {
                if (one.state == RosterEntry.State.READY && dropsRepeats(row, one)) {
                    eligible.add(one);
                }
            }
            if (!row.tried.containsAll(eligible)) {
                eligible.removeAll(row.tried);
            }
            host = eligible.isEmpty() ? null : choice.choose(eligible, row.group);
        }
        if (host == null) {
            rows.remove(row.id);
            if (mayRunAgain(row)
                    && (!row.mayHaveRun
                            || row.profile.repeat() != Repeat.REFERENCED
                            || row.profile.dedupScope() == DedupScope.ALL)) {
                decisions.decline(row.id, 0, DeclineReason.NO_HOST_READY);
            } else {
                decisions.closeWithError(row.id);
            }
            return;
        }
        boolean last =
                row.setups + 1 >= deployment.maxSetups()
                        || row.profile.repeat() == Repeat.ONCE_ONLY;
        if (row.setups == 0) {
            row.firstSentAt = now;
        }
        row.setups++;
        row.host = host;
        host.own.put(row.id, row);
        decisions.sendSetup(
                row.id,
                host.id,
                last ? 0 : Math.min(left, choice.patience() * row.profile.setupGoal()));
    }

    @Override
    public void tunnelOpened(TunnelId id, int setup, HostId host, double took) {
        Row row = rows.get(id);
        if (row != null) {
            row.open = true;
        }
    }

    @Override
    public void tunnelAbandoned(TunnelId id) {
        Row row = rows.remove(id);
        if (row != null) {
            leave(row);
            if (!row.open && row.setups > 0 && deployment.mayCancel()) {
                decisions.cancelSetup(id, row.setups - 1);
            }
        }
    }

    private void leave(Row row) {
        if (row.host != null) {
            row.host.own.remove(row.id);
        }
    }

    @Override
    public void setupEnded(
            TunnelId id, int setup, HostId at, SetupOutcome end, double took, boolean over) {
        Row row = rows.get(id);
        if (row == null || setup != row.setups - 1) {
            return;
        }
        leave(row);
        if (over) {
            rows.remove(id);
            return;
        }
        if (!end.neverRan()) {
            row.mayHaveRun = true;
            row.ranAt = row.host;
        }
        row.tried.add(row.host);
        place(row);
    }

    // ---- Probes ----

    @Override
    public void messageDelayMeasured(HostId host, double delay) {
        // Plain nodes know only their probes.
    }

    @Override
    public void probeEnded(HostId at, boolean answered, double took) {
        // A host that does not answer keeps its last figure: the paper has no word on it.
    }

    @Override
    public void hostReported(
            HostId at, double loadOverCapacity, double openTunnels, double queued) {
        Host host = hosts.get(at.name());
        if (host != null) {
            host.load = loadOverCapacity;
        }
    }

    @Override
    public void nodeMessageReceived(int node, byte[] content) {
        // Plain nodes don't tell each other anything.
    }

    @Override
    public void nodeLeaving(boolean replaced) {
        rows.values().stream()
                .filter(row -> row.open)
                .toList()
                .forEach(row -> decisions.move(row.id));
    }
}
