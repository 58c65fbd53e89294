package embershift.fleet.store;

import java.util.Optional;

/**
 * Writes or deletes one key.
 *
 * @param value empty to delete the key
 * @param sessionBound whether the key is deleted when the transaction's session ends
 */
public record Mutation(String key, Optional<String> value, boolean sessionBound) {

    /** Writes a key. */
    public static Mutation put(String key, String value) {
        return new Mutation(key, Optional.of(value), false);
    }

    /** Writes a key that is deleted when the transaction's session ends. */
    public static Mutation putSessionBound(String key, String value) {
        return new Mutation(key, Optional.of(value), true);
    }

    /** Deletes a key, if it exists. */
    public static Mutation delete(String key) {
        return new Mutation(key, Optional.empty(), false);
    }
}
