package embershift.emulator.world;

import embershift.emulator.day.Day;
import embershift.emulator.day.Trouble.Direction;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Ways between places. Delays are drawn evenly from the day's range; a lost segment of a stream
 * comes {@code again} seconds later, twice lost twice as late again (RFC 6298, section 5.5: the
 * timer doubles); a lost datagram never comes. A cut holds streams back until it ends: what was
 * sent meanwhile is still sent again then.
 */
final class Network {

    /** Seconds for which a stream's end keeps on sending again what nobody acknowledges. */
    private static final double PERSISTENCE = 15;

    private record Held(Place from, Place to, double since, Runnable what) {}

    private final Day.Network figures;
    private final Agenda agenda;
    private final Dice dice;
    private final Cuts cuts = new Cuts();
    private final List<Held> held = new ArrayList<>();

    Network(Day.Network figures, Agenda agenda, Dice dice) {
        this.figures = figures;
        this.agenda = agenda;
        this.dice = dice;
    }

    /** Whether what leaves now arrives. */
    boolean open(Place from, Place to) {
        return cuts.open(from, to);
    }

    boolean openBothWays(Place one, Place other) {
        return cuts.openBothWays(one, other);
    }

    /** Seconds one way for a segment of a stream that does arrive. */
    double delay(Place from, Place to) {
        double delay =
                dice.within(from.zone.equals(to.zone) ? figures.within() : figures.between());
        double again = figures.again();
        while (figures.loss() > 0 && dice.part() < figures.loss()) {
            delay += again;
            again *= 2;
        }
        return delay;
    }

    /**
     * From a client to a node of its zone, or back: what is lost there is no node's doing, so
     * nothing is.
     */
    double nearDelay() {
        return dice.within(figures.within());
    }

    /** Brings a part of a stream over, when it can be brought. */
    void stream(Place from, Place to, Runnable what) {
        if (open(from, to)) {
            agenda.in(delay(from, to), what);
        } else {
            held.add(new Held(from, to, agenda.now(), what));
        }
    }

    void datagram(Place from, Place to, Runnable what) {
        if (open(from, to) && dice.part() >= figures.loss()) {
            agenda.in(
                    dice.within(from.zone.equals(to.zone) ? figures.within() : figures.between()),
                    what);
        }
    }

    /**
     * Cuts these off from those for so many seconds; {@code changed} is called when it begins and
     * ends.
     */
    void cut(
            Predicate<Place> inside,
            Predicate<Place> outside,
            Direction direction,
            double lasts,
            Runnable changed) {
        Cuts.Cut cut = new Cuts.Cut(inside, outside, direction);
        cuts.begin(cut);
        changed.run();
        agenda.in(
                lasts,
                () -> {
                    cuts.end(cut);
                    changed.run();
                    release();
                });
    }

    private void release() {
        for (Iterator<Held> all = held.iterator(); all.hasNext(); ) {
            Held one = all.next();
            if (open(one.from, one.to)) {
                all.remove();
                if (agenda.now() - one.since < PERSISTENCE) {
                    agenda.in(delay(one.from, one.to) + figures.again() * dice.part(), one.what);
                }
            }
        }
    }
}
