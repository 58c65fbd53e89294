package embershift.emulator.world;

/**
 * A client's wish to be connected from {@code begins} to {@code ends}. It tries, waits, tries again, and comes back
 * after each break or move until then; each try is an {@link Attempt} with an id of its own.
 */
final class Caller {
    final int number;
    final int profile;
    final int participant;
    final String zone;
    final int group;
    final double begins;
    final double ends;
    /** Work a second, before it changes; and how much more than usual its setups cost. */
    final double load;
    final double cost;
    int retriesLeft;
    int tries;
    Attempt attempt;
    boolean over;

    Caller(int number, int profile, int participant, String zone, int group, double begins, double ends,
           double load, double cost) {
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
