package embershift.fleet;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Map;
import java.util.SortedMap;

/**
 * Sums by which two can tell that they hold the same: SHA-256, its first sixteen bytes in
 * hexadecimal.
 */
final class Digest {

    private static final int BYTES = 16;

    private Digest() {}

    /** Each part counts with its length: parts that are cut elsewhere give another sum. */
    static String of(String... parts) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (String part : parts) {
                byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
                digest.update((bytes.length + ":").getBytes(StandardCharsets.US_ASCII));
                digest.update(bytes);
            }
            StringBuilder out = new StringBuilder();
            byte[] sum = digest.digest();
            for (int i = 0; i < BYTES; i++) {
                out.append(Character.forDigit(sum[i] >> 4 & 15, 16))
                        .append(Character.forDigit(sum[i] & 15, 16));
            }
            return out.toString();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("each Java has SHA-256", e);
        }
    }

    static String of(SortedMap<String, String> fields) {
        String[] parts = new String[2 * fields.size()];
        int at = 0;
        for (Map.Entry<String, String> field : fields.entrySet()) {
            parts[at++] = field.getKey();
            parts[at++] = field.getValue();
        }
        return of(parts);
    }
}
