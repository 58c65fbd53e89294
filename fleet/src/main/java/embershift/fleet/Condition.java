package embershift.fleet;

/**
 * What must hold of a key for a change to be made: its revision is this one, 0 for a key that must
 * not be there, or {@code ANY} for one that must. The revision of a key is that of the change that
 * last wrote it.
 */
public record Condition(String key, long revision) {

    public static final long ANY = -1;
}
