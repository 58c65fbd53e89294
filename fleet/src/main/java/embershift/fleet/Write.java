package embershift.fleet;

/**
 * One key written, or taken away where {@code value} is null. {@code bound}: it goes with the
 * session of the change.
 */
public record Write(String key, String value, boolean bound) {}
