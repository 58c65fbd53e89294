package embershift.fleet;

/**
 * A key of the record. {@code created}, {@code revision}: the changes that made it and last wrote
 * it.
 */
public record Item(String key, String value, long created, long revision, SessionId session) {}
