package embershift.fleet.audit;

import embershift.fleet.digest.Digest;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * A part of the audit log of one incarnation of a node, never changed once it is made. Each segment
 * carries the digest of the one before. If its first entry does not follow the last one of that,
 * what lay between was dropped for want of space.
 */
public record AuditSegment(
        String node,
        long incarnation,
        long number,
        String previousDigest,
        List<AuditEntry> entries) {

    /** The prefix of all keys of segments in the store. */
    public static final String KEY_PREFIX = "trail/";

    private static final String MAGIC = "trail";
    private static final String VERSION = "1";
    private static final String EMPTY_DIGEST = "-";
    private static final int HEADER_FIELDS = 7;

    /** Returns the number of the first entry. */
    public long firstNumber() {
        return entries.get(0).number();
    }

    /** Returns the number of the last entry. */
    public long lastNumber() {
        return lastEntry().number();
    }

    AuditEntry lastEntry() {
        return entries.get(entries.size() - 1);
    }

    /** Returns the digest of this segment, which the next one carries. */
    public String digest() {
        String digest =
                Digest.of(
                        previousDigest, node, String.valueOf(incarnation), String.valueOf(number));
        for (AuditEntry entry : entries) {
            digest = Digest.of(digest, entry.encode());
        }
        return digest;
    }

    /** Returns the key of this segment in the store: by node, incarnation and number, in order. */
    public String key() {
        return keyPrefix(node) + String.format("%012d/%08d", incarnation, number);
    }

    /** Returns the prefix of the keys of a node's segments. */
    public static String keyPrefix(String node) {
        return KEY_PREFIX + node + "/";
    }

    /** Encodes this segment as the stored text. */
    public String encode() {
        StringBuilder out = new StringBuilder();
        String previous = previousDigest.isEmpty() ? EMPTY_DIGEST : previousDigest;
        out.append(
                String.join(
                        " ",
                        MAGIC,
                        VERSION,
                        node,
                        String.valueOf(incarnation),
                        String.valueOf(number),
                        previous,
                        digest()));
        out.append('\n');
        entries.forEach(entry -> out.append(entry.encode()).append('\n'));
        return out.toString();
    }

    /** Decodes the stored text; empty if it is none, or does not fit its digest. */
    public static Optional<AuditSegment> decode(String text) {
        String[] lines = text.split("\n");
        String[] header = lines[0].split(" ");
        if (lines.length < 2 || !isHeaderValid(header)) {
            return Optional.empty();
        }
        return AuditEntry.decodeAll(Arrays.asList(lines).subList(1, lines.length))
                .map(
                        entries ->
                                new AuditSegment(
                                        header[2],
                                        Long.parseLong(header[3]),
                                        Long.parseLong(header[4]),
                                        header[5].equals(EMPTY_DIGEST) ? "" : header[5],
                                        entries))
                .filter(segment -> segment.digest().equals(header[6]));
    }

    private static boolean isHeaderValid(String[] header) {
        return header.length == HEADER_FIELDS
                && header[0].equals(MAGIC)
                && header[1].equals(VERSION)
                && header[3].matches("\\d{1,18}")
                && header[4].matches("\\d{1,18}");
    }
}
