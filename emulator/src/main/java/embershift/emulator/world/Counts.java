package embershift.emulator.world;

/** What a day cost, counted. */
public final class Counts {
    public long callers;
    public long tunnels;
    public long opened;
    public long declined;
    public long closedWithError;
    public long unanswered;
    public long setups;
    public long crossings;
    public long moves;
    public long breaks;
    public long probes;
    public long datagrams;
    public long rosterCalls;
    public long rosterEntries;
    public long rounds;

    /** Work that hosts did for setups, and of that for those of which no tunnel came. */
    public double setupWork;

    public double wastedWork;
}
