package embershift.emulator.world;

import embershift.emulator.day.Day;
import embershift.emulator.day.Trouble;
import embershift.emulator.day.UnreadableDay;
import embershift.emulator.day.Whom;
import embershift.model.HostId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Lets a day's troubles befall its world, each on the hosts, nodes or clients that its share is
 * drawn from.
 */
public final class Troubles {

    private final Stage world;
    private final Day day;
    private final Dice dice;
    private int begun;

    public Troubles(Stage world, Day day, Dice dice) {
        this.world = world;
        this.day = day;
        this.dice = dice;
    }

    public void plan() {
        for (Trouble trouble : day.trouble()) {
            Whom whom = read(trouble.whom());
            // Whom it befalls is drawn once: what comes again comes to the same.
            List<Host> hosts =
                    whom.sort().equals("hosts")
                            ? share(
                                    world.hosts().stream()
                                            .filter(host -> suits(whom, host))
                                            .toList(),
                                    whom.share())
                            : List.of();
            List<Integer> nodes =
                    whom.sort().equals("nodes") ? share(nodes(whom), whom.share()) : List.of();
            Predicate<Place> peers = peers(trouble);
            for (int i = 0; i < trouble.times(); i++) {
                world.agenda()
                        .at(
                                trouble.at() + i * trouble.every(),
                                () -> begin(trouble, whom, hosts, nodes, peers));
            }
        }
    }

    private static Whom read(String words) {
        try {
            return Whom.read(words);
        } catch (UnreadableDay e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    private static boolean suits(Whom whom, Host host) {
        return (whom.zone() == null || whom.zone().equals(host.zone))
                && (whom.kind() == null || whom.kind().equals(host.kind.name()))
                && (whom.named().isEmpty() || whom.named().contains(host.name));
    }

    private List<Integer> nodes(Whom whom) {
        List<Integer> suiting = new ArrayList<>();
        for (int i = 0; i < day.fleet().nodes(); i++) {
            String zone = day.fleet().zones().get(i % day.fleet().zones().size());
            if ((whom.zone() == null || whom.zone().equals(zone))
                    && (whom.named().isEmpty() || whom.named().contains("n" + i))) {
                suiting.add(i);
            }
        }
        return suiting;
    }

    /** Draws a share of them, at least one where there are any, kept in their order. */
    private <T> List<T> share(List<T> all, double share) {
        if (share >= 1 || all.isEmpty()) {
            return all;
        }
        int many = (int) Math.max(1, Math.round(share * all.size()));
        Set<Integer> drawn = new HashSet<>();
        while (drawn.size() < many) {
            drawn.add(dice.below(all.size()));
        }
        List<T> chosen = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            if (drawn.contains(i)) {
                chosen.add(all.get(i));
            }
        }
        return chosen;
    }

    /** Who is at the other end of a cut. */
    private Predicate<Place> peers(Trouble trouble) {
        if (trouble.peer().isEmpty()) {
            return place -> true;
        }
        Whom whom = read(trouble.peer());
        return switch (whom.sort()) {
            case "roster" -> place -> place.sort == Place.Sort.ROSTER;
            case "nodes" -> {
                List<Integer> nodes = share(nodes(whom), whom.share());
                yield place -> place.sort == Place.Sort.NODE && nodes.contains(place.number);
            }
            default -> {
                List<Host> hosts =
                        share(
                                world.hosts().stream().filter(host -> suits(whom, host)).toList(),
                                whom.share());
                yield place -> place instanceof Host host && hosts.contains(host);
            }
        };
    }

    private void begin(
            Trouble trouble,
            Whom whom,
            List<Host> hosts,
            List<Integer> nodes,
            Predicate<Place> peers) {
        double lasts = trouble.lasts();
        world.trace()
                .of(
                        world.agenda().now(),
                        "troubles",
                        trouble.what().written() + " " + trouble.whom());
        switch (trouble.what()) {
            case CRASH -> {
                hosts.forEach(host -> crash(host, lasts));
                nodes.forEach(node -> world.crashNode(node, lasts));
            }
            case VANISH ->
                    hosts.forEach(
                            host -> {
                                world.stopHost(host, true);
                                world.agenda()
                                        .in(
                                                lasts,
                                                () ->
                                                        world.startHost(
                                                                host, trouble.otherAddress()));
                            });
            case SLOW ->
                    during(
                            hosts,
                            lasts,
                            host -> host.drag(1 / trouble.factor(), true),
                            host -> host.drag(1 / trouble.factor(), false));
            case NEIGHBOUR ->
                    during(
                            hosts,
                            lasts,
                            host -> host.drag(1 - trouble.part(), true),
                            host -> host.drag(1 - trouble.part(), false));
            case STALL -> during(hosts, lasts, host -> host.stall(true), host -> host.stall(false));
            case FAIL_FAST ->
                    during(
                            hosts,
                            lasts,
                            host -> host.failing = trouble.part(),
                            host -> host.failing = 0);
            case HALF_ANSWER ->
                    during(
                            hosts,
                            lasts,
                            host -> host.halving = trouble.part(),
                            host -> host.halving = 0);
            case MUTE -> during(hosts, lasts, host -> host.mute = true, host -> host.mute = false);
            case REFUSE ->
                    during(
                            hosts,
                            lasts,
                            host -> host.refusing = true,
                            host -> host.refusing = false);
            case DRAIN -> hosts.forEach(host -> world.drainHost(host, lasts));
            case CUT, FLAP -> {
                Predicate<Place> inside =
                        whom.sort().equals("hosts")
                                ? place -> place instanceof Host host && hosts.contains(host)
                                : place ->
                                        place.sort == Place.Sort.NODE
                                                && nodes.contains(place.number);
                world.cut(
                        inside,
                        place -> !inside.test(place) && peers.test(place),
                        trouble.direction(),
                        lasts);
            }
            case RESTART -> restart(trouble, nodes);
            case PAUSE -> nodes.forEach(node -> world.pauseNode(node, lasts));
            case DROP -> drop(trouble, whom);
            case TRAFFIC -> {
                world.crowd().traffic(trouble.factor());
                world.agenda().in(lasts, () -> world.crowd().traffic(1 / trouble.factor()));
            }
            case COSTLY -> {
                int number = begun++;
                world.crowd()
                        .costly(
                                number,
                                new double[] {profile(whom), trouble.part(), trouble.factor()});
                world.agenda().in(lasts, () -> world.crowd().costly(number, null));
            }
            case STORE_SLOW -> {
                world.storeSlower(trouble.factor());
                world.agenda().in(lasts, () -> world.storeSlower(1 / trouble.factor()));
            }
            case ROSTER_AWAY -> rosterAway(lasts);
            case ROSTER_OLD -> {
                rosterAway(lasts);
                double end = world.agenda().now() + lasts;
                world.agenda()
                        .at(
                                end - 1e-6,
                                () ->
                                        world.rosterOlder(
                                                lasts + trouble.factor(), end + trouble.factor()));
            }
            case ROSTER_SHRINKS -> {
                Set<HostId> left = new LinkedHashSet<>();
                share(world.hosts(), trouble.part()).forEach(host -> left.add(host.address()));
                world.rosterLeavesOut(left, true);
                world.agenda().in(lasts, () -> world.rosterLeavesOut(left, false));
            }
            default -> throw new IllegalStateException(trouble.what().written());
        }
    }

    private int profile(Whom whom) {
        for (int i = 0; i < day.profile().size(); i++) {
            if (day.profile().get(i).name().equals(whom.profile())) {
                return i;
            }
        }
        return -1;
    }

    private void during(List<Host> hosts, double lasts, Consumer<Host> begin, Consumer<Host> end) {
        hosts.forEach(begin);
        world.agenda().in(lasts, () -> hosts.forEach(end));
    }

    private void rosterAway(double lasts) {
        world.rosterAway(true);
        world.agenda().in(lasts, () -> world.rosterAway(false));
    }

    private void crash(Host host, double lasts) {
        if (host.runs()) {
            world.stopHost(host, false);
            world.agenda().in(lasts, () -> world.startHost(host, false));
        }
    }

    /**
     * In waves of {@code part} of them, evenly over the time; told to stop first, where that is
     * polite.
     */
    private void restart(Trouble trouble, List<Integer> nodes) {
        int wave = (int) Math.max(1, Math.round(trouble.part() * nodes.size()));
        int waves = (nodes.size() + wave - 1) / wave;
        for (int i = 0; i < nodes.size(); i++) {
            int number = nodes.get(i);
            int inWave = i / wave;
            world.agenda()
                    .in(
                            trouble.lasts() * inWave / waves,
                            () -> {
                                if (trouble.politely()) {
                                    world.restartNode(number);
                                } else {
                                    world.crashNode(number, 0);
                                }
                            });
        }
    }

    private void drop(Trouble trouble, Whom whom) {
        int profile = profile(whom);
        for (Caller caller :
                share(
                        world.standing().stream()
                                .filter(
                                        one ->
                                                (profile < 0 || one.profile == profile)
                                                        && (whom.zone() == null
                                                                || whom.zone().equals(one.zone)))
                                .toList(),
                        whom.share())) {
            world.drop(caller, trouble.lasts() * dice.part());
        }
    }
}
