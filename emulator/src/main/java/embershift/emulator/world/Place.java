package embershift.emulator.world;

/** One end of a way through the network: a host, a node or the roster, in a zone. */
public abstract class Place {

    /** What is there. */
    public enum Sort {
        HOST,
        NODE,
        ROSTER
    }

    public final Sort sort;
    public final int number;
    public final String name;
    public final String zone;

    protected Place(Sort sort, int number, String name, String zone) {
        this.sort = sort;
        this.number = number;
        this.name = name;
        this.zone = zone;
    }
}
