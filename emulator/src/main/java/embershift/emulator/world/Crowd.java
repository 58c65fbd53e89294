package embershift.emulator.world;

import embershift.emulator.day.Day;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Who comes: callers at random times (Poisson), with lives and loads of a wide spread, in groups
 * that share work. How many come a second follows from the wanted load by Little's law. The same
 * seed brings the same callers, whatever is decided about them.
 */
public final class Crowd {

    private final Day day;
    private final Agenda agenda;
    private final List<Host> hosts;
    private final Dice arrivals;
    private final Dice choices;
    private final double rate;
    private final double standing;
    private final int groups;
    private final Map<Integer, double[]> costly = new LinkedHashMap<>();
    private Consumer<Caller> arrived;
    private double factor = 1;
    private int plan;
    private int callers;

    public Crowd(Day day, long seed, Agenda agenda, List<Host> hosts) {
        this.day = day;
        this.agenda = agenda;
        this.hosts = hosts;
        this.arrivals = new Dice(seed, "arrivals");
        this.choices = new Dice(seed, "choices");
        double warm = hosts.stream().mapToDouble(Host::nominal).sum();
        double lives = day.profile().stream().mapToDouble(row -> row.share() * row.life()).sum();
        double meanWork =
                day.profile().stream()
                                .mapToDouble(row -> row.share() * row.load() * row.life())
                                .sum()
                        / lives
                        / day.traffic().perCore();
        rate = day.traffic().load() * warm / meanWork / (lives * day.traffic().life());
        standing = rate * lives * day.traffic().life();
        groups = (int) Math.max(1, Math.round(standing / day.traffic().groupSize()));
    }

    /** Callers a second on an untroubled day. */
    public double rate() {
        return rate;
    }

    public int callers() {
        return callers;
    }

    /** From now on callers come. */
    public void begin(Consumer<Caller> comes) {
        arrived = comes;
        planArrival();
    }

    void traffic(double times) {
        factor *= times;
        plan++;
        planArrival();
    }

    /**
     * Of a profile (all where it is negative), a part of those that come cost so many times the
     * usual; null ends it.
     */
    void costly(int trouble, double[] what) {
        if (what == null) {
            costly.remove(trouble);
        } else {
            costly.put(trouble, what);
        }
    }

    private void planArrival() {
        int number = plan;
        agenda.in(
                arrivals.exponential(1 / (rate * factor)),
                () -> {
                    if (number == plan) {
                        arrived.accept(caller(agenda.now(), day.traffic().life()));
                        planArrival();
                    }
                });
    }

    private static int drawn(double part, List<Double> shares) {
        double left = part;
        for (int i = 0; i < shares.size() - 1; i++) {
            left -= shares.get(i);
            if (left < 0) {
                return i;
            }
        }
        return shares.size() - 1;
    }

    private Caller caller(double begins, double life) {
        int profile =
                drawn(choices.part(), day.profile().stream().map(Day.Profile::share).toList());
        int participant =
                drawn(
                        choices.part(),
                        day.participant().stream().map(Day.Participant::part).toList());
        Day.Profile row = day.profile().get(profile);
        List<String> zones = day.fleet().zones();
        String zone = zones.get(choices.below(Math.min(zones.size(), day.fleet().nodes())));
        double lives = life * row.life() * choices.spread(day.traffic().lifeSpread());
        double load =
                row.load() / day.traffic().perCore() * choices.spread(day.traffic().loadSpread());
        int group = choices.below(groups);
        double cost = 1;
        double luck = choices.part();
        for (double[] trouble : costly.values()) {
            if ((trouble[0] < 0 || trouble[0] == profile) && luck < trouble[1]) {
                cost = Math.max(cost, trouble[2]);
            }
        }
        return new Caller(
                callers++,
                profile,
                participant,
                zone,
                group,
                begins,
                begins + lives,
                load * cost,
                cost);
    }

    /**
     * Those whose tunnels stand when the day begins, each with what is left of its life:
     * exponential, by its mean.
     */
    public List<Caller> standing() {
        List<Caller> all = new ArrayList<>();
        for (int i = 0; i < Math.round(standing); i++) {
            Caller one = caller(0, 0);
            double left =
                    arrivals.exponential(
                            day.traffic().life() * day.profile().get(one.profile).life());
            all.add(
                    new Caller(
                            one.number,
                            one.profile,
                            one.participant,
                            one.zone,
                            one.group,
                            0,
                            left,
                            one.load,
                            one.cost));
        }
        return all;
    }

    /**
     * Where each group stands when the day begins: the better of two hosts, as a balanced past
     * would have left it.
     */
    public List<Host> homes() {
        List<Host> homes = new ArrayList<>();
        double[] filled = new double[hosts.size()];
        double each = day.profile().stream().mapToDouble(row -> row.share() * row.load()).sum();
        for (int g = 0; g < groups; g++) {
            Host one = hosts.get(choices.below(hosts.size()));
            Host other = hosts.get(choices.below(hosts.size()));
            Host home =
                    filled[one.number] / one.nominal() <= filled[other.number] / other.nominal()
                            ? one
                            : other;
            filled[home.number] += day.traffic().groupSize() * each + day.host().groupCost();
            homes.add(home);
        }
        return homes;
    }
}
