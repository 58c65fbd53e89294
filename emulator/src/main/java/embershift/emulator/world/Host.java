package embershift.emulator.world;

import embershift.emulator.day.Day;
import embershift.model.HostId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A session host: cores that do the work of standing tunnels and of setups in turn. How long a line
 * takes there is the wait behind what is queued, and in a machine with several cores the mean wait
 * of Sakasegawa's approximation (1977) for M/M/c, with its utilization held under 0.98: beyond that
 * the backlog itself tells.
 */
public final class Host extends Place {

    /** What runs there. */
    public enum State {
        RUNNING,
        DRAINING,
        DOWN,
        SILENT
    }

    private static final double MOST_BUSY = 0.98;

    /** Troubles that make the whole machine do less, in the order in which they came. */
    private final List<Double> drags = new ArrayList<>();

    private int stalls;

    /** Parts of the setups that meet each of these ends; the latest trouble of a kind counts. */
    public double failing;

    public double halving;
    public boolean mute;
    public boolean refusing;

    public final Day.Kind kind;
    public final int cell;
    final double speed;
    private final Day day;
    private final Agenda agenda;
    private final Backlog backlog;
    private final Dice dice;
    private State state = State.RUNNING;
    private HostId address;
    private int addresses = 1;
    private int launches;
    private double launchedAt = Double.NEGATIVE_INFINITY;

    private final Set<Attempt> standing = new LinkedHashSet<>();
    private final Map<Integer, Integer> groups = new HashMap<>();
    private int held;
    private double tunnelLoad;
    private double setupWork;
    private double pushRate;
    private double pushRateAt;
    private double pushedSince;

    private double reportedLoad;
    private int reportedTunnels;
    private int reportedQueue;
    private double reportNextAt = Double.NEGATIVE_INFINITY;
    private double reportLastAt;

    Host(Day day, int number, Day.Kind kind, double speed, String zone, Agenda agenda, Dice dice) {
        super(Sort.HOST, number, "h" + number, zone);
        this.day = day;
        this.kind = kind;
        this.speed = speed;
        this.cell = number / day.fleet().cell();
        this.agenda = agenda;
        this.dice = dice;
        this.address = new HostId("h" + number);
        this.backlog = new Backlog(agenda, day.host().backlog() * nominal());
    }

    /** The hosts of a day: kinds in turn by their shares, zones in turn. */
    public static List<Host> fleet(Day day, long seed, Agenda agenda) {
        Dice dice = new Dice(seed, "fleet");
        List<Host> hosts = new ArrayList<>();
        List<String> zones = day.fleet().zones();
        int many = day.fleet().hosts();
        double share = 0;
        int kind = 0;
        for (int i = 0; i < many; i++) {
            while (kind < day.kind().size() - 1
                    && (i + 0.5) / many > share + day.kind().get(kind).share()) {
                share += day.kind().get(kind++).share();
            }
            Day.Kind row = day.kind().get(kind);
            hosts.add(
                    new Host(
                            day,
                            i,
                            row,
                            dice.within(row.speed()),
                            zones.get(i % zones.size()),
                            agenda,
                            new Dice(seed, "host" + i)));
        }
        return hosts;
    }

    /** Work asked for over what each can do, by number; not a number for those that are down. */
    public static double[] loads(List<Host> hosts) {
        return hosts.stream()
                .mapToDouble(
                        host ->
                                host.runs()
                                        ? host.demand() / Math.max(1e-9, host.capacity())
                                        : Double.NaN)
                .toArray();
    }

    public HostId address() {
        return address;
    }

    public State state() {
        return state;
    }

    public int launches() {
        return launches;
    }

    public double launchedAt() {
        return launchedAt;
    }

    public Set<Attempt> standing() {
        return standing;
    }

    public boolean runs() {
        return state == State.RUNNING || state == State.DRAINING;
    }

    public boolean stalled() {
        return stalls > 0;
    }

    /** Work a second when warm and untroubled. */
    double nominal() {
        return kind.cores() * speed;
    }

    /** The part of its work that it can do since its start. */
    double warmed() {
        double part = (agenda.now() - launchedAt) / day.host().warmAfter();
        return part >= 1
                ? 1
                : day.host().coldFrom() + (1 - day.host().coldFrom()) * Math.max(0, part);
    }

    public boolean cold() {
        return agenda.now() < launchedAt + day.host().warmAfter();
    }

    /** Work a second that it can do now, a stall left out: its figures don't know of one. */
    public double capacity() {
        double capacity = nominal() * warmed();
        for (double drag : drags) {
            capacity *= drag;
        }
        return capacity;
    }

    /** Work a second that its tunnels and their groups ask for. */
    public double demand() {
        return tunnelLoad + groups.size() * day.host().groupCost() / day.traffic().perCore();
    }

    void drag(double part, boolean on) {
        if (on) {
            drags.add(part);
        } else {
            drags.remove(part);
        }
        refresh();
    }

    void stall(boolean on) {
        stalls += on ? 1 : -1;
        refresh();
    }

    /**
     * Takes the present rates into account; called whenever they change, and now and then as it
     * warms.
     */
    public void refresh() {
        backlog.rates(demand(), !runs() || stalled() ? 0 : capacity());
        if (agenda.now() >= reportNextAt) {
            double passed = Math.max(1e-3, agenda.now() - reportLastAt);
            reportedLoad = (demand() + setupWork / passed) / Math.max(1e-9, capacity());
            reportedTunnels = held;
            reportedQueue = backlog.jobs();
            setupWork = 0;
            reportLastAt = agenda.now();
            reportNextAt = agenda.now() + dice.within(day.host().reportEvery());
        }
    }

    /** Seconds that a line takes there and back, without the way. */
    public double lineTakes() {
        double capacity = capacity();
        if (!runs() || stalled() || capacity <= 0) {
            return Double.POSITIVE_INFINITY;
        }
        double own = day.host().messageWork() * kind.cores() / capacity;
        double busy = Math.min(MOST_BUSY, demand() / capacity);
        double wait =
                Math.pow(busy, Math.sqrt(2 * (kind.cores() + 1)) - 1) / (kind.cores() * (1 - busy));
        return backlog.waiting() / capacity + own * (1 + wait);
    }

    /** The true load: work asked for, and what waits, over what it can do. */
    double trueLoad() {
        return (demand() + backlog.waiting())
                / Math.max(1e-9, runs() && !stalled() ? capacity() : 0);
    }

    public double reportedLoad() {
        return reportedLoad;
    }

    public int reportedTunnels() {
        return reportedTunnels;
    }

    public int reportedQueue() {
        return reportedQueue;
    }

    public void probed() {
        backlog.job(day.host().probeWork(), () -> {});
    }

    // ---- Tunnels ----

    /** Whether there is room for one more setup. */
    public boolean hasRoom() {
        return held < day.host().connections()
                && backlog.waiting() <= day.host().backlog() * capacity();
    }

    /** Does a setup's own work, after what waits before it. */
    public void setUp(double work, Runnable whenDone) {
        held++;
        setupWork += work;
        double alone = Math.max(0, work / speed - work / Math.max(1e-9, capacity()));
        int launch = launches;
        backlog.job(
                work,
                () ->
                        agenda.in(
                                alone,
                                () -> {
                                    if (launch == launches) {
                                        whenDone.run();
                                    }
                                }));
    }

    /** A setup came to nothing: its place is free again. */
    public void forget() {
        held--;
    }

    public void admit(Attempt attempt) {
        standing.add(attempt);
        tunnelLoad += attempt.load;
        groups.merge(attempt.caller.group, 1, Integer::sum);
        refresh();
    }

    /** A tunnel that stands at the day's beginning. */
    public void begin(Attempt attempt) {
        held++;
        admit(attempt);
    }

    public void release(Attempt attempt) {
        if (standing.remove(attempt)) {
            held--;
            tunnelLoad -= attempt.load;
            groups.computeIfPresent(
                    attempt.caller.group, (group, many) -> many == 1 ? null : many - 1);
            if (standing.isEmpty()) {
                tunnelLoad = 0; // what rounding left
            }
            refresh();
        }
    }

    void loadChanges(Attempt attempt, double load) {
        if (standing.contains(attempt)) {
            tunnelLoad += load - attempt.load;
            attempt.load = load;
            refresh();
        }
    }

    boolean holds(int group) {
        return groups.containsKey(group);
    }

    // ---- Cold starts ----

    /**
     * Counts a setup sent to a host that is still cold. How many come a second is smoothed over a
     * third of {@code fall-after}, so that a rush counts for as long as it takes to work off; the
     * host is pushed over when that stays above {@code fall-multiple} times the tunnels a second
     * that it could take up at that moment, were all like the mean one, for the whole of {@code
     * fall-after}. Returns how many a second are allowed if it is, else NaN.
     */
    public double pushed() {
        double now = agenda.now();
        double smoothed = smoothed(now);
        if (!cold()) {
            return Double.NaN;
        }
        if (smoothed <= allowed()) {
            pushedSince = now;
        } else {
            // Above it ever since, or the smoothed rate sank below in between and nothing came.
            double sank = pushRateAt + smoothing() * Math.log(Math.max(1e-9, pushRate) / allowed());
            pushedSince = sank < now ? now : pushedSince;
        }
        pushRate = smoothed + 1 / smoothing();
        pushRateAt = now;
        return pushRate > allowed() && now - pushedSince >= day.rules().fallAfter()
                ? allowed()
                : Double.NaN;
    }

    private double smoothing() {
        return day.rules().fallAfter() / 3;
    }

    private double smoothed(double now) {
        return pushRate * Math.exp((pushRateAt - now) / smoothing());
    }

    /**
     * Tunnels a second that can be sent to it now without pushing it over: a multiple of what fills
     * it, as far as it is warm, over its warm-up, or over a tunnel's life where that is shorter. By
     * life alone, hosts with tunnels of minutes could be sent almost nothing; the operators'
     * simulator, hunted for days that break the rule, is nowhere near that.
     */
    private double allowed() {
        return day.rules().fallMultiple()
                * warmed()
                * nominal()
                * day.traffic().perCore()
                / Math.min(day.traffic().life(), day.host().warmAfter());
    }

    /** Setups that it could still be sent at this moment. */
    double coldRoom() {
        return (allowed() - smoothed(agenda.now())) * smoothing();
    }

    public double pushRate() {
        return pushRate;
    }

    // ---- Its life ----

    public void drain() {
        if (state == State.RUNNING) {
            state = State.DRAINING;
        }
    }

    /**
     * Its program ends, or ({@code silent}) the machine is gone without a word. Returns what stood
     * there.
     */
    public Set<Attempt> stop(boolean silent) {
        Set<Attempt> broken = new LinkedHashSet<>(standing);
        state = silent ? State.SILENT : State.DOWN;
        launches++;
        standing.clear();
        groups.clear();
        held = 0;
        tunnelLoad = 0;
        setupWork = 0;
        pushRate = 0;
        backlog.clear();
        refresh();
        return broken;
    }

    /** A new program starts, cold; {@code moved}: under an address that nobody knows yet. */
    public void start(boolean moved) {
        state = State.RUNNING;
        launches++;
        launchedAt = agenda.now();
        failing = 0;
        halving = 0;
        if (moved) {
            address = new HostId("h" + number + "-" + ++addresses);
        }
        reportNextAt = agenda.now();
        refresh();
    }
}
