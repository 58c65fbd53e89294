package embershift.fleet.digest;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.SortedMap;

/**
 * Digests for comparing whether two sides hold the same data: the first 16 bytes of SHA-256, in
 * hex.
 */
public final class Digest {

    private static final int DIGEST_BYTES = 16;

    private Digest() {}

    /** Returns the digest of texts, including where one ends and the next begins. */
    public static String of(String... parts) {
        MessageDigest digest = sha256();
        for (String part : parts) {
            byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
            digest.update((bytes.length + ":").getBytes(StandardCharsets.US_ASCII));
            digest.update(bytes);
        }
        return HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES);
    }

    /** Returns the digest of fields, by name and value. */
    public static String of(SortedMap<String, String> fields) {
        String[] parts = new String[2 * fields.size()];
        int next = 0;
        for (Map.Entry<String, String> field : fields.entrySet()) {
            parts[next++] = field.getKey();
            parts[next++] = field.getValue();
        }
        return of(parts);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is required of every Java platform", e);
        }
    }
}
