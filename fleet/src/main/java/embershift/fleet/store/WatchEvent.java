package embershift.fleet.store;

import java.util.Optional;

/**
 * A change of one key.
 *
 * @param value empty if the key was deleted
 */
public record WatchEvent(long revision, String key, Optional<String> value) {}
