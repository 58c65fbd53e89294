package embershift.emulator.sockets;

import embershift.emulator.world.Agenda;
import embershift.transport.EventLoop;

/** Lets what an agenda plans happen in real time, on a loop's thread. */
final class Pump {

    /**
     * Seconds until it looks again at the latest: what sockets plan meanwhile is no later than
     * that.
     */
    private static final double LOOK = 0.001;

    private final EventLoop loop;
    private final Agenda agenda;
    private final double end;
    private final Runnable ended;
    private double began;
    private boolean over;
    private boolean jumped;

    /** How late it was at the most: a machine that is busy makes a day void. */
    private double latest;

    Pump(EventLoop loop, Agenda agenda, double end, Runnable ended) {
        this.loop = loop;
        this.agenda = agenda;
        this.end = end;
        this.ended = ended;
    }

    /** From now on the day's time passes; it stands at {@code at}. */
    void begin(double at) {
        began = loop.now() - at;
        jumped = true;
        turn();
    }

    /** The day's time that the wall's is now; before it begins, the time at which it stands. */
    double time(double wall) {
        return wall - began;
    }

    double wall(double time) {
        return began + time;
    }

    double latest() {
        return latest;
    }

    /** Lets happen what is due, so that the agenda's time is the present one. */
    void sync() {
        if (began == 0 || over) {
            return;
        }
        double now = loop.now() - began;
        // A jump to the day's beginning leaves behind what was planned before it.
        latest =
                jumped
                        ? 0
                        : Math.max(
                                latest, now - Math.max(agenda.now(), Math.min(now, agenda.next())));
        jumped = false;
        agenda.runUntil(Math.min(now, end));
        if (now >= end) {
            over = true;
            ended.run();
        }
    }

    private void turn() {
        sync();
        if (!over) {
            loop.schedule(
                    Math.max(0.0005, Math.min(LOOK, agenda.next() - agenda.now())), this::turn);
        }
    }
}
