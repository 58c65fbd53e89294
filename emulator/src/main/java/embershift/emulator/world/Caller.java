package embershift.emulator.world;

/**
 * A client's wish to be connected from {@code begins} to {@code ends}. It tries, waits, tries
 * again, and comes back after each break or move until then; each try is an {@link Attempt} with an
 * id of its own.
 */
public final class Caller {
    public final int number;
    public final int profile;
    public final int participant;
    public final String zone;
    public final int group;
    public final double begins;
    public final double ends;

    /** Work a second, before it changes; and how much more than usual its setups cost. */
    public final double load;

    public final double cost;
    public int retriesLeft;
    public int tries;
    public Attempt attempt;
    public boolean over;

    Caller(
            int number,
            int profile,
            int participant,
            String zone,
            int group,
            double begins,
            double ends,
            double load,
            double cost) {
        this.number = number;
        this.profile = profile;
        this.participant = participant;
        this.zone = zone;
        this.group = group;
        this.begins = begins;
        this.ends = ends;
        this.load = load;
        this.cost = cost;
    }
}
