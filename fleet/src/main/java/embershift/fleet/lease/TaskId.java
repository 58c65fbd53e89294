package embershift.fleet.lease;

/**
 * A task that one instance at a time performs for the whole fleet, while it holds the task's lease.
 */
public record TaskId(String name) {

    /** The prefix of all keys of tasks in the store. */
    public static final String KEY_PREFIX = "duty/";

    private String key(String suffix) {
        return KEY_PREFIX + name + "/" + suffix;
    }

    /**
     * Returns the key whose revision is the fencing token of the latest grant. The key remains when
     * the lease ends.
     */
    public String tokenKey() {
        return key("fence");
    }

    /**
     * Returns the key that names the holder. It is bound to the holder's session: while the key
     * exists, the lease cannot be granted to another session.
     */
    public String holderKey() {
        return key("owner");
    }

    /**
     * Returns the key of the task's progress, which only the holder of the latest grant can write.
     */
    public String progressKey() {
        return key("progress");
    }

    /** Returns the key in which an operator names the instance that should hold the lease. */
    public String wantedHolderKey() {
        return key("wanted");
    }
}
