package embershift.rig.world;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/**
 * One thing that goes wrong in a simulated world. {@code a}, {@code b}: numbers of instances;
 * {@code LEADER} is whoever leads then.
 */
public record Fault(double at, double lasts, Kind kind, int a, int b) {

    public static final int LEADER = -1;

    public enum Kind {
        /** All that is not on disk is lost; up again after {@code lasts}. */
        CRASH,
        /** Stands still, and reads all that came meanwhile when it goes on. */
        STOP,
        /** Nothing from a to b. */
        CUT,
        /** Nothing from a to anyone, or from anyone to a. */
        UNHEARD,
        DEAF,
        /** Instances up to a on one side, the others on the other. */
        SPLIT,
        /** The disk of a takes its time, or takes nothing. */
        SLOW_DISK,
        FULL_DISK,
        /** The folder of a is lost; it comes back as another member. */
        LOST_FOLDER,
        /** The last byte of the log of a is changed while it is down. */
        FLIPPED,
        /** a is taken out of the group and in again, or only b follows as a learner for a while. */
        REMOVE,
        LEARNER,
        /** The leader hands over to a. */
        TRANSFER
    }

    /** Faults of one world, as its seed has them, until {@code end}. */
    static List<Fault> drawn(Random chance, int instances, double end) {
        List<Fault> faults = new ArrayList<>();
        // Some worlds are calm, some never come to rest.
        double gap = chance.nextInt(3) == 0 ? 0.04 : 0.1 + 0.5 * chance.nextDouble();
        boolean lost = false;
        for (double at = gap * chance.nextDouble(); at < end; at += gap * 2 * chance.nextDouble()) {
            Kind kind = Kind.values()[chance.nextInt(Kind.values().length)];
            if (kind == Kind.LOST_FOLDER || kind == Kind.FLIPPED) {
                // One at a time: a majority that forgets is past what any agreement bears.
                if (lost) {
                    kind = Kind.CRASH;
                }
                lost = true;
            }
            double lasts = 0.01 + (chance.nextInt(4) == 0 ? 1.2 : 0.3) * chance.nextDouble();
            int a = chance.nextInt(5) < 2 ? LEADER : chance.nextInt(instances);
            faults.add(
                    new Fault(
                            at,
                            Math.min(lasts, end - at),
                            kind,
                            a,
                            (Math.max(a, 0) + 1 + chance.nextInt(instances - 1)) % instances));
        }
        return faults;
    }

    /** As a line of a script. */
    public String line() {
        return String.format(Locale.ROOT, "%.4f %.4f %s %d %d", at, lasts, kind, a, b);
    }
}
