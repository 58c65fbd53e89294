package embershift.fleet;

/** One key changed; {@code value} null: it is gone. */
public record Event(long revision, String key, String value) {}
