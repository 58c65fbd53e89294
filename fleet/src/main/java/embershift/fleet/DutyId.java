package embershift.fleet;

/** A piece of work that is done once for the whole fleet. */
public record DutyId(String name) {

    /**
     * Where the record keeps who was granted it last: the key's revision is the fence. Stays when
     * the owner goes.
     */
    public String fenceKey() {
        return "duty/" + name + "/fence";
    }

    /** Bound to its owner's session: while it is there, nobody else can be granted the duty. */
    public String ownerKey() {
        return "duty/" + name + "/owner";
    }

    /** What is intended or done of it; only whoever holds the latest fence can write there. */
    public String progressKey() {
        return "duty/" + name + "/progress";
    }
}
